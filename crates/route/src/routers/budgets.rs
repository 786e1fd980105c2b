//! Retry budgets, which keep retries from multiplying the load of a failing service.

/// Tokens that one request adds, in hundredths. It limits retries to 10% of the requests.
const REQUEST_DEPOSIT: u32 = 10;
/// Tokens that one retry costs, in hundredths.
const RETRY_PRICE: u32 = 100;
/// Capacity of the bucket, in hundredths, so that a quiet period doesn't allow a long burst of
/// retries later.
const MAX_TOKENS: u32 = 2_000;
/// Tokens at the start, in hundredths, so that a service with few requests can retry as well.
const INITIAL_TOKENS: u32 = 1_000;

/// Token bucket that limits the retries of one service to a share of its requests.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    tokens: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tokens: INITIAL_TOKENS,
        }
    }
}

impl RetryBudget {
    /// Counts a request that is not a retry.
    pub(crate) fn deposit(&mut self) {
        self.tokens = (self.tokens + REQUEST_DEPOSIT).min(MAX_TOKENS);
    }

    /// Pays for one retry. Returns whether there were enough tokens.
    pub(crate) const fn withdraw(&mut self) -> bool {
        let is_covered = self.tokens >= RETRY_PRICE;
        if is_covered {
            self.tokens -= RETRY_PRICE;
        }
        is_covered
    }
}
