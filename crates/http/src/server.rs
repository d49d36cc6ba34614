//! HTTP server.

use {
    crate::{client::set_socket_options, upgrade::Upgrading},
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
    /// Maximum number of open connections; further ones are closed immediately.
    pub connections: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// How long a request's head may take to arrive; also closes idle connections.
    pub head: Duration,
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The `Host` header; empty if absent.
    pub host: String,
    /// The path, without the query.
    pub path: String,
    /// The query without the question mark; empty if absent.
    pub query: String,
    /// The headers.
    pub headers: http::HeaderMap,
    /// The complete body; `None` if it is too large or incomplete.
    pub body: Option<Bytes>,
    /// Set if the client requests a protocol upgrade; completes after [`Response::switching`].
    pub upgrade: Option<Upgrading>,
}

/// A response to a client.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Response {
    /// The status.
    pub status: u16,
    /// The body.
    pub body: Bytes,
    /// The body's content type.
    pub content_type: &'static str,
    /// The `Retry-After` header, in seconds.
    pub retry_after: Option<u32>,
    /// The protocol that the connection switches to, if any.
    pub switches_to: Option<&'static str>,
}

const JSON: &str = "application/json";

impl Response {
    /// A response without a body.
    pub fn empty(status: u16) -> Response {
        Response {
            status,
            body: Bytes::new(),
            content_type: JSON,
            retry_after: None,
            switches_to: None,
        }
    }

    /// A response that switches the connection to `protocol`.
    pub fn switching(protocol: &'static str) -> Response {
        let status = StatusCode::SWITCHING_PROTOCOLS.as_u16();
        Response { switches_to: Some(protocol), ..Response::empty(status) }
    }
}

/// Serves a listener until `stop` becomes true. Connections then close after their requests in
/// progress complete.
pub async fn serve<F, A>(
    listener: TcpListener,
    limits: ServerLimits,
    stop: watch::Receiver<bool>,
    handler: F,
) where
    F: Fn(Request) -> A + Clone + 'static,
    A: Future<Output = Response> + 'static,
{
    let open_connections = Rc::new(Cell::new(0_usize));
    let mut stop_requested = stop.clone();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    // Usually out of file descriptors; wait for connections to close.
                    log::warn!(error:% = error; "accept_failed");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            },
            // A closed channel also means that the process ends.
            _ = stop_requested.wait_for(|stop| *stop) => return,
        };
        if open_connections.get() >= limits.connections {
            continue;
        }
        open_connections.set(open_connections.get() + 1);
        let (handler, stop, open_connections) =
            (handler.clone(), stop.clone(), Rc::clone(&open_connections));
        tokio::task::spawn_local(async move {
            serve_connection(stream, limits, stop, handler).await;
            open_connections.set(open_connections.get() - 1);
        });
    }
}

/// How long to wait after an accept error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

async fn serve_connection<F, A>(
    stream: TcpStream,
    limits: ServerLimits,
    mut stop: watch::Receiver<bool>,
    handler: F,
) where
    F: Fn(Request) -> A + Clone + 'static,
    A: Future<Output = Response> + 'static,
{
    set_socket_options(&stream);
    let service = service_fn(move |req| {
        let handler = handler.clone();
        async move {
            let response = handler(read_request(req, limits.body_bytes).await).await;
            Ok::<_, Infallible>(to_hyper(response))
        }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head)
        .max_buf_size(MAX_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service)
        .with_upgrades();
    tokio::pin!(conn);
    let result = tokio::select! {
        result = conn.as_mut() => result,
        _ = stop.wait_for(|stop| *stop) => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    };
    if let Err(error) = result {
        log::debug!(error:% = error; "client_connection_ended");
    }
}

/// Read buffer size of one connection; bounds a request's head.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

async fn read_request(mut req: hyper::Request<Incoming>, limit: usize) -> Request {
    let upgrade = Upgrading::from_request(&mut req);
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

fn to_hyper(response: Response) -> hyper::Response<Full<Bytes>> {
    let Response { status, body, content_type, retry_after, switches_to } = response;
    let has_body = !body.is_empty();
    let mut response = hyper::Response::new(Full::new(body));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
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
    response
}
