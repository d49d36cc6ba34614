//! The HTTP interface of the daemons, shared by those who serve it and those who call it.
//!
//! The operators' address of a daemon answers:
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
//! Bodies are JSON. An answer of several outcomes says which in its field `result`, and with the
//! status code of its method `status_code`, so that a script may go by either. A call that reaches
//! no handler, or whose body can't be read, is answered by [`ApiError`].
//!
//! Every call that changes something may be sent again when its answer was lost: a proposal has an
//! id, and a job is named by its submitter.

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
