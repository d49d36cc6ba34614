//! HTTP calls whose errors tell whether the request may have been sent.
//!
//! Each call uses a connection of its own, so a response can't belong to another call.

use {
    oxhttp::{
        Client,
        model::{
            Body, HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode,
            header::{CONTENT_LENGTH, TRANSFER_ENCODING},
        },
    },
    serde::{Serialize, de::DeserializeOwned},
    std::{
        fmt,
        io::{self, ErrorKind, Read},
        time::{Duration, Instant},
    },
};

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Size of the read buffer.
const READ_BYTES: usize = 16 * 1024;

/// Why a call has no complete response.
#[derive(Debug)]
pub enum CallFailure {
    /// Nothing was sent: the request didn't run.
    NotSent(io::Error),
    /// The request may have been sent and run.
    NoAnswer(io::Error),
    /// The response is incomplete, or its end can't be verified.
    Truncated {
        /// The response's status.
        status: u16,
    },
}

impl fmt::Display for CallFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallFailure::NotSent(error) => {
                write!(f, "not sent: {error}; check that the address is right and listening")
            }
            CallFailure::NoAnswer(error) => write!(f, "no answer: {error}; it may have run"),
            CallFailure::Truncated { status } => {
                write!(f, "the answer with status {status} isn't whole; the request may have run")
            }
        }
    }
}

impl std::error::Error for CallFailure {}

/// A complete response.
#[derive(Debug)]
pub struct HttpAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Vec<u8>,
}

/// Sends one request and reads the complete response. `timeout` bounds the connect, each read and
/// write, and the time until the body is complete.
pub fn call(
    method: Method,
    url: impl AsRef<str>,
    headers: impl IntoIterator<Item = (HeaderName, HeaderValue)>,
    body: Vec<u8>,
    timeout: Duration,
) -> Result<HttpAnswer, CallFailure> {
    let mut req = Request::builder().method(method).uri(url.as_ref());
    if let Some(req_headers) = req.headers_mut() {
        req_headers.extend(headers.into_iter().map(|(name, value)| (Some(name), value)));
    }
    let req = req
        .body(Body::from(body))
        .map_err(|e| CallFailure::NotSent(io::Error::new(ErrorKind::InvalidInput, e)))?;
    let client = Client::new().with_global_timeout(timeout);
    let started = Instant::now();
    let response = client.request(req).map_err(classify)?;
    read_complete(response, started, timeout)
}

/// Only errors specific to connecting prove that nothing was sent; a timeout doesn't.
fn classify(error: io::Error) -> CallFailure {
    match error.kind() {
        ErrorKind::ConnectionRefused
        | ErrorKind::HostUnreachable
        | ErrorKind::NetworkUnreachable
        | ErrorKind::AddrNotAvailable
        | ErrorKind::InvalidInput => CallFailure::NotSent(error),
        _ => CallFailure::NoAnswer(error),
    }
}

/// Reads the complete body.
///
/// A body that is delimited by the end of the connection can't be told from a truncated one (and
/// `oxhttp` reads it as empty), so it counts as truncated.
///
/// `oxhttp`'s timeout applies to each read, so a slow response needs a limit on the total time.
fn read_complete(
    response: Response<Body>,
    started: Instant,
    timeout: Duration,
) -> Result<HttpAnswer, CallFailure> {
    let status = response.status();
    let bodyless = status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
    let has_framing = response.headers().contains_key(CONTENT_LENGTH)
        || response.headers().contains_key(TRANSFER_ENCODING);
    if !has_framing && !bodyless {
        return Err(CallFailure::Truncated { status: status.as_u16() });
    }
    let (parts, mut body) = response.into_parts();
    let mut buf = Vec::new();
    let mut chunk = vec![0; READ_BYTES];
    loop {
        match body.read(&mut chunk) {
            Ok(0) => return Ok(HttpAnswer { status, headers: parts.headers, body: buf }),
            Ok(n) if buf.len() + n <= MAX_RESPONSE_BYTES && started.elapsed() <= timeout => {
                buf.extend_from_slice(&chunk[..n]);
            }
            Ok(_) | Err(_) => return Err(CallFailure::Truncated { status: status.as_u16() }),
        }
    }
}

/// Posts `message` as JSON and decodes the response as JSON.
pub fn call_json<A: DeserializeOwned>(
    url: impl AsRef<str>,
    message: &impl Serialize,
    timeout: Duration,
) -> Result<A, CallFailure> {
    let body = serde_json::to_vec(message)
        .map_err(|e| CallFailure::NotSent(io::Error::new(ErrorKind::InvalidInput, e)))?;
    let response = call(Method::POST, url, [], body, timeout)?;
    if response.status != StatusCode::OK {
        let text = format!("status {}", response.status);
        return Err(CallFailure::NoAnswer(io::Error::other(text)));
    }
    serde_json::from_slice(&response.body)
        .map_err(|e| CallFailure::NoAnswer(io::Error::new(ErrorKind::InvalidData, e)))
}
