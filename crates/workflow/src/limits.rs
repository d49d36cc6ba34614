//! Time limits of leadership, leases and commands, and the policies in force.

use {crate::Policies, std::time::Duration};

/// Time limits, thresholds and policies. Those marked as platform limits come from the platform's settings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Requested lease duration, at most the platform limit. It must outlast a leader change (2 s)
    /// and most store outages; a longer one delays restarts after a worker is lost.
    pub lease: Duration,
    /// The longest lease that a worker grants; longer ones are shortened. Platform limit.
    pub max_lease: Duration,
    /// Maximum percentage by which a worker's clock runs slower than the leader's, so that leases end
    /// later. Platform limit.
    pub clock_slow_percent: u32,
    /// How long after sending its last recorded heartbeat a leader may send commands. Covers store
    /// outages of a few seconds. A new leader waits this long for unreachable workers.
    pub authority: Duration,
    /// Maximum interval between a leader's heartbeats in the store. Four fit into
    /// [`Limits::takeover_after`], so one lost answer doesn't depose a leader.
    pub heartbeat: Duration,
    /// How long a follower that has read to the end of the store waits for a heartbeat before it
    /// takes over. A shorter time would depose a healthy leader when the store is slow (240 ms per
    /// answer).
    pub takeover_after: Duration,
    /// Maximum additional wait of a follower, scaled by its takeover delay, so that one claims
    /// first.
    pub takeover_spread: Duration,
    /// Number of consecutive failed runs on a worker at which the failures are attributed to the
    /// worker instead of the task. Two chance failures in a row are rare (0.25% at a failure rate
    /// of 5%).
    pub worker_fault_threshold: u32,
    /// How long a faulty worker gets no new tasks.
    pub quarantine: Duration,
    /// How long a poll waits on the worker for the next end.
    pub poll_wait: Duration,
    /// Pause between polls of a worker, so that simultaneous ends are read in one call.
    pub poll_gap: Duration,
    /// Time since last contact after which a worker gets no new tasks and no lease renewals, so that
    /// the leases of its runs expire at a known time.
    pub unresponsive_after: Duration,
    /// How long a command may be unanswered before its outcome counts as unconfirmed.
    pub command_timeout: Duration,
    /// How long ends and progress are batched before they are recorded.
    pub record_gap: Duration,
    /// How long the state of an ended workflow is kept: twice as long as the platform requires.
    pub retention: Duration,
    /// Optional scheduling policies.
    pub policies: Policies,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            lease: Duration::from_secs(5),
            max_lease: Duration::from_secs(6),
            clock_slow_percent: 2,
            authority: Duration::from_secs(4),
            heartbeat: Duration::from_millis(250),
            takeover_after: Duration::from_millis(1_200),
            takeover_spread: Duration::from_millis(400),
            worker_fault_threshold: 2,
            quarantine: Duration::from_secs(4),
            poll_wait: Duration::from_millis(1_500),
            poll_gap: Duration::from_millis(25),
            unresponsive_after: Duration::from_millis(1_200),
            command_timeout: Duration::from_millis(500),
            record_gap: Duration::from_millis(20),
            retention: Duration::from_secs(240),
            policies: Policies::default(),
        }
    }
}

impl Limits {
    /// Returns how long after a renewal is sent its runs may continue, on the leader's clock.
    pub fn lease_bound(&self) -> Duration {
        self.lease_bound_for(self.lease)
    }

    /// Like [`Limits::lease_bound`], for a lease of `span`.
    pub fn lease_bound_for(&self, span: Duration) -> Duration {
        span + span * self.clock_slow_percent / 100 + LEASE_MARGIN
    }
}

/// Covers rounding of clocks to milliseconds and the time a worker needs to kill a task.
const LEASE_MARGIN: Duration = Duration::from_millis(100);
