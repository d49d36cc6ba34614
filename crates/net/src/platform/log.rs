//! The log service over HTTP.
//!
//! | call | body | answer |
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

/// How long one call may be silent. A log that is slow isn't down: reads go out once a second and up
/// to four are under way, so one that takes 2 s still carries authority, which counts 3 s from its
/// sending. After that an answer is of no use.
const CALL_LIMIT: Duration = Duration::from_millis(2_500);

/// How much is read at once: a page is held in memory twice.
const PAGE_BYTES: u32 = 1 << 20;

/// Who calls, so that the platform can tell its callers apart.
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

/// A client of the log service, trying its addresses in turn.
#[derive(Clone, Debug)]
pub struct HttpLog {
    addrs: SmallVec<[SocketAddr; 4]>,
    node: HeaderValue,
}

impl HttpLog {
    /// A client in the name of `node`.
    pub fn new(addrs: impl IntoIterator<Item = SocketAddr>, node: NodeId) -> Self {
        HttpLog { addrs: addrs.into_iter().collect(), node: HeaderValue::from(node.0) }
    }

    fn call(&self, method: &Method, path: &str, body: &[u8]) -> Result<HttpAnswer, CallFailure> {
        let mut last = CallFailure::NotSent(std::io::Error::other("no address is set"));
        for addr in &self.addrs {
            let url = format!("http://{addr}{path}");
            let headers = [(NODE_HEADER, self.node.clone())];
            match call(method.clone(), url, headers, body.to_vec(), CALL_LIMIT) {
                // Only what certainly didn't arrive may go to the next address.
                Err(failure @ CallFailure::NotSent(_)) => last = failure,
                answered => return answered,
            }
        }
        Err(last)
    }
}

impl LogService for HttpLog {
    fn append(&self, stream: &StreamName, record: &[u8]) -> AppendOutcome {
        match self.call(&Method::POST, &format!("/streams/{stream}"), record) {
            Ok(answer) => append_outcome(&answer),
            Err(CallFailure::NotSent(_)) => {
                AppendOutcome::NotAppended(NotAppendedReason::Unreachable)
            }
            Err(_) => AppendOutcome::Unknown,
        }
    }

    fn read(&self, stream: &StreamName, from: Offset) -> ReadOutcome {
        let path = format!("/streams/{stream}?from={from}&max_bytes={PAGE_BYTES}");
        match self.call(&Method::GET, &path, &[]) {
            Ok(answer) => read_outcome(&answer),
            Err(_) => ReadOutcome::Unavailable,
        }
    }
}

fn append_outcome(answer: &HttpAnswer) -> AppendOutcome {
    match answer.status.as_u16() {
        200 => match serde_json::from_slice::<Appended>(&answer.body) {
            Ok(appended) => AppendOutcome::Appended(Offset(appended.offset)),
            Err(_) => AppendOutcome::Unknown,
        },
        413 => AppendOutcome::NotAppended(NotAppendedReason::TooLarge),
        400..=499 => AppendOutcome::NotAppended(NotAppendedReason::Refused),
        // A server's error may come after the append took effect.
        _ => AppendOutcome::Unknown,
    }
}

fn read_outcome(answer: &HttpAnswer) -> ReadOutcome {
    match answer.status.as_u16() {
        200 => match postcard::from_bytes::<Page>(&answer.body) {
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
        410 => match serde_json::from_slice::<Gone>(&answer.body) {
            Ok(gone) => ReadOutcome::Gone { oldest: Offset(gone.oldest) },
            Err(_) => ReadOutcome::Unavailable,
        },
        _ => ReadOutcome::Unavailable,
    }
}
