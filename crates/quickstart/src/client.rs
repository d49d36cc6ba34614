//! Calls as a caller and as an operator makes them.

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

/// How long one call may take.
const CALL_LIMIT: Duration = Duration::from_secs(15);

/// How long anything is waited for. Everything here takes seconds; this is for a busy machine.
const PATIENCE: Duration = Duration::from_secs(90);

/// Time between two questions.
const ASK_EVERY: Duration = Duration::from_millis(50);

/// What a caller got.
#[derive(Debug)]
pub(crate) struct Answered {
    pub(crate) status: u16,
    /// What `Egretlb-Ran` says.
    pub(crate) ran: String,
    pub(crate) retry_after: Option<String>,
    /// The service's answer, if it is one.
    pub(crate) served: Option<Served>,
    pub(crate) took: Duration,
}

/// Sends a request to an entry.
pub(crate) fn request(
    entry: SocketAddr,
    class: &str,
    id: &str,
    key: Option<&str>,
) -> Result<Answered, QuickstartError> {
    let start = Instant::now();
    let id = Some(("x-request-id", id));
    let key = key.map(|key| (IDEMPOTENCY_KEY, key));
    let headers = id.into_iter().chain(key).filter_map(|(name, value)| {
        Some((HeaderName::from_static(name), HeaderValue::from_str(value).ok()?))
    });
    let url = format!("http://{entry}/serve/{class}/plot-17");
    let answer = call(Method::POST, url, headers, b"a polygon".to_vec(), CALL_LIMIT)?;
    Ok(Answered {
        status: answer.status.as_u16(),
        ran: header(&answer, RAN).unwrap_or_default(),
        retry_after: header(&answer, RETRY_AFTER),
        served: serde_json::from_slice(&answer.body).ok(),
        took: start.elapsed(),
    })
}

fn header(answer: &HttpAnswer, name: &str) -> Option<String> {
    answer.headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
}

/// Reads JSON from an operators' address.
pub(crate) fn get<T: DeserializeOwned>(
    operators: SocketAddr,
    path: &str,
) -> Result<T, QuickstartError> {
    let url = format!("http://{operators}{path}");
    let answer = call(Method::GET, url, [], Vec::new(), CALL_LIMIT)?;
    Ok(serde_json::from_slice(&answer.body)?)
}

/// Posts JSON to an operators' address.
pub(crate) fn post<T: DeserializeOwned>(
    operators: SocketAddr,
    path: &str,
    message: &impl Serialize,
) -> Result<T, QuickstartError> {
    let url = format!("http://{operators}{path}");
    let answer = call(Method::POST, url, [], serde_json::to_vec(message)?, CALL_LIMIT)?;
    Ok(serde_json::from_slice(&answer.body)?)
}

/// Asks until there is an answer; calls that fail are made again.
pub(crate) fn wait<T>(
    what: &'static str,
    mut ask: impl FnMut() -> Result<Option<T>, QuickstartError>,
) -> Result<T, QuickstartError> {
    let start = Instant::now();
    while start.elapsed() < PATIENCE {
        if let Ok(Some(answer)) = ask() {
            return Ok(answer);
        }
        thread::sleep(ASK_EVERY);
    }
    Err(QuickstartError::TooLate { what })
}
