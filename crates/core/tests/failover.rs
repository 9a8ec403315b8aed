//! The stages of a failover, one answer at a time.

use std::time::{Duration, Instant};

use fulmarlift_core::{effect, event, failover, floor, id, status};
use rstest::rstest;

const GROUP: id::GroupId = 1;
const FAR: Duration = Duration::from_secs(3_600);

struct Fixture {
    failover: failover::Failover,
    watch: status::Watch,
    evidence: failover::Evidence,
    proxy: id::ProxyId,
    now: Instant,
    next_control_request: id::ControlRequestId,
}

impl Fixture {
    /// A proxy of the first rank that misses the primary while two of three members answer.
    fn new() -> Self {
        let now = Instant::now();
        Self {
            failover: failover::Failover::default(),
            watch: status::Watch::new(GROUP, 1..=3, now),
            evidence: failover::Evidence {
                members_answering: 2,
                majority: 2,
                ..failover::Evidence::default()
            },
            proxy: 9,
            now,
            next_control_request: 0,
        }
    }

    fn run(
        &mut self,
        step: impl FnOnce(&mut failover::Failover, &mut failover::Context<'_>),
    ) -> Vec<effect::Effect> {
        let mut effects = Vec::new();
        let mut context = failover::Context {
            now: self.now,
            group: GROUP,
            watch: &self.watch,
            evidence: self.evidence,
            leaving: &[],
            proxy: self.proxy,
            rank: 0,
            next_control_request: &mut self.next_control_request,
            effects: &mut effects,
        };
        step(&mut self.failover, &mut context);
        effects.retain(|effect| !matches!(effect, effect::Effect::RecordChange(_)));
        effects
    }

    fn tick(&mut self) -> Vec<effect::Effect> {
        self.run(failover::Failover::tick)
    }

    /// Ticks until the term is claimed; returns the question.
    fn claim(&mut self) -> (id::ControlRequestId, id::Term) {
        self.tick();
        match self.tick().as_slice() {
            [
                effect::Effect::Claim {
                    control_request,
                    term,
                    ..
                },
            ] => (*control_request, *term),
            other => panic!("no claim but {other:?}"),
        }
    }

    fn claimed(
        &mut self,
        control_request: id::ControlRequestId,
        result: event::ClaimResult,
    ) -> Vec<effect::Effect> {
        let answer = event::ClaimAnswer {
            control_request,
            group: GROUP,
            result,
        };
        self.run(|failover, context| failover.apply_claim_answer(context, answer))
    }

    /// Claims the term and returns the fences.
    fn fence(&mut self) -> Vec<effect::TermRequest> {
        let (control_request, _) = self.claim();
        grants(&self.claimed(control_request, event::ClaimResult::Won))
    }

    fn granted(&mut self, grant: effect::TermRequest, granted: bool) -> Vec<effect::Effect> {
        let status = event::Status {
            term: grant.term,
            last: floor::Point::new(1, grant.member),
            ..event::Status::default()
        };
        let answer = event::TermAnswer {
            control_request: grant.control_request,
            group: GROUP,
            member: grant.member,
            result: Some((status, granted)),
        };
        self.run(|failover, context| failover.apply_term_answer(context, answer))
    }

    fn stage(&self) -> failover::StageName {
        self.failover.stage.name()
    }
}

fn grants(effects: &[effect::Effect]) -> Vec<effect::TermRequest> {
    let grants = effects.iter().filter_map(|effect| match effect {
        effect::Effect::Fence(grant) | effect::Effect::Promote(grant) => Some(*grant),
        _ => None,
    });
    grants.collect()
}

#[test]
fn granted_promotes_most_advanced_of_a_majority() {
    let mut fixture = Fixture::new();
    let fences = fixture.fence();
    assert_eq!(fixture.granted(fences[0], true), Vec::new());
    let effects = fixture.granted(fences[1], true);
    let promoted: Vec<_> = grants(&effects).iter().map(|grant| grant.member).collect();
    assert_eq!(promoted, vec![2]);
}

#[test]
fn granted_ignores_answers_of_earlier_attempts() {
    let mut fixture = Fixture::new();
    let earlier = fixture.fence();
    fixture.now += Duration::from_millis(600);
    fixture.tick();
    fixture.now += Duration::from_secs(2);
    let fences = fixture.fence();
    let stale = effect::TermRequest {
        control_request: earlier[0].control_request,
        ..fences[0]
    };
    assert_eq!(fixture.granted(stale, true), Vec::new());
    let effects = fixture.granted(fences[1], true);
    assert_eq!(grants(&effects), Vec::new(), "one grant is no majority");
}

#[test]
fn granted_refusal_of_majority_gives_up_at_once() {
    let mut fixture = Fixture::new();
    let fences = fixture.fence();
    fixture.granted(fences[0], false);
    assert_eq!(fixture.stage(), failover::StageName::Fencing);
    fixture.granted(fences[1], false);
    assert_eq!(fixture.stage(), failover::StageName::Idle);
}

#[test]
fn give_up_spreads_claimants_of_equal_rank() {
    let backoff = |proxy| {
        let mut fixture = Fixture::new();
        fixture.proxy = proxy;
        let fences = fixture.fence();
        fixture.granted(fences[0], false);
        fixture.granted(fences[1], false);
        let until = fixture.failover.backoff_until;
        until.expect("an attempt was given up") - fixture.now
    };
    let mut backoffs: Vec<Duration> = (1..=8).map(backoff).collect();
    backoffs.sort_unstable();
    backoffs.dedup();
    assert!(backoffs.len() > 1, "{backoffs:?}");
}

#[test]
fn claim_uses_no_term_twice() {
    let mut fixture = Fixture::new();
    let (_, first) = fixture.claim();
    fixture.now += FAR;
    fixture.tick();
    fixture.now += FAR;
    let (_, second) = fixture.claim();
    assert!(second > first, "{second} after {first}");
}

#[test]
fn claim_without_answer_goes_on_by_grants() {
    let mut fixture = Fixture::new();
    fixture.claim();
    fixture.now += Duration::from_millis(300);
    assert_eq!(grants(&fixture.tick()).len(), 3);
}

#[test]
fn claim_is_dropped_when_the_primary_answers_again() {
    let mut fixture = Fixture::new();
    let (control_request, _) = fixture.claim();
    fixture.evidence.primary_answers = true;
    fixture.tick();
    let effects = fixture.claimed(control_request, event::ClaimResult::Won);
    assert_eq!(effects, Vec::new());
}

#[test]
fn claimed_term_that_another_has_fenced_is_left_to_it() {
    let mut fixture = Fixture::new();
    let (control_request, term) = fixture.claim();
    let fenced = event::Status {
        term,
        ..event::Status::default()
    };
    fixture.watch.record_status(fixture.now, 1, fenced);
    let effects = fixture.claimed(control_request, event::ClaimResult::Unavailable);
    assert_eq!(effects, Vec::new());
}

#[rstest]
#[case::won(event::ClaimResult::Won)]
#[case::unavailable(event::ClaimResult::Unavailable)]
fn claimed_after_own_pause_fences_nobody(#[case] result: event::ClaimResult) {
    let mut fixture = Fixture::new();
    let (control_request, _) = fixture.claim();
    fixture.now += FAR;
    assert_eq!(fixture.claimed(control_request, result), Vec::new());
}

#[test]
fn granted_after_own_pause_promotes_nobody() {
    let mut fixture = Fixture::new();
    let fences = fixture.fence();
    fixture.granted(fences[0], true);
    fixture.now += FAR;
    assert_eq!(fixture.granted(fences[1], true), Vec::new());
}

#[test]
fn claimed_by_other_with_fast_clock_holds_back_for_a_lease_only() {
    let mut fixture = Fixture::new();
    let (control_request, term) = fixture.claim();
    let until = fixture.now + FAR;
    let held = event::ClaimResult::Held {
        term: term + 3,
        until,
    };
    fixture.claimed(control_request, held);
    assert_eq!(fixture.tick(), Vec::new());
    fixture.now += Duration::from_millis(1_500);
    let (_, next) = fixture.claim();
    assert_eq!(next, term + 4, "the other's term is taken");
}

#[test]
fn tick_fences_again_where_no_answer_came() {
    let mut fixture = Fixture::new();
    let fences = fixture.fence();
    fixture.granted(fences[0], true);
    fixture.now += Duration::from_millis(150);
    let again: Vec<_> = grants(&fixture.tick()).iter().map(|g| g.member).collect();
    assert_eq!(again, vec![2, 3]);
}

#[test]
fn wait_needs_a_round_of_answers_that_began_later() {
    let mut fixture = Fixture::new();
    let mut effects = Vec::new();
    let tick = |fixture: &mut Fixture, effects: &mut Vec<effect::Effect>| {
        let (now, next_control_request) = (fixture.now, &mut fixture.next_control_request);
        fixture.watch.tick(now, next_control_request, effects);
    };
    tick(&mut fixture, &mut effects);
    answer_all(&mut fixture, &mut effects);
    fixture.now += Duration::from_millis(100);
    fixture.tick();
    assert_eq!(fixture.tick(), Vec::new(), "no member was asked again yet");
    tick(&mut fixture, &mut effects);
    answer_all(&mut fixture, &mut effects);
    assert!(matches!(
        fixture.tick().as_slice(),
        [effect::Effect::Claim { .. }]
    ));
}

fn answer_all(fixture: &mut Fixture, effects: &mut Vec<effect::Effect>) {
    for effect in effects.drain(..) {
        if let effect::Effect::AskStatus {
            control_request,
            member,
            ..
        } = effect
        {
            let answer = event::StatusAnswer {
                control_request,
                group: GROUP,
                member,
                status: Some(event::Status::default()),
            };
            fixture.watch.answer(fixture.now, answer);
        }
    }
}

/// Makes members report what replicas that no longer hear primary 1 report; its log is the furthest.
fn starve(fixture: &mut Fixture) {
    for member in 1..=3 {
        let status = event::Status {
            term: 1,
            primary: member == 1,
            last: floor::Point::new(1, 10 - member),
            upstream_silence: Duration::from_secs(2) * u32::from(member != 1),
            ..event::Status::default()
        };
        fixture.watch.record_status(fixture.now, member, status);
    }
    fixture.evidence = failover::Evidence {
        primary_answers: true,
        primary_lost_majority: true,
        members_answering: 3,
        ..fixture.evidence
    };
}

/// Ticks until a claim goes out.
fn claim_when_confirmed(fixture: &mut Fixture) -> (id::ControlRequestId, id::Term) {
    fixture.tick();
    fixture.now += Duration::from_millis(600);
    match fixture.tick().as_slice() {
        [
            effect::Effect::Claim {
                control_request,
                term,
                ..
            },
        ] => (*control_request, *term),
        other => panic!("no claim but {other:?}"),
    }
}

#[test]
fn claimed_for_starved_primary_leaves_it_out() {
    let mut fixture = Fixture::new();
    starve(&mut fixture);
    let (control_request, _) = claim_when_confirmed(&mut fixture);
    let fences = grants(&fixture.claimed(control_request, event::ClaimResult::Won));
    let fenced: Vec<_> = fences.iter().map(|grant| grant.member).collect();
    assert_eq!(fenced, vec![2, 3], "its log would be the furthest");
    fixture.granted(fences[0], true);
    assert_eq!(fixture.stage(), failover::StageName::Fencing);
    let promoted = grants(&fixture.granted(fences[1], true));
    assert_eq!(promoted.len(), 1);
}

#[test]
fn wait_spares_primary_that_paused_replicas_hear_again() {
    let mut fixture = Fixture::new();
    starve(&mut fixture);
    fixture.tick();
    fixture.now += Duration::from_millis(500);
    assert_eq!(fixture.tick(), Vec::new());
    fixture.evidence.primary_lost_majority = false;
    fixture.now += Duration::from_millis(200);
    assert_eq!(fixture.tick(), Vec::new());
    assert_eq!(fixture.stage(), failover::StageName::Idle);
}

#[test]
fn wait_rests_after_replacing_starved_primary() {
    let mut fixture = Fixture::new();
    starve(&mut fixture);
    let (control_request, term) = claim_when_confirmed(&mut fixture);
    let fences = grants(&fixture.claimed(control_request, event::ClaimResult::Won));
    fixture.granted(fences[0], false);
    fixture.granted(fences[1], false);
    assert_eq!(fixture.stage(), failover::StageName::Idle);
    fixture.now += Duration::from_secs(9);
    fixture.tick();
    assert_eq!(fixture.stage(), failover::StageName::Idle);
    fixture.now += Duration::from_secs(1);
    let (_, next) = claim_when_confirmed(&mut fixture);
    assert!(next > term);
}

#[rstest]
#[case::serves(false, false, failover::Verdict::Healthy)]
#[case::starved(true, false, failover::Verdict::Replace)]
#[case::starved_and_leaving(true, true, failover::Verdict::Replace)]
#[case::leaving(false, true, failover::Verdict::Move)]
fn verdict_of_primary_that_answers(
    #[case] primary_lost_majority: bool,
    #[case] primary_leaving: bool,
    #[case] verdict: failover::Verdict,
) {
    let evidence = failover::Evidence {
        primary_answers: true,
        primary_lost_majority,
        primary_leaving,
        members_answering: 3,
        majority: 2,
        peers_answering: 5,
        ..failover::Evidence::default()
    };
    assert_eq!(evidence.verdict(), verdict);
}
