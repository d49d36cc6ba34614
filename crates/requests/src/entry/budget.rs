//! Token bucket that limits retries and hedges.

/// Tokens added by each first attempt. Together with [`INITIAL_TOKENS`] it keeps retries and hedges
/// below a tenth of the load, so that they can't amplify an overload.
const TOKENS_PER_REQUEST: f64 = 0.09;

/// Capacity of the bucket: limits the burst of retries after a quiet time.
const MAX_TOKENS: f64 = 10.0;

/// Tokens at the start, since a class's first requests may meet a dead server.
const INITIAL_TOKENS: f64 = 3.0;

/// Tokens that hedges leave for retries.
const RESERVED_FOR_RETRIES: f64 = 2.0;

/// Tokens for the retries and hedges of one class.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    pub(super) fn new() -> Self {
        RetryBudget { tokens: INITIAL_TOKENS }
    }

    pub(super) fn earn(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Takes a token for a retry; returns whether there was one.
    pub(super) fn spend(&mut self) -> bool {
        self.spend_above_reserve(0.0)
    }

    /// Takes a token for a hedge; returns whether enough were left for retries.
    pub(super) fn spend_on_hedge(&mut self) -> bool {
        self.spend_above_reserve(RESERVED_FOR_RETRIES)
    }

    fn spend_above_reserve(&mut self, reserve: f64) -> bool {
        let available = self.tokens >= reserve + 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }
}
