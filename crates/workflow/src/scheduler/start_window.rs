//! Limits the number of starts under way.
//!
//! A leader decides faster than its link, its CPU or its workers execute. Starts beyond that would wait in queues
//! that can't be revoked, and could run seconds after their task is done. The tasks of further starts stay in the
//! leader's queue instead, in its order.

use {egretlb_types::Time, std::time::Duration};

/// The limit is the number of starts answered within this span. So a start waits about this long, at most, to be
/// executed.
const RATE_SPAN: Duration = Duration::from_millis(250);

/// Lower bound of the limit: allows an initial burst of a few hundred starts a second, and a few unanswered starts.
const MIN_STARTS: usize = 64;

/// Upper bound of the limit, reached at 4,000 starts a second.
const MAX_STARTS: usize = 1_024;

/// Counts unanswered starts and limits their number.
#[derive(Debug)]
pub struct StartWindow {
    under_way: usize,
    limit: usize,
    counted_since: Time,
    answered: usize,
}

impl StartWindow {
    /// Creates a window without starts under way.
    pub fn new(now: Time) -> StartWindow {
        StartWindow { under_way: 0, limit: MIN_STARTS, counted_since: now, answered: 0 }
    }

    /// Whether another start may be decided.
    pub fn is_open(&self) -> bool {
        self.under_way < self.limit
    }

    /// Records a decided start.
    pub fn on_decided(&mut self) {
        self.under_way += 1;
    }

    /// Records that a start is no longer under way; `answered` if the worker replied.
    pub fn on_settled(&mut self, now: Time, answered: bool) {
        self.under_way = self.under_way.saturating_sub(1);
        self.answered += usize::from(answered);
        self.update_limit(now);
    }

    /// Adapts the limit to the recent rate of answers.
    pub fn update_limit(&mut self, now: Time) {
        let elapsed = now.since(self.counted_since);
        if elapsed < RATE_SPAN {
            return;
        }
        let answered_in_span =
            self.answered as f64 * RATE_SPAN.as_secs_f64() / elapsed.as_secs_f64();
        // A cast to usize saturates.
        self.limit = (answered_in_span as usize).clamp(MIN_STARTS, MAX_STARTS);
        (self.counted_since, self.answered) = (now, 0);
    }
}
