//! Tests of the stages of a failover, answer by answer.

use std::time::{Duration, Instant};

use fulmarlift_core::{effect, event, failover, floor, id, status};
use rstest::rstest;

const GROUP: id::GroupId = 1;
const ONE_HOUR: Duration = Duration::from_secs(3_600);

/// A failover of one group with members 1 to 3, whose time and evidence the test sets.
struct Fixture {
    failover: failover::Failover,
    watch: status::Watch,
    evidence: failover::Evidence,
    proxy: id::ProxyId,
    now: Instant,
    last_control_request: id::ControlRequestId,
}

impl Fixture {
    /// Creates the failover of a first-ranked proxy to which two of three members answer, but no primary.
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
            last_control_request: 0,
        }
    }

    /// Runs a step and returns its effects, without log records.
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
            last_control_request: &mut self.last_control_request,
            effects: &mut effects,
        };
        step(&mut self.failover, &mut context);
        effects.retain(|effect| !matches!(effect, effect::Effect::RecordChange(_)));
        effects
    }

    fn tick(&mut self) -> Vec<effect::Effect> {
        self.run(failover::Failover::tick)
    }

    /// Ticks until the failover claims a term; returns the claim's control request and term.
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
            other => panic!("expected a claim, got {other:?}"),
        }
    }

    /// Answers the claim and returns the effects.
    fn answer_claim(
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

    /// Claims a term and returns the fence requests.
    fn fence(&mut self) -> Vec<effect::TermRequest> {
        let (control_request, _) = self.claim();
        term_requests(&self.answer_claim(control_request, event::ClaimResult::Won))
    }

    /// Answers a fence or promotion and returns the effects. The member's number is the last position of its log.
    fn answer_term_request(
        &mut self,
        request: effect::TermRequest,
        granted: bool,
    ) -> Vec<effect::Effect> {
        let status = event::Status {
            term: request.term,
            last: floor::Point::new(1, request.member),
            ..event::Status::default()
        };
        let answer = event::TermAnswer {
            control_request: request.control_request,
            group: GROUP,
            member: request.member,
            result: Some((status, granted)),
        };
        self.run(|failover, context| failover.apply_term_answer(context, answer))
    }

    fn stage(&self) -> failover::StageName {
        self.failover.stage.name()
    }
}

/// Returns the fences and promotions among the effects.
fn term_requests(effects: &[effect::Effect]) -> Vec<effect::TermRequest> {
    let requests = effects.iter().filter_map(|effect| match effect {
        effect::Effect::Fence(request) | effect::Effect::Promote(request) => Some(*request),
        _ => None,
    });
    requests.collect()
}

#[test]
fn granted_promotes_most_advanced_of_a_majority() {
    let mut fixture = Fixture::new();
    let requests = fixture.fence();
    assert_eq!(fixture.answer_term_request(requests[0], true), Vec::new());
    let effects = fixture.answer_term_request(requests[1], true);
    let promoted: Vec<_> = term_requests(&effects)
        .iter()
        .map(|request| request.member)
        .collect();
    assert_eq!(promoted, vec![2]);
}

#[test]
fn granted_ignores_answers_of_earlier_attempts() {
    let mut fixture = Fixture::new();
    let earlier = fixture.fence();
    fixture.now += Duration::from_millis(600);
    fixture.tick();
    fixture.now += Duration::from_secs(2);
    let requests = fixture.fence();
    let stale = effect::TermRequest {
        control_request: earlier[0].control_request,
        ..requests[0]
    };
    assert_eq!(fixture.answer_term_request(stale, true), Vec::new());
    let effects = fixture.answer_term_request(requests[1], true);
    assert_eq!(
        term_requests(&effects),
        Vec::new(),
        "one grant is no majority"
    );
}

#[test]
fn granted_refusal_of_majority_gives_up_at_once() {
    let mut fixture = Fixture::new();
    let requests = fixture.fence();
    fixture.answer_term_request(requests[0], false);
    assert_eq!(fixture.stage(), failover::StageName::Fencing);
    fixture.answer_term_request(requests[1], false);
    assert_eq!(fixture.stage(), failover::StageName::Idle);
}

#[test]
fn give_up_spreads_claimants_of_equal_rank() {
    let backoff = |proxy| {
        let mut fixture = Fixture::new();
        fixture.proxy = proxy;
        let requests = fixture.fence();
        fixture.answer_term_request(requests[0], false);
        fixture.answer_term_request(requests[1], false);
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
    fixture.now += ONE_HOUR;
    fixture.tick();
    fixture.now += ONE_HOUR;
    let (_, second) = fixture.claim();
    assert!(second > first, "{second} after {first}");
}

#[test]
fn claim_without_answer_goes_on_by_grants() {
    let mut fixture = Fixture::new();
    fixture.claim();
    fixture.now += Duration::from_millis(300);
    assert_eq!(term_requests(&fixture.tick()).len(), 3);
}

#[test]
fn claim_is_dropped_when_the_primary_answers_again() {
    let mut fixture = Fixture::new();
    let (control_request, _) = fixture.claim();
    fixture.evidence.primary_answers = true;
    fixture.tick();
    let effects = fixture.answer_claim(control_request, event::ClaimResult::Won);
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
    let effects = fixture.answer_claim(control_request, event::ClaimResult::Unavailable);
    assert_eq!(effects, Vec::new());
}

#[rstest]
#[case::won(event::ClaimResult::Won)]
#[case::unavailable(event::ClaimResult::Unavailable)]
fn claimed_after_own_pause_fences_nobody(#[case] result: event::ClaimResult) {
    let mut fixture = Fixture::new();
    let (control_request, _) = fixture.claim();
    fixture.now += ONE_HOUR;
    assert_eq!(fixture.answer_claim(control_request, result), Vec::new());
}

#[test]
fn granted_after_own_pause_promotes_nobody() {
    let mut fixture = Fixture::new();
    let requests = fixture.fence();
    fixture.answer_term_request(requests[0], true);
    fixture.now += ONE_HOUR;
    assert_eq!(fixture.answer_term_request(requests[1], true), Vec::new());
}

#[test]
fn claimed_by_other_with_fast_clock_holds_back_for_a_lease_only() {
    let mut fixture = Fixture::new();
    let (control_request, term) = fixture.claim();
    let until = fixture.now + ONE_HOUR;
    let held = event::ClaimResult::Held {
        term: term + 3,
        until,
    };
    fixture.answer_claim(control_request, held);
    assert_eq!(fixture.tick(), Vec::new());
    fixture.now += Duration::from_millis(1_500);
    let (_, next) = fixture.claim();
    assert_eq!(next, term + 4, "the other claimant holds the term before");
}

#[test]
fn tick_fences_again_where_no_answer_came() {
    let mut fixture = Fixture::new();
    let requests = fixture.fence();
    fixture.answer_term_request(requests[0], true);
    fixture.now += Duration::from_millis(150);
    let resent_to: Vec<_> = term_requests(&fixture.tick())
        .iter()
        .map(|request| request.member)
        .collect();
    assert_eq!(resent_to, vec![2, 3]);
}

#[test]
fn wait_needs_a_round_of_answers_that_began_later() {
    let mut fixture = Fixture::new();
    let mut effects = Vec::new();
    let tick = |fixture: &mut Fixture, effects: &mut Vec<effect::Effect>| {
        let (now, last_control_request) = (fixture.now, &mut fixture.last_control_request);
        fixture.watch.tick(now, last_control_request, effects);
    };
    tick(&mut fixture, &mut effects);
    answer_all(&mut fixture, &mut effects);
    fixture.now += Duration::from_millis(100);
    fixture.tick();
    assert_eq!(
        fixture.tick(),
        Vec::new(),
        "members have not answered again"
    );
    tick(&mut fixture, &mut effects);
    answer_all(&mut fixture, &mut effects);
    assert!(matches!(
        fixture.tick().as_slice(),
        [effect::Effect::Claim { .. }]
    ));
}

/// Answers every status request among the effects.
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
            fixture.watch.apply_status_answer(fixture.now, answer);
        }
    }
}

/// Makes members 2 and 3 report that they no longer hear from primary 1, whose log is the most advanced.
fn lose_majority(fixture: &mut Fixture) {
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

/// Ticks past the grace period for a primary that lost its majority, until the failover claims a term.
fn claim_after_grace_period(fixture: &mut Fixture) -> (id::ControlRequestId, id::Term) {
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
        other => panic!("expected a claim, got {other:?}"),
    }
}

#[test]
fn claimed_for_primary_without_majority_leaves_it_out() {
    let mut fixture = Fixture::new();
    lose_majority(&mut fixture);
    let (control_request, _) = claim_after_grace_period(&mut fixture);
    let requests = term_requests(&fixture.answer_claim(control_request, event::ClaimResult::Won));
    let fenced: Vec<_> = requests.iter().map(|request| request.member).collect();
    assert_eq!(
        fenced,
        vec![2, 3],
        "the old primary's log is the most advanced and would be promoted"
    );
    fixture.answer_term_request(requests[0], true);
    assert_eq!(fixture.stage(), failover::StageName::Fencing);
    let promoted = term_requests(&fixture.answer_term_request(requests[1], true));
    assert_eq!(promoted.len(), 1);
}

#[test]
fn wait_spares_primary_that_paused_replicas_hear_again() {
    let mut fixture = Fixture::new();
    lose_majority(&mut fixture);
    fixture.tick();
    fixture.now += Duration::from_millis(500);
    assert_eq!(fixture.tick(), Vec::new());
    fixture.evidence.primary_lost_majority = false;
    fixture.now += Duration::from_millis(200);
    assert_eq!(fixture.tick(), Vec::new());
    assert_eq!(fixture.stage(), failover::StageName::Idle);
}

#[test]
fn wait_backs_off_after_replacing_primary_without_majority() {
    let mut fixture = Fixture::new();
    lose_majority(&mut fixture);
    let (control_request, term) = claim_after_grace_period(&mut fixture);
    let requests = term_requests(&fixture.answer_claim(control_request, event::ClaimResult::Won));
    fixture.answer_term_request(requests[0], false);
    fixture.answer_term_request(requests[1], false);
    assert_eq!(fixture.stage(), failover::StageName::Idle);
    fixture.now += Duration::from_secs(9);
    fixture.tick();
    assert_eq!(fixture.stage(), failover::StageName::Idle);
    fixture.now += Duration::from_secs(1);
    let (_, next) = claim_after_grace_period(&mut fixture);
    assert!(next > term);
}

#[rstest]
#[case::serves(false, false, failover::Verdict::Healthy)]
#[case::lost_majority(true, false, failover::Verdict::Replace)]
#[case::lost_majority_and_leaving(true, true, failover::Verdict::Replace)]
#[case::leaving(false, true, failover::Verdict::HandOver)]
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
        peers_reporting_answers: 5,
        ..failover::Evidence::default()
    };
    assert_eq!(evidence.verdict(), verdict);
}
