//! What may exceed a rate limit in a window, by which the limits are chosen that coordinators enforce.

use std::time::Duration;

use super::TOKEN_LIFETIME;
use crate::workspace;

/// Share of the slack that coordinators grant beyond the burst. The rest is left for operations that wait in a queue after they were
/// admitted, and reach their member in a later window.
const SLACK_SHARE: f64 = 0.75;
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
    /// Returns the limit that coordinators enforce. Tokens can be used for a while after they were granted, so a window holds the tokens
    /// of a longer time; the rate is lowered where the overshoot does not cover that. Where it does, the slack goes to bursts, since
    /// callers of a workspace with a low rate do not come evenly.
    pub fn enforced(&self, limit: workspace::RateLimit) -> workspace::RateLimit {
        let granted_for_s = self.window_s + (TOKEN_LIFETIME + BUCKET_DEPTH_MIN).as_secs_f64();
        let rate_part = self.window_s * (1.0 + self.overshoot) / granted_for_s;
        let extra_burst = (self.slack * SLACK_SHARE).floor();
        workspace::RateLimit::new(
            limit.rate_per_s() * rate_part.min(1.0),
            limit.burst() + extra_burst,
        )
    }
}
