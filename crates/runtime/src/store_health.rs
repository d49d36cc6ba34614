//! Whether a client's record is worth sending to the store.
//!
//! A silent store answers neither appends nor reads. A record that is queued then would be settled only after its
//! client's deadline. If it wasn't sent, it is rejected instead, and the client may come back in time.

use {egretlb_types::Time, std::time::Duration};

/// Age of an unanswered append from which the records queued behind it are rejected. A slow store takes 0.5 s.
pub const STUCK_AFTER: Duration = Duration::from_millis(1_000);

/// Time without an answered read after which the store counts as silent. A leader's heartbeats end each read within
/// 250 ms; without a leader, a read is answered after 0.6 s, and a slow store adds up to 0.4 s.
pub const SILENT_AFTER: Duration = Duration::from_millis(1_200);

/// The last calls of a process to the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreHealth {
    /// Start of the append in progress.
    pub append_started: Option<Time>,
    /// When a read was last answered; `None` before the first.
    pub read_answered: Option<Time>,
}

impl StoreHealth {
    /// Whether the append in progress is overdue: the records queued behind it are rejected.
    pub fn is_stuck(&self, now: Time) -> bool {
        self.append_started.is_some_and(|since| now.since(since) >= STUCK_AFTER)
    }

    /// Whether another record may be queued.
    pub fn accepts_records(&self, now: Time) -> bool {
        let silent = self.read_answered.is_some_and(|at| now.since(at) >= SILENT_AFTER);
        !silent && !self.is_stuck(now)
    }
}
