//! The replacement of leaders.

mod support;

use fulmarlift_broker::claim::Stored;
use fulmarlift_broker::effect::{Effect, MemberCommand};
use fulmarlift_broker::event::{Answer, Event, OrderOutcome, Report, StoreOutcome};
use fulmarlift_core::floor::Point;
use fulmarlift_core::id;
use std::time::Duration;
use support::{GROUP, World, member_at, status};

/// Answers the claim's reading and writing, up to the questions to the members.
fn take_claim(world: &mut World, stored: Stored) {
    world.handle(Event::ClaimLoaded {
        group: GROUP,
        stored: Some(stored),
    });
    let outcome = StoreOutcome::Written(11);
    world.handle(Event::ClaimStored {
        group: GROUP,
        outcome,
    });
    world.pass(100);
}

/// Lets the leader announce that it leaves, and answers the steps up to the questions to the members.
fn begin(world: &mut World) {
    let mut leaving = member_at(1, "a", true);
    leaving.leaving = true;
    leaving.revision = 10;
    world.handle(Event::Listed(leaving));
    world.pass(300);
    take_claim(world, Stored::default());
}

/// Takes the members that are asked to be held, with the term.
fn holds(world: &mut World) -> Vec<(id::MemberId, id::Term)> {
    let hold = |effect| match effect {
        Effect::SendCommand {
            member,
            command: MemberCommand::Hold(term),
            ..
        } => Some((member, term)),
        _ => None,
    };
    let mut holds: Vec<_> = world.take().into_iter().filter_map(hold).collect();
    holds.sort_unstable();
    holds
}

fn answer(world: &mut World, member: id::MemberId, told: (bool, u64, (u64, u64), u64)) {
    let (leads, term, received, held_term) = told;
    world.handle(Event::StatusAnswered {
        group: GROUP,
        member,
        status: Some(status(leads, term, received, held_term)),
    });
}

fn recorded(world: &mut World) -> Option<Box<str>> {
    let target = |effect| match effect {
        Effect::StoreClaim { claim, .. } => claim.target,
        _ => None,
    };
    world.take().into_iter().find_map(target)
}

#[test]
fn hold_asks_everyone_again_after_promotion_in_between() {
    let mut world = World::new();
    begin(&mut world);
    let asked = holds(&mut world);
    let term = asked[0].1;
    assert_eq!(asked, [(2, term), (3, term)]);
    answer(&mut world, 2, (false, term - 1, (term - 1, 500), term));
    // An order carried out late has made a term that releases whoever was held before.
    answer(&mut world, 3, (false, term, (term, 529), 0));
    let chosen = |effect: &Effect| matches!(effect, Effect::StoreClaim { .. });
    assert!(
        !world.effects.iter().any(chosen),
        "member 2 is no longer held"
    );
    let again = holds(&mut world);
    assert_eq!(again, [(2, term + 1), (3, term + 1)]);
    answer(&mut world, 2, (false, term, (term, 531), term + 1));
    answer(&mut world, 3, (false, term, (term, 530), term + 1));
    assert_eq!(recorded(&mut world).as_deref(), Some("member-2"));
}

#[test]
fn choose_takes_furthest_of_all_members() {
    let mut world = World::new();
    begin(&mut world);
    let term = holds(&mut world)[0].1;
    answer(&mut world, 2, (false, term - 1, (term - 1, 500), term));
    assert_eq!(recorded(&mut world), None, "member 3 may have more");
    answer(&mut world, 3, (false, term - 1, (term - 1, 502), term));
    assert_eq!(recorded(&mut world).as_deref(), Some("member-3"));
}

#[test]
fn choose_names_member_of_unanswered_order_again() {
    let mut world = World::new();
    let mut leaving = member_at(1, "a", true);
    leaving.leaving = true;
    leaving.revision = 10;
    world.handle(Event::Listed(leaving));
    world.pass(300);
    let mut stored = Stored {
        revision: 4,
        now_ms: 9_000,
        ..Stored::default()
    };
    stored.claim.token = 6;
    stored.claim.target = Some("member-2".into());
    stored.claim.until_ms = 8_000;
    take_claim(&mut world, stored);
    let term = holds(&mut world)[0].1;
    answer(&mut world, 2, (false, term - 1, (term - 1, 500), term));
    answer(&mut world, 3, (false, term - 1, (term - 1, 500), term));
    assert_eq!(recorded(&mut world).as_deref(), Some("member-2"));
    let outcome = StoreOutcome::Written(12);
    world.handle(Event::ClaimStored {
        group: GROUP,
        outcome,
    });
    let order = world.take().into_iter().find_map(|effect| match effect {
        Effect::OrderPromotion { member, token, .. } => Some((member, token)),
        _ => None,
    });
    assert_eq!(order, Some((2, 7)));
}

/// Takes the orders and the demotions, in their sequence.
fn orders(world: &mut World) -> Vec<(&'static str, id::MemberId)> {
    let order = |effect| match effect {
        Effect::OrderPromotion { member, .. } => Some(("order", member)),
        Effect::SendCommand {
            member,
            command: MemberCommand::Demote(_),
            ..
        } => Some(("demote", member)),
        _ => None,
    };
    world.take().into_iter().filter_map(order).collect()
}

#[test]
fn leaving_leader_steps_down_only_after_order_is_accepted() {
    let mut world = World::new();
    begin(&mut world);
    assert_eq!(
        orders(&mut world),
        [],
        "an order for the leader itself is executed after it has stepped down"
    );
    world.pass(1_000);
    let outcome = StoreOutcome::Written(12);
    for member in [2, 3] {
        answer(&mut world, member, (false, 0, (0, 500), 1));
    }
    world.handle(Event::ClaimStored {
        group: GROUP,
        outcome,
    });
    assert_eq!(orders(&mut world), [("order", 2)]);
    let outcome = OrderOutcome::Accepted;
    world.handle(Event::PromotionOrdered {
        group: GROUP,
        outcome,
    });
    assert_eq!(orders(&mut world), [("demote", 1)]);
}

#[test]
fn finish_leaves_claim_unsettled_after_unanswered_order() {
    let mut world = World::new();
    begin(&mut world);
    for member in [2, 3] {
        answer(&mut world, member, (false, 0, (0, 500), 1));
    }
    let outcome = StoreOutcome::Written(12);
    world.handle(Event::ClaimStored {
        group: GROUP,
        outcome,
    });
    let outcome = OrderOutcome::Unknown;
    world.handle(Event::PromotionOrdered {
        group: GROUP,
        outcome,
    });
    world.take();
    answer(&mut world, 2, (true, 1, (1, 501), 0));
    let settled = world.take().into_iter().find_map(|effect| match effect {
        Effect::StoreClaim { claim, .. } => Some(claim.settled),
        _ => None,
    });
    assert_eq!(settled, Some(false), "the order may be executed once more");
}

/// Lets two commits end at the leader, one after the other, at these ends of its log.
fn commit_twice(world: &mut World, ends: [(u64, u64); 2]) {
    for (term, position) in ends {
        let asked_at = world.now;
        world.now += Duration::from_millis(20);
        world.handle(Event::StatementEnded(Report {
            member: 1,
            answer: Answer::Led {
                asked_at,
                commit: true,
            },
            point: Some(Point::new(term, position)),
            floor: None,
            took: Some(Duration::from_millis(20)),
        }));
    }
}

#[test]
fn choose_waits_for_log_with_everything_acknowledged() {
    let mut world = World::new();
    commit_twice(&mut world, [(1, 309), (1, 312)]);
    begin(&mut world);
    let term = holds(&mut world)[0].1;
    // The third member, which had the rest, is gone; this one has been deaf.
    answer(&mut world, 2, (false, 1, (1, 281), term));
    answer(&mut world, 3, (false, 1, (1, 281), term));
    assert_eq!(recorded(&mut world), None, "308 and 309 are acknowledged");
}

#[test]
fn choose_allows_log_without_what_was_not_acknowledged() {
    let mut world = World::new();
    commit_twice(&mut world, [(1, 309), (1, 312)]);
    begin(&mut world);
    let term = holds(&mut world)[0].1;
    answer(&mut world, 2, (false, 1, (1, 309), term));
    answer(&mut world, 3, (false, 1, (1, 281), term));
    assert_eq!(recorded(&mut world).as_deref(), Some("member-2"));
}

#[test]
fn choose_keeps_stalled_leader_whose_replicas_have_nothing_of_its_term() {
    let mut world = World::new();
    // A leader of term 2, known from its answer to a probe.
    world.handle(Event::StatementEnded(Report {
        member: 1,
        answer: Answer::Led {
            asked_at: world.now,
            commit: false,
        },
        point: Some(Point::new(2, 325)),
        floor: None,
        took: None,
    }));
    for _ in 0..2 {
        world.handle(Event::StatementEnded(Report {
            member: 1,
            answer: Answer::Silent { commit: true },
            point: None,
            floor: None,
            took: Some(Duration::from_millis(760)),
        }));
    }
    world.pass(900);
    take_claim(&mut world, Stored::default());
    let term = holds(&mut world)[0].1;
    answer(&mut world, 2, (false, 1, (1, 281), term));
    answer(&mut world, 3, (false, 1, (1, 281), term));
    assert_eq!(recorded(&mut world), None);
}

#[test]
fn finish_keeps_others_away_for_a_turn() {
    let mut world = World::new();
    begin(&mut world);
    for member in [2, 3] {
        answer(&mut world, member, (false, 0, (0, 500), 1));
    }
    let outcome = StoreOutcome::Written(12);
    world.handle(Event::ClaimStored {
        group: GROUP,
        outcome,
    });
    let outcome = OrderOutcome::Accepted;
    world.handle(Event::PromotionOrdered {
        group: GROUP,
        outcome,
    });
    world.pass(600);
    world.take();
    answer(&mut world, 2, (true, 1, (1, 500), 0));
    let until_ms = world.take().into_iter().find_map(|effect| match effect {
        Effect::StoreClaim { claim, .. } => Some(claim.until_ms),
        _ => None,
    });
    // The order was given 200 ms after the claim was read, the answer came 600 ms later.
    assert!(until_ms >= Some(3_600), "{until_ms:?}");
}

/// Takes the members that are released.
fn released(world: &mut World) -> Vec<id::MemberId> {
    let release = |effect| match effect {
        Effect::SendCommand {
            member,
            command: MemberCommand::Release { .. },
            ..
        } => Some(member),
        _ => None,
    };
    let mut released: Vec<_> = world.take().into_iter().filter_map(release).collect();
    released.sort_unstable();
    released
}

/// Answers the claim's steps for a group whose leader went missing, up to the questions to the members; an order of
/// an earlier claim may still be carried out.
fn begin_gone(world: &mut World, pending: Option<&str>) {
    world.handle(Event::Unlisted {
        name: "member-1".into(),
        revision: 20,
    });
    world.pass(300);
    let mut stored = Stored {
        revision: 4,
        now_ms: 9_000,
        ..Stored::default()
    };
    stored.claim.token = 6;
    stored.claim.target = pending.map(Box::from);
    stored.claim.settled = pending.is_none();
    stored.claim.until_ms = 8_000;
    world.pass(3_000);
    take_claim(world, stored);
}

#[test]
fn held_members_are_released_when_another_leads_by_then() {
    let mut world = World::new();
    begin_gone(&mut world, None);
    let term = holds(&mut world)[0].1;
    // The term is over already; the next one is asked for, and only then its leader answers.
    answer(&mut world, 2, (false, term, (term, 166), 0));
    answer(&mut world, 2, (false, term, (term, 166), term + 1));
    world.effects.clear();
    answer(&mut world, 3, (true, term, (term, 168), 0));
    assert_eq!(released(&mut world), [2, 3]);
}

#[test]
fn held_members_are_released_when_one_does_not_answer_in_time() {
    let mut world = World::new();
    begin_gone(&mut world, None);
    let term = holds(&mut world)[0].1;
    answer(&mut world, 2, (false, term - 1, (term - 1, 166), term));
    // Member 3 never answers.
    world.pass(200);
    assert_eq!(released(&mut world), []);
    world.pass(3_500);
    assert_eq!(released(&mut world), [2, 3]);
}

#[test]
fn own_claim_is_waited_for_as_well_after_release() {
    let mut world = World::new();
    begin_gone(&mut world, None);
    let term = holds(&mut world)[0].1;
    answer(&mut world, 2, (false, term - 1, (term - 1, 166), term));
    world.pass(3_500);
    let gives_up = |effect: &Effect| match effect {
        Effect::StoreClaim { claim, .. } => Some(claim.clone()),
        _ => None,
    };
    let claim = world.effects.iter().rev().find_map(gives_up);
    let claim = claim.expect("the claim is cut short for others");
    assert!(claim.until_ms <= 9_000 + 3_500 + 2_000, "{claim:?}");
    let loads = |effect: &Effect| matches!(effect, Effect::LoadClaim(_));
    assert!(world.effects.iter().any(loads), "it tries again");
    // A release may still be under way to a member that would be held anew.
    world.effects.clear();
    world.handle(Event::ClaimLoaded {
        group: GROUP,
        stored: Some(Stored {
            now_ms: claim.until_ms - 1,
            revision: 12,
            claim,
        }),
    });
    let claims = |effect: &Effect| matches!(effect, Effect::StoreClaim { .. });
    assert!(!world.effects.iter().any(claims));
}

#[test]
fn claim_lasts_as_long_as_intended_after_slow_answer_of_the_store() {
    let mut world = World::new();
    let mut leaving = member_at(1, "a", true);
    leaving.leaving = true;
    leaving.revision = 10;
    world.handle(Event::Listed(leaving));
    world.pass(300);
    let asked = |effect: &Effect| matches!(effect, Effect::LoadClaim(_));
    assert!(world.effects.iter().any(asked));
    // The store's clock is read when the question arrives, and the answer takes its time.
    world.pass(2_000);
    world.handle(Event::ClaimLoaded {
        group: GROUP,
        stored: Some(Stored {
            now_ms: 9_000,
            ..Stored::default()
        }),
    });
    let until = |effect: &Effect| match effect {
        Effect::StoreClaim { claim, .. } => Some(claim.until_ms),
        _ => None,
    };
    let outcome = StoreOutcome::Written(11);
    world.handle(Event::ClaimStored {
        group: GROUP,
        outcome,
    });
    world.pass(100);
    let term = holds(&mut world)[0].1;
    answer(&mut world, 2, (false, term - 1, (term - 1, 166), term));
    answer(&mut world, 3, (false, term - 1, (term - 1, 166), term));
    let until_ms = world.effects.iter().find_map(until);
    assert!(until_ms >= Some(9_000 + 2_000 + 4_000), "{until_ms:?}");
}
