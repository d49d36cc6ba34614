//! Requests to the services that run at a worker.

use {
    crate::{
        http::{Call, Reply, wall_clock},
        sync::lock,
        worker::{What, WorkerState},
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

/// The longest answer that a request may ask for, in bytes.
const ANSWER_MAX_BYTES: u64 = 16 << 20;

/// The longest service time that a request may ask for.
const SERVICE_MAX: Duration = Duration::from_secs(600);

/// What a service answers. A caller can tell from it whether the answer is its own and whole.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Served {
    /// The request's id.
    pub id: CompactString,
    /// [`body_hash`] of the request's body.
    pub hash: u64,
    /// Where it ran.
    pub vm: VmId,
    /// As many letters as the request asked for.
    pub padding: String,
}

/// The hash of a request's body that its answer carries.
pub fn body_hash(body: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(body);
    hasher.finish()
}

/// Counts the requests in progress; the count falls however the request ends.
pub(crate) struct Busy<'a>(&'a Mutex<u16>);

impl<'a> Busy<'a> {
    fn enter(busy: &'a Mutex<u16>, slots: u16) -> Option<Self> {
        let mut count = lock(busy);
        if *count >= slots {
            return None;
        }
        *count += 1;
        drop(count);
        Some(Busy(busy))
    }
}

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        *lock(self.0) -= 1;
    }
}

/// Answers one request. The caller of this has looked at the faults that hit every call.
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
    let Some(_busy) = Busy::enter(busy, slots) else {
        return declined(503, DECLINED_BUSY);
    };
    let id = CompactString::new(call.header("x-request-id").unwrap_or_default());
    lock(state).record(wall_clock(), What::RequestBegan { id: id.clone(), class });
    work(call, state, default_time);
    finish(call, state, id)
}

/// An answer of the worker itself: the request wasn't handed on.
fn declined(status: u16, why: &str) -> Reply {
    let body = why.as_bytes().to_vec();
    let headers = vec![(DECLINED_HEADER, why.to_owned())];
    Reply::Whole { status, media_type: "text/plain", headers, body }
}

fn work(call: &Call, state: &Mutex<WorkerState>, default_time: Duration) {
    let asked = call.header("x-service-ms").and_then(|text| text.parse().ok());
    let time = asked.map_or(default_time, Duration::from_millis).min(SERVICE_MAX);
    let slowdown = lock(state).faults().slowdown_permille.max(1_000);
    thread::sleep(time * slowdown / 1_000);
}

fn finish(call: &Call, state: &Mutex<WorkerState>, id: CompactString) -> Reply {
    let mut state = lock(state);
    if state.faults().dead {
        return Reply::Sever;
    }
    state.record(wall_clock(), What::RequestDone { id: id.clone() });
    if state.faults().fail_requests {
        return Reply::text(500, "failed by a fault");
    }
    let padding = call.header("x-answer-bytes").and_then(|text| text.parse::<u64>().ok());
    let served = Served {
        id: id.clone(),
        hash: body_hash(&call.body),
        vm: state.settings().vm.clone(),
        padding: "x".repeat(padding.unwrap_or(0).min(ANSWER_MAX_BYTES) as usize),
    };
    match Reply::json(&served) {
        Reply::Whole { status, media_type, mut headers, body } => {
            headers.push(("x-request-id", id.to_string()));
            Reply::Whole { status, media_type, headers, body }
        }
        other => other,
    }
}
