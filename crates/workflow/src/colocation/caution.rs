//! How far what is believed of fillers is relied on, by how long they wait.

use {egretlb_types::Time, std::time::Duration};

/// What fillers are known to take counts so many times while none of them waits: what an image takes
/// changes threefold within seconds, and it can run elsewhere.
const MAX_CAUTION: f32 = 5.0;

/// And so many times once fillers have waited for [`LONG_WAIT`]: less keeps serving tasks over their target for
/// longer, more leaves batches without a worker.
const MIN_CAUTION: f32 = 1.6;

/// Fillers have a second and as long as they run to spare; this much of it may be spent waiting.
const LONG_WAIT: Duration = Duration::from_millis(700);

/// How fast the factor grows again once fillers don't wait, each second.
const CAUTION_GROWTH: f32 = 1.0;

/// How many times over the pressure of fillers is counted: often while none of them waits, hardly otherwise.
#[derive(Debug)]
pub(super) struct Caution {
    factor: f32,
    at: Time,
}

impl Caution {
    pub(super) fn new(now: Time) -> Caution {
        Caution { factor: MAX_CAUTION, at: now }
    }

    pub(super) fn factor(&self) -> f32 {
        self.factor
    }

    /// Takes in how long fillers have waited for a worker, the longest of them.
    pub(super) fn adapt(&mut self, now: Time, longest: Duration) {
        let waited = (longest.as_secs_f32() / LONG_WAIT.as_secs_f32()).min(1.0);
        let wanted = MAX_CAUTION - (MAX_CAUTION - MIN_CAUTION) * waited;
        let grown = self.factor + CAUTION_GROWTH * now.since(self.at).as_secs_f32();
        self.at = now;
        self.factor = wanted.min(grown);
    }
}
