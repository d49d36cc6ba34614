//! How many starts may be under way at once.
//!
//! Load: a leader decides faster than its link, its processor or its workers carry out. What it decides beyond that
//! stands in queues that it can't take back from: with 350 workers and an eighth of a core, copies of tasks were
//! started 3 s after those tasks were done. What isn't decided yet waits in the leader's queue, in its order.

use {egretlb_types::Time, std::time::Duration};

/// As many starts may be under way as were answered within this long, so a start waits no longer than this to be
/// carried out.
const SPAN: Duration = Duration::from_millis(250);

/// So many may always be: enough for a burst of a few hundred starts a second to begin with, and for a tenth of
/// 500 workers to leave one each unanswered.
const LEAST: usize = 64;

/// The most: those of a quarter of a second at 4,000 starts a second.
const MOST: usize = 1_024;

/// The starts that are decided and not answered, and how many there may be.
#[derive(Debug)]
pub struct StartWindow {
    under_way: usize,
    limit: usize,
    counted_since: Time,
    answered: usize,
}

impl StartWindow {
    /// No start is under way.
    pub fn new(now: Time) -> StartWindow {
        StartWindow { under_way: 0, limit: LEAST, counted_since: now, answered: 0 }
    }

    /// Whether another start may be decided.
    pub fn is_open(&self) -> bool {
        self.under_way < self.limit
    }

    /// A start was decided.
    pub fn on_decided(&mut self) {
        self.under_way += 1;
    }

    /// A start is over and done with; `answered` if its worker said anything.
    pub fn on_settled(&mut self, now: Time, answered: bool) {
        self.under_way = self.under_way.saturating_sub(1);
        self.answered += usize::from(answered);
        self.update_limit(now);
    }

    /// Follows how many were answered lately.
    pub fn update_limit(&mut self, now: Time) {
        let elapsed = now.since(self.counted_since);
        if elapsed < SPAN {
            return;
        }
        let in_span = self.answered as f64 * SPAN.as_secs_f64() / elapsed.as_secs_f64();
        // The cast holds at both ends of the range.
        self.limit = (in_span as usize).clamp(LEAST, MOST);
        (self.counted_since, self.answered) = (now, 0);
    }
}
