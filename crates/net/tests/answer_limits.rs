//! Incomplete responses from a misbehaving backend server.

use {
    egretlb_net::http::{CallFailure, HttpAnswer, call},
    oxhttp::model::Method,
    std::{
        io::{Read, Write},
        net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
        thread,
        time::Duration,
    },
};

const TIMEOUT: Duration = Duration::from_millis(300);

/// Starts a server that reads from one connection and then responds by `respond`.
fn serve(respond: impl FnOnce(TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut buf = [0; 1024];
        let _ = stream.read(&mut buf).expect("a request");
        respond(stream);
    });
    addr
}

fn get(addr: SocketAddr) -> Result<HttpAnswer, CallFailure> {
    call(Method::GET, format!("http://{addr}/"), [], Vec::new(), TIMEOUT)
}

fn assert_truncated(answer: Result<HttpAnswer, CallFailure>) {
    assert!(matches!(answer, Err(CallFailure::Truncated { status: 200 })), "{answer:?}");
}

// A response that arrives byte by byte must not block the caller: each read succeeds in time, so the
// total time needs a limit.
#[test]
fn slow_response_is_truncated() {
    let addr = serve(|mut stream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n");
        while stream.write_all(b"x").is_ok() {
            thread::sleep(Duration::from_millis(20));
        }
    });
    assert_truncated(get(addr));
}

// A response that ends early must not count as complete.
#[test]
fn short_response_is_truncated() {
    let addr = serve(|mut stream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf");
    });
    assert_truncated(get(addr));
}

// A response delimited by the end of the connection can't be verified as complete.
#[test]
fn unframed_response_is_truncated() {
    let addr = serve(|mut stream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nall of it, or not");
    });
    assert_truncated(get(addr));
}

// A connection that breaks before any response: the request may have run.
#[test]
fn missing_response_is_no_answer() {
    let addr = serve(drop);
    let answer = get(addr);
    assert!(matches!(answer, Err(CallFailure::NoAnswer(_))), "{answer:?}");
}

#[test]
fn complete_response_is_returned() {
    let addr = serve(|mut stream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole");
    });
    assert_eq!(get(addr).expect("an answer").body, b"whole");
}
