//! Exhaustive search over the rules of acknowledgement, fencing, promotion and read indexes.
//!
//! The search runs the proxies' real code against a small model of the members, as docs/PROTOCOLS.md describes them.

mod model {
    pub mod claimant;
    pub mod invariant;
    pub mod member;
    pub mod rules;
    pub mod search;
    pub mod world;
}

use std::time::Instant;

use model::rules::{Bounds, Mutation, Rules};
use model::search;
use rstest::rstest;

fn search(bounds: Bounds, mutation: Mutation) -> search::SearchResult {
    let rules = Rules {
        bounds,
        mutation,
        now: Instant::now(),
    };
    let started = Instant::now();
    let result = search::run(&rules);
    println!(
        "{mutation:?} {bounds:?}: {} states, {} of them in a handover, in {:?}, violation: {:?}",
        result.states,
        result.handing_over,
        started.elapsed(),
        result.violation
    );
    result
}

/// Claimants can claim two terms after the first.
const ONCE: Bounds = Bounds {
    attempts: [1, 1],
    writes: 1,
    reads: false,
    delayed_reports: false,
    lost_answers: true,
    handovers: false,
};

/// Claimants can claim three terms after the first.
const TWICE: Bounds = Bounds {
    attempts: [2, 1],
    ..ONCE
};

const READS: Bounds = Bounds {
    reads: true,
    ..ONCE
};

#[rstest]
#[case::no_write(Bounds { writes: 0, ..TWICE })]
#[case::two_writes(Bounds { writes: 2, ..ONCE })]
#[case::three_claims(Bounds { lost_answers: false, ..TWICE })]
#[case::read(Bounds { lost_answers: false, ..READS })]
#[case::planned_move(Bounds { handovers: true, ..ONCE })]
#[case::overtaken_report(Bounds { delayed_reports: true, lost_answers: false, ..ONCE })]
fn rules_hold_within_bounds(#[case] bounds: Bounds) {
    let result = search(bounds, Mutation::None);
    assert_eq!(result.violation, None);
    assert_eq!(
        result.handing_over > 0,
        bounds.handovers,
        "some state has a handover under way exactly if handovers are allowed"
    );
}

/// Searches within bounds that take minutes in a release build.
#[cfg(feature = "deep-search")]
#[rstest]
#[case::three_claims(TWICE)]
#[case::two_writes(Bounds { writes: 2, delayed_reports: true, ..ONCE })]
#[case::reads(Bounds { delayed_reports: true, ..READS })]
#[case::two_writes_three_claims(Bounds { writes: 2, lost_answers: false, ..TWICE })]
#[case::planned_moves(Bounds { handovers: true, lost_answers: false, ..TWICE })]
#[case::reads_three_claims(Bounds { reads: true, lost_answers: false, ..TWICE })]
fn rules_hold_within_deep_bounds(#[case] bounds: Bounds) {
    let result = search(bounds, Mutation::None);
    assert_eq!(result.violation, None);
    assert_eq!(
        result.handing_over > 0,
        bounds.handovers,
        "some state has a handover under way exactly if handovers are allowed"
    );
}

#[rstest]
#[case::vote_at_any_term(Mutation::VoteAtAnyTerm, Bounds { lost_answers: false, ..TWICE })]
#[case::acknowledge_alone(Mutation::AcknowledgeAlone, ONCE)]
#[case::promote_first(Mutation::PromoteFirst, ONCE)]
#[case::fence_minority(Mutation::FenceMinority, ONCE)]
#[case::reuse_term(Mutation::ReuseTerm, Bounds { writes: 0, ..TWICE })]
#[case::shared_grants(Mutation::SharedGrants, Bounds { writes: 0, ..ONCE })]
#[case::follow_older(Mutation::FollowOlder, ONCE)]
#[case::index_of_primary(Mutation::IndexOfPrimary, READS)]
#[case::index_of_earlier_answers(Mutation::IndexOfEarlierAnswers, Bounds { delayed_reports: true, ..READS })]
fn rules_without_mechanism_finds_violation(#[case] mutation: Mutation, #[case] bounds: Bounds) {
    let result = search(bounds, mutation);
    assert!(
        result.violation.is_some(),
        "the search without {mutation:?} found no violation"
    );
}
