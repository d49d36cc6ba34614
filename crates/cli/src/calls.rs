//! Calls to the daemons' operators' addresses.

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

/// Why one call brought no answer of use.
#[derive(Debug)]
enum Miss {
    /// No whole answer.
    Failed(CallFailure),
    /// The answer isn't what the interface says; perhaps something else listens there.
    NotOurs(CompactString),
    /// The daemon can't do it now.
    Busy(ApiError),
    /// The daemon won't do it, now or later.
    Refused(ApiError),
}

impl fmt::Display for Miss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Miss::Failed(failure) => write!(f, "{failure}"),
            Miss::NotOurs(found) => {
                write!(f, "{found}; is this the operators' address of an egretlb daemon?")
            }
            Miss::Busy(error) | Miss::Refused(error) => write!(f, "{error}"),
        }
    }
}

/// One call that may be made several times.
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
        let body = serde_json::to_vec(message)
            .map_err(|e| CliError::Refused(format_compact!("it can't be written as JSON: {e}")))?;
        Ok(Call::new(Method::POST, path, body))
    }

    fn new(method: Method, path: impl AsRef<str>, body: Vec<u8>) -> Self {
        Call { method, path: CompactString::new(path), body }
    }

    fn once<A: DeserializeOwned>(&self, addr: SocketAddr, timeout: Duration) -> Result<A, Miss> {
        let url = format!("http://{addr}{}", self.path);
        let json = (CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let headers = (!self.body.is_empty()).then_some(json);
        debug!(method:% = self.method, url:% = url; "call");
        let answer = call(self.method.clone(), &url, headers, self.body.clone(), timeout);
        match &answer {
            Ok(answer) => debug!(url:% = url, status = answer.status.as_u16(); "answer"),
            Err(failure) => debug!(url:% = url, error:% = failure; "no_answer"),
        }
        read_answer(&answer.map_err(Miss::Failed)?)
    }
}

/// Reads the answer as its type, whatever its status: the types tell the outcomes apart. What isn't
/// of the type is an error message, or not from one of our daemons.
fn read_answer<A: DeserializeOwned>(answer: &HttpAnswer) -> Result<A, Miss> {
    let status = answer.status;
    if !status.is_success()
        && let Ok(error) = serde_json::from_slice::<ApiError>(&answer.body)
    {
        return Err(if is_final(status) { Miss::Refused(error) } else { Miss::Busy(error) });
    }
    if let Ok(message) = serde_json::from_slice(&answer.body) {
        return Ok(message);
    }
    if status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS {
        let error = format_compact!("the daemon answers {status}");
        return Err(Miss::Busy(ApiError { error, retry_after: told(answer) }));
    }
    let body = String::from_utf8_lossy(&answer.body);
    let start: String = body.chars().filter(|c| !c.is_control()).take(60).collect();
    Err(Miss::NotOurs(format_compact!("status {status}, {start:?}")))
}

/// Whether asking again can't help.
fn is_final(status: StatusCode) -> bool {
    status.is_client_error()
        && status != StatusCode::REQUEST_TIMEOUT
        && status != StatusCode::TOO_MANY_REQUESTS
}

fn told(answer: &HttpAnswer) -> Option<RetryAfter> {
    let secs: u64 = answer.headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    Some(RetryAfter::from_wait(Duration::from_secs(secs)))
}

/// Asks the servers in turn, each once: for calls that only read.
pub(crate) fn ask<A: DeserializeOwned>(
    servers: &Servers,
    timeout: Duration,
    call: &Call,
) -> Result<A, CliError> {
    let mut last = String::new();
    for addr in servers.iter() {
        match call.once(addr, timeout) {
            Ok(answer) => return Ok(answer),
            Err(Miss::Refused(error)) => return Err(CliError::Refused(error.error)),
            Err(miss) => last = format!("{addr}: {miss}"),
        }
    }
    Err(CliError::Unavailable { last, change: false })
}

/// An answer to a change, which may be that it can't be decided now.
pub(crate) trait Decided {
    /// When to ask again; `None` if it is decided.
    fn undecided(&self) -> Option<RetryAfter>;
}

impl Decided for ProposeAnswer {
    fn undecided(&self) -> Option<RetryAfter> {
        match self {
            ProposeAnswer::Unavailable { retry_after } => Some(*retry_after),
            _ => None,
        }
    }
}

impl Decided for SubmitAnswer {
    fn undecided(&self) -> Option<RetryAfter> {
        match self {
            SubmitAnswer::Unavailable { retry_after } => Some(*retry_after),
            _ => None,
        }
    }
}

impl Decided for CancelAnswer {
    fn undecided(&self) -> Option<RetryAfter> {
        match self {
            CancelAnswer::Unavailable { retry_after } => Some(*retry_after),
            _ => None,
        }
    }
}

/// Asks for a change until it is decided, turning from server to server.
///
/// An answer may be lost after the change took effect, and a daemon that got it may die. Asking
/// again is safe, since every change has a name of its own; not asking again would leave the
/// operator with a job of which nobody knows whether it runs.
pub(crate) fn change<A: DeserializeOwned + Decided>(
    servers: &Servers,
    (timeout, wait): (Duration, Duration),
    call: &Call,
) -> Result<A, CliError> {
    let mut retry = Retry::new(Instant::now(), wait);
    let mut addrs = servers.iter().cycle();
    loop {
        let Some(addr) = addrs.next() else { unreachable!("a command names a server") };
        let (last, told) = match call.once::<A>(addr, timeout) {
            Ok(answer) => match answer.undecided() {
                None => return Ok(answer),
                Some(told) => (format!("{addr}: it can't be decided now"), Some(told)),
            },
            Err(Miss::Refused(error)) => return Err(CliError::Refused(error.error)),
            Err(Miss::Busy(error)) => (format!("{addr}: {error}"), error.retry_after),
            Err(miss) => (format!("{addr}: {miss}"), None),
        };
        match retry.next(Instant::now(), told) {
            Some(pause) => thread::sleep(pause),
            None => return Err(CliError::Unavailable { last, change: true }),
        }
    }
}
