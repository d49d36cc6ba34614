//! How many lines of a kind are written each second.

use {egretlb_types::Time, std::time::Duration};

/// Lines are counted over this span.
const SPAN: Duration = Duration::from_secs(1);

/// A number of lines for each second. What is left out is counted and told afterwards, so that a reader
/// knows that the lines aren't all.
#[derive(Debug)]
pub(super) struct LineBudget {
    kind: &'static str,
    most: u32,
    span_began: Time,
    written: u32,
    left_out: u64,
}

impl LineBudget {
    pub(super) fn new(kind: &'static str, most: u32) -> LineBudget {
        LineBudget { kind, most, span_began: Time::ZERO, written: 0, left_out: 0 }
    }

    /// Whether one more line may be written; otherwise it counts as left out.
    pub(super) fn take(&mut self, now: Time) -> bool {
        self.roll(now);
        if self.written < self.most {
            self.written += 1;
            return true;
        }
        self.left_out += 1;
        false
    }

    /// Counts lines as left out that nobody tried to write.
    pub(super) fn leave_out(&mut self, lines: usize) {
        self.left_out += lines as u64;
    }

    /// Begins the next second if it is time, and tells what the last one left out.
    pub(super) fn roll(&mut self, now: Time) {
        if now.since(self.span_began) < SPAN {
            return;
        }
        self.span_began = now;
        self.written = 0;
        let lines = std::mem::take(&mut self.left_out);
        if lines > 0 {
            log::info!(kind = self.kind, lines; "lines_left_out");
        }
    }
}
