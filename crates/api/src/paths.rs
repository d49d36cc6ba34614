//! Paths of the HTTP interface.

use egretlb_types::{JobId, ParseIdError};

/// Reads the configuration in force, and proposes another.
pub const CONFIG: &str = "/config";

/// Jobs; one job is at [`job_path`].
pub const JOBS: &str = "/jobs";

/// State dump of the process.
pub const STATE: &str = "/state";

/// All nodes known to the queried one.
pub const STATUS: &str = "/status";

/// Liveness check.
pub const HEALTHZ: &str = "/healthz";

/// Readiness check, used by the platform's load balancer.
pub const READYZ: &str = "/readyz";

/// Metrics as OpenMetrics text.
pub const METRICS: &str = "/metrics";

/// Path prefix of callers' requests to an entry: `/serve/{class}/{path}`, where `path` is the backend
/// server's.
pub const CALLS_PREFIX: &str = "/serve/";

/// Returns the path of a job.
pub fn job_path(job: &JobId) -> String {
    format!("{JOBS}/{job}")
}

/// Parses the job id in a path; `None` if it isn't the path of a job.
///
/// # Errors
///
/// Returns an error if the part after [`JOBS`] isn't a job id.
pub fn job_of_path(path: &str) -> Option<Result<JobId, ParseIdError>> {
    let id = path.strip_prefix(JOBS)?.strip_prefix('/')?;
    Some(id.parse())
}
