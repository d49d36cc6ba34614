//! Limits of the next read of a topic, adapted to the bandwidth that reads get.
//!
//! A process that lags behind asks for as much as fits into a read. If its link or the store can't transfer that before
//! the read times out, the next one asks for the same again, and the process never catches up.

use std::time::Duration;

/// Maximum size of the response to a read, in KB.
const MAX_READ_KB: u32 = 512;

/// Smallest limit for the response to a read, in KB.
const MIN_READ_KB: u32 = 32;

/// How much the limit grows after a read that was answered, in KB.
const READ_KB_STEP: u32 = 32;

/// Timeout of a page of the newest records after a page that arrived.
const MIN_PAGE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum timeout of a page. Its size can't be limited, and it may be 1 MB.
const MAX_PAGE_TIMEOUT: Duration = Duration::from_secs(6);

/// The limits of the next read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadLimits {
    /// Maximum size of the response to a read, in KB.
    pub max_kb: u32,
    /// Timeout of a page of the newest records.
    pub page_timeout: Duration,
}

impl Default for ReadLimits {
    fn default() -> ReadLimits {
        ReadLimits { max_kb: MAX_READ_KB, page_timeout: MIN_PAGE_TIMEOUT }
    }
}

impl ReadLimits {
    /// Notes that a read was answered: the next one may be larger.
    pub fn on_read(&mut self) {
        self.max_kb = (self.max_kb + READ_KB_STEP).min(MAX_READ_KB);
    }

    /// Notes that a read failed or timed out: the next one is smaller. After the smallest one comes the largest, since a
    /// single record may exceed the limit.
    pub fn on_read_failed(&mut self) {
        self.max_kb = if self.max_kb > MIN_READ_KB { self.max_kb / 2 } else { MAX_READ_KB };
    }

    /// Notes that a page arrived.
    pub fn on_page(&mut self) {
        self.page_timeout = MIN_PAGE_TIMEOUT;
    }

    /// Notes that a page failed or timed out: the next one gets more time.
    pub fn on_page_failed(&mut self) {
        self.page_timeout = (self.page_timeout * 2).min(MAX_PAGE_TIMEOUT);
    }
}
