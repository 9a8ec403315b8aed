//! A budget for retries.

/// Share of requests that may be tried again, as requests for each retry.
const REQUESTS_PER_RETRY: u32 = 10;
/// Retries that may be saved up.
const SAVED_MAX: u32 = 10;

/// Retries that are allowed, earned by requests, so that a failing member does not multiply the load.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    credit: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            credit: SAVED_MAX * REQUESTS_PER_RETRY,
        }
    }
}

impl RetryBudget {
    /// Counts a request that was admitted.
    pub fn earn(&mut self) {
        self.credit = (self.credit + 1).min(SAVED_MAX * REQUESTS_PER_RETRY);
    }

    /// Takes a retry from the budget; returns whether there was one.
    pub fn spend(&mut self) -> bool {
        let rest = self.credit.checked_sub(REQUESTS_PER_RETRY);
        self.credit = rest.unwrap_or(self.credit);
        rest.is_some()
    }
}
