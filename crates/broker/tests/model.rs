//! Exhaustive search over the replacement of a leader.
//!
//! The proxies run the real code. The members, the claim row and the platform's orders are a small model of their contracts.
//! Any message may be delayed, lost or overtaken, and a proxy may be suspended between any two steps.

mod model {
    pub mod group;
    pub mod search;
    pub mod system;
}

use fulmarlift_broker::leader::ReplaceReason;
use model::group::Violation;
use model::search;
use model::system::{Bounds, Mutation, Rules};
use rstest::rstest;

fn search(bounds: Bounds, mutation: Mutation) -> search::Found {
    let rules = Rules::new(bounds, mutation);
    let found = search::run(&rules);
    println!(
        "{mutation:?} {bounds:?}: {} states, {} promotions seen, violation: {:#?}",
        found.states, found.promotions, found.violation
    );
    found
}

/// One proxy replaces the leader once.
const ALONE: Bounds = Bounds {
    attempts: [1, 0],
    writes: 2,
    pauses: 0,
    lost_answers: 1,
    delayed_answers: true,
    late_order: false,
    leaves: false,
    ends: false,
    reason: ReplaceReason::Unreachable,
    fenced: true,
    time_steps: 0,
    steps_per_lease: 1,
    reads: false,
    delayed_evidence: false,
    store_silent: false,
    successes_need_lease: false,
    successes_need_trust: false,
    successes_need_counted: false,
    lost_record: false,
    restores: 0,
    late_confirms: false,
    restarts: 0,
    joins: false,
    joins_after_hold: false,
    listed_late: false,
    one_directory: false,
    judged: None,
};

/// The leader hands over.
const HANDOVER: Bounds = Bounds {
    leaves: true,
    reason: ReplaceReason::Leaving,
    ..ALONE
};

/// Two proxies replace the leader once each, and a claim may expire meanwhile.
const BOTH: Bounds = Bounds {
    attempts: [1, 1],
    writes: 1,
    pauses: 1,
    lost_answers: 0,
    delayed_answers: false,
    ..ALONE
};

/// Two proxies replace the leader once each, and the store comes back without their claims.
const BOTH_WITH_RESTORE: Bounds = Bounds {
    pauses: 0,
    restores: 1,
    ..BOTH
};

/// The same where promotions are not fenced.
const BOTH_WITH_RESTORE_UNFENCED: Bounds = Bounds {
    fenced: false,
    time_steps: 1,
    ..BOTH_WITH_RESTORE
};

/// One proxy replaces the leader while an older order may still be executed.
const AFTER_LATE_ORDER: Bounds = Bounds {
    attempts: [0, 1],
    late_order: true,
    leaves: true,
    successes_need_trust: true,
    ..ALONE
};

/// One proxy replaces the leader twice while an older order may still be executed.
const TWICE_AFTER_LATE_ORDER: Bounds = Bounds {
    attempts: [0, 2],
    writes: 1,
    pauses: 1,
    lost_answers: 0,
    leaves: false,
    delayed_answers: false,
    ..AFTER_LATE_ORDER
};

/// One proxy replaces the leader once, promotions are not fenced, and another proxy reads.
const UNFENCED: Bounds = Bounds {
    writes: 1,
    fenced: false,
    time_steps: 2,
    steps_per_lease: 2,
    reads: true,
    ..ALONE
};

/// The leader hands over, promotions are not fenced, and another proxy reads.
const UNFENCED_HANDOVER: Bounds = Bounds {
    leaves: true,
    reason: ReplaceReason::Leaving,
    ..UNFENCED
};

/// As [`UNFENCED`], with answers that reach the reading proxy late.
const LATE_EVIDENCE: Bounds = Bounds {
    lost_answers: 0,
    delayed_answers: false,
    time_steps: 3,
    delayed_evidence: true,
    ..UNFENCED
};

/// The same, and the store does not answer the reading proxy.
const STORE_SILENT: Bounds = Bounds {
    delayed_evidence: false,
    store_silent: true,
    ..LATE_EVIDENCE
};

/// One proxy replaces the leader twice, promotions are not fenced, and another proxy reads.
const TWICE_UNFENCED: Bounds = Bounds {
    attempts: [2, 0],
    pauses: 1,
    lost_answers: 0,
    delayed_answers: false,
    time_steps: 2,
    steps_per_lease: 1,
    ..UNFENCED
};

/// One proxy replaces the leader once, the store comes back without its claim, and another proxy reads.
const RESTORE_WITH_READS: Bounds = Bounds {
    attempts: [1, 0],
    pauses: 0,
    lost_answers: 0,
    delayed_answers: false,
    time_steps: 2,
    steps_per_lease: 1,
    restores: 1,
    ..UNFENCED
};

/// The same, and the proxy claims again after that.
const TWICE_WITH_RESTORE: Bounds = Bounds {
    attempts: [2, 0],
    pauses: 2,
    time_steps: 1,
    ..RESTORE_WITH_READS
};

/// One proxy replaces the leader twice, promotions are not fenced, and a replica that has not heard of the new leader goes on
/// confirming entries of the old one. Another proxy passes on the successes.
const LATE_CONFIRMS: Bounds = Bounds {
    attempts: [2, 0],
    writes: 1,
    pauses: 1,
    lost_answers: 0,
    delayed_answers: false,
    fenced: false,
    time_steps: 2,
    reads: true,
    successes_need_lease: true,
    late_confirms: true,
    judged: Some(Violation::LostWrite),
    ..ALONE
};

/// One proxy replaces the leader once, promotions are not fenced, another proxy reads, and a replica forgets its hold.
const RESTARTS: Bounds = Bounds {
    lost_answers: 0,
    delayed_answers: false,
    restarts: 1,
    ..UNFENCED
};

/// The same with a member that joins instead of one that restarts.
const JOINS: Bounds = Bounds {
    restarts: 0,
    joins: true,
    ..RESTARTS
};

/// The same with a member that joins after the hold.
const JOINS_LATE: Bounds = Bounds {
    joins_after_hold: true,
    ..JOINS
};

/// One proxy replaces the leader once, and a replica leaves and ends with its log. Another proxy passes on the successes.
const LEAVER_ENDS: Bounds = Bounds {
    writes: 1,
    lost_answers: 0,
    delayed_answers: false,
    leaves: true,
    ends: true,
    reads: true,
    successes_need_counted: true,
    judged: Some(Violation::LostWrite),
    ..ALONE
};

/// The same where promotions are not fenced.
const LEAVER_ENDS_UNFENCED: Bounds = Bounds {
    fenced: false,
    time_steps: 1,
    ..LEAVER_ENDS
};

/// One proxy replaces the leader twice, after an attempt whose record of the choice got no answer.
const LEAVER_ENDS_TWICE: Bounds = Bounds {
    attempts: [0, 2],
    pauses: 1,
    lost_record: true,
    ..LEAVER_ENDS
};

/// One proxy replaces the leader once, and a replica forgets its hold.
const COUNTED_BESIDE_RESTART: Bounds = Bounds {
    leaves: false,
    ends: false,
    restarts: 1,
    ..LEAVER_ENDS
};

/// One proxy replaces the leader once, and a member that has joined is listed late.
const LISTED_LATE: Bounds = Bounds {
    leaves: false,
    ends: false,
    joins: true,
    listed_late: true,
    ..LEAVER_ENDS
};

/// The same where promotions are not fenced.
const LISTED_LATE_UNFENCED: Bounds = Bounds {
    leaves: false,
    ends: false,
    joins: true,
    listed_late: true,
    ..LEAVER_ENDS_UNFENCED
};

/// Two proxies replace the leader once each, and promotions are not fenced.
const BOTH_UNFENCED: Bounds = Bounds {
    fenced: false,
    time_steps: 2,
    ..BOTH
};

/// One proxy replaces the leader twice while an older order may still be executed, which no token ends.
const TWICE_AFTER_LATE_ORDER_UNFENCED: Bounds = Bounds {
    fenced: false,
    time_steps: 2,
    successes_need_trust: false,
    ..TWICE_AFTER_LATE_ORDER
};

#[rstest]
#[case::alone(ALONE)]
#[case::alone_and_leaving(HANDOVER)]
#[case::both(BOTH)]
#[case::after_late_order(AFTER_LATE_ORDER)]
#[case::twice_after_late_order(TWICE_AFTER_LATE_ORDER)]
#[case::unfenced(UNFENCED)]
#[case::unfenced_and_leaving(Bounds { time_steps: 1, steps_per_lease: 1, ..UNFENCED_HANDOVER })]
#[case::unfenced_and_leaving_in_half_steps(Bounds { lost_answers: 0, delayed_answers: false, ..UNFENCED_HANDOVER })]
#[case::leaving_while_member_joins(Bounds { joins: true, ..HANDOVER })]
#[case::leaving_while_held_member_restarts(Bounds { restarts: 1, delayed_answers: false, ..HANDOVER })]
#[case::late_evidence(LATE_EVIDENCE)]
#[case::store_silent(STORE_SILENT)]
#[case::twice_unfenced(TWICE_UNFENCED)]
#[case::join_in_one_directory(Bounds {
    time_steps: 3,
    one_directory: true,
    judged: Some(Violation::StaleRead),
    ..JOINS
})]
#[case::restore_with_reads(RESTORE_WITH_READS)]
#[case::both_unfenced(BOTH_UNFENCED)]
#[case::both_with_restore(BOTH_WITH_RESTORE)]
#[case::both_with_restore_unfenced(BOTH_WITH_RESTORE_UNFENCED)]
#[case::twice_after_late_order_unfenced(TWICE_AFTER_LATE_ORDER_UNFENCED)]
fn promotions_lose_nothing_within_bounds(#[case] bounds: Bounds) {
    let found = search(bounds, Mutation::None);
    assert_eq!(found.violation, None);
    assert!(found.promotions > 0, "some attempts succeed");
}

/// Leaders acknowledged writes after their replacement, and callers were told of the success (review case 3).
#[test]
fn writes_that_old_leader_acknowledges_after_promotion_are_kept() {
    let found = search(LATE_CONFIRMS, Mutation::None);
    assert_eq!(found.violation, None);
    assert!(found.promotions > 0, "some attempts succeed");
}

/// A member that joins or restarts after the holds confirms writes.
#[rstest]
#[case::restart(RESTARTS)]
#[case::join(JOINS)]
#[case::join_after_hold(JOINS_LATE)]
fn writes_are_kept_beside_members_outside_hold(#[case] bounds: Bounds) {
    let bounds = Bounds {
        successes_need_lease: true,
        judged: Some(Violation::LostWrite),
        ..bounds
    };
    let found = search(bounds, Mutation::None);
    assert_eq!(found.violation, None);
    assert!(found.promotions > 0, "some attempts succeed");
}

/// A member that joins or restarts after the holds answers as if no promotion were prepared.
#[rstest]
#[case::restart(RESTARTS)]
#[case::join(JOINS)]
#[case::join_after_hold(JOINS_LATE)]
#[case::join_while_store_is_silent(Bounds { time_steps: 3, store_silent: true, ..JOINS })]
fn reads_are_fresh_beside_members_outside_hold(#[case] bounds: Bounds) {
    let judged = Some(Violation::StaleRead);
    let found = search(Bounds { judged, ..bounds }, Mutation::None);
    assert_eq!(found.violation, None);
    assert!(found.promotions > 0, "some attempts succeed");
}

#[rstest]
#[case::restart_lost_write_fenced(COUNTED_BESIDE_RESTART, Violation::LostWrite)]
#[case::restart_stale_read_store_silent(Bounds { time_steps: 3, store_silent: true, ..RESTARTS }, Violation::StaleRead)]
#[case::join_lost_write_fenced(
    Bounds { listed_late: false, ..LISTED_LATE },
    Violation::LostWrite
)]
fn promises_hold_beside_members_outside_hold(#[case] bounds: Bounds, #[case] judged: Violation) {
    let judged = Some(judged);
    let found = search(Bounds { judged, ..bounds }, Mutation::None);
    assert_eq!(found.violation, None);
}

/// The only replica that confirmed was one that leaves, or one that claimants did not know, and the commit was lost.
#[rstest]
#[case::leaver_ends(LEAVER_ENDS)]
#[case::leaver_ends_unfenced(LEAVER_ENDS_UNFENCED)]
#[case::leaver_ends_after_lost_record(LEAVER_ENDS_TWICE)]
#[case::listed_late(LISTED_LATE)]
#[case::listed_late_unfenced(LISTED_LATE_UNFENCED)]
fn writes_are_kept_beside_uncounted_confirmers(#[case] bounds: Bounds) {
    let found = search(bounds, Mutation::None);
    assert_eq!(found.violation, None);
    assert!(found.promotions > 0, "some attempts succeed");
}

#[rstest]
#[case::members_not_held(ALONE, Mutation::HoldsIgnored)]
#[case::tokens_not_checked(TWICE_AFTER_LATE_ORDER, Mutation::TokensUnchecked)]
#[case::claim_not_conditional(BOTH, Mutation::ClaimUnconditional)]
#[case::unanswered_order_forgotten(AFTER_LATE_ORDER, Mutation::OrdersForgotten)]
#[case::leases_not_awaited(UNFENCED, Mutation::LeasesNotAwaited)]
#[case::leases_ignored(UNFENCED, Mutation::LeasesIgnored)]
#[case::successes_not_covered(LATE_CONFIRMS, Mutation::SuccessesNotCovered)]
#[case::late_leader_trusted(AFTER_LATE_ORDER, Mutation::SuccessesNotCovered)]
#[case::successes_beside_joins_not_covered(Bounds { successes_need_lease: true, ..JOINS }, Mutation::SuccessesNotCovered)]
#[case::leader_not_stopped(Bounds { joins: true, ..HANDOVER }, Mutation::DemotionsIgnored)]
#[case::directory_not_read(
    Bounds { successes_need_lease: true, judged: Some(Violation::LostWrite), ..JOINS },
    Mutation::JoinsNotListed
)]
#[case::replicas_start_leases(UNFENCED, Mutation::ReplicasStartLeases)]
#[case::claim_in_progress_starts_lease(UNFENCED, Mutation::ClaimInProgressStartsLease)]
#[case::other_ordered_starts_lease(UNFENCED, Mutation::OtherOrderedStartsLease)]
#[case::lapsed_leases_extended(UNFENCED, Mutation::LapsedLeasesExtended)]
#[case::replicas_extend_leases(Bounds { judged: Some(Violation::StaleRead), ..JOINS_LATE }, Mutation::ReplicasExtendLeases)]
#[case::next_term_always_believed(TWICE_UNFENCED, Mutation::NextTermAlwaysBelieved)]
#[case::lost_claim_starts_lease(RESTORE_WITH_READS, Mutation::LostClaimStartsLease)]
#[case::old_beliefs_start_leases(TWICE_UNFENCED, Mutation::OldBeliefsStartLeases)]
#[case::last_ordered_kept_across_eras(TWICE_WITH_RESTORE, Mutation::LastOrderedKeptAcrossEras)]
#[case::one_member_starts_lease(STORE_SILENT, Mutation::OneMemberStartsLease)]
#[case::older_orders_ended(Bounds { time_steps: 0, ..TWICE_AFTER_LATE_ORDER_UNFENCED }, Mutation::OlderOrdersEnded)]
#[case::lost_claims_ignored(BOTH_WITH_RESTORE, Mutation::LostClaimsIgnored)]
#[case::tokens_without_era(BOTH_WITH_RESTORE_UNFENCED, Mutation::TokensWithoutEra)]
#[case::leavers_alone_confirm(LEAVER_ENDS, Mutation::ConfirmersNotCounted)]
#[case::leavers_alone_confirm_unfenced(LEAVER_ENDS_UNFENCED, Mutation::ConfirmersNotCounted)]
#[case::unlisted_members_alone_confirm(LISTED_LATE, Mutation::ConfirmersNotCounted)]
#[case::unlisted_members_alone_confirm_unfenced(
    LISTED_LATE_UNFENCED,
    Mutation::ConfirmersNotCounted
)]
#[case::leavers_counted(LEAVER_ENDS, Mutation::LeaversCounted)]
#[case::members_counted_once_listed(LISTED_LATE, Mutation::ListedMembersCounted)]
#[case::restarted_members_counted(COUNTED_BESIDE_RESTART, Mutation::RestartsUnnoticed)]
#[case::released_after_claim(Bounds { lost_answers: 1, ..BOTH }, Mutation::ReleasedLate)]
fn promotions_without_mechanism_lose_writes(#[case] bounds: Bounds, #[case] mutation: Mutation) {
    let found = search(bounds, mutation);
    assert!(found.violation.is_some(), "{mutation:?} is not needed?");
}
