//! `oxhttp`'s server with what it lacks: a port of its own choice, and a count of requests that are
//! still being answered.
//!
//! The library gives each connection a thread and can't be stopped; a process ends by exiting once
//! nothing is in progress. A request counts from its arrival until the last byte of its answer is
//! written: the guard travels in the answer's extensions, and the library drops the answer after
//! it has flushed it.

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

/// How often another port is tried when the system's choice was taken in between.
const PORT_TRIES: usize = 20;

/// Counts the requests whose answers aren't written out yet.
#[derive(Clone, Default)]
pub struct Drain {
    open: Arc<AtomicUsize>,
}

/// One request in progress; dropped with its answer.
#[derive(Clone)]
struct InProgress {
    _guard: Arc<Guard>,
}

struct Guard {
    open: Arc<AtomicUsize>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Drain {
    fn enter(&self) -> InProgress {
        self.open.fetch_add(1, Ordering::AcqRel);
        InProgress { _guard: Arc::new(Guard { open: Arc::clone(&self.open) }) }
    }

    /// How many requests are in progress.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Waits until none is in progress, at most `limit`; returns how many still are.
    pub fn wait(&self, limit: Duration) -> usize {
        const POLL: Duration = Duration::from_millis(5);
        let start = Instant::now();
        while self.open() > 0 && start.elapsed() < limit {
            thread::sleep(POLL);
        }
        self.open()
    }
}

/// A listening HTTP server.
#[derive(Clone)]
pub struct HttpServer {
    addr: SocketAddr,
    drain: Drain,
}

impl HttpServer {
    /// Listens on `ip` and `port` (0: a free one) and answers each request by `handler`.
    ///
    /// `idle` bounds each read and write, so that a caller who sends or reads nothing for that long
    /// is cut off. More than `connections` at once wait to be accepted.
    pub fn start(
        ip: IpAddr,
        port: u16,
        idle: Duration,
        connections: usize,
        handler: impl Fn(&mut Request<Body>) -> Response<Body> + Send + Sync + 'static,
    ) -> io::Result<HttpServer> {
        let handler = Arc::new(handler);
        let drain = Drain::default();
        for _ in 0..PORT_TRIES {
            let addr = SocketAddr::new(ip, choose_port(ip, port)?);
            let counted = counted(Arc::clone(&handler), drain.clone());
            let server = Server::new(counted)
                .bind(addr)
                .with_global_timeout(idle)
                .with_max_concurrent_connections(connections);
            match server.spawn() {
                Ok(_listening) => return Ok(HttpServer { addr, drain }),
                Err(e) if port == 0 && e.kind() == ErrorKind::AddrInUse => {}
                Err(e) => return Err(e),
            }
        }
        Err(io::Error::new(ErrorKind::AddrInUse, "no free port; name one in the settings"))
    }

    /// Where the server listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The count of its requests in progress.
    pub fn drain(&self) -> &Drain {
        &self.drain
    }
}

fn counted(
    handler: Arc<impl Fn(&mut Request<Body>) -> Response<Body>>,
    drain: Drain,
) -> impl Fn(&mut Request<Body>) -> Response<Body> {
    move |req| {
        let in_progress = drain.enter();
        let mut answer = handler(req);
        answer.extensions_mut().insert(in_progress);
        answer
    }
}

/// The library doesn't tell which port the system gave it, so one is asked for beforehand.
fn choose_port(ip: IpAddr, port: u16) -> io::Result<u16> {
    if port != 0 {
        return Ok(port);
    }
    Ok(TcpListener::bind(SocketAddr::new(ip, 0))?.local_addr()?.port())
}

/// Why a request's body wasn't read.
#[derive(Debug)]
pub enum ReadBodyError {
    /// More bytes than the limit.
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// It ended early, came too slowly, or its framing is wrong.
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
                write!(f, "the body couldn't be read whole: {error}; send it again")
            }
        }
    }
}

impl std::error::Error for ReadBodyError {}

/// Reads a request's whole body, at most `limit` bytes.
pub fn read_body(req: &mut Request<Body>, limit: usize) -> Result<Vec<u8>, ReadBodyError> {
    if req.body().len().is_some_and(|len| len > limit as u64) {
        return Err(ReadBodyError::TooLarge { limit });
    }
    let mut buf = Vec::new();
    req.body_mut().take(limit as u64 + 1).read_to_end(&mut buf).map_err(ReadBodyError::Broken)?;
    if buf.len() > limit { Err(ReadBodyError::TooLarge { limit }) } else { Ok(buf) }
}

/// A request that can't be taken, with the text that names the remedy.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BadRequest {
    /// The status to answer with.
    pub status: StatusCode,
    /// What is wrong and what to do.
    pub text: String,
}

impl BadRequest {
    /// A request to be answered with `status` and `text`.
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

/// A plain-text answer with extra headers.
pub fn respond(
    status: StatusCode,
    headers: impl IntoIterator<Item = (HeaderName, String)>,
    text: impl Into<String>,
) -> Response<Body> {
    let mut answer =
        Response::builder().status(status).header(CONTENT_TYPE, "text/plain; charset=utf-8");
    for (name, value) in headers {
        answer = answer.header(name, value);
    }
    // The parts are ours, except header values, which a failure drops together with the text.
    answer.body(Body::from(text.into())).unwrap_or_else(|_| {
        let mut plain = Response::new(Body::empty());
        *plain.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        plain
    })
}

/// A JSON answer.
pub fn respond_json(status: StatusCode, message: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(message).unwrap_or_default();
    let mut answer = Response::new(Body::from(body));
    *answer.status_mut() = status;
    let json = "application/json".parse().expect("a constant header value");
    answer.headers_mut().insert(CONTENT_TYPE, json);
    answer
}
