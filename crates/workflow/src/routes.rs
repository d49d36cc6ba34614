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
    pub priority: u64,
    /// Number of failed runs of one task after which the workflow fails.
    pub max_attempts: u32,
    /// Target duration of a workflow as a multiple of its critical path, in thousandths.
    pub stretch_permille: u32,
    /// Additional time in the target duration, in milliseconds.
    pub slack_ms: u32,
    /// Set if a policy restricts which workers may run a step.
    pub advice: Option<AdviceTerms>,
}

/// A queue of which some terms can't be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnreadableRoute {
    /// The queue's name.
    pub name: CompactString,
    /// Host name that requests must have.
    pub host: CompactString,
    /// Path prefix that requests must have.
    pub prefix: CompactString,
    /// The service whose workers run the tasks.
    pub service: CompactString,
    /// Why it can't be read.
    pub detail: CompactString,
}

impl UnreadableRoute {
    /// Returns the queue with the terms that an earlier version gave it, if that version has it.
    fn with_terms_of(&self, earlier: &RouteTable) -> Option<Route> {
        let is_same = |route: &&Route| {
            (&route.name, &route.host, &route.prefix) == (&self.name, &self.host, &self.prefix)
        };
        let route = earlier.routes.iter().find(is_same)?;
        Some(Route { service: self.service.clone(), ..route.clone() })
    }
}

/// Which queue a request is for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RouteMatch<'a> {
    /// This one.
    Found(&'a Route),
    /// One whose terms aren't known.
    Unreadable,
    /// None.
    Absent,
}

/// The queues in one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// Version number, which only increases.
    pub version: u64,
    /// All queues, apart from the unreadable ones.
    pub routes: Vec<Route>,
    /// The queues of which some terms can't be read.
    pub unreadable: Vec<UnreadableRoute>,
}

impl RouteTable {
    /// Returns the queue for a request: the one for its host with the longest matching path prefix.
    /// The host's port and case are ignored.
    pub fn find(&self, host: &str, path: &str) -> RouteMatch<'_> {
        let host = host.split(':').next().unwrap_or(host);
        let matches = |route_host: &str, prefix: &str| {
            route_host.eq_ignore_ascii_case(host) && path.starts_with(prefix)
        };
        let found = self.routes.iter().filter(|route| matches(&route.host, &route.prefix));
        let found = found.max_by_key(|route| route.prefix.len());
        let found_length = found.map_or(0, |route| route.prefix.len());
        let shadows = |route: &UnreadableRoute| {
            matches(&route.host, &route.prefix) && route.prefix.len() >= found_length
        };
        match found {
            _ if self.unreadable.iter().any(shadows) => RouteMatch::Unreadable,
            Some(route) => RouteMatch::Found(route),
            None => RouteMatch::Absent,
        }
    }

    /// Completes unreadable queues that an earlier version has, too: they go on with its terms.
    pub fn adopt_terms(&mut self, earlier: &RouteTable) {
        let routes = &mut self.routes;
        self.unreadable.retain(|unreadable| {
            let known = unreadable.with_terms_of(earlier);
            let is_unknown = known.is_none();
            routes.extend(known);
            is_unknown
        });
    }
}
