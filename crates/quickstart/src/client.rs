//! HTTP calls to callers' and operators' addresses.

use {
    crate::error::QuickstartError,
    egretlb_api::{IDEMPOTENCY_KEY, RAN, RETRY_AFTER},
    egretlb_net::http::{HttpAnswer, call},
    egretlb_standins::worker::Served,
    oxhttp::model::{HeaderName, HeaderValue, Method},
    serde::{Serialize, de::DeserializeOwned},
    std::{
        net::SocketAddr,
        thread,
        time::{Duration, Instant},
    },
};

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum time to wait for a condition; generous for busy machines.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);

/// Interval between polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The answer to a caller's request.
#[derive(Debug)]
pub(crate) struct RequestOutcome {
    pub(crate) status: u16,
    /// Value of the header `Egretlb-Ran`.
    pub(crate) ran: String,
    pub(crate) retry_after: Option<String>,
    /// The service's answer, if the body is one.
    pub(crate) served: Option<Served>,
    pub(crate) elapsed: Duration,
}

/// Sends a request to an entry.
pub(crate) fn request(
    entry: SocketAddr,
    class: &str,
    id: &str,
    key: Option<&str>,
) -> Result<RequestOutcome, QuickstartError> {
    let start = Instant::now();
    let id = Some(("x-request-id", id));
    let key = key.map(|key| (IDEMPOTENCY_KEY, key));
    let headers = id.into_iter().chain(key).filter_map(|(name, value)| {
        Some((HeaderName::from_static(name), HeaderValue::from_str(value).ok()?))
    });
    let url = format!("http://{entry}/serve/{class}/plot-17");
    let answer = call(Method::POST, url, headers, b"a polygon".to_vec(), CALL_TIMEOUT)?;
    Ok(RequestOutcome {
        status: answer.status.as_u16(),
        ran: header(&answer, RAN).unwrap_or_default(),
        retry_after: header(&answer, RETRY_AFTER),
        served: serde_json::from_slice(&answer.body).ok(),
        elapsed: start.elapsed(),
    })
}

fn header(answer: &HttpAnswer, name: &str) -> Option<String> {
    answer.headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
}

/// Requests JSON from an operators' address.
pub(crate) fn get<T: DeserializeOwned>(
    operators: SocketAddr,
    path: &str,
) -> Result<T, QuickstartError> {
    let url = format!("http://{operators}{path}");
    let answer = call(Method::GET, url, [], Vec::new(), CALL_TIMEOUT)?;
    Ok(serde_json::from_slice(&answer.body)?)
}

/// Posts JSON to an operators' address.
pub(crate) fn post<T: DeserializeOwned>(
    operators: SocketAddr,
    path: &str,
    message: &impl Serialize,
) -> Result<T, QuickstartError> {
    let url = format!("http://{operators}{path}");
    let answer = call(Method::POST, url, [], serde_json::to_vec(message)?, CALL_TIMEOUT)?;
    Ok(serde_json::from_slice(&answer.body)?)
}

/// Polls until there is a value; failed calls are repeated.
pub(crate) fn wait<T>(
    what: &'static str,
    mut poll: impl FnMut() -> Result<Option<T>, QuickstartError>,
) -> Result<T, QuickstartError> {
    let start = Instant::now();
    while start.elapsed() < WAIT_TIMEOUT {
        if let Ok(Some(answer)) = poll() {
            return Ok(answer);
        }
        thread::sleep(POLL_INTERVAL);
    }
    Err(QuickstartError::TimedOut { what })
}
