//! Requests to a worker's services.

use {
    crate::{
        http::{Call, Reply, wall_clock},
        sync::lock,
        worker::{WorkerEventKind, WorkerState},
    },
    compact_str::CompactString,
    egretlb_types::{
        ClassName, VmId,
        worker::{DECLINED_BUSY, DECLINED_HEADER, DECLINED_LEAVING, DECLINED_NO_SERVICE},
    },
    serde::{Deserialize, Serialize},
    siphasher::sip::SipHasher13,
    std::{hash::Hasher, sync::Mutex, thread, time::Duration},
};

/// Maximum padding of an answer.
const MAX_ANSWER_BYTES: u64 = 16 << 20;

/// Maximum service time of a request.
const MAX_SERVICE_TIME: Duration = Duration::from_secs(600);

/// The answer of a service, from which a caller verifies that it is the whole answer to its
/// request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Served {
    /// The request's id.
    pub id: CompactString,
    /// [`body_hash`] of the request's body.
    pub hash: u64,
    /// The VM that ran the request.
    pub vm: VmId,
    /// Padding of the requested length.
    pub padding: String,
}

/// Returns the hash of a request body.
pub fn body_hash(body: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(body);
    hasher.finish()
}

/// Occupies one of the slots for requests until dropped.
pub(crate) struct SlotGuard<'a>(&'a Mutex<u16>);

impl<'a> SlotGuard<'a> {
    fn acquire(busy: &'a Mutex<u16>, slots: u16) -> Option<Self> {
        let mut count = lock(busy);
        if *count >= slots {
            return None;
        }
        *count += 1;
        drop(count);
        Some(SlotGuard(busy))
    }
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        *lock(self.0) -= 1;
    }
}

/// Answers a request; faults that affect every call are already applied.
pub(crate) fn serve(call: &Call, state: &Mutex<WorkerState>, busy: &Mutex<u16>) -> Reply {
    let class = call.path.strip_prefix("/serve/").and_then(|rest| rest.split('/').next());
    let Some(Ok(class)) = class.map(str::parse::<ClassName>) else {
        return Reply::text(404, "no such path; see /serve/{class}/{path}");
    };
    let (slots, default_time) = {
        let mut state = lock(state);
        if state.faults().leaving || state.faults().refuse {
            return declined(503, DECLINED_LEAVING);
        }
        if !state.serves(wall_clock(), &class) {
            return declined(404, DECLINED_NO_SERVICE);
        }
        (state.settings().slots, state.settings().service_time)
    };
    let Some(_slot) = SlotGuard::acquire(busy, slots) else {
        return declined(503, DECLINED_BUSY);
    };
    let id = CompactString::new(call.header("x-request-id").unwrap_or_default());
    lock(state).record(wall_clock(), WorkerEventKind::RequestBegan { id: id.clone(), class });
    sleep_service_time(call, state, default_time);
    finish(call, state, id)
}

/// Answers that the worker declined the request without running it.
fn declined(status: u16, why: &str) -> Reply {
    let body = why.as_bytes().to_vec();
    let headers = vec![(DECLINED_HEADER, why.to_owned())];
    Reply::Whole { status, media_type: "text/plain", headers, body }
}

fn sleep_service_time(call: &Call, state: &Mutex<WorkerState>, default_time: Duration) {
    let requested_time = call.header("x-service-ms").and_then(|text| text.parse().ok());
    let time = requested_time.map_or(default_time, Duration::from_millis).min(MAX_SERVICE_TIME);
    let slowdown = lock(state).faults().slowdown_permille.max(1_000);
    thread::sleep(time * slowdown / 1_000);
}

fn finish(call: &Call, state: &Mutex<WorkerState>, id: CompactString) -> Reply {
    let mut state = lock(state);
    if state.faults().dead {
        return Reply::Sever;
    }
    state.record(wall_clock(), WorkerEventKind::RequestDone { id: id.clone() });
    if state.faults().fail_requests {
        return Reply::text(500, "failed by a fault");
    }
    let padding = call.header("x-answer-bytes").and_then(|text| text.parse::<u64>().ok());
    let served = Served {
        id: id.clone(),
        hash: body_hash(&call.body),
        vm: state.settings().vm.clone(),
        padding: "x".repeat(padding.unwrap_or(0).min(MAX_ANSWER_BYTES) as usize),
    };
    match Reply::json(&served) {
        Reply::Whole { status, media_type, mut headers, body } => {
            headers.push(("x-request-id", id.to_string()));
            Reply::Whole { status, media_type, headers, body }
        }
        other => other,
    }
}
