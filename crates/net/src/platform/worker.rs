//! A worker's interface over HTTP, with the messages of [`egretlb_types::worker`].

use {
    crate::http::{CallFailure, HttpAnswer, call, call_json},
    egretlb_types::worker::{
        RenewAnswer, RenewLeases, StartAnswer, StartTask, StopAnswer, StopTask, ThrottleTask,
        WorkerReport,
    },
    oxhttp::model::Method,
    std::{io, time::Duration},
};

/// How long one call may take. A worker that is up answers within a few ms; a longer limit would
/// hold a start in doubt for longer than it takes to ask again.
const CALL_LIMIT: Duration = Duration::from_secs(2);

/// How long a stop with a checkpoint may take: the worker answers after the checkpoint is written.
const STOP_LIMIT: Duration = Duration::from_secs(30);

/// The address of a call at a worker.
pub fn worker_url(addr: &str, path: &str) -> String {
    format!("http://{addr}{path}")
}

/// Calls one worker.
#[derive(Clone, Debug)]
pub struct WorkerClient {
    addr: String,
}

impl WorkerClient {
    /// A client of the worker at `addr`, written as `ip:port`.
    pub fn new(addr: impl Into<String>) -> Self {
        WorkerClient { addr: addr.into() }
    }

    /// Starts a task.
    pub fn start(&self, start: &StartTask) -> Result<StartAnswer, CallFailure> {
        call_json(worker_url(&self.addr, "/tasks"), start, CALL_LIMIT)
    }

    /// Renews leases.
    pub fn renew(&self, renew: &RenewLeases) -> Result<RenewAnswer, CallFailure> {
        call_json(worker_url(&self.addr, "/leases"), renew, CALL_LIMIT)
    }

    /// Stops a task.
    pub fn stop(&self, stop: &StopTask) -> Result<StopAnswer, CallFailure> {
        call_json(worker_url(&self.addr, "/stop"), stop, STOP_LIMIT)
    }

    /// Limits a task's processor time.
    pub fn throttle(&self, throttle: &ThrottleTask) -> Result<StopAnswer, CallFailure> {
        call_json(worker_url(&self.addr, "/throttle"), throttle, CALL_LIMIT)
    }

    /// Reads the worker's report.
    pub fn report(&self) -> Result<WorkerReport, CallFailure> {
        let url = worker_url(&self.addr, "/report");
        let answer = call(Method::GET, url, [], Vec::new(), CALL_LIMIT)?;
        read_report(&answer)
    }
}

fn read_report(answer: &HttpAnswer) -> Result<WorkerReport, CallFailure> {
    if answer.status.as_u16() != 200 {
        let text = format!("the worker answered with status {}", answer.status);
        return Err(CallFailure::NoAnswer(io::Error::other(text)));
    }
    serde_json::from_slice(&answer.body)
        .map_err(|e| CallFailure::NoAnswer(io::Error::new(io::ErrorKind::InvalidData, e)))
}
