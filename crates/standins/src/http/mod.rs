//! The stand-ins' HTTP server: a thin layer over `oxhttp` with fault injection.
//!
//! A handler maps a [`Call`] to a [`Reply`]. [`Reply::Sever`] closes the connection without an
//! answer, [`Reply::Truncated`] closes it in the middle of the body. The server can't be stopped;
//! its threads end with the process.

use {
    egretlb_types::Time,
    oxhttp::{
        Server,
        model::{Body, HeaderMap, Request, Response, StatusCode, header::CONTENT_TYPE},
    },
    serde::{Serialize, de::DeserializeOwned},
    std::{
        io::{self, Read},
        net::{Ipv4Addr, SocketAddr, TcpListener},
        panic,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// Maximum size of a request body.
pub const MAX_BODY_BYTES: u64 = 4 << 20;

/// Timeout of idle connections.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Maximum number of attempts to find a free port.
const MAX_BIND_ATTEMPTS: u32 = 20;

/// A received request.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method, in upper case.
    pub method: String,
    /// The path, with its leading slash.
    pub path: String,
    /// The query without the question mark; empty if there is none.
    pub query: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Vec<u8>,
}

impl Call {
    /// Returns the header's value, if it is present and text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Returns the number of the query parameter `name`.
    pub fn query_number(&self, name: &str) -> Option<u64> {
        let mut pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).and_then(|(_, value)| value.parse().ok())
    }

    /// Decodes the body as JSON, or returns a reply with the error.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Reply> {
        serde_json::from_slice(&self.body).map_err(|e| Reply::text(400, format!("{e}")))
    }
}

/// The answer of a handler.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// A whole answer.
    Whole {
        /// The status code.
        status: u16,
        /// The media type of the body.
        media_type: &'static str,
        /// Additional headers.
        headers: Vec<(&'static str, String)>,
        /// The body.
        body: Vec<u8>,
    },
    /// The connection is closed without an answer.
    Sever,
    /// The connection is closed after a part of the body.
    Truncated {
        /// The part that is sent.
        body: Vec<u8>,
    },
}

impl Reply {
    /// Answers `value` as JSON with status 200.
    pub fn json(value: &impl Serialize) -> Reply {
        Reply::json_with(200, value)
    }

    /// Answers `value` as JSON with this status.
    pub fn json_with(status: u16, value: &impl Serialize) -> Reply {
        match serde_json::to_vec(value) {
            Ok(body) => {
                Reply::Whole { status, media_type: "application/json", headers: Vec::new(), body }
            }
            Err(e) => Reply::text(500, format!("{e}")),
        }
    }

    /// Answers plain text.
    pub fn text(status: u16, text: impl Into<String>) -> Reply {
        let body = text.into().into_bytes();
        Reply::Whole { status, media_type: "text/plain", headers: Vec::new(), body }
    }

    /// Answers bytes with status 200.
    pub fn bytes(body: Vec<u8>) -> Reply {
        let media_type = "application/octet-stream";
        Reply::Whole { status: 200, media_type, headers: Vec::new(), body }
    }

    /// Truncates the answer in the middle of its body.
    pub fn truncated(self) -> Reply {
        match self {
            Reply::Whole { mut body, .. } => {
                body.truncate(body.len() / 2);
                Reply::Truncated { body }
            }
            other => other,
        }
    }
}

/// Yields its bytes and then fails, so that the server aborts in the middle of a body.
struct FailingReader {
    rest: io::Cursor<Vec<u8>>,
}

impl Read for FailingReader {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        match self.rest.read(buf)? {
            0 => Err(io::Error::new(io::ErrorKind::BrokenPipe, "cut by a fault")),
            n => Ok(n),
        }
    }
}

/// Serves `handler` on the loopback interface and returns the address. Port 0 picks a free port.
///
/// `oxhttp` doesn't report the port it binds, so a free one is determined first. If another process
/// takes it before the bind, the next one is tried.
pub fn serve(
    port: u16,
    handler: impl Fn(&Call) -> Reply + Clone + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let mut last = io::Error::new(io::ErrorKind::AddrInUse, "no free port found; try again");
    for _ in 0..MAX_BIND_ATTEMPTS {
        let addr = match port {
            0 => TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()?,
            port => SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
        };
        let handler = handler.clone();
        let server = Server::new(move |req| respond(req, &handler))
            .bind(addr)
            .with_global_timeout(IDLE_TIMEOUT);
        match server.spawn() {
            Ok(_) => return Ok(addr),
            Err(e) if port == 0 => last = e,
            Err(e) => return Err(e),
        }
    }
    Err(last)
}

/// Returns the wall clock time, which makes histories of stand-ins on one machine comparable.
pub fn wall_clock() -> Time {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Time::from_micros(since.as_micros() as u64)
}

fn respond(req: &mut Request<Body>, handler: &impl Fn(&Call) -> Reply) -> Response<Body> {
    let mut body = Vec::new();
    let read = req.body_mut().take(MAX_BODY_BYTES + 1).read_to_end(&mut body);
    let call = Call {
        method: req.method().as_str().to_owned(),
        path: req.uri().path().to_owned(),
        query: req.uri().query().unwrap_or_default().to_owned(),
        headers: req.headers().clone(),
        body,
    };
    let reply = match read {
        Err(_) => Reply::Sever,
        Ok(n) if n as u64 > MAX_BODY_BYTES => {
            Reply::text(413, format!("the body is too large; send at most {MAX_BODY_BYTES} bytes"))
        }
        Ok(_) => handler(&call),
    };
    encode(reply)
}

fn encode(reply: Reply) -> Response<Body> {
    match reply {
        Reply::Whole { status, media_type, headers, body } => {
            let mut builder = Response::builder().status(status).header(CONTENT_TYPE, media_type);
            for (name, value) in headers {
                builder = builder.header(name, value);
            }
            builder.body(Body::from(body)).unwrap_or_else(|_| {
                let mut broken = Response::new(Body::empty());
                *broken.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
                broken
            })
        }
        // The connection's thread owns the stream: unwinding closes the connection before any byte
        // is written. `resume_unwind` prints no panic message.
        Reply::Sever => panic::resume_unwind(Box::new("severed by a fault")),
        Reply::Truncated { body } => {
            Response::new(Body::from_read(FailingReader { rest: io::Cursor::new(body) }))
        }
    }
}
