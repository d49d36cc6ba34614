//! What a process is told about itself and its surroundings.

use {
    crate::record::{NodeInfo, Role},
    std::time::Duration,
};

/// Which protections are on. All of them, but in tests which show that the checker notices the
/// harm that each one prevents.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Protections {
    /// A successor waits until its predecessor's authority must have lapsed.
    pub await_lease_expiry: bool,
    /// Authority counts from when the read was sent, not from when its answer came.
    pub lease_from_send: bool,
    /// A successor acts only after its own snapshot is durable.
    pub snapshot_before_settle: bool,
    /// A proposal is void unless it names the current version as its base.
    pub base_check: bool,
    /// A version is put in force only if it is higher than the one in force.
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

/// How a process takes part.
#[derive(Clone, Debug)]
pub struct ControlOptions {
    pub(crate) info: NodeInfo,
    pub(crate) seed: u64,
    pub(crate) retention: Duration,
    pub(crate) protections: Protections,
}

impl ControlOptions {
    /// The defaults for the process `info`; `seed` spreads what different processes do.
    pub fn new(info: NodeInfo, seed: u64) -> Self {
        ControlOptions {
            info,
            seed,
            retention: Duration::from_secs(24 * 3600),
            protections: Protections::default(),
        }
    }

    /// How long the log keeps a record at least.
    pub fn retention(mut self, retention: Duration) -> Self {
        self.retention = retention;
        self
    }

    /// For tests of the checker only.
    #[doc(hidden)]
    pub fn protections(mut self, protections: Protections) -> Self {
        self.protections = protections;
        self
    }

    pub(crate) fn is_scheduler(&self) -> bool {
        self.info.role == Role::Scheduler
    }
}
