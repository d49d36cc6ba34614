//! Calls to the operators' addresses of daemons, with retries.

use {
    crate::{args::Servers, error::CliError, retry::Retry},
    compact_str::{CompactString, format_compact},
    egretlb_api::{ApiError, CancelAnswer, ProposeAnswer, SubmitAnswer},
    egretlb_net::http::{CallFailure, HttpAnswer, call},
    egretlb_types::RetryAfter,
    log::debug,
    oxhttp::model::{
        HeaderValue, Method, StatusCode,
        header::{CONTENT_TYPE, RETRY_AFTER},
    },
    serde::{Serialize, de::DeserializeOwned},
    std::{
        fmt,
        net::SocketAddr,
        thread,
        time::{Duration, Instant},
    },
};

/// Failure of a single call.
#[derive(Debug)]
enum CallError {
    /// No complete answer.
    Failed(CallFailure),
    /// The answer isn't of the expected form; the server may be another program.
    Unexpected(CompactString),
    /// The daemon can't process the call now; it may be retried.
    Busy(ApiError),
    /// The daemon refuses the call; a retry doesn't help.
    Refused(ApiError),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::Failed(failure) => write!(f, "{failure}"),
            CallError::Unexpected(found) => {
                write!(f, "{found}; is this the operators' address of an egretlb daemon?")
            }
            CallError::Busy(error) | CallError::Refused(error) => write!(f, "{error}"),
        }
    }
}

/// A request that can be sent repeatedly.
pub(crate) struct Call {
    method: Method,
    path: CompactString,
    body: Vec<u8>,
}

impl Call {
    pub(crate) fn get(path: impl AsRef<str>) -> Self {
        Call::new(Method::GET, path, Vec::new())
    }

    pub(crate) fn delete(path: impl AsRef<str>) -> Self {
        Call::new(Method::DELETE, path, Vec::new())
    }

    pub(crate) fn post(path: impl AsRef<str>, message: &impl Serialize) -> Result<Self, CliError> {
        let body = serde_json::to_vec(message).map_err(|e| {
            CliError::Refused(format_compact!("the message can't be serialized as JSON: {e}"))
        })?;
        Ok(Call::new(Method::POST, path, body))
    }

    fn new(method: Method, path: impl AsRef<str>, body: Vec<u8>) -> Self {
        Call { method, path: CompactString::new(path), body }
    }

    fn once<A: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        timeout: Duration,
    ) -> Result<A, CallError> {
        let url = format!("http://{addr}{}", self.path);
        let json = (CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let headers = (!self.body.is_empty()).then_some(json);
        debug!(method:% = self.method, url:% = url; "call");
        let answer = call(self.method.clone(), &url, headers, self.body.clone(), timeout);
        match &answer {
            Ok(answer) => debug!(url:% = url, status = answer.status.as_u16(); "answer"),
            Err(failure) => debug!(url:% = url, error:% = failure; "no_answer"),
        }
        read_answer(&answer.map_err(CallError::Failed)?)
    }
}

/// Parses an answer of any status as `A`, whose variants are the outcomes. An error status with an
/// [`ApiError`] is a failure.
fn read_answer<A: DeserializeOwned>(answer: &HttpAnswer) -> Result<A, CallError> {
    let status = answer.status;
    if !status.is_success()
        && let Ok(error) = serde_json::from_slice::<ApiError>(&answer.body)
    {
        return Err(if is_permanent(status) {
            CallError::Refused(error)
        } else {
            CallError::Busy(error)
        });
    }
    if let Ok(message) = serde_json::from_slice(&answer.body) {
        return Ok(message);
    }
    if status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS {
        let error = format_compact!("the daemon answers {status}");
        return Err(CallError::Busy(ApiError { error, retry_after: retry_after_header(answer) }));
    }
    let body = String::from_utf8_lossy(&answer.body);
    let excerpt: String = body.chars().filter(|c| !c.is_control()).take(60).collect();
    Err(CallError::Unexpected(format_compact!("status {status}, {excerpt:?}")))
}

/// Whether a retry can't succeed.
fn is_permanent(status: StatusCode) -> bool {
    status.is_client_error()
        && status != StatusCode::REQUEST_TIMEOUT
        && status != StatusCode::TOO_MANY_REQUESTS
}

fn retry_after_header(answer: &HttpAnswer) -> Option<RetryAfter> {
    let secs: u64 = answer.headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    Some(RetryAfter::from_wait(Duration::from_secs(secs)))
}

/// Calls the servers in turn, each once, until one answers. For calls that only read.
pub(crate) fn query<A: DeserializeOwned>(
    servers: &Servers,
    timeout: Duration,
    call: &Call,
) -> Result<A, CliError> {
    let mut last_error = String::new();
    for addr in servers.iter() {
        match call.once(addr, timeout) {
            Ok(answer) => return Ok(answer),
            Err(CallError::Refused(error)) => return Err(CliError::Refused(error.error)),
            Err(error) => last_error = format!("{addr}: {error}"),
        }
    }
    Err(CliError::Unavailable { last_error, change: false })
}

/// Answer to a change, which may be unavailable for now.
pub(crate) trait ChangeAnswer {
    /// When to retry; `None` if the answer is final.
    fn retry_after(&self) -> Option<RetryAfter>;
}

impl ChangeAnswer for ProposeAnswer {
    fn retry_after(&self) -> Option<RetryAfter> {
        match self {
            ProposeAnswer::Unavailable { retry_after } => Some(*retry_after),
            _ => None,
        }
    }
}

impl ChangeAnswer for SubmitAnswer {
    fn retry_after(&self) -> Option<RetryAfter> {
        match self {
            SubmitAnswer::Unavailable { retry_after } => Some(*retry_after),
            _ => None,
        }
    }
}

impl ChangeAnswer for CancelAnswer {
    fn retry_after(&self) -> Option<RetryAfter> {
        match self {
            CancelAnswer::Unavailable { retry_after } => Some(*retry_after),
            _ => None,
        }
    }
}

/// Requests a change from the servers in turn until the answer is final or `wait` has passed.
///
/// An answer may be lost after the change took effect. Retries are safe, since changes carry ids.
pub(crate) fn change<A: DeserializeOwned + ChangeAnswer>(
    servers: &Servers,
    (timeout, wait): (Duration, Duration),
    call: &Call,
) -> Result<A, CliError> {
    let mut retry = Retry::new(Instant::now(), wait);
    let mut addrs = servers.iter().cycle();
    loop {
        let Some(addr) = addrs.next() else { unreachable!("`Servers` holds at least one address") };
        let (last_error, retry_after) = match call.once::<A>(addr, timeout) {
            Ok(answer) => match answer.retry_after() {
                None => return Ok(answer),
                Some(delay) => (format!("{addr}: can't be decided now"), Some(delay)),
            },
            Err(CallError::Refused(error)) => return Err(CliError::Refused(error.error)),
            Err(CallError::Busy(error)) => (format!("{addr}: {error}"), error.retry_after),
            Err(error) => (format!("{addr}: {error}"), None),
        };
        match retry.next(Instant::now(), retry_after) {
            Some(delay) => thread::sleep(delay),
            None => return Err(CliError::Unavailable { last_error, change: true }),
        }
    }
}
