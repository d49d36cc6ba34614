//! One HTTP call, with a failure that says whether the request may have left.
//!
//! A connection is opened for each call and closed after it, so an answer can't belong to another
//! call. The price is one connect a call, measured on the capacity page.

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

/// The largest answer that is read, in bytes; a larger one is given up on.
const ANSWER_MAX_BYTES: usize = 64 * 1024 * 1024;

/// How much is read at once.
const READ_BYTES: usize = 16 * 1024;

/// Why a call has no whole answer.
#[derive(Debug)]
pub enum CallFailure {
    /// No byte of the request left this process: it certainly didn't run.
    NotSent(io::Error),
    /// The request may have left; whether it ran isn't known.
    NoAnswer(io::Error),
    /// An answer began but isn't whole, or can't be shown to be.
    Truncated {
        /// The answer's status.
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

/// A whole answer.
#[derive(Debug)]
pub struct HttpAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Vec<u8>,
}

/// Sends one request and reads its whole answer. `timeout` bounds the connect and each read and
/// write.
pub fn call(
    method: Method,
    url: impl AsRef<str>,
    headers: impl IntoIterator<Item = (HeaderName, HeaderValue)>,
    body: Vec<u8>,
    timeout: Duration,
) -> Result<HttpAnswer, CallFailure> {
    let mut req = Request::builder().method(method).uri(url.as_ref());
    if let Some(all) = req.headers_mut() {
        all.extend(headers.into_iter().map(|(name, value)| (Some(name), value)));
    }
    let req = req
        .body(Body::from(body))
        .map_err(|e| CallFailure::NotSent(io::Error::new(ErrorKind::InvalidInput, e)))?;
    let client = Client::new().with_global_timeout(timeout);
    let begun = Instant::now();
    let answer = client.request(req).map_err(classify)?;
    whole(answer, begun, timeout)
}

/// Only errors that a connect alone can give prove that nothing left; a time-out may be of either.
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

/// Reads the body to the end that the headers announce.
///
/// An answer that is ended by the closing of its connection looks the same whole and cut short
/// (and `oxhttp` reads it as empty), so it is never passed off as whole.
///
/// The library's time-out is of each read: an answer that trickles in a byte at a time would hold
/// its thread and its share of the backend server for hours. So the whole is bounded, too.
fn whole(
    answer: Response<Body>,
    begun: Instant,
    timeout: Duration,
) -> Result<HttpAnswer, CallFailure> {
    let status = answer.status();
    let bodyless = status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
    let framed = answer.headers().contains_key(CONTENT_LENGTH)
        || answer.headers().contains_key(TRANSFER_ENCODING);
    if !framed && !bodyless {
        return Err(CallFailure::Truncated { status: status.as_u16() });
    }
    let (parts, mut body) = answer.into_parts();
    let mut whole = Vec::new();
    let mut chunk = vec![0; READ_BYTES];
    loop {
        match body.read(&mut chunk) {
            Ok(0) => return Ok(HttpAnswer { status, headers: parts.headers, body: whole }),
            Ok(n) if whole.len() + n <= ANSWER_MAX_BYTES && begun.elapsed() <= timeout => {
                whole.extend_from_slice(&chunk[..n]);
            }
            Ok(_) | Err(_) => return Err(CallFailure::Truncated { status: status.as_u16() }),
        }
    }
}

/// Posts `message` as JSON and reads the answer's JSON.
pub fn call_json<A: DeserializeOwned>(
    url: impl AsRef<str>,
    message: &impl Serialize,
    timeout: Duration,
) -> Result<A, CallFailure> {
    let body = serde_json::to_vec(message)
        .map_err(|e| CallFailure::NotSent(io::Error::new(ErrorKind::InvalidInput, e)))?;
    let answer = call(Method::POST, url, [], body, timeout)?;
    if answer.status != StatusCode::OK {
        let text = format!("status {}", answer.status);
        return Err(CallFailure::NoAnswer(io::Error::other(text)));
    }
    serde_json::from_slice(&answer.body)
        .map_err(|e| CallFailure::NoAnswer(io::Error::new(ErrorKind::InvalidData, e)))
}
