//! What may exceed a rate limit in a window, by which the limits are chosen that coordinators enforce.

use std::time::Duration;

use super::TOKEN_LIFETIME;
use crate::workspace;

/// Part of the operations of a window that is not granted. It is left for operations that wait in a queue after they were admitted, and
/// reach their member in a later window.
const MARGIN: f64 = 0.03;
/// Part of the configured burst, and of the slack, that a bucket holds. The rest raises the rate at which it fills: callers of a workspace
/// with a low rate do not come evenly, and a burst beyond the bucket is admitted within a fraction of a second.
const BURST_PART: f64 = 0.25;
const SLACK_PART: f64 = 0.15;
/// Time whose tokens a bucket holds at least, see [`super::bucket`].
const BUCKET_DEPTH_MIN: Duration = Duration::from_millis(40);

/// Operations that may exceed a limit in a sliding window, over all proxies together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Length of the window, in seconds.
    pub window_s: f64,
    /// Part of the operations that the limit allows in a window, by which they may exceed it.
    pub overshoot: f64,
    /// Further operations in a window.
    pub slack: f64,
}

impl Default for Tolerance {
    /// Returns the tolerance of a deployment that tells none: a tenth of a window of 5 s.
    fn default() -> Self {
        Self {
            window_s: 5.0,
            overshoot: 0.1,
            slack: 0.0,
        }
    }
}

impl Tolerance {
    /// Returns the operations that may run in a window.
    pub fn allowed(&self, limit: workspace::RateLimit) -> f64 {
        let in_window = limit.rate_per_s() * self.window_s + limit.burst();
        in_window * (1.0 + self.overshoot) + self.slack
    }

    /// Returns the limit that coordinators enforce. What may run in a window is granted at a steady rate, but for the bucket. Tokens can be
    /// used for a while after they were granted, so a window holds the tokens of a longer time.
    pub fn enforced(&self, limit: workspace::RateLimit) -> workspace::RateLimit {
        let granted_for_s = self.window_s + (TOKEN_LIFETIME + BUCKET_DEPTH_MIN).as_secs_f64();
        let burst = limit.burst() * BURST_PART + self.slack * SLACK_PART;
        let steady = self.allowed(limit) * (1.0 - MARGIN) - burst;
        workspace::RateLimit::new(steady.max(0.0) / granted_for_s, burst)
    }
}
