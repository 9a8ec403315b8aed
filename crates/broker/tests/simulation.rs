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
    pub mod relays;
    pub mod store;
    pub mod world;
}

use std::env;
use std::fmt;
use std::ops::Range;

use rstest::rstest;
use simulation::checks::BehindReplica;
use simulation::plan::{Mix, Plan};
use simulation::world;

/// Seeds of each case of [`promises_hold_with_faults`]. A range of 20,000 takes about four minutes in release mode.
const SEEDS: Range<u64> = 0..60;
/// Environment variable with another end of the range.
const SEEDS_END_VARIABLE: &str = "SIMULATION_SEEDS_END";
/// Number of seeds whose traces are printed.
const TRACES: usize = 1;

/// A seed with stale reads, lost commits, or commits that a replica had and a promoted member lacked.
#[derive(Clone, Copy)]
struct Failure {
    seed: u64,
    /// Commits whose success was passed on and that a promoted member lacked.
    lost: u64,
    behind_replica: BehindReplica,
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
            "seed {}: {} lost commits, {:?}, {} stale reads, {} of the newest data ({} by proxies that do not know the leader, {} by refused ones)",
            self.seed,
            self.lost,
            self.behind_replica,
            self.stale,
            self.of_newest_data,
            self.leader_unknown,
            self.store_refuses
        )
    }
}

impl Failure {
    /// Returns what a seed broke; `None` if that is nothing.
    fn of(seed: u64, outcome: &world::Outcome) -> Option<Self> {
        let newest = || outcome.stale.iter().filter(|stale| stale.newest);
        let broken =
            !outcome.stale.is_empty() || outcome.lost > 0 || outcome.behind_replica.is_broken();
        broken.then(|| Self {
            seed,
            lost: outcome.lost,
            behind_replica: outcome.behind_replica,
            stale: outcome.stale.len(),
            of_newest_data: newest().count(),
            leader_unknown: newest().filter(|stale| !stale.knows_leader).count(),
            store_refuses: newest().filter(|stale| !stale.reaches_store).count(),
        })
    }
}

/// Returns the seeds of each case.
fn seeds() -> Range<u64> {
    let end = env::var(SEEDS_END_VARIABLE).ok();
    let end = end.map(|end| end.parse().expect("the variable is a number"));
    SEEDS.start..end.unwrap_or(SEEDS.end)
}

/// Runs seeds and fails with the traces of some that broke a promise.
fn run_seeds(seeds: impl IntoIterator<Item = u64>, plan_of: impl Fn(u64) -> Plan) {
    let mut failures = Vec::new();
    let (mut count, mut promotions, mut reads, mut commits, mut unknown) = (0, 0, 0, 0, 0);
    let (mut cut_back, mut behind_replica) = (0, BehindReplica::default());
    let mut relayed = 0;
    for seed in seeds {
        let outcome = world::run(seed, plan_of(seed), false);
        count += 1;
        promotions += outcome.promotions;
        reads += outcome.reads;
        commits += outcome.commits;
        unknown += outcome.unknown;
        cut_back += outcome.cut_back;
        behind_replica.add(outcome.behind_replica);
        relayed += outcome.relayed;
        failures.extend(Failure::of(seed, &outcome));
    }
    println!(
        "{count} seeds: {promotions} promotions, {reads} reads, {commits} commits, {unknown} of unknown outcome, \
         {cut_back} acknowledged by leaders alone, {behind_replica:?}, {relayed} commands answered through other proxies; seeds that broke a promise: {}",
        failures.len()
    );
    // Lost commits come first, then what a replica had, then reads of the newest data.
    failures.sort_by_key(|failure| {
        (
            failure.lost == 0,
            !failure.behind_replica.is_broken(),
            failure.of_newest_data == 0,
            failure.seed,
        )
    });
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

/// Leaves out the faults without which the seed fails as well: with a stale read of the newest data, a lost commit, and a commit that a
/// replica had, if it had one.
fn minimize(failure: &Failure, mut plan: Plan) -> Plan {
    let fails = |plan: &Plan| {
        let outcome = world::run(failure.seed, plan.clone(), false);
        let found = Failure::of(failure.seed, &outcome);
        found.is_some_and(|found| {
            (found.of_newest_data > 0 || failure.of_newest_data == 0)
                && (found.lost > 0 || failure.lost == 0)
                && (found.behind_replica.is_broken() || !failure.behind_replica.is_broken())
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
    for without in [
        |plan: &mut Plan| plan.freezes_claimants = false,
        |plan: &mut Plan| plan.late_commands = false,
        |plan: &mut Plan| plan.queued_commits = false,
        |plan: &mut Plan| plan.relays = false,
    ] {
        let mut smaller = plan.clone();
        without(&mut smaller);
        if fails(&smaller) {
            plan = smaller;
        }
    }
    plan
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
#[case::store_away(Mix::STORE_AWAY)]
#[case::deaf_crashes(Mix::DEAF_CRASHES)]
#[case::flaps(Mix::FLAPS)]
#[case::full(Mix::FULL)]
#[case::repeated_orders(Mix::REPEATED_ORDERS)]
#[case::lone_readers(Mix::LONE_READERS)]
#[case::rough(Mix::ROUGH)]
#[case::rough_listed(Mix::ROUGH_LISTED)]
#[case::missing_confirmers(Mix::MISSING_CONFIRMERS)]
#[case::missing_confirmers_rough(Mix::MISSING_CONFIRMERS_ROUGH)]
fn promises_hold_with_faults(#[case] mix: Mix) {
    run_seeds(seeds(), |seed| Plan::new(seed, mix));
}

/// The same where promotions are fenced.
#[rstest]
#[case::all(Mix::ALL)]
#[case::orders(Mix::ORDERS)]
#[case::late_commands(Mix::LATE_COMMANDS)]
#[case::queued_commits(Mix::QUEUED_COMMITS)]
#[case::store_away(Mix::STORE_AWAY)]
#[case::deaf_crashes(Mix::DEAF_CRASHES)]
#[case::flaps(Mix::FLAPS)]
#[case::full(Mix::FULL)]
#[case::repeated_orders(Mix::REPEATED_ORDERS)]
#[case::lone_readers(Mix::LONE_READERS)]
#[case::rough(Mix::ROUGH)]
#[case::rough_listed(Mix::ROUGH_LISTED)]
#[case::missing_confirmers(Mix::MISSING_CONFIRMERS)]
#[case::missing_confirmers_rough(Mix::MISSING_CONFIRMERS_ROUGH)]
fn promises_hold_with_faults_where_fenced(#[case] mix: Mix) {
    run_seeds(seeds(), |seed| Plan {
        fenced: true,
        ..Plan::new(seed, mix)
    });
}

/// The same where proxies pass on commands to members that the sender does not reach.
#[rstest]
#[case::all(Mix::ALL)]
#[case::members(Mix::MEMBERS)]
#[case::late_commands(Mix::LATE_COMMANDS)]
#[case::queued_commits(Mix::QUEUED_COMMITS)]
#[case::store_away(Mix::STORE_AWAY)]
#[case::full(Mix::FULL)]
#[case::lone_readers(Mix::LONE_READERS)]
#[case::rough(Mix::ROUGH)]
#[case::rough_listed(Mix::ROUGH_LISTED)]
#[case::missing_confirmers(Mix::MISSING_CONFIRMERS)]
#[case::missing_confirmers_rough(Mix::MISSING_CONFIRMERS_ROUGH)]
fn promises_hold_with_relays(#[case] mix: Mix, #[values(false, true)] fenced: bool) {
    run_seeds(seeds(), |seed| Plan {
        fenced,
        relays: true,
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

/// Draws the plan of a seed without members that join.
fn without_joins(seed: u64, mix: Mix, fenced: bool) -> Plan {
    Plan {
        fenced,
        ..Plan::new(seed, mix.without_joins())
    }
}

/// A replica forgets its hold, or was away when the others were held, and confirms commits until the promotion takes effect.
#[rstest]
#[case::members(Mix::MEMBERS, false, &[3_886])]
#[case::all(Mix::ALL, false, &[3_113, 4_326, 4_685, 5_472])]
#[case::fenced(Mix::ALL, true, &[4_676])]
fn promoted_member_has_what_restarted_replica_confirmed(
    #[case] mix: Mix,
    #[case] fenced: bool,
    #[case] seeds: &[u64],
) {
    run_seeds(seeds.iter().copied(), |seed| {
        without_joins(seed, mix, fenced)
    });
}

/// A replica has started again, and its entry is written late, so that the attempt does not hold it.
#[rstest]
#[case::members(Mix::MEMBERS, false, &[2_129])]
#[case::all(Mix::ALL, false, &[2_285])]
#[case::fenced(Mix::ALL, true, &[2_503, 3_295])]
fn attempt_counts_unlisted_member_that_runs(
    #[case] mix: Mix,
    #[case] fenced: bool,
    #[case] seeds: &[u64],
) {
    run_seeds(seeds.iter().copied(), |seed| {
        without_joins(seed, mix, fenced)
    });
}

/// A proxy has just started, and reads a directory that lacks a replica. It promotes the other one, which was deaf. A caller was told of
/// what that lacks.
#[test]
fn fresh_proxy_counts_unlisted_member_that_runs() {
    run_seeds([1_616], |seed| without_joins(seed, Mix::ALL, true));
}

/// A hand-over passes over a replica that does not answer its hold, as it is slow, cut off or full, and the demoted leader executes what
/// waits for a slot. Callers were told of it in the last three seeds.
#[rstest]
#[case::slow(Mix::QUEUED_COMMITS, &[2_420])]
#[case::unreached(Mix::ROUGH_LISTED, &[733, 265, 4_246, 4_609])]
fn handover_counts_slow_member_that_confirms_queued_commits(
    #[case] mix: Mix,
    #[case] seeds: &[u64],
) {
    run_seeds(seeds.iter().copied(), |seed| {
        without_joins(seed, mix, false)
    });
}

/// A demoted leader executes what waits for a slot, and a member confirms it that the hand-over does not hold: it has joined just before,
/// or its entry is not back after the store's return.
#[rstest]
#[case::joined_unlisted(Mix::QUEUED_COMMITS, false, false, &[4_959])]
#[case::joined_listed(Mix::QUEUED_COMMITS, false, true, &[3_229, 4_112, 4_116])]
#[case::listed_late(Mix::ROUGH, false, true, &[5_134])]
#[case::listed_late_fenced(Mix::ROUGH, true, true, &[1_720, 5_887])]
fn handover_counts_members_that_confirm_queued_commits(
    #[case] mix: Mix,
    #[case] fenced: bool,
    #[case] relays: bool,
    #[case] seeds: &[u64],
) {
    run_seeds(seeds.iter().copied(), |seed| Plan {
        fenced,
        relays,
        ..Plan::new(seed, mix)
    });
}

/// The release of an attempt that was given up arrives late, and ends the hold of the next attempt.
#[test]
fn late_release_leaves_hold_of_next_attempt() {
    run_seeds([4_193, 4_365], |seed| {
        without_joins(seed, Mix::LATE_COMMANDS, false)
    });
}

/// The same with a hand-over, whose demoted leader executes what waits for a slot. A caller was told of it.
#[test]
fn late_release_leaves_hold_of_handover() {
    run_seeds([5_435], |seed| Plan {
        relays: true,
        ..Plan::new(seed, Mix::ROUGH_LISTED)
    });
}

/// A replaced leader and a replica that is cut from the new leader go on, and the next attempt promotes a member of the newer term.
#[test]
fn promoted_member_has_what_replaced_leader_acknowledged() {
    run_seeds([800], |seed| without_joins(seed, Mix::LATE_COMMANDS, false));
}

/// A replica that has received nothing is promoted: those that confirmed are away and have no entries, and were dropped, or never known.
#[rstest]
#[case::replica_ended(false, false, &[333, 348, 462])]
#[case::replica_dark_after_store_away(false, false, &[25, 61, 98])]
#[case::replica_cut_from_claimant(false, false, &[43, 53, 103])]
#[case::replica_cut_from_all(false, false, &[22, 63, 72])]
#[case::replica_never_known(false, false, &[4, 114, 362])]
#[case::two_replicas(false, false, &[155, 266, 328])]
#[case::claimant_knows_lower_point(false, false, &[67, 212, 299])]
#[case::fenced(true, false, &[3, 18, 327])]
#[case::relays(false, true, &[10, 67, 120])]
#[case::relays_fenced(true, true, &[155, 249, 460])]
fn promoted_member_has_what_missing_replica_confirmed(
    #[case] fenced: bool,
    #[case] relays: bool,
    #[case] seeds: &[u64],
) {
    run_seeds(seeds.iter().copied(), |seed| Plan {
        fenced,
        relays,
        ..Plan::new(seed, Mix::MISSING_CONFIRMERS)
    });
}

/// The replicas that confirmed are missing, and the claimant has sent commits that the replica which it reaches lacks.
#[rstest]
#[case::unfenced(false, false, &[2, 5, 6, 17, 20, 23])]
#[case::fenced(true, false, &[1, 2, 6, 20, 23, 27])]
#[case::relays(false, true, &[2, 5, 6, 17, 20, 23])]
#[case::relays_fenced(true, true, &[1, 2, 6, 20, 23, 27])]
fn promoted_member_has_what_claimant_saw_acknowledged(
    #[case] fenced: bool,
    #[case] relays: bool,
    #[case] seeds: &[u64],
) {
    run_seeds(seeds.iter().copied(), |seed| Plan {
        fenced,
        relays,
        ..Plan::new(seed, Mix::MISSING_CONFIRMERS)
    });
}

/// The claimant has never known a replica that confirmed, and other proxies reach it.
#[rstest]
#[case::unfenced(false, &[4, 11, 43])]
#[case::fenced(true, &[16, 36, 45, 53])]
fn promoted_member_has_what_member_named_by_other_proxies_confirmed(
    #[case] fenced: bool,
    #[case] seeds: &[u64],
) {
    run_seeds(seeds.iter().copied(), |seed| Plan {
        fenced,
        relays: true,
        ..Plan::new(seed, Mix::MISSING_CONFIRMERS)
    });
}
