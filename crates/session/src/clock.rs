//! A monotonic clock that also counts the time during which the VM is suspended.

use std::sync::OnceLock;
use std::time::{Duration, Instant};

use nix::time::{ClockId, clock_gettime};

/// Instant and time since boot at the first use of this clock.
static ORIGIN: OnceLock<(Instant, Duration)> = OnceLock::new();

/// Returns the current instant. It advances during a suspension, in which [`Instant::now`] stands still, so that the
/// proxy knows afterwards that its information about members is old.
pub fn now() -> Instant {
    let (origin, origin_since_boot) = *ORIGIN.get_or_init(|| (Instant::now(), since_boot()));
    origin + since_boot().saturating_sub(origin_since_boot)
}

fn since_boot() -> Duration {
    let time =
        clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux has had this clock since 2.6.39");
    Duration::from(time)
}

/// Converts a deadline on this clock to one for the timers of the tokio runtime.
pub fn tokio_deadline(deadline: Instant) -> tokio::time::Instant {
    tokio::time::Instant::now() + deadline.saturating_duration_since(now())
}
