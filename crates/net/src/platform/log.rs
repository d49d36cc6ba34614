//! The log service over HTTP.
//!
//! | call | body | response |
//! |---|---|---|
//! | `POST /streams/{name}` | the record | 200 `{"offset":N}`; 429 above the rate; 413 if too large |
//! | `GET /streams/{name}?from=N&max_bytes=M` | none | 200 a page in `postcard`; 410 `{"oldest":N}` |

use {
    crate::http::{CallFailure, HttpAnswer, call},
    egretlb_log::{AppendOutcome, LogService, NotAppendedReason, ReadOutcome, Record, StreamName},
    egretlb_types::{NodeId, Offset},
    oxhttp::model::{HeaderName, HeaderValue, Method},
    serde::Deserialize,
    smallvec::SmallVec,
    std::{net::SocketAddr, time::Duration},
};

/// Less than the 3 s of authority that a read gives, counted from its sending: a later response is
/// of no use.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Requested page size.
const PAGE_BYTES: u32 = 1 << 20;

/// Header that identifies the calling node.
const NODE_HEADER: HeaderName = HeaderName::from_static("egretlb-node");

#[derive(Deserialize)]
struct Appended {
    offset: u64,
}

#[derive(Deserialize)]
struct Gone {
    oldest: u64,
}

#[derive(Deserialize)]
struct Page {
    records: Vec<PageRecord>,
    next: u64,
    end: bool,
}

#[derive(Deserialize)]
struct PageRecord {
    offset: u64,
    data: Vec<u8>,
}

/// Client of the log service; tries its addresses in turn.
#[derive(Clone, Debug)]
pub struct HttpLog {
    addrs: SmallVec<[SocketAddr; 4]>,
    node: HeaderValue,
}

impl HttpLog {
    /// Creates a client that identifies itself as `node`.
    pub fn new(addrs: impl IntoIterator<Item = SocketAddr>, node: NodeId) -> Self {
        HttpLog { addrs: addrs.into_iter().collect(), node: HeaderValue::from(node.0) }
    }

    fn call(&self, method: &Method, path: &str, body: &[u8]) -> Result<HttpAnswer, CallFailure> {
        let mut last_failure = CallFailure::NotSent(std::io::Error::other("no address is set"));
        for addr in &self.addrs {
            let url = format!("http://{addr}{path}");
            let headers = [(NODE_HEADER, self.node.clone())];
            match call(method.clone(), url, headers, body.to_vec(), CALL_TIMEOUT) {
                // Only an unsent request may go to the next address.
                Err(failure @ CallFailure::NotSent(_)) => last_failure = failure,
                result => return result,
            }
        }
        Err(last_failure)
    }
}

impl LogService for HttpLog {
    fn append(&self, stream: &StreamName, record: &[u8]) -> AppendOutcome {
        match self.call(&Method::POST, &format!("/streams/{stream}"), record) {
            Ok(response) => append_outcome(&response),
            Err(CallFailure::NotSent(_)) => {
                AppendOutcome::NotAppended(NotAppendedReason::Unreachable)
            }
            Err(_) => AppendOutcome::Unknown,
        }
    }

    fn read(&self, stream: &StreamName, from: Offset) -> ReadOutcome {
        let path = format!("/streams/{stream}?from={from}&max_bytes={PAGE_BYTES}");
        match self.call(&Method::GET, &path, &[]) {
            Ok(response) => read_outcome(&response),
            Err(_) => ReadOutcome::Unavailable,
        }
    }
}

fn append_outcome(response: &HttpAnswer) -> AppendOutcome {
    match response.status.as_u16() {
        200 => match serde_json::from_slice::<Appended>(&response.body) {
            Ok(appended) => AppendOutcome::Appended(Offset(appended.offset)),
            Err(_) => AppendOutcome::Unknown,
        },
        413 => AppendOutcome::NotAppended(NotAppendedReason::TooLarge),
        400..=499 => AppendOutcome::NotAppended(NotAppendedReason::Refused),
        // A server error may follow an append that took effect.
        _ => AppendOutcome::Unknown,
    }
}

fn read_outcome(response: &HttpAnswer) -> ReadOutcome {
    match response.status.as_u16() {
        200 => match postcard::from_bytes::<Page>(&response.body) {
            Ok(page) => ReadOutcome::Page {
                records: page
                    .records
                    .into_iter()
                    .map(|r| Record { offset: Offset(r.offset), bytes: r.data })
                    .collect(),
                next: Offset(page.next),
                end: page.end,
            },
            Err(_) => ReadOutcome::Unavailable,
        },
        410 => match serde_json::from_slice::<Gone>(&response.body) {
            Ok(gone) => ReadOutcome::Gone { oldest: Offset(gone.oldest) },
            Err(_) => ReadOutcome::Unavailable,
        },
        _ => ReadOutcome::Unavailable,
    }
}
