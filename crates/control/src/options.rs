//! Options of the control reducer.

use {
    crate::record::{NodeInfo, Role},
    std::time::Duration,
};

/// Safety checks that tests switch off to show that the checker detects the resulting violations.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Protections {
    /// A successor waits until its predecessor's authority has expired.
    pub await_lease_expiry: bool,
    /// Authority starts when a read is sent, not when its answer arrives.
    pub lease_from_send: bool,
    /// A successor settles only after its own snapshot is durable.
    pub snapshot_before_settle: bool,
    /// A proposal is void unless it names the current version as its base.
    pub base_check: bool,
    /// A version comes into force only if it is higher than the current one.
    pub monotonic_versions: bool,
}

impl Default for Protections {
    fn default() -> Self {
        Protections {
            await_lease_expiry: true,
            lease_from_send: true,
            snapshot_before_settle: true,
            base_check: true,
            monotonic_versions: true,
        }
    }
}

/// Options of one process.
#[derive(Clone, Debug)]
pub struct ControlOptions {
    pub(crate) info: NodeInfo,
    pub(crate) seed: u64,
    pub(crate) retention: Duration,
    pub(crate) protections: Protections,
}

impl ControlOptions {
    /// The defaults for the process `info`; `seed` varies the random choices of different
    /// processes.
    pub fn new(info: NodeInfo, seed: u64) -> Self {
        ControlOptions {
            info,
            seed,
            retention: Duration::from_secs(24 * 3600),
            protections: Protections::default(),
        }
    }

    /// Sets the minimum time that the log keeps a record.
    pub fn retention(mut self, retention: Duration) -> Self {
        self.retention = retention;
        self
    }

    /// Only for tests of the checker.
    #[doc(hidden)]
    pub fn protections(mut self, protections: Protections) -> Self {
        self.protections = protections;
        self
    }

    pub(crate) fn is_scheduler(&self) -> bool {
        self.info.role == Role::Scheduler
    }
}
