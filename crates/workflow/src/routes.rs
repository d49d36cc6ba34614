//! The queues of the active configuration, and which of them a request is for.

use {
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
};

/// Duration and validity of a decision of the policy service, which allows some of the candidate
/// workers to run a step and issues a ticket for each.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct AdviceTerms {
    /// Fixed duration of a decision, in milliseconds.
    pub decision_ms: u32,
    /// Additional duration per candidate worker, in milliseconds.
    pub per_worker_ms: u32,
    /// How long a ticket is valid, in milliseconds.
    pub validity_ms: u32,
}

/// A queue of workflows.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The queue's name.
    pub name: CompactString,
    /// Host name that requests must have.
    pub host: CompactString,
    /// Path prefix that requests must have.
    pub prefix: CompactString,
    /// The service whose workers run the tasks.
    pub service: CompactString,
    /// Priority; 0 is most urgent.
    pub priority: u8,
    /// Number of failed runs of one task after which the workflow fails.
    pub max_attempts: u32,
    /// Target duration of a workflow as a multiple of its critical path, in thousandths.
    pub stretch_permille: u32,
    /// Additional time in the target duration, in milliseconds.
    pub slack_ms: u32,
    /// Set if a policy restricts which workers may run a step.
    pub advice: Option<AdviceTerms>,
}

/// The queues in one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// Version number, which only increases.
    pub version: u64,
    /// All queues.
    pub routes: Vec<Route>,
}

impl RouteTable {
    /// Returns the queue for a request: the one for its host with the longest matching path prefix.
    /// The host's port and case are ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or(host);
        let matches = |route: &&Route| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(route.prefix.as_str())
        };
        self.routes.iter().filter(matches).max_by_key(|route| route.prefix.len())
    }
}
