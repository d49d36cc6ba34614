//! Health of one backend server compared with the others.

use {egretlb_types::Time, std::time::Duration};

/// Maximum counted latency of one answer, as a multiple of the class mean: a single long request
/// doesn't eject a server.
const MAX_LATENCY_RATIO: f64 = 4.0;

/// Weight of one answer in the average.
const SLOWNESS_WEIGHT: f64 = 1.0 / 8.0;

/// A server with more than this multiple of the mean latency is ejected.
const EJECTION_SLOWNESS: f64 = 2.5;

/// Minimum number of answers before a server is ejected as slow.
const MIN_ANSWERS: u32 = 5;

/// Consecutive failures that eject a server; a restart may cause one or two.
const EJECTION_FAILURES: u32 = 3;

/// Duration of the first ejection; each further one doubles it.
const FIRST_EJECTION: Duration = Duration::from_secs(5);

/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(60);

/// Consecutive good probes that end the probing.
const REQUIRED_PROBES: u32 = 3;

/// Whether a server receives requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum HealthState {
    /// It receives requests.
    Active,
    /// It receives none until this time.
    Ejected { until: Time },
    /// It receives one idempotent request at a time.
    Probing { successes: u32 },
}

/// Recent results of one server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Health {
    /// Average latency relative to the class means; 1 is as fast as the others.
    pub(super) slowness: f64,
    answers: u32,
    failures: u32,
    ejections: u32,
    pub(super) state: HealthState,
}

impl Health {
    pub(super) fn new() -> Self {
        Health { slowness: 1.0, answers: 0, failures: 0, ejections: 0, state: HealthState::Active }
    }

    /// Records an answer that took `ratio` times the class's mean latency.
    pub(super) fn record_answer(&mut self, ratio: f64) {
        let ratio = ratio.min(MAX_LATENCY_RATIO);
        self.slowness += (ratio - self.slowness) * SLOWNESS_WEIGHT;
        self.answers = self.answers.saturating_add(1);
        self.failures = 0;
        let HealthState::Probing { successes } = self.state else { return };
        if ratio >= EJECTION_SLOWNESS {
            // Makes `should_eject` return true.
            self.slowness = MAX_LATENCY_RATIO;
        } else if successes + 1 >= REQUIRED_PROBES {
            *self = Health { ejections: self.ejections.saturating_sub(1), ..Health::new() };
        } else {
            self.slowness = 1.0;
            self.state = HealthState::Probing { successes: successes + 1 };
        }
    }

    /// Records an attempt without a complete answer.
    pub(super) fn record_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Whether the server should be ejected.
    pub(super) fn should_eject(&self) -> bool {
        match self.state {
            HealthState::Ejected { .. } => false,
            HealthState::Probing { .. } => self.failures > 0 || self.slowness > EJECTION_SLOWNESS,
            HealthState::Active => {
                self.failures >= EJECTION_FAILURES
                    || (self.answers >= MIN_ANSWERS && self.slowness > EJECTION_SLOWNESS)
            }
        }
    }

    /// Ejects the server and returns until when.
    pub(super) fn eject(&mut self, now: Time) -> Time {
        let span = FIRST_EJECTION * 2_u32.pow(self.ejections.min(8));
        let until = now + span.min(MAX_EJECTION);
        self.ejections = self.ejections.saturating_add(1);
        self.state = HealthState::Ejected { until };
        until
    }

    pub(super) fn start_probing(&mut self) {
        self.state = HealthState::Probing { successes: 0 };
        self.failures = 0;
        self.slowness = 1.0;
    }
}
