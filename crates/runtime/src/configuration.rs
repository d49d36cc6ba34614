//! The operator's configuration, and until when it is known to be the newest.
//!
//! A process that can't read the operator's topic doesn't notice a change. Its configuration then neither shows that a
//! route doesn't exist nor that one still does.

use {
    egretlb_types::Time,
    egretlb_workflow::{Route, RouteMatch, RouteTable, UnreadableRoute},
    std::time::Duration,
};

/// Age from which a configuration counts as outdated. A change must be in force 2 s after its acknowledgement, and
/// answered reads follow each other within 1.4 s even if the store is slow.
pub const MAX_CONFIGURATION_AGE: Duration = Duration::from_millis(1_800);

/// Why a request has no route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoRoute {
    /// The configuration has none for it.
    Absent,
    /// No configuration has been read, or there may be a newer one, or the newest one or this route couldn't be read.
    Unknown,
}

/// The newest configuration that was read.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    routes: Option<RouteTable>,
    /// All versions published before are known.
    complete_until: Option<Time>,
    /// The newest one couldn't be read; the one before it stays in force.
    newest_unreadable: bool,
}

impl Configuration {
    /// Puts routes in force, and returns whether they are newer than those before.
    pub fn apply(&mut self, mut table: RouteTable) -> bool {
        self.newest_unreadable = false;
        if self.version().is_some_and(|current| current >= table.version) {
            return false;
        }
        if let Some(earlier) = &self.routes {
            table.adopt_terms(earlier);
        }
        self.routes = Some(table);
        true
    }

    /// Notes that the newest configuration couldn't be read.
    pub fn set_newest_unreadable(&mut self) {
        self.newest_unreadable = true;
    }

    /// Notes that all versions published before `until` are known.
    pub fn set_complete_until(&mut self, until: Time) {
        self.complete_until = self.complete_until.max(Some(until));
    }

    /// The routes in force that couldn't be read.
    pub fn unreadable_routes(&self) -> &[UnreadableRoute] {
        self.routes.as_ref().map_or(&[], |table| &table.unreadable)
    }

    /// Version in force; `None` before the first.
    pub fn version(&self) -> Option<u64> {
        self.routes.as_ref().map(|table| table.version)
    }

    /// Time since the configuration was last known to be the newest; `None` before the first read.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.complete_until.map(|until| now.since(until))
    }

    /// Whether this is known to be the configuration that has to be in force.
    pub fn is_current(&self, now: Time) -> bool {
        self.routes.is_some() && self.age(now).is_some_and(|age| age < MAX_CONFIGURATION_AGE)
    }

    /// Whether a route sends work to the service.
    pub fn names_service(&self, service: &str) -> bool {
        let mut routes = self.routes.iter().flat_map(|table| &table.routes);
        routes.any(|route| route.service == service)
    }

    /// Finds the route of a request. If the configuration is outdated, the route may have been removed.
    ///
    /// # Errors
    ///
    /// The error tells whether it is known that there is none.
    pub fn find(&self, now: Time, host: &str, path: &str) -> Result<&Route, NoRoute> {
        let complete = self.is_current(now) && !self.newest_unreadable;
        match self.routes.as_ref().map_or(RouteMatch::Absent, |table| table.find(host, path)) {
            RouteMatch::Found(route) => Ok(route),
            RouteMatch::Absent if complete => Err(NoRoute::Absent),
            RouteMatch::Absent | RouteMatch::Unreadable => Err(NoRoute::Unknown),
        }
    }
}
