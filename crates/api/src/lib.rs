//! Paths, headers and messages of the daemons' HTTP interface, shared by servers and clients.
//!
//! Calls to the operators' address of a daemon:
//!
//! | call | body | answer |
//! |---|---|---|
//! | `GET /config` | none | 200 [`ConfigView`] |
//! | `POST /config` | [`ProposeConfig`] | [`ProposeAnswer`] |
//! | `POST /jobs` | [`SubmitJob`] | [`SubmitAnswer`] |
//! | `GET /jobs/{id}` | none | [`JobAnswer`] |
//! | `DELETE /jobs/{id}` | none | [`CancelAnswer`] |
//! | `GET /status` | none | 200 [`Status`] |
//! | `GET /state` | none | 200, the process's state dump |
//! | `GET /healthz`, `GET /readyz` | none | 200 or 503, a line of text |
//! | `GET /metrics` | none | 200, OpenMetrics text |
//!
//! Bodies are JSON. An answer with several outcomes names its outcome in the field `result` and maps
//! it to an HTTP status code by `status_code`. A call that reaches no handler, or whose body is
//! invalid, is answered with [`ApiError`].
//!
//! Every call that changes something is idempotent and may be retried: a proposal has an id, and a
//! job's id is chosen by its submitter.

mod config;
mod headers;
mod jobs;
mod paths;
mod status;

pub use crate::{
    config::{ConfigView, ParseProposalIdError, ProposalId, ProposeAnswer, ProposeConfig},
    headers::{DEADLINE_MS, IDEMPOTENCY_KEY, RAN, RETRY_AFTER},
    jobs::{
        CancelAnswer, JobAnswer, JobState, JobStatus, MAX_COMMAND_BYTES, MAX_TASKS_PER_JOB,
        SubmitAnswer, SubmitJob, TaskCounts,
    },
    paths::{
        CALLS_PREFIX, CONFIG, HEALTHZ, JOBS, METRICS, READYZ, STATE, STATUS, job_of_path, job_path,
    },
    status::{ApiError, NodeStatus, Role, Status},
};
