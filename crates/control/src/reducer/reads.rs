//! Reads of the control stream and their freshness.

use {
    egretlb_types::Time,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    smallvec::SmallVec,
    std::time::Duration,
};

/// How long authority lasts after a read that reached the end was sent.
pub(crate) const LEASE: Duration = Duration::from_secs(3);

/// Time between two reads. Two consecutive reads may fail before authority expires, and a new
/// configuration is seen within 3 s.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of reads in flight. Allows a log that takes seconds to answer without losing
/// authority.
const MAX_READS_IN_FLIGHT: usize = 4;

/// A read without an answer after this long no longer counts as in flight.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Clone, Debug)]
pub(crate) struct Reads {
    rng: SmallRng,
    in_flight: SmallVec<[Time; MAX_READS_IN_FLIGHT]>,
    next_at: Time,
    last_complete_read: Option<Time>,
    fresh_since: Option<Time>,
    started: Option<Time>,
}

impl Reads {
    pub(crate) fn new(seed: u64) -> Self {
        Reads {
            rng: SmallRng::seed_from_u64(seed),
            in_flight: SmallVec::new(),
            next_at: Time::ZERO,
            last_complete_read: None,
            fresh_since: None,
            started: None,
        }
    }

    /// Whether to send a read now. The interval is up to a tenth shorter, as jitter.
    pub(crate) fn due(&mut self, now: Time) -> bool {
        self.started.get_or_insert(now);
        self.in_flight.retain(|sent| now < *sent + READ_TIMEOUT);
        if now < self.next_at || self.in_flight.len() == MAX_READS_IN_FLIGHT {
            return false;
        }
        self.in_flight.push(now);
        self.next_at = now + READ_INTERVAL.mul_f64(self.rng.random_range(0.9..1.0));
        true
    }

    /// Makes a read due at once.
    pub(crate) fn make_due(&mut self) {
        self.next_at = Time::ZERO;
    }

    pub(crate) fn answered(&mut self, sent: Time) {
        if let Some(at) = self.in_flight.iter().position(|other| *other <= sent) {
            self.in_flight.remove(at);
        }
    }

    /// A read that reached the end gives authority from `lease_start`. Returns `true` if this
    /// process had no fresh read before.
    pub(crate) fn reached_end(&mut self, now: Time, lease_start: Time) -> bool {
        let was_fresh = self.has_fresh_read(now);
        self.last_complete_read = self.last_complete_read.max(Some(lease_start));
        let became_fresh = !was_fresh && self.has_fresh_read(now);
        if became_fresh {
            self.fresh_since = Some(now);
        }
        became_fresh
    }

    /// When the last read that reached the end was sent.
    pub(crate) fn last_complete_read(&self) -> Option<Time> {
        self.last_complete_read
    }

    /// Whether a read that reached the end was sent less than [`LEASE`] ago.
    pub(crate) fn has_fresh_read(&self, now: Time) -> bool {
        self.last_complete_read.is_some_and(|sent| now < sent + LEASE)
    }

    /// How long this process has had a fresh read without interruption; zero if it has none.
    pub(crate) fn fresh_for(&self, now: Time) -> Duration {
        if !self.has_fresh_read(now) {
            return Duration::ZERO;
        }
        self.fresh_since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Time since the last read that reached the end was sent, or since the start of the process.
    pub(crate) fn time_since_complete_read(&self, now: Time) -> Duration {
        self.last_complete_read.or(self.started).map_or(Duration::ZERO, |at| now.since(at))
    }
}
