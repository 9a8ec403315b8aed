//! Workspaces of the configuration.

/// Operations of a workspace per thousandth.
const MILLIOPS_PER_OP: f64 = 1_000.0;

/// Limit of the operations of a workspace over all proxies together, in thousandths, so that configurations can be compared.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct RateLimit {
    /// Operations per second, in thousandths.
    pub rate_milliops_per_s: u64,
    /// Operations that may be admitted at once after a pause, in thousandths.
    pub burst_milliops: u64,
}

impl RateLimit {
    /// Returns the operations per second.
    pub fn rate_per_s(&self) -> f64 {
        self.rate_milliops_per_s as f64 / MILLIOPS_PER_OP
    }

    /// Returns the operations that may be admitted at once after a pause.
    pub fn burst(&self) -> f64 {
        self.burst_milliops as f64 / MILLIOPS_PER_OP
    }
}
