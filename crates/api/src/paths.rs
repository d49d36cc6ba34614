//! The paths.

use egretlb_types::{JobId, ParseIdError};

/// The configuration in force, and proposals for another.
pub const CONFIG: &str = "/config";

/// Jobs; one job is at [`job_path`].
pub const JOBS: &str = "/jobs";

/// The process's state dump.
pub const STATE: &str = "/state";

/// All nodes, as the asked one knows them.
pub const STATUS: &str = "/status";

/// Whether the process is alive.
pub const HEALTHZ: &str = "/healthz";

/// Whether the process can serve; the platform's balancer asks this.
pub const READYZ: &str = "/readyz";

/// The metrics.
pub const METRICS: &str = "/metrics";

/// What callers' requests begin with, at an entry's callers' address: `/serve/{class}/{path}`, as
/// the backend servers have it.
pub const CALLS_PREFIX: &str = "/serve/";

/// The path of one job.
pub fn job_path(job: &JobId) -> String {
    format!("{JOBS}/{job}")
}

/// The job that a path names; `None` if it isn't a job's path.
///
/// # Errors
///
/// The path is a job's, but what follows isn't a job id.
pub fn job_of_path(path: &str) -> Option<Result<JobId, ParseIdError>> {
    let id = path.strip_prefix(JOBS)?.strip_prefix('/')?;
    Some(id.parse())
}
