//! Answers that aren't whole, from a backend server that misbehaves.

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

/// A server that reads some of one request and then answers as `answer` does.
fn serve(answer: impl FnOnce(TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut buf = [0; 1024];
        let _ = stream.read(&mut buf).expect("a request");
        answer(stream);
    });
    addr
}

fn ask(addr: SocketAddr) -> Result<HttpAnswer, CallFailure> {
    call(Method::GET, format!("http://{addr}/"), [], Vec::new(), TIMEOUT)
}

fn assert_truncated(answer: Result<HttpAnswer, CallFailure>) {
    assert!(matches!(answer, Err(CallFailure::Truncated { status: 200 })), "{answer:?}");
}

// An answer comes in a byte at a time and never ends. Each read succeeds in time, so a limit on
// reads alone would hold the caller, and the share of the backend server, for good.
#[test]
fn trickling_answer() {
    let addr = serve(|mut stream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n");
        while stream.write_all(b"x").is_ok() {
            thread::sleep(Duration::from_millis(20));
        }
    });
    assert_truncated(ask(addr));
}

// A backend server dies in the middle of an answer. The surveyor must not take the half for all.
#[test]
fn cut_answer() {
    let addr = serve(|mut stream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf");
    });
    assert_truncated(ask(addr));
}

// An answer is ended by closing its connection, and looks the same whole and cut. The library
// reads it as empty; passed on, a title search would seem to have found nothing.
#[test]
fn unframed_answer() {
    let addr = serve(|mut stream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nall of it, or not");
    });
    assert_truncated(ask(addr));
}

// The connection breaks before any answer. The request may have run.
#[test]
fn no_answer() {
    let addr = serve(drop);
    let answer = ask(addr);
    assert!(matches!(answer, Err(CallFailure::NoAnswer(_))), "{answer:?}");
}

#[test]
fn whole_answer() {
    let addr = serve(|mut stream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole");
    });
    assert_eq!(ask(addr).expect("an answer").body, b"whole");
}
