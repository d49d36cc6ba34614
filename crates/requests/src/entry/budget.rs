//! How much may be sent a second time.

/// What each first sending adds: a little under a tenth, so that retries and hedges together, with
/// the tokens that a class begins with, stay under a tenth of the load whatever fails. Three blind retries would quadruple the load of servers that are
/// failing because of load.
const EARNED: f64 = 0.09;

/// The most that is saved up: a class that was quiet for long may not flood a failing server.
const MOST: f64 = 10.0;

/// What a class begins with: its first requests may meet a dead server.
const AT_FIRST: f64 = 3.0;

/// What hedges leave for retries: a retry saves a request that a hedge only speeds up.
const KEPT_FOR_RETRIES: f64 = 2.0;

/// Tokens for second sendings of one class.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    pub(super) fn new() -> Self {
        RetryBudget { tokens: AT_FIRST }
    }

    pub(super) fn earn(&mut self) {
        self.tokens = (self.tokens + EARNED).min(MOST);
    }

    /// Takes a token for a retry if there is one.
    pub(super) fn spend(&mut self) -> bool {
        self.spend_above(0.0)
    }

    /// Takes a token for a hedge if enough are left for retries.
    pub(super) fn spend_on_hedge(&mut self) -> bool {
        self.spend_above(KEPT_FOR_RETRIES)
    }

    fn spend_above(&mut self, kept: f64) -> bool {
        let enough = self.tokens >= kept + 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
