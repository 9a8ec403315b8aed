//! Faults and load of a run, drawn from its seed.

use rand::RngExt;
use rand::rngs::StdRng;

/// Kinds of faults of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mix {
    /// Only messages that are delayed or lost.
    None,
    /// Processes end; some start again on the same VM.
    Crashes,
    /// The coordinator's process ends and starts again at once, after a proxy has received tokens that it does not use.
    CoordinatorCrashes,
    /// Processes are suspended while the answers to their questions are under way.
    FrozenAskers,
    /// Processes are suspended and resume.
    Freezes,
    /// Links between processes, and to the store, are cut.
    Partitions,
    /// The store comes back from an older copy, while processes end.
    Restores,
    /// All of them.
    All,
}

/// Mechanism that a run goes without.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mechanism {
    /// The coordinator stops when its lease ends.
    LeaseEnd,
    /// Another proxy waits until the lease has ended.
    TakeOverWait,
    /// A coordinator starts with empty buckets.
    EmptyBuckets,
    /// Tokens expire a time after the question rather than after the answer.
    ExpiryFromQuestion,
    /// The era of the store counts.
    EraWait,
    /// A write that was executed in another era than its condition gives no lease.
    EraOfWrite,
    /// A process takes over at once only from a row that was written in the era of the answer.
    EraOfRow,
    /// A coordinator takes back only tokens of its own term.
    ReturnsOfTerm,
    /// A bucket takes back only tokens that fit into the burst together with its level ever since their grant.
    ReturnsWithinBurst,
}

/// A fault.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A process ends and starts again on its VM after this time.
    Crash { vm: usize, back_after_ms: u64 },
    /// The coordinator's process ends and starts again at once.
    CrashCoordinator,
    /// A process is suspended.
    Freeze { vm: usize, for_ms: u64 },
    /// All processes are suspended at once, for different times.
    FreezeMost { for_ms: u64 },
    /// A process reaches no other one.
    CutOff { vm: usize, for_ms: u64 },
    /// A process does not reach the store.
    CutOffStore { vm: usize, for_ms: u64 },
    /// The store comes back from a copy of this age.
    Restore { age_ms: u64 },
}

impl Mix {
    /// Returns the next fault and the time until it.
    pub fn next_fault(self, rng: &mut StdRng, vms: usize) -> Option<(u64, Fault)> {
        let vm = rng.random_range(0..vms);
        let kind = match self {
            Self::None | Self::CoordinatorCrashes | Self::FrozenAskers => return None,
            Self::Crashes => rng.random_range(0..2),
            Self::Freezes => rng.random_range(2..4),
            Self::Partitions => rng.random_range(4..6),
            Self::Restores => [0, 1, 2, 4, 6, 6, 6][rng.random_range(0..7)],
            Self::All => rng.random_range(0..7),
        };
        let short = rng.random_bool(0.5);
        let for_ms = match short {
            true => rng.random_range(300..3_000),
            false => rng.random_range(3_000..15_000),
        };
        let fault = match kind {
            0 => Fault::Crash {
                vm,
                back_after_ms: for_ms,
            },
            1 => Fault::CrashCoordinator,
            2 => Fault::Freeze { vm, for_ms },
            3 => Fault::FreezeMost { for_ms },
            4 => Fault::CutOff { vm, for_ms },
            5 => Fault::CutOffStore { vm, for_ms },
            _ => Fault::Restore {
                age_ms: rng.random_range(100..25_000),
            },
        };
        Some((rng.random_range(500..8_000), fault))
    }
}

/// Load of one proxy until it changes.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Operations that arrive at once at the start.
    pub burst: u64,
    /// Operations per step.
    pub per_step: f64,
    /// Probability that an operation ends without having run.
    pub not_run: f64,
    /// Time until the load changes.
    pub for_ms: u64,
}

impl Load {
    /// Draws a load for a rate per step and a burst that are the limits of the workspace.
    pub fn draw(rng: &mut StdRng, rate_per_step: f64, burst: u64) -> Self {
        let per_step = [0.0, 0.0, 0.1, 1.0, 2.0][rng.random_range(0..5)] * rate_per_step;
        let burst = [0, 0, burst / 2, burst, burst * 2][rng.random_range(0..5)];
        Self {
            burst,
            per_step,
            not_run: [0.0, 0.0, 0.5, 1.0][rng.random_range(0..4)],
            for_ms: rng.random_range(200..3_000),
        }
    }
}
