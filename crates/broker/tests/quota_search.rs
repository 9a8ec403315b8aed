//! Randomized search over the protocol of quotas: real clients, coordinators and leases, with a store, messages and faults drawn
//! from a seed.

mod quota_search {
    pub mod plan;
    pub mod process;
    pub mod scripts;
    pub mod store;
    pub mod world;
}

use std::env;

use quota_search::plan::{Mechanism, Mix};
use quota_search::world::{self, Outcome};
use rstest::rstest;

/// Seeds of each mix of faults.
const SEEDS: u64 = 30;
/// Environment variable with another number of seeds.
const SEEDS_VARIABLE: &str = "QUOTA_SEARCH_SEEDS";
/// Seeds that are tried until one shows that a mechanism is necessary.
const SEEDS_WITHOUT_MECHANISM: u64 = 600;

/// More operations than the limit reached members while coordinators changed, processes were suspended or the store came back older.
#[rstest]
#[case::no_faults(Mix::None)]
#[case::crashes(Mix::Crashes)]
#[case::freezes(Mix::Freezes)]
#[case::partitions(Mix::Partitions)]
#[case::restores(Mix::Restores)]
#[case::coordinator_crashes(Mix::CoordinatorCrashes)]
#[case::frozen_askers(Mix::FrozenAskers)]
#[case::all(Mix::All)]
fn operations_stay_within_limit(#[case] mix: Mix) {
    let mut worst: Option<Outcome> = None;
    let (mut admitted, mut refused, mut terms, mut asked) = (0, 0, 0, 0);
    let seeds = env::var(SEEDS_VARIABLE).ok();
    let seeds = seeds.map_or(SEEDS, |seeds| {
        seeds.parse().expect("the variable is a number")
    });
    for seed in 0..seeds {
        let outcome = world::run(seed, mix, None);
        admitted += outcome.admitted;
        refused += outcome.refused;
        terms += outcome.terms;
        asked += outcome.questions;
        if worst
            .as_ref()
            .is_none_or(|worst| worst.excess < outcome.excess)
        {
            worst = Some(outcome);
        }
    }
    let worst = worst.expect("there are seeds");
    println!(
        "{mix:?}: {seeds} seeds, {admitted} admitted, {refused} refused, {terms} leases, {asked} questions; \
         worst seed {} {:?}",
        worst.seed, worst.excess
    );
    assert!(admitted > 0, "some operations are admitted");
    assert!(worst.excess <= 0, "seed {}: {:?}", worst.seed, worst.trace);
}

/// Each mechanism is necessary: without it, some seed admits more than the limit.
#[rstest]
#[case::lease_end_at_holder(Mechanism::LeaseEnd, Mix::Freezes)]
#[case::wait_before_take_over(Mechanism::TakeOverWait, Mix::Crashes)]
#[case::empty_buckets_at_start(Mechanism::EmptyBuckets, Mix::Crashes)]
#[case::expiry_from_question(Mechanism::ExpiryFromQuestion, Mix::FrozenAskers)]
#[case::wait_in_new_era(Mechanism::EraWait, Mix::Restores)]
#[case::era_of_write(Mechanism::EraOfWrite, Mix::Restores)]
#[case::era_of_row(Mechanism::EraOfRow, Mix::Restores)]
#[case::returned_tokens_of_term(Mechanism::ReturnsOfTerm, Mix::CoordinatorCrashes)]
#[case::returned_tokens_within_burst(Mechanism::ReturnsWithinBurst, Mix::None)]
fn operations_without_mechanism_exceed_limit(#[case] mechanism: Mechanism, #[case] mix: Mix) {
    let mut worst = i64::MIN;
    for seed in 0..SEEDS_WITHOUT_MECHANISM {
        let outcome = world::run(seed, mix, Some(mechanism));
        worst = worst.max(outcome.excess);
        if outcome.excess > 0 {
            println!(
                "{mechanism:?}: seed {seed}, {} over the limit",
                outcome.excess
            );
            return;
        }
    }
    panic!("{mechanism:?} is not needed? Closest: {worst}");
}

/// Operations were refused although the workspace was below its limit, because tokens were not asked for or not granted in time.
#[rstest]
#[case::one_proxy(1)]
#[case::all_proxies(3)]
fn operations_use_limit_without_faults(#[case] busy: usize) {
    for seed in 0..5 {
        let outcome = world::run_busy(seed, 3.0, busy);
        println!(
            "{busy} busy, seed {seed}: {:.3} of the rate",
            outcome.share_of_rate
        );
        assert!(outcome.share_of_rate >= 0.95, "{}", outcome.share_of_rate);
    }
}

/// Operations of a workspace below its limit were refused, because the tokens were at other proxies or came too late.
#[rstest]
#[case::one_proxy(1)]
#[case::all_proxies(3)]
fn operations_below_limit_are_admitted(#[case] busy: usize) {
    for seed in 0..5 {
        let outcome = world::run_busy(seed, 0.9, busy);
        println!(
            "{busy} proxies, seed {seed}: {} admitted, {} refused, {} questions",
            outcome.admitted, outcome.refused_after_start, outcome.questions
        );
        assert_eq!(outcome.refused_after_start, 0);
    }
}
