//! Runs whose load and faults are scripted, except for their times: they are rare among those that are drawn.

use std::ops::Range;

use rand::RngExt;

use crate::quota_search::plan::{Fault, Load};
use crate::quota_search::process::Process;
use crate::quota_search::world::{BURST, Outcome, RUN_MS, Slot, VMS, World, load, rate_per_step};

impl World {
    /// Returns two VMs whose processes are not the coordinator.
    fn askers(&self) -> [usize; 2] {
        let holds = |slot: &Slot| slot.process.as_ref().is_some_and(Process::is_coordinator);
        let others: Vec<usize> = (0..VMS).filter(|vm| !holds(&self.slots[*vm])).collect();
        [others[0], others[1]]
    }

    fn set_load(&mut self, vm: usize, burst: u64, per_step: f64, not_run: f64) {
        let load = Load {
            not_run,
            ..load(per_step)
        };
        self.slots[vm].loads[0] = (load, u64::MAX, burst as f64);
    }

    fn pass(&mut self, time_ms: Range<u64>) {
        let until_ms = self.now_ms + self.rng.random_range(time_ms);
        while self.now_ms < until_ms {
            self.step();
        }
    }

    /// Repeats this: one proxy takes a burst of tokens and returns them, once they have expired another one uses a burst, the
    /// coordinator ends, and the first proxy asks again. Then nobody asks until the buckets are full.
    pub fn run_returns(mut self, seed: u64) -> Outcome {
        while self.now_ms < RUN_MS {
            let [returns, uses] = self.askers();
            self.set_load(returns, BURST, 0.0, 1.0);
            self.pass(1_000..1_300);
            self.set_load(uses, 2 * BURST, 0.0, 0.0);
            self.pass(20..200);
            self.fault(Fault::CrashCoordinator);
            self.pass(50..300);
            self.set_load(returns, 2 * BURST, 2.0 * rate_per_step(), 0.0);
            self.pass(5_000..5_001);
            self.set_load(returns, 0, 0.0, 0.0);
            self.pass(2_500..2_501);
        }
        self.finish(seed)
    }

    /// Repeats this: two proxies ask for a burst of tokens, are suspended before the answers arrive, and ask again when they resume.
    /// Then nobody asks until the buckets are full.
    pub fn run_frozen_askers(mut self, seed: u64) -> Outcome {
        self.pass(2_000..2_500);
        while self.now_ms < RUN_MS {
            let askers = self.askers();
            for vm in askers {
                self.set_load(vm, BURST, 0.0, 0.0);
            }
            // The first question is for one operation; the next one is for all that wait.
            self.pass(10..50);
            let for_ms = self.rng.random_range(500..3_000);
            for vm in askers {
                self.fault(Fault::Freeze { vm, for_ms });
            }
            self.pass(for_ms..for_ms + 1);
            for vm in askers {
                self.set_load(vm, BURST, rate_per_step(), 0.0);
            }
            self.pass(5_000..5_001);
            for vm in askers {
                self.set_load(vm, 0, 0.0, 0.0);
            }
            self.pass(2_500..2_501);
        }
        self.finish(seed)
    }
}
