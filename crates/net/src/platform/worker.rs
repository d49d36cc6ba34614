//! HTTP client of a worker, with the messages of [`egretlb_types::worker`].

use {
    crate::http::{CallFailure, HttpAnswer, call, call_json},
    egretlb_types::worker::{
        RenewAnswer, RenewLeases, StartAnswer, StartTask, StopAnswer, StopTask, ThrottleTask,
        WorkerReport,
    },
    oxhttp::model::Method,
    std::{io, time::Duration},
};

/// A healthy worker responds within a few ms; a longer timeout would delay the retry of an
/// unconfirmed start.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of a stop: the worker responds after it has written the checkpoint.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the URL of a worker's endpoint.
pub fn worker_url(addr: &str, path: &str) -> String {
    format!("http://{addr}{path}")
}

/// Client of one worker.
#[derive(Clone, Debug)]
pub struct WorkerClient {
    addr: String,
}

impl WorkerClient {
    /// Creates a client of the worker at `addr`, given as `ip:port`.
    pub fn new(addr: impl Into<String>) -> Self {
        WorkerClient { addr: addr.into() }
    }

    /// Starts a task.
    pub fn start(&self, start: &StartTask) -> Result<StartAnswer, CallFailure> {
        call_json(worker_url(&self.addr, "/tasks"), start, CALL_TIMEOUT)
    }

    /// Renews leases.
    pub fn renew(&self, renew: &RenewLeases) -> Result<RenewAnswer, CallFailure> {
        call_json(worker_url(&self.addr, "/leases"), renew, CALL_TIMEOUT)
    }

    /// Stops a task.
    pub fn stop(&self, stop: &StopTask) -> Result<StopAnswer, CallFailure> {
        call_json(worker_url(&self.addr, "/stop"), stop, STOP_TIMEOUT)
    }

    /// Limits a task's CPU time.
    pub fn throttle(&self, throttle: &ThrottleTask) -> Result<StopAnswer, CallFailure> {
        call_json(worker_url(&self.addr, "/throttle"), throttle, CALL_TIMEOUT)
    }

    /// Reads the worker's report.
    pub fn report(&self) -> Result<WorkerReport, CallFailure> {
        let url = worker_url(&self.addr, "/report");
        let response = call(Method::GET, url, [], Vec::new(), CALL_TIMEOUT)?;
        read_report(&response)
    }
}

fn read_report(response: &HttpAnswer) -> Result<WorkerReport, CallFailure> {
    if response.status.as_u16() != 200 {
        let text = format!("the worker answered with status {}", response.status);
        return Err(CallFailure::NoAnswer(io::Error::other(text)));
    }
    serde_json::from_slice(&response.body)
        .map_err(|e| CallFailure::NoAnswer(io::Error::new(io::ErrorKind::InvalidData, e)))
}
