//! The budget for retries.

/// Number of admitted requests that earn one retry.
const REQUESTS_PER_RETRY: u32 = 10;
/// Maximum number of retries that the budget can hold.
const RETRIES_MAX: u32 = 10;

/// A budget of retries that admitted requests earn. It keeps retries from multiplying the load when a member
/// fails.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Credit in admitted requests; [`REQUESTS_PER_RETRY`] of them pay for one retry.
    credit: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            credit: RETRIES_MAX * REQUESTS_PER_RETRY,
        }
    }
}

impl RetryBudget {
    /// Adds the credit that an admitted request earns.
    pub fn earn(&mut self) {
        self.credit = (self.credit + 1).min(RETRIES_MAX * REQUESTS_PER_RETRY);
    }

    /// Spends one retry; returns false if the budget has none left.
    pub fn spend(&mut self) -> bool {
        let remaining = self.credit.checked_sub(REQUESTS_PER_RETRY);
        self.credit = remaining.unwrap_or(self.credit);
        remaining.is_some()
    }
}
