//! A clock that also counts the time during which the VM is suspended.

use std::sync::OnceLock;
use std::time::{Duration, Instant};

use nix::time::{ClockId, clock_gettime};

/// Pairs the instant and the boot time of the clock's first use.
static ORIGIN: OnceLock<(Instant, Duration)> = OnceLock::new();

/// Returns the current instant. While [`Instant::now`] stands still during a suspension, this one does not, so that
/// what was believed before is known to be old after.
pub fn now() -> Instant {
    let (instant, boot) = *ORIGIN.get_or_init(|| (Instant::now(), since_boot()));
    instant + since_boot().saturating_sub(boot)
}

fn since_boot() -> Duration {
    let time =
        clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux has had this clock since 2.6.39");
    Duration::from(time)
}

/// Returns when a deadline of this clock is due on the runtime's clock.
pub fn timer(deadline: Instant) -> tokio::time::Instant {
    tokio::time::Instant::now() + deadline.saturating_duration_since(now())
}
