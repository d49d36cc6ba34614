//! How many lines of a kind are written.

use {egretlb_types::Time, std::time::Duration};

/// How often it is told what was left out.
const TOLD_EVERY: Duration = Duration::from_secs(1);

/// Lines that may be written: so many at once, and so many each second in the long run. What is left out is
/// counted and told afterwards, so that a reader knows that the lines aren't all.
#[derive(Debug)]
pub(in crate::scheduler) struct LineBudget {
    kind: &'static str,
    burst: u32,
    per_second: u32,
    /// Thousandths of lines that may be written now.
    left: u64,
    filled_at: Time,
    left_out: u64,
    told_at: Time,
}

impl LineBudget {
    pub(in crate::scheduler) fn new(kind: &'static str, burst: u32, per_second: u32) -> LineBudget {
        LineBudget {
            kind,
            burst,
            per_second,
            left: u64::from(burst) * 1_000,
            filled_at: Time::ZERO,
            left_out: 0,
            told_at: Time::ZERO,
        }
    }

    /// Whether one more line may be written with `spare` left for others; otherwise it counts as left out.
    pub(in crate::scheduler) fn take(&mut self, now: Time, spare: u32) -> bool {
        self.fill(now);
        if self.left >= u64::from(spare + 1) * 1_000 {
            self.left -= 1_000;
            return true;
        }
        self.left_out += 1;
        false
    }

    fn fill(&mut self, now: Time) {
        let span = now.since(self.filled_at);
        let more = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        // Below a millisecond the rest would be lost each time.
        if more == 0 {
            return;
        }
        self.filled_at = now;
        let more = more.saturating_mul(u64::from(self.per_second));
        self.left = self.left.saturating_add(more).min(u64::from(self.burst) * 1_000);
    }

    /// Tells what was left out, if it is time.
    pub(in crate::scheduler) fn log_suppressed(&mut self, now: Time) {
        if self.left_out == 0 || now.since(self.told_at) < TOLD_EVERY {
            return;
        }
        self.told_at = now;
        let lines = std::mem::take(&mut self.left_out);
        log::info!(kind = self.kind, lines; "lines_left_out");
    }
}
