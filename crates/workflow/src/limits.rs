//! Spans of time that the decisions rest on.

use std::time::Duration;

/// Spans of leadership, leases and calls. The platform's own bounds come from its settings; the
/// others are chosen here.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// The lease that is asked for, at most the platform's bound. It must outlast the change of a leader (2 s) and most of a pause of
    /// the store; a longer one delays the restart of what ran on a worker that was lost.
    pub lease: Duration,
    /// Leases are counted on the worker's clock, which may be this much slow, in percent. The
    /// platform's bound.
    pub clock_slow_percent: u32,
    /// A leader whose last recorded sign of life was sent longer ago gives no more orders. It covers a
    /// pause of the store of some seconds; a successor waits for this long for workers that it can't
    /// reach, so a longer one delays those.
    pub authority: Duration,
    /// A leader leaves a sign of life in the store at least this often; four fit into
    /// [`Limits::takeover_after`], so one lost answer deposes nobody.
    pub heartbeat: Duration,
    /// A follower that has read the store's end for this long without a sign of life takes over. Below
    /// it, a slow store (240 ms an answer) would depose a leader that is well.
    pub takeover_after: Duration,
    /// Followers wait up to this much longer, each by its own share, so that one claims first.
    pub takeover_spread: Duration,
    /// A start with fewer failed runs in a row at its worker than this is taken for the task's own
    /// fault. Two chance failures in a row at one worker are rare (0.25% at a fault rate of 5%).
    pub worker_fault_threshold: u32,
    /// How long a worker that fails what it starts gets nothing new.
    pub quarantine: Duration,
    /// How long a poll waits at a worker for the next end.
    pub poll_wait: Duration,
    /// The pause between an answered poll and the next at the same worker, so that ends that come
    /// together are read by one call.
    pub poll_gap: Duration,
    /// A worker silent for longer gets no new work, and no order extends its leases, so that the time
    /// at which all that runs there must have lapsed is settled.
    pub unresponsive_after: Duration,
    /// An order without an answer for this long is in doubt.
    pub command_timeout: Duration,
    /// Ends and states are gathered for this long before they are recorded.
    pub record_gap: Duration,
    /// How long the state of an ended workflow is kept. Twice the platform's bound for states.
    pub retention: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            lease: Duration::from_secs(5),
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
        }
    }
}

impl Limits {
    /// How long from the sending of a renewal all that it covers may go on at the worker, counted on
    /// our clock.
    pub fn lease_bound(&self) -> Duration {
        self.lease_bound_for(self.lease)
    }

    /// The same for a lease of `span`.
    pub fn lease_bound_for(&self, span: Duration) -> Duration {
        span + span * self.clock_slow_percent / 100 + LEASE_MARGIN
    }
}

/// Covers the rounding of clocks to milliseconds and the kill at the worker.
const LEASE_MARGIN: Duration = Duration::from_millis(100);
