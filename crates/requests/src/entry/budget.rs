//! How much may be sent a second time.

/// What each first sending adds: a tenth, so that retries and hedges together stay under a tenth
/// of the load whatever fails. Three blind retries would quadruple the load of servers that are
/// failing because of load.
const EARNED: f64 = 0.1;

/// The most that is saved up: a class that was quiet for long may not flood a failing server.
const MOST: f64 = 10.0;

/// Tokens for second sendings of one class.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// One token to begin with: the first request of a quiet class may meet a dead server.
    pub(super) fn new() -> Self {
        RetryBudget { tokens: 1.0 }
    }

    pub(super) fn earn(&mut self) {
        self.tokens = (self.tokens + EARNED).min(MOST);
    }

    /// Takes a token if there is one.
    pub(super) fn spend(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
