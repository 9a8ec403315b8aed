//! Simulation of real brokers with members, a store and a platform, on a simulated clock and with faults drawn from a seed.
//!
//! Where promotions are not fenced, a replaced leader leads on until it is demoted, or for a second after it can reach its successor.

mod simulation {
    pub mod callers;
    pub mod checks;
    pub mod clock;
    pub mod effects;
    pub mod faults;
    pub mod group;
    pub mod log;
    pub mod member;
    pub mod net;
    pub mod plan;
    pub mod proxy;
    pub mod store;
    pub mod world;
}

use std::fmt;
use std::ops::Range;

use rstest::rstest;
use simulation::plan::{Mix, Plan};
use simulation::world;

/// Seeds of each case of [`promises_hold_with_faults`]. A range of 20,000 takes about four minutes in release mode.
const SEEDS: Range<u64> = 0..60;
/// Number of seeds whose traces are printed.
const TRACES: usize = 1;

/// A seed with stale reads or lost commits.
#[derive(Clone, Copy)]
struct Failure {
    seed: u64,
    /// Commits whose success was passed on and that a promoted member lacked.
    lost: u64,
    stale: usize,
    of_newest_data: usize,
    /// Of those of the newest data: by proxies that do not know the newest leader.
    leader_unknown: usize,
    /// Of those of the newest data: by proxies that the store refuses.
    store_refuses: usize,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "seed {}: {} lost commits, {} stale reads, {} of the newest data ({} by proxies that do not know the leader, {} by refused ones)",
            self.seed,
            self.lost,
            self.stale,
            self.of_newest_data,
            self.leader_unknown,
            self.store_refuses
        )
    }
}

impl Failure {
    /// Returns the stale reads and lost commits of a seed; `None` without any.
    fn of(seed: u64, outcome: &world::Outcome) -> Option<Self> {
        let newest = || outcome.stale.iter().filter(|stale| stale.newest);
        (!outcome.stale.is_empty() || outcome.lost > 0).then(|| Self {
            seed,
            lost: outcome.lost,
            stale: outcome.stale.len(),
            of_newest_data: newest().count(),
            leader_unknown: newest().filter(|stale| !stale.knows_leader).count(),
            store_refuses: newest().filter(|stale| !stale.reaches_store).count(),
        })
    }
}

/// Runs seeds and fails with the traces of some that have a stale read or a lost commit.
fn run_seeds(seeds: impl IntoIterator<Item = u64>, plan_of: impl Fn(u64) -> Plan) {
    let mut failures = Vec::new();
    let (mut count, mut promotions, mut reads, mut commits, mut unknown) = (0, 0, 0, 0, 0);
    let mut cut_back = 0;
    for seed in seeds {
        let outcome = world::run(seed, plan_of(seed), false);
        count += 1;
        promotions += outcome.promotions;
        reads += outcome.reads;
        commits += outcome.commits;
        unknown += outcome.unknown;
        cut_back += outcome.cut_back;
        failures.extend(Failure::of(seed, &outcome));
    }
    println!(
        "{count} seeds: {promotions} promotions, {reads} reads, {commits} commits, {unknown} of unknown outcome, \
         {cut_back} acknowledged by leaders alone; seeds with lost commits or stale reads: {}",
        failures.len()
    );
    // Reads of the newest data come first.
    failures.sort_by_key(|failure| (failure.of_newest_data == 0, failure.seed));
    for failure in &failures {
        println!("{failure}");
    }
    for failure in failures.iter().take(TRACES) {
        let seed = failure.seed;
        let plan = minimize(failure, plan_of(seed));
        let outcome = world::run(seed, plan.clone(), true);
        println!("seed {seed}, {plan:?}\n{}\n", outcome.trace.join("\n"));
    }
    assert!(failures.is_empty(), "{} of {count} seeds", failures.len());
}

/// Leaves out the faults without which the seed fails as well: with a stale read of the newest data, if it had one, or with a lost commit,
/// if it had one.
fn minimize(failure: &Failure, mut plan: Plan) -> Plan {
    let fails = |plan: &Plan| {
        let outcome = world::run(failure.seed, plan.clone(), false);
        let found = Failure::of(failure.seed, &outcome);
        found.is_some_and(|found| {
            (found.of_newest_data > 0 || failure.of_newest_data == 0)
                && (found.lost > 0 || failure.lost == 0)
        })
    };
    let mut index = plan.faults.len();
    while index > 0 {
        index -= 1;
        let mut smaller = plan.clone();
        smaller.faults.remove(index);
        if fails(&smaller) {
            plan = smaller;
        }
    }
    let smaller = Plan {
        freezes_claimants: false,
        ..plan.clone()
    };
    if fails(&smaller) { smaller } else { plan }
}

#[rstest]
#[case::all(Mix::ALL)]
#[case::stalls(Mix::STALLS)]
#[case::members(Mix::MEMBERS)]
#[case::orders(Mix::ORDERS)]
#[case::proxies(Mix::PROXIES)]
#[case::reader(Mix::READER)]
#[case::late_commands(Mix::LATE_COMMANDS)]
#[case::queued_commits(Mix::QUEUED_COMMITS)]
fn promises_hold_with_faults(#[case] mix: Mix) {
    run_seeds(SEEDS, |seed| Plan::new(seed, mix));
}

/// The same where promotions are fenced.
#[rstest]
#[case::all(Mix::ALL)]
#[case::orders(Mix::ORDERS)]
#[case::late_commands(Mix::LATE_COMMANDS)]
#[case::queued_commits(Mix::QUEUED_COMMITS)]
fn promises_hold_with_faults_where_fenced(#[case] mix: Mix) {
    run_seeds(SEEDS, |seed| Plan {
        fenced: true,
        ..Plan::new(seed, mix)
    });
}

/// Bounded reads: the answer to a `COMMIT` at a member that follows the newest term, but receives nothing, counts as that of the
/// leader and becomes a sample of the read index.
#[test]
fn reads_are_not_stale_after_commit_at_replica() {
    run_seeds([692, 15_682], |seed| Plan::new(seed, Mix::ALL));
}

/// Reads of the newest data: a member is promoted that one proxy does not know, and the known replicas hear of it late. They consent
/// to a lease of the replaced leader.
///
/// The store refuses that proxy, or it learns late of the members while the claim row tells it that the leader is being replaced.
#[rstest]
#[case::store_refuses(true, [1, 15, 21, 53, 72, 171])]
#[case::claim_disputed(false, [235, 1_028, 1_255, 1_271, 1_876, 1_928])]
fn reads_are_not_stale_beside_unknown_member(#[case] refused: bool, #[case] seeds: [u64; 6]) {
    run_seeds(seeds, |seed| Plan::with_unknown_member(seed, refused));
}
