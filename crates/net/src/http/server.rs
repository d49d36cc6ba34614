//! `oxhttp`'s server with a known port and a count of the requests in progress.
//!
//! The library uses one thread for each connection and can't be stopped; a process exits once
//! nothing is in progress. A request counts from its arrival until its response is written: the
//! response's extensions hold a guard, and the library drops the response after flushing it.

use {
    oxhttp::{
        Server,
        model::{
            Body, Request, Response, StatusCode,
            header::{CONTENT_TYPE, HeaderName},
        },
    },
    serde::Serialize,
    std::{
        fmt,
        io::{self, ErrorKind, Read},
        net::{IpAddr, SocketAddr, TcpListener},
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Maximum number of ports to try if the chosen one is taken before it is bound.
const MAX_PORT_ATTEMPTS: usize = 20;

/// Counts the requests in progress, until their responses are written.
#[derive(Clone, Default)]
pub struct RequestCounter {
    count: Arc<AtomicUsize>,
}

/// One request in progress; dropped with its response.
#[derive(Clone)]
struct InProgress {
    _guard: Arc<Guard>,
}

struct Guard {
    count: Arc<AtomicUsize>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::AcqRel);
    }
}

impl RequestCounter {
    fn start(&self) -> InProgress {
        self.count.fetch_add(1, Ordering::AcqRel);
        InProgress { _guard: Arc::new(Guard { count: Arc::clone(&self.count) }) }
    }

    /// Number of requests in progress.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::Acquire)
    }

    /// Waits at most `limit` until no request is in progress; returns the number that still are.
    pub fn wait_until_zero(&self, limit: Duration) -> usize {
        const POLL: Duration = Duration::from_millis(5);
        let start = Instant::now();
        while self.count() > 0 && start.elapsed() < limit {
            thread::sleep(POLL);
        }
        self.count()
    }
}

/// A listening HTTP server.
#[derive(Clone)]
pub struct HttpServer {
    addr: SocketAddr,
    counter: RequestCounter,
}

impl HttpServer {
    /// Listens on `ip` and `port` (0: any free port) and handles each request by `handler`.
    ///
    /// `idle_timeout` bounds each read and write. More than `connections` concurrent connections
    /// wait to be accepted.
    pub fn start(
        ip: IpAddr,
        port: u16,
        idle_timeout: Duration,
        connections: usize,
        handler: impl Fn(&mut Request<Body>) -> Response<Body> + Send + Sync + 'static,
    ) -> io::Result<HttpServer> {
        let handler = Arc::new(handler);
        let counter = RequestCounter::default();
        for _ in 0..MAX_PORT_ATTEMPTS {
            let addr = SocketAddr::new(ip, choose_port(ip, port)?);
            let handler = count_requests(Arc::clone(&handler), counter.clone());
            let server = Server::new(handler)
                .bind(addr)
                .with_global_timeout(idle_timeout)
                .with_max_concurrent_connections(connections);
            match server.spawn() {
                Ok(_handle) => return Ok(HttpServer { addr, counter }),
                Err(e) if port == 0 && e.kind() == ErrorKind::AddrInUse => {}
                Err(e) => return Err(e),
            }
        }
        Err(io::Error::new(ErrorKind::AddrInUse, "no free port; name one in the settings"))
    }

    /// The address on which the server listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The counter of its requests in progress.
    pub fn counter(&self) -> &RequestCounter {
        &self.counter
    }
}

fn count_requests(
    handler: Arc<impl Fn(&mut Request<Body>) -> Response<Body>>,
    counter: RequestCounter,
) -> impl Fn(&mut Request<Body>) -> Response<Body> {
    move |req| {
        let in_progress = counter.start();
        let mut response = handler(req);
        response.extensions_mut().insert(in_progress);
        response
    }
}

/// Picks a free port beforehand, since the library doesn't report the port that it bound.
fn choose_port(ip: IpAddr, port: u16) -> io::Result<u16> {
    if port != 0 {
        return Ok(port);
    }
    Ok(TcpListener::bind(SocketAddr::new(ip, 0))?.local_addr()?.port())
}

/// Why a request's body couldn't be read.
#[derive(Debug)]
pub enum ReadBodyError {
    /// The body is larger than the limit.
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// The body is incomplete, too slow or malformed.
    Broken(io::Error),
}

impl fmt::Display for ReadBodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReadBodyError::TooLarge { limit } => {
                write!(
                    f,
                    "the body is larger than {limit} bytes; send less or raise limits.max_body"
                )
            }
            ReadBodyError::Broken(error) => {
                write!(f, "the body is incomplete: {error}; send it again")
            }
        }
    }
}

impl std::error::Error for ReadBodyError {}

/// Reads a request's complete body, at most `limit` bytes.
pub fn read_body(req: &mut Request<Body>, limit: usize) -> Result<Vec<u8>, ReadBodyError> {
    if req.body().len().is_some_and(|len| len > limit as u64) {
        return Err(ReadBodyError::TooLarge { limit });
    }
    let mut buf = Vec::new();
    req.body_mut().take(limit as u64 + 1).read_to_end(&mut buf).map_err(ReadBodyError::Broken)?;
    if buf.len() > limit { Err(ReadBodyError::TooLarge { limit }) } else { Ok(buf) }
}

/// A rejected request, with a text that names the remedy.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BadRequest {
    /// The status of the response.
    pub status: StatusCode,
    /// The reason and the remedy.
    pub text: String,
}

impl BadRequest {
    /// Creates a rejection with `status` and `text`.
    pub fn new(status: StatusCode, text: impl fmt::Display) -> Self {
        BadRequest { status, text: text.to_string() }
    }
}

impl From<ReadBodyError> for BadRequest {
    fn from(error: ReadBodyError) -> Self {
        let status = match error {
            ReadBodyError::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            ReadBodyError::Broken(_) => StatusCode::BAD_REQUEST,
        };
        BadRequest::new(status, error)
    }
}

/// Creates a plain-text response with extra headers.
pub fn respond(
    status: StatusCode,
    headers: impl IntoIterator<Item = (HeaderName, String)>,
    text: impl Into<String>,
) -> Response<Body> {
    let mut response =
        Response::builder().status(status).header(CONTENT_TYPE, "text/plain; charset=utf-8");
    for (name, value) in headers {
        response = response.header(name, value);
    }
    // Only an invalid header value can fail.
    response.body(Body::from(text.into())).unwrap_or_else(|_| {
        let mut empty = Response::new(Body::empty());
        *empty.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        empty
    })
}

/// Creates a JSON response.
pub fn respond_json(status: StatusCode, message: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(message).unwrap_or_default();
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    let json = "application/json".parse().expect("a constant header value");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
