//! Whether one backend server answers as well as the others.

use {egretlb_types::Time, std::time::Duration};

/// One answer counts as at most this many times the class's mean: a single long request among
/// short ones must not look like a slow server.
const SLOWEST_COUNTED: f64 = 4.0;

/// The weight of one answer.
const WEIGHT: f64 = 1.0 / 8.0;

/// A server this many times slower than its class's mean over some answers is ejected.
const TOO_SLOW: f64 = 2.5;

/// Answers needed before a server is called slow.
const ENOUGH: u32 = 5;

/// So many failures in a row eject a server. One or two happen to any server that restarts.
const FAILURES: u32 = 3;

/// How long the first ejection lasts; each further one doubles it.
const FIRST_OUT: Duration = Duration::from_secs(5);

/// The longest ejection: a server that has recovered is back within a minute.
const LONGEST_OUT: Duration = Duration::from_secs(60);

/// Good probes in a row that bring a server back.
const GOOD_PROBES: u32 = 3;

/// Where a server stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Standing {
    /// It gets requests.
    In,
    /// It gets none until then.
    Out { until: Time },
    /// It gets one idempotent request at a time.
    Probing { good: u32 },
}

/// The recent answers of one server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Health {
    /// Its latency against its classes' means; 1 is as fast as the others.
    pub(super) slowness: f64,
    answers: u32,
    failures: u32,
    ejections: u32,
    pub(super) standing: Standing,
}

impl Health {
    pub(super) fn new() -> Self {
        Health { slowness: 1.0, answers: 0, failures: 0, ejections: 0, standing: Standing::In }
    }

    /// An answer came after `ratio` times the class's mean latency.
    pub(super) fn answered(&mut self, ratio: f64) {
        let ratio = ratio.min(SLOWEST_COUNTED);
        self.slowness += (ratio - self.slowness) * WEIGHT;
        self.answers = self.answers.saturating_add(1);
        self.failures = 0;
        let Standing::Probing { good } = self.standing else { return };
        if ratio >= TOO_SLOW {
            // Seen by `is_bad`, and out again.
            self.slowness = SLOWEST_COUNTED;
        } else if good + 1 >= GOOD_PROBES {
            *self = Health { ejections: self.ejections.saturating_sub(1), ..Health::new() };
        } else {
            self.slowness = 1.0;
            self.standing = Standing::Probing { good: good + 1 };
        }
    }

    /// No whole answer came.
    pub(super) fn failed(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Whether it should be ejected.
    pub(super) fn is_bad(&self) -> bool {
        match self.standing {
            Standing::Out { .. } => false,
            Standing::Probing { .. } => self.failures > 0 || self.slowness > TOO_SLOW,
            Standing::In => {
                self.failures >= FAILURES || (self.answers >= ENOUGH && self.slowness > TOO_SLOW)
            }
        }
    }

    pub(super) fn eject(&mut self, now: Time) -> Time {
        let span = FIRST_OUT * 2_u32.pow(self.ejections.min(8));
        let until = now + span.min(LONGEST_OUT);
        self.ejections = self.ejections.saturating_add(1);
        self.standing = Standing::Out { until };
        until
    }

    pub(super) fn probe(&mut self) {
        self.standing = Standing::Probing { good: 0 };
        self.failures = 0;
        self.slowness = 1.0;
    }
}
