//! Serving clients.

use {
    crate::{client::prepare, upgrade::Upgrading},
    bytes::Bytes,
    http::{Method, StatusCode, header::HeaderValue},
    http_body_util::{BodyExt, Full, Limited},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{cell::Cell, convert::Infallible, future::Future, rc::Rc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
    },
};

/// Limits of a listener.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerLimits {
    /// The most connections open at once; more are closed at once, so that their clients go elsewhere.
    pub connections: usize,
    /// The largest body taken, in bytes.
    pub body_bytes: usize,
    /// How long a request's head may take to arrive; an idle connection is closed after it, too.
    pub head: Duration,
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The host that the client names; empty if it names none.
    pub host: String,
    /// The path, without the query.
    pub path: String,
    /// What follows the path's question mark; empty if there is none.
    pub query: String,
    /// The headers.
    pub headers: http::HeaderMap,
    /// The whole body; none if it is larger than allowed or broke off.
    pub body: Option<Bytes>,
    /// Set if the client asks for another protocol: the connection, once [`Response::switching`] is answered.
    pub upgrade: Option<Upgrading>,
}

/// What a client is answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Response {
    /// The status.
    pub status: u16,
    /// The body.
    pub body: Bytes,
    /// What the body is, if there is one.
    pub content_type: &'static str,
    /// When to come back, in seconds.
    pub retry_after: Option<u32>,
    /// The protocol that the connection has from here on, if it is another one.
    pub switches_to: Option<&'static str>,
}

/// The content type of most bodies.
const JSON: &str = "application/json";

impl Response {
    /// An answer without a body.
    pub fn empty(status: u16) -> Response {
        Response {
            status,
            body: Bytes::new(),
            content_type: JSON,
            retry_after: None,
            switches_to: None,
        }
    }

    /// The answer after which the connection speaks `protocol`.
    pub fn switching(protocol: &'static str) -> Response {
        let status = StatusCode::SWITCHING_PROTOCOLS.as_u16();
        Response { switches_to: Some(protocol), ..Response::empty(status) }
    }
}

/// Serves a listener until `stop` says to end; then connections are closed once their requests in
/// progress are answered.
pub async fn serve<F, A>(
    listener: TcpListener,
    limits: ServerLimits,
    stop: watch::Receiver<bool>,
    answer: F,
) where
    F: Fn(Request) -> A + Clone + 'static,
    A: Future<Output = Response> + 'static,
{
    let open = Rc::new(Cell::new(0_usize));
    let mut ending = stop.clone();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    // Out of descriptors, most likely: a pause lets connections end.
                    log::warn!(error:% = error; "accept_failed");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            },
            // A closed channel means that the process ends, too.
            _ = ending.wait_for(|stop| *stop) => return,
        };
        if open.get() >= limits.connections {
            continue;
        }
        open.set(open.get() + 1);
        let (answer, stop, open) = (answer.clone(), stop.clone(), Rc::clone(&open));
        tokio::task::spawn_local(async move {
            serve_connection(stream, limits, stop, answer).await;
            open.set(open.get() - 1);
        });
    }
}

/// The pause after a connection couldn't be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

async fn serve_connection<F, A>(
    stream: TcpStream,
    limits: ServerLimits,
    mut stop: watch::Receiver<bool>,
    answer: F,
) where
    F: Fn(Request) -> A + Clone + 'static,
    A: Future<Output = Response> + 'static,
{
    prepare(&stream);
    let service = service_fn(move |req| {
        let answer = answer.clone();
        async move {
            let response = answer(read(req, limits.body_bytes).await).await;
            Ok::<_, Infallible>(write(response))
        }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head)
        .max_buf_size(MAX_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service)
        .with_upgrades();
    tokio::pin!(conn);
    let ended = tokio::select! {
        ended = conn.as_mut() => ended,
        _ = stop.wait_for(|stop| *stop) => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    };
    if let Err(error) = ended {
        log::debug!(error:% = error; "client_connection_ended");
    }
}

/// The most bytes buffered for one connection; a head of 16 KiB fits.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

async fn read(mut req: hyper::Request<Incoming>, limit: usize) -> Request {
    let upgrade = Upgrading::of(&mut req);
    let (parts, body) = req.into_parts();
    let body = Limited::new(body, limit).collect().await.ok().map(|body| body.to_bytes());
    let host = parts.headers.get("host").and_then(|host| host.to_str().ok()).unwrap_or_default();
    Request {
        host: host.to_string(),
        method: parts.method,
        path: parts.uri.path().to_string(),
        query: parts.uri.query().unwrap_or_default().to_string(),
        headers: parts.headers,
        body,
        upgrade,
    }
}

fn write(response: Response) -> hyper::Response<Full<Bytes>> {
    let Response { status, body, content_type, retry_after, switches_to } = response;
    let has_body = !body.is_empty();
    let mut answer = hyper::Response::new(Full::new(body));
    *answer.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = answer.headers_mut();
    if has_body {
        headers.insert("content-type", HeaderValue::from_static(content_type));
    }
    if let Some(protocol) = switches_to {
        headers.insert("connection", HeaderValue::from_static("upgrade"));
        headers.insert("upgrade", HeaderValue::from_static(protocol));
    }
    if let Some(seconds) = retry_after {
        headers.insert("retry-after", HeaderValue::from(seconds));
    }
    answer
}
