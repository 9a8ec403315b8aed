//! Tests of leaders that hand over: the members, the store and the platform answer by themselves.

mod support;

use std::collections::BTreeMap;

use fulmarlift_broker::claim::ClaimRow;
use fulmarlift_broker::effect::{Effect, MemberCommand};
use fulmarlift_broker::event::{Answer, Event, OrderOutcome, StatementReport, StoreOutcome};
use fulmarlift_broker::failover::LOST_CLAIM_TIMEOUT;
use fulmarlift_broker::revision::Revision;
use fulmarlift_broker::trust::TRUST_DURATION;
use fulmarlift_core::id;
use rstest::rstest;
use support::{Fixture, GROUP, member_at, status, version};

/// A group whose member 1 leads term 1 and leaves. Its replicas have received its log up to 528.
struct Group {
    fixture: Fixture,
    /// Position up to which each member has received.
    received: BTreeMap<id::MemberId, u64>,
    leader_leads: bool,
    /// Whether member 4 joins, and confirms two entries, once the choice has been made.
    joins: bool,
    /// Whether the replicas receive the rest of the leader's log.
    catches_up: bool,
    /// Member that receives nothing more once the choice has been made, while another entry follows.
    stops_following: Option<id::MemberId>,
    /// That member, from then on.
    stopped: Option<id::MemberId>,
    /// Whether member 3 receives another entry before it first answers, after member 2 has been chosen.
    grows: bool,
    /// Member that confirms two more entries after the leader has answered that it has stopped, while the others receive nothing.
    confirms_after_stop: Option<id::MemberId>,
    /// Ends of the log with which the leader answers after it has stopped, one after the other: it executes what waited there.
    executes_after_stop: Vec<u64>,
    /// Whether the leader answers nothing once it has stopped.
    is_silent_after_stop: bool,
    /// Members that answer no hold command.
    silent_to_holds: Vec<id::MemberId>,
    /// Members that answer no command.
    silent: Vec<id::MemberId>,
    /// Member that leads term 2 beside the leader, by an order that the claim row does not tell.
    newer_leader: Option<id::MemberId>,
    /// The claim row as the store returns it.
    row: ClaimRow,
    row_version: u64,
    /// Targets of the orders that were given, with the position up to which each had received.
    orders: Vec<(id::MemberId, u64)>,
    /// Outcomes of the next orders; later ones are accepted.
    outcomes: Vec<OrderOutcome>,
}

impl Group {
    fn new() -> Self {
        let mut group = Self::before_leaving();
        group.let_leader_leave();
        group
    }

    fn let_leader_leave(&mut self) {
        let mut leaving = member_at(1, "a", true);
        leaving.leaving = true;
        leaving.revision = version(10);
        self.fixture.handle(Event::Listed(leaving));
    }

    /// The same group where the store has no claim row, and may have lost one: it tells an era.
    fn without_row(fenced: bool) -> Self {
        let mut group = Self::before_leaving();
        if !fenced {
            group.fixture = Fixture::unfenced();
        }
        group.row.revision.era = 1;
        group.fixture.handle(Event::StoreEra {
            era: 1,
            known_for: LOST_CLAIM_TIMEOUT,
        });
        group.fixture.advance(2_500);
        group
    }

    fn before_leaving() -> Self {
        Self {
            fixture: Fixture::new(),
            received: [(1, 528), (2, 528), (3, 528)].into(),
            leader_leads: true,
            joins: false,
            catches_up: true,
            stops_following: None,
            stopped: None,
            grows: false,
            confirms_after_stop: None,
            executes_after_stop: Vec::new(),
            is_silent_after_stop: false,
            silent_to_holds: Vec::new(),
            silent: Vec::new(),
            newer_leader: None,
            row: ClaimRow::default(),
            row_version: 20,
            orders: Vec::new(),
            outcomes: Vec::new(),
        }
    }

    /// Plays for `ms` milliseconds.
    fn play(&mut self, ms: u64) {
        for _ in 0..ms / 100 {
            self.answer_all();
            self.fixture.advance(100);
        }
        self.answer_all();
    }

    fn answer_all(&mut self) {
        loop {
            let effects = self.fixture.take_effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                self.answer(effect);
            }
        }
    }

    fn answer(&mut self, effect: Effect) {
        let group = GROUP;
        match effect {
            Effect::LoadClaim(_) => {
                let asked_at = self.fixture.now;
                let stored = Some(self.row.clone());
                self.fixture.handle(Event::ClaimLoaded {
                    group,
                    asked_at,
                    stored,
                });
            }
            Effect::StoreClaim { claim, .. } => {
                if claim.target.is_some() && std::mem::take(&mut self.joins) {
                    self.join();
                }
                if claim.target.is_some()
                    && let Some(member) = self.stops_following.take()
                {
                    self.stopped = Some(member);
                    self.received.insert(1, 529);
                }
                self.row_version += 1;
                let era = self.row.revision.era;
                let outcome = StoreOutcome::Written(Revision {
                    era,
                    ..version(self.row_version)
                });
                self.fixture.handle(Event::ClaimStored { group, outcome });
            }
            Effect::OrderPromotion { member, .. } => {
                self.orders.push((member, self.received[&member]));
                let outcome = match self.outcomes.is_empty() {
                    true => OrderOutcome::Accepted,
                    false => self.outcomes.remove(0),
                };
                let event = Event::PromotionOrdered { group, outcome };
                self.fixture.handle(event);
            }
            Effect::SendCommand {
                member, command, ..
            } if !self.silent.contains(&member) => {
                if member == 1 && !self.leader_leads && self.is_silent_after_stop {
                    return;
                }
                if member == 1 && !self.leader_leads && !self.executes_after_stop.is_empty() {
                    let end = self.executes_after_stop.remove(0);
                    self.received.insert(1, end);
                }
                if member == 1 && matches!(command, MemberCommand::Demote(_)) {
                    self.leader_leads = false;
                }
                if member == 3 && std::mem::take(&mut self.grows) {
                    self.received.extend([(1, 529), (3, 529)]);
                }
                let held_term = match command {
                    MemberCommand::Hold(_) if self.silent_to_holds.contains(&member) => return,
                    MemberCommand::Hold(term) => term,
                    _ => 0,
                };
                let is_newer = self.newer_leader == Some(member);
                let leads = member == 1 && self.leader_leads || is_newer;
                let received = (1, self.received[&member]);
                let asked_at = self.fixture.now;
                let term = 1 + u64::from(is_newer);
                let status = Some(status(leads, term, received, held_term));
                self.fixture.handle(Event::StatusAnswered {
                    group,
                    member,
                    asked_at,
                    status,
                });
                if member == 1
                    && !leads
                    && let Some(member) = self.confirms_after_stop.take()
                {
                    self.received.insert(member, 530);
                    self.catches_up = false;
                }
                if self.catches_up && member != 1 && Some(member) != self.stopped {
                    self.received.insert(member, self.received[&1]);
                }
            }
            _ => {}
        }
    }

    /// Lets member 4 join and confirm two entries of the leader.
    fn join(&mut self) {
        let mut joined = member_at(4, "d", false);
        joined.revision = version(30);
        self.received.extend([(4, 530), (1, 530)]);
        self.fixture.handle(Event::Listed(joined));
    }
}

/// The first replacement of a leader was a take-over wherever the store tells its era. The leader, which answers, went on meanwhile, and
/// members confirmed its commits that the claimant did not know (issue 58).
#[rstest]
#[case::fenced(true)]
#[case::unfenced(false)]
fn leader_hands_over_where_store_may_have_lost_claim(#[case] fenced: bool) {
    let mut group = Group::without_row(fenced);
    group.let_leader_leave();
    group.play(500);
    assert!(
        !group.leader_leads,
        "the leader is stopped before the order"
    );
    assert_eq!(group.orders, [(2, 528)]);
}

/// Where promotions are fenced, a leader that answers proves that none other was promoted. Where they are not, one that does not answer
/// may have been, by a claim that the store has lost.
#[rstest]
#[case::fenced(true, false, &[(2, 528)])]
#[case::unfenced(false, true, &[])]
fn leader_hands_over_beside_silent_member_only_if_that_one_cannot_lead(
    #[case] fenced: bool,
    #[case] leads_on: bool,
    #[case] orders: &[(id::MemberId, u64)],
    #[values(false, true)] ended_before: bool,
) {
    let mut group = Group::without_row(fenced);
    group.silent = vec![3];
    if ended_before {
        group.fixture.silence(3);
    }
    group.let_leader_leave();
    group.play(2_000);
    assert_eq!(group.leader_leads, leads_on);
    assert_eq!(group.orders, orders);
}

/// A member that was promoted by a claim that the store has lost leads: nobody is ordered, and nothing is stopped.
#[test]
fn leader_does_not_hand_over_beside_newer_leader_of_lost_claim() {
    let mut group = Group::without_row(false);
    group.newer_leader = Some(3);
    group.let_leader_leave();
    group.play(2_000);
    assert!(group.leader_leads, "it is not asked to stop");
    assert_eq!(group.orders, []);
}

/// Commits were acknowledged by way of a member that had joined after the choice, and lost with the promotion of another one (review
/// cases 1 and 2).
#[rstest]
#[case::others_catch_up(true, vec![])]
#[case::others_do_not_catch_up(false, vec![])]
#[case::order_is_unanswered(false, vec![OrderOutcome::Unknown])]
fn order_names_member_with_whole_log_of_stopped_leader(
    #[case] catches_up: bool,
    #[case] outcomes: Vec<OrderOutcome>,
) {
    let mut group = Group::new();
    group.joins = true;
    group.catches_up = catches_up;
    group.outcomes = outcomes;
    group.play(2_000);
    assert!(
        !group.leader_leads,
        "the leader is stopped before the order"
    );
    assert!(!group.orders.is_empty());
    for (target, received) in group.orders {
        assert_eq!(received, 530, "member {target}");
    }
}

/// Guards against the loss of commits that waited for their execution when their leader was stopped (inc12).
#[test]
fn order_names_member_that_confirmed_commits_after_leader_had_stopped() {
    let mut group = Group::new();
    group.confirms_after_stop = Some(3);
    group.play(500);
    assert!(!group.orders.is_empty());
    for (target, received) in group.orders {
        assert_eq!((target, received), (3, 530));
    }
}

/// Guards against the loss of such commits where a member confirmed them that nobody knows yet (inc14).
#[rstest]
#[case::executed_at_once(vec![530], true, (2, 530))]
#[case::executed_for_a_while(vec![530, 531, 532], true, (2, 532))]
#[case::executed_beside_holds(vec![528, 530], false, (1, 530))]
#[case::others_receive_nothing(vec![530], false, (1, 530))]
#[case::executed_without_end((530..600).collect(), true, (1, 537))]
fn handover_counts_commits_that_leader_executed_after_stop(
    #[case] ends: Vec<u64>,
    #[case] catches_up: bool,
    #[case] ordered: (id::MemberId, u64),
) {
    let mut group = Group::new();
    group.executes_after_stop = ends;
    group.catches_up = catches_up;
    group.play(2_500);
    assert_eq!(group.orders.first(), Some(&ordered));
}

/// Guards against an order that rests on the first answer of a leader that has stopped and does not answer any more (inc14).
#[test]
fn stopped_leader_that_does_not_answer_is_taken_over_from() {
    let mut group = Group::new();
    group.is_silent_after_stop = true;
    group.play(1_500 + TRUST_DURATION.as_millis() as u64);
    assert!(!group.leader_leads);
    assert_eq!(
        group.orders,
        [],
        "the directory is read before the choice, which nobody answers here"
    );
    let (group_id, is_read) = (GROUP, true);
    group.fixture.handle(Event::DirectoryLoaded {
        group: group_id,
        is_read,
    });
    group.play(200);
    assert_eq!(group.orders, [(2, 528)]);
}

/// Guards against the loss of such commits where the member that confirmed them is slow (inc12).
#[rstest]
#[case::answers_late(true, (3, 530))]
#[case::never_answers(false, (1, 528))]
fn handover_waits_for_hold_of_member_that_runs(
    #[case] answers: bool,
    #[case] ordered: (id::MemberId, u64),
) {
    let mut group = Group::new();
    group.confirms_after_stop = Some(3);
    group.silent_to_holds = vec![3];
    group.play(800);
    assert!(!group.leader_leads, "the leader has stopped");
    assert_eq!(group.orders, []);
    if answers {
        group.silent_to_holds.clear();
    }
    group.play(1_000);
    assert_eq!(group.orders.first(), Some(&ordered));
}

/// A leader whose last entries only a member had that is gone must not be left without a successor.
#[test]
fn leader_leads_on_if_no_member_has_its_whole_log() {
    let mut group = Group::new();
    group.joins = true;
    group.catches_up = false;
    group.silent = vec![4];
    group.play(2_000);
    assert_eq!(group.orders, [(1, 530)]);
}

/// A replica that does not run does not delay the handover: another one has the whole log.
#[test]
fn handover_does_not_wait_for_replica_that_does_not_run() {
    let mut group = Group::before_leaving();
    group.silent = vec![3];
    group.fixture.silence(3);
    group.let_leader_leave();
    group.play(700);
    assert_eq!(group.orders, [(2, 528)]);
}

/// Guards against the loss of commits that a slow replica confirms after the leader has stopped (inc13).
#[test]
fn leader_is_not_stopped_before_slow_replica_has_answered() {
    let mut group = Group::new();
    group.confirms_after_stop = Some(3);
    group.silent = vec![3];
    group.play(900);
    assert!(group.leader_leads);
    group.silent.clear();
    group.play(1_000);
    assert_eq!(group.orders, [(3, 530)]);
}

/// A replica that has ended a moment ago may run as far as this proxy knows.
#[test]
fn leader_hands_over_beside_silent_replica_in_time() {
    let mut group = Group::new();
    group.silent = vec![3];
    group.play(1_100);
    assert!(group.leader_leads);
    group.play(900);
    assert_eq!(group.orders, [(2, 528)]);
}

/// Guards against the loss of commits that a replica confirms which comes back after the leader has stopped (inc13).
#[test]
fn handover_waits_for_hold_of_replica_that_is_back() {
    let mut group = Group::before_leaving();
    group.confirms_after_stop = Some(3);
    group.silent = vec![3];
    group.fixture.silence(3);
    group.let_leader_leave();
    while group.leader_leads {
        group.play(100);
    }
    assert_eq!(group.orders, []);
    let report = StatementReport {
        member: 3,
        answer: Answer::Served,
        point: None,
        floor: None,
        connected_at: None,
        took: None,
    };
    group.fixture.handle(Event::StatementEnded(report));
    group.play(500);
    assert_eq!(group.orders, [], "it answers again, but not its hold");
    group.silent.clear();
    group.play(800);
    assert_eq!(group.orders, [(3, 530)]);
}

/// The leader is not stopped while no replica follows its log.
#[test]
fn leader_is_not_stopped_while_replicas_receive_nothing() {
    let mut group = Group::new();
    group.received.insert(1, 600);
    group.catches_up = false;
    group.play(2_000);
    assert!(group.leader_leads);
    assert_eq!(group.orders, []);
}

/// A leader that does not answer is taken over from, which takes the logs of all members.
#[test]
fn silent_leader_is_taken_over_from() {
    let mut group = Group::new();
    group.silent = vec![1];
    group.play(1_200 + TRUST_DURATION.as_millis() as u64);
    assert_eq!(
        group.orders,
        [],
        "the directory is read before the choice, which nobody answers here"
    );
    let (group_id, is_read) = (GROUP, true);
    group.fixture.handle(Event::DirectoryLoaded {
        group: group_id,
        is_read,
    });
    group.play(200);
    assert_eq!(group.orders, [(2, 528)]);
}

/// The answer of the other member had arrived while the choice was recorded, and it was not asked again for 0.9 s (inc10).
#[test]
fn leader_hands_over_to_other_member_once_target_receives_nothing() {
    let mut group = Group::new();
    group.stops_following = Some(2);
    group.play(600);
    assert_eq!(group.orders, [(3, 529)]);
}

/// The leader itself is no worse than another member that leaves: it has its whole log, and nobody has to change.
#[test]
fn leader_does_not_hand_over_to_leaving_member() {
    let mut group = Group::new();
    let mut leaving = member_at(3, "c", false);
    leaving.leaving = true;
    leaving.revision = version(31);
    group.fixture.handle(Event::Listed(leaving));
    group.stops_following = Some(2);
    group.play(2_000);
    assert_eq!(group.orders, [(1, 529)]);
}

/// Another record would cost a call of the store, and 1.5 s if its answer were lost.
#[test]
fn target_has_time_to_receive_rest_of_log_before_other_is_recorded() {
    let mut group = Group::new();
    group.grows = true;
    group.play(500);
    assert_eq!(group.orders, [(2, 529)]);
}
