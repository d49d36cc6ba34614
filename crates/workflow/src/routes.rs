//! The configuration in force: which requests go to which queue.

use {
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
};

/// What it costs to be told which workers may run a step, where a policy allows only some.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct AdviceTerms {
    /// How long an answer takes, in milliseconds.
    pub decision_ms: u32,
    /// How much longer for each worker that is asked about, in milliseconds.
    pub per_worker_ms: u32,
    /// How long a ticket is valid, in milliseconds.
    pub validity_ms: u32,
}

/// A queue of workflows.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The queue's name.
    pub name: CompactString,
    /// The host that clients name.
    pub host: CompactString,
    /// What the path begins with.
    pub prefix: CompactString,
    /// The service whose workers run the tasks.
    pub service: CompactString,
    /// Urgency: 0 comes first.
    pub priority: u8,
    /// After so many failed runs of one task the workflow has failed.
    pub max_attempts: u32,
    /// A workflow should take at most this many times its longest chain, in thousandths.
    pub stretch_permille: u32,
    /// And this much more, in milliseconds.
    pub slack_ms: u32,
    /// Set if a policy allows only some workers to run a step.
    pub advice: Option<AdviceTerms>,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// The version; versions only grow.
    pub version: u64,
    /// All queues.
    pub routes: Vec<Route>,
}

impl RouteTable {
    /// The queue of a request: of those for its host, the one with the longest prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or(host);
        let fits = |route: &&Route| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(route.prefix.as_str())
        };
        self.routes.iter().filter(fits).max_by_key(|route| route.prefix.len())
    }
}
