//! When the control stream is read, and how fresh what was read is.

use {
    egretlb_types::Time,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    smallvec::SmallVec,
    std::time::Duration,
};

/// How long authority lasts after the sending of a read that reached the end.
pub(crate) const LEASE: Duration = Duration::from_secs(3);

/// How often the stream is read: two reads in a row may fail before authority lapses, and a
/// change of configuration is seen within the 3 s that it has.
const READ_EVERY: Duration = Duration::from_secs(1);

/// Reads under way at once. A log that takes 2 s to answer would otherwise let authority lapse
/// between the reads, although it answers every one of them.
const READS_AT_ONCE: usize = 4;

/// A read without an answer after this long is forgotten.
const GIVE_UP_AFTER: Duration = Duration::from_secs(5);

#[derive(Clone, Debug)]
pub(crate) struct Reads {
    rng: SmallRng,
    under_way: SmallVec<[Time; READS_AT_ONCE]>,
    next_at: Time,
    fresh: Option<Time>,
    in_touch_since: Option<Time>,
    started: Option<Time>,
}

impl Reads {
    pub(crate) fn new(seed: u64) -> Self {
        Reads {
            rng: SmallRng::seed_from_u64(seed),
            under_way: SmallVec::new(),
            next_at: Time::ZERO,
            fresh: None,
            in_touch_since: None,
            started: None,
        }
    }

    /// Whether to send a read now. At most a tenth early, so that processes spread out.
    pub(crate) fn due(&mut self, now: Time) -> bool {
        self.started.get_or_insert(now);
        self.under_way.retain(|sent| now < *sent + GIVE_UP_AFTER);
        if now < self.next_at || self.under_way.len() == READS_AT_ONCE {
            return false;
        }
        self.under_way.push(now);
        self.next_at = now + READ_EVERY.mul_f64(self.rng.random_range(0.9..1.0));
        true
    }

    /// Something is worth reading now.
    pub(crate) fn hurry(&mut self) {
        self.next_at = Time::ZERO;
    }

    pub(crate) fn answered(&mut self, sent: Time) {
        if let Some(at) = self.under_way.iter().position(|of| *of <= sent) {
            self.under_way.remove(at);
        }
    }

    /// A read that was sent at `counted` reached the end. `true` if this process was out of touch.
    pub(crate) fn reached_end(&mut self, now: Time, counted: Time) -> bool {
        let was_in_touch = self.has_fresh_read(now);
        self.fresh = self.fresh.max(Some(counted));
        let returned = !was_in_touch && self.has_fresh_read(now);
        if returned {
            self.in_touch_since = Some(now);
        }
        returned
    }

    /// The sending of the last read that reached the end.
    pub(crate) fn fresh(&self) -> Option<Time> {
        self.fresh
    }

    /// Whether a read that reached the end was sent less than [`LEASE`] ago.
    pub(crate) fn has_fresh_read(&self, now: Time) -> bool {
        self.fresh.is_some_and(|sent| now < sent + LEASE)
    }

    /// How long this process has been in touch without a break; zero if it isn't.
    pub(crate) fn in_touch_for(&self, now: Time) -> Duration {
        if !self.has_fresh_read(now) {
            return Duration::ZERO;
        }
        self.in_touch_since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// How long the stream's end hasn't been reached, from the start of the process on.
    pub(crate) fn out_of_touch_for(&self, now: Time) -> Duration {
        self.fresh.or(self.started).map_or(Duration::ZERO, |at| now.since(at))
    }
}
