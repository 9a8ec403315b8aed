//! Decisions after the store has come back from an older copy of itself.

mod support;

use std::time::Duration;

use fulmarlift_broker::claim::{Claim, ClaimRow};
use fulmarlift_broker::effect::{Effect, MemberCommand};
use fulmarlift_broker::event::{Event, OpenFailure, OrderOutcome, StoreOutcome};
use fulmarlift_broker::request::Requirement;
use fulmarlift_broker::revision::Revision;
use fulmarlift_broker::topology::Member;
use fulmarlift_broker::trust::TRUST_DURATION;
use rstest::rstest;
use support::{Fixture, GROUP, member_at, status, version};

fn in_era(era: u64, version: u64) -> Revision {
    Revision { era, version }
}

fn entry(member: u64, leads: bool, revision: Revision) -> Event {
    Event::Listed(Member {
        revision,
        ..member_at(member, ["a", "b", "c"][member as usize - 1], leads)
    })
}

/// Reports an era of the store that began just now.
fn begin_era(fixture: &mut Fixture, era: u64) {
    let known_for = Duration::ZERO;
    fixture.handle(Event::StoreEra { era, known_for });
    fixture.handle(Event::DirectoryRead {
        answered_at: Some(fixture.now),
    });
}

fn has(effects: &[Effect], matches: impl Fn(&Effect) -> bool) -> bool {
    effects.iter().any(matches)
}

/// Makes the leader unreachable and advances to the read of the claim row. The members have 2.3 s to write entries that the
/// directory has lost.
fn begin_replacement(fixture: &mut Fixture) {
    fixture.add_request(Requirement::Leader);
    for _ in 0..30 {
        for effect in fixture.take_effects() {
            match effect {
                Effect::Open { conn, .. } => {
                    let failure = OpenFailure::Refused;
                    fixture.handle(Event::OpenFailed { conn, failure });
                }
                Effect::LoadClaim(_) => return,
                _ => {}
            }
        }
        fixture.advance(100);
    }
    panic!("the leader is not replaced");
}

fn load(fixture: &mut Fixture, claim: Claim, revision: Revision) {
    let stored = ClaimRow {
        claim,
        revision,
        now_ms: 50_000,
    };
    let stored = Some(stored);
    fixture.handle(Event::ClaimLoaded {
        group: GROUP,
        asked_at: fixture.now,
        stored,
    });
}

fn written_claim(effects: &[Effect]) -> Option<Claim> {
    effects.iter().find_map(|effect| match effect {
        Effect::StoreClaim { claim, .. } => Some(claim.clone()),
        _ => None,
    })
}

/// Versions are given out again, so the entries that members write again have lower ones.
#[test]
fn entry_of_newer_era_replaces_entry_of_higher_version() {
    let mut fixture = Fixture::new();
    fixture.handle(entry(2, false, version(100)));
    begin_era(&mut fixture, 1);
    let mut moved = member_at(2, "b", false);
    moved.address = ([127, 0, 0, 1], 7).into();
    moved.revision = in_era(1, 40);
    fixture.handle(Event::Listed(moved.clone()));
    assert_eq!(fixture.broker.member(2), Some(&moved));
    fixture.handle(entry(2, false, version(101)));
    assert_eq!(fixture.broker.member(2), Some(&moved), "a late answer");
}

/// The entry of a member that ended is missing in the new era at a lower version than that of the entry.
#[test]
fn member_missing_in_newer_era_is_dropped_once_it_has_been_asked_in_vain() {
    let mut fixture = Fixture::new();
    fixture.handle(entry(3, false, version(100)));
    begin_era(&mut fixture, 1);
    let name = "member-3".into();
    let revision = in_era(1, 40);
    fixture.handle(Event::Unlisted { name, revision });
    for passed_ms in (0..3_500).step_by(100) {
        let is_known = fixture.broker.member(3).is_some();
        assert!(is_known || passed_ms > 3_000, "it may be listed again");
        for effect in fixture.take_effects() {
            if let Effect::Open { conn, member: 3 } = effect {
                let failure = OpenFailure::Refused;
                fixture.handle(Event::OpenFailed { conn, failure });
            }
        }
        fixture.advance(100);
    }
    assert!(fixture.broker.member(3).is_none());
}

/// The copy has the entry from before the member announced that it will stop.
#[test]
fn leaving_member_stays_leaving_in_newer_era() {
    let mut fixture = Fixture::new();
    let mut leaving = member_at(3, "c", false);
    leaving.leaving = true;
    leaving.revision = version(100);
    fixture.handle(Event::Listed(leaving));
    begin_era(&mut fixture, 1);
    fixture.handle(entry(3, false, in_era(1, 40)));
    assert!(fixture.broker.member(3).is_some_and(|entry| entry.leaving));
}

/// The copy has entries from before the last promotion, in which the replaced member leads.
#[test]
fn outdated_entry_of_newer_era_does_not_depose_confirmed_leader() {
    let mut fixture = Fixture::new();
    fixture.handle(entry(1, false, version(90)));
    fixture.handle(entry(2, true, version(91)));
    fixture.handle(Event::StatusAnswered {
        group: GROUP,
        member: 2,
        asked_at: fixture.now,
        status: Some(status(true, 2, (2, 8), 0)),
    });
    assert_eq!(fixture.leader(), Some(2));
    fixture.advance(1_000);
    begin_era(&mut fixture, 1);
    fixture.handle(entry(1, true, in_era(1, 40)));
    fixture.handle(entry(2, false, in_era(1, 41)));
    assert_eq!(fixture.leader(), Some(2));
}

/// The platform may have seen every token of the era before, although the store has lost the claims that used them.
#[test]
fn next_token_is_above_all_tokens_of_earlier_eras() {
    let lost = Claim {
        token: Claim::default().next_token(4) + 1_000,
        ..Claim::default()
    };
    let kept = Claim {
        token: 3,
        ..Claim::default()
    };
    assert!(kept.next_token(5) > lost.token);
    assert_eq!(lost.next_token(4), lost.token + 1);
    assert_eq!(kept.next_token(0), 4, "a store that does not tell its era");
}

/// A row written by the previous release ends before the era, which reads as 0.
#[test]
fn from_bytes_reads_rows_of_earlier_releases() {
    let claim = Claim {
        holder: "proxy-1-0".into(),
        token: 7,
        order_ends_ms: 9,
        era: 3,
        ..Claim::default()
    };
    let read = Claim::from_bytes(&claim.to_bytes());
    assert_eq!(read.expect("it was encoded"), claim);
    let earlier = postcard::to_stdvec(&(&claim, 9_u64)).expect("plain values encode");
    let read = Claim::from_bytes(&earlier).expect("it was encoded");
    assert_eq!((read.order_ends_ms, read.era), (9, 0));
}

/// The newest claim may be lost while its holder acts, and its order may be executed seconds later.
#[rstest]
#[case::claim_of_earlier_era(0, 1_000, false)]
#[case::claim_of_earlier_era_long_ago(0, 15_000, true)]
#[case::claim_of_this_era(1, 1_000, true)]
fn claim_waits_until_lost_claims_have_ended(
    #[case] claim_era: u64,
    #[case] wait_ms: u64,
    #[case] claims: bool,
) {
    let mut fixture = Fixture::new();
    begin_era(&mut fixture, 1);
    fixture.advance(wait_ms);
    begin_replacement(&mut fixture);
    let claim = Claim {
        era: claim_era,
        settled: true,
        ..Claim::default()
    };
    load(&mut fixture, claim, in_era(1, 40));
    let written = written_claim(&fixture.take_effects());
    assert_eq!(written.is_some(), claims);
    if let Some(written) = written {
        assert_eq!(written.era, 1);
    }
}

/// A process that starts knows from its predecessor's entry for how long the store has been in its era.
#[test]
fn claim_counts_age_of_era_from_earlier_processes() {
    let mut fixture = Fixture::new();
    begin_era(&mut fixture, 1);
    let known_for = Duration::from_secs(30);
    fixture.handle(Event::StoreEra { era: 1, known_for });
    begin_replacement(&mut fixture);
    load(&mut fixture, Claim::default(), in_era(1, 0));
    assert!(written_claim(&fixture.take_effects()).is_some());
}

/// Without an era, a missing row means that nobody has claimed yet.
#[test]
fn claim_does_not_wait_where_store_tells_no_era() {
    let mut fixture = Fixture::new();
    begin_replacement(&mut fixture);
    load(&mut fixture, Claim::default(), version(0));
    assert!(written_claim(&fixture.take_effects()).is_some());
}

/// Starts a replacement that holds both replicas, under a claim of era 1.
fn hold_replicas(fixture: &mut Fixture) {
    let known_for = Duration::from_secs(30);
    fixture.handle(Event::StoreEra { era: 1, known_for });
    fixture.handle(Event::DirectoryRead {
        answered_at: Some(fixture.now),
    });
    begin_replacement(fixture);
    load(fixture, Claim::default(), in_era(1, 40));
    fixture.take_effects();
    store_outcome(fixture, StoreOutcome::Written(in_era(1, 41)));
    fixture.advance(100);
}

fn store_outcome(fixture: &mut Fixture, outcome: StoreOutcome) {
    fixture.handle(Event::ClaimStored {
        group: GROUP,
        outcome,
    });
}

fn answer_hold(fixture: &mut Fixture, member: u64) {
    fixture.handle(Event::StatusAnswered {
        group: GROUP,
        member,
        asked_at: fixture.now,
        status: Some(status(false, 0, (0, 5), 1)),
    });
}

/// Answers the hold commands of both rounds, between which the directory is read.
fn hold_twice(fixture: &mut Fixture) {
    answer_hold(fixture, 2);
    answer_hold(fixture, 3);
    fixture.advance(TRUST_DURATION.as_millis() as u64);
    let (group, is_read) = (GROUP, true);
    fixture.handle(Event::DirectoryLoaded { group, is_read });
    answer_hold(fixture, 2);
    answer_hold(fixture, 3);
}

/// The holder's claim is lost. It must not order, and the members that it holds must receive again.
#[test]
fn holder_releases_members_when_store_went_back() {
    let mut fixture = Fixture::new();
    hold_replicas(&mut fixture);
    answer_hold(&mut fixture, 2);
    fixture.take_effects();
    begin_era(&mut fixture, 2);
    let effects = fixture.take_effects();
    assert!(has(&effects, |effect| matches!(
        effect,
        Effect::SendCommand {
            member: 2,
            command: MemberCommand::Release { .. },
            ..
        }
    )));
    answer_hold(&mut fixture, 3);
    fixture.advance(1_000);
    let effects = fixture.take_effects();
    assert!(!has(&effects, |effect| matches!(
        effect,
        Effect::OrderPromotion { .. }
    )));
}

/// The write of the choice was executed after the store had come back, where its version belongs to another change.
#[test]
fn holder_does_not_order_after_record_in_newer_era() {
    let mut fixture = Fixture::new();
    hold_replicas(&mut fixture);
    hold_twice(&mut fixture);
    let recorded = written_claim(&fixture.take_effects());
    assert!(recorded.is_some_and(|claim| claim.target.is_some()));
    store_outcome(&mut fixture, StoreOutcome::Written(in_era(2, 42)));
    assert!(!has(&fixture.take_effects(), |effect| matches!(
        effect,
        Effect::OrderPromotion { .. }
    )));
}

/// The claim that names the target may be lost, so nobody would name the same member again.
#[test]
fn holder_repeats_no_order_after_store_went_back() {
    let mut fixture = Fixture::new();
    hold_replicas(&mut fixture);
    hold_twice(&mut fixture);
    store_outcome(&mut fixture, StoreOutcome::Written(in_era(1, 42)));
    let orders = |effect: &Effect| matches!(effect, Effect::OrderPromotion { .. });
    assert!(has(&fixture.take_effects(), orders));
    begin_era(&mut fixture, 2);
    fixture.handle(Event::PromotionOrdered {
        group: GROUP,
        outcome: OrderOutcome::Unknown,
    });
    fixture.advance(3_000);
    assert!(!has(&fixture.take_effects(), orders));
}
