//! Retry budgets.

/// Tokens that one request adds, in hundredths: retries are at most 10% of the requests.
const DEPOSIT: u32 = 10;
/// Tokens that one retry takes, in hundredths.
const PRICE: u32 = 100;
/// Most tokens held, in hundredths, so that a quiet time doesn't save up for a burst of retries.
const MAX_TOKENS: u32 = 2_000;
/// Tokens at the start, in hundredths, so that a service with few requests has some retries.
const INITIAL: u32 = 1_000;

/// Token bucket that limits the retries of one service to a share of its requests.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    tokens: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: INITIAL }
    }
}

impl RetryBudget {
    /// Counts a request that is not a retry.
    pub(crate) fn deposit(&mut self) {
        self.tokens = (self.tokens + DEPOSIT).min(MAX_TOKENS);
    }

    /// Takes the price of one retry and tells whether it was there.
    pub(crate) const fn withdraw(&mut self) -> bool {
        let paid = self.tokens >= PRICE;
        if paid {
            self.tokens -= PRICE;
        }
        paid
    }
}
