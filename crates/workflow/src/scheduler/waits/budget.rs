//! Rate limit for log lines.

use {egretlb_types::Time, std::time::Duration};

/// Minimum interval between lines that report how many lines were suppressed.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// A token bucket of log lines. Suppressed lines are counted and reported afterwards, so that a
/// reader knows that lines are missing.
#[derive(Debug)]
pub(in crate::scheduler) struct LineBudget {
    kind: &'static str,
    burst: u32,
    per_second: u32,
    /// Tokens, in thousandths of a line.
    milli_tokens: u64,
    refilled_at: Time,
    suppressed: u64,
    reported_at: Time,
}

impl LineBudget {
    pub(in crate::scheduler) fn new(kind: &'static str, burst: u32, per_second: u32) -> LineBudget {
        LineBudget {
            kind,
            burst,
            per_second,
            milli_tokens: u64::from(burst) * 1_000,
            refilled_at: Time::ZERO,
            suppressed: 0,
            reported_at: Time::ZERO,
        }
    }

    /// Takes a token for one line if `reserve` tokens stay for others; otherwise the line counts as
    /// suppressed.
    pub(in crate::scheduler) fn take(&mut self, now: Time, reserve: u32) -> bool {
        self.refill(now);
        if self.milli_tokens >= u64::from(reserve + 1) * 1_000 {
            self.milli_tokens -= 1_000;
            return true;
        }
        self.suppressed += 1;
        false
    }

    fn refill(&mut self, now: Time) {
        let span = now.since(self.refilled_at);
        let added = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        // Keeps `refilled_at`, so that fractions of a millisecond add up.
        if added == 0 {
            return;
        }
        self.refilled_at = now;
        let added = added.saturating_mul(u64::from(self.per_second));
        self.milli_tokens =
            self.milli_tokens.saturating_add(added).min(u64::from(self.burst) * 1_000);
    }

    /// Logs the number of suppressed lines, at most once per interval.
    pub(in crate::scheduler) fn log_suppressed(&mut self, now: Time) {
        if self.suppressed == 0 || now.since(self.reported_at) < REPORT_INTERVAL {
            return;
        }
        self.reported_at = now;
        let lines = std::mem::take(&mut self.suppressed);
        log::info!(kind = self.kind, lines; "lines_left_out");
    }
}
