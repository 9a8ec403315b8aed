//! Admission of operations at a proxy.

use std::time::{Duration, Instant};

use fulmarlift_broker::quota::client::{Client, Effect, Operation, Token};
use fulmarlift_broker::quota::message::{Grant, QuotaAnswer, QuotaQuestion, Returned};
use rstest::rstest;

const ME: u64 = 1;
const OTHER: u64 = 2;
const THIRD: u64 = 3;
const WORKSPACE: u64 = 8;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn client() -> Client {
    let mut client = Client::new(ME, 0);
    client.set_candidates(vec![OTHER, THIRD, ME]);
    client
}

fn operation(now: Instant, request: u64, wait_ms: u64) -> Operation {
    Operation {
        request,
        workspace: WORKSPACE,
        deadline: now + ms(wait_ms),
    }
}

fn granted(tokens: u64, wait_ms: u64) -> QuotaAnswer {
    QuotaAnswer::Granted {
        term: 7,
        grants: vec![Grant {
            workspace: WORKSPACE,
            tokens,
            wait_ms,
        }],
    }
}

fn asked(effects: &[Effect]) -> Option<(u64, &QuotaQuestion)> {
    effects.iter().find_map(|effect| match effect {
        Effect::Ask { to, question } => Some((*to, question)),
        _ => None,
    })
}

fn admitted(effects: &[Effect]) -> Vec<Token> {
    let tokens = effects.iter().filter_map(|effect| match effect {
        Effect::Admit { token, .. } => Some(*token),
        _ => None,
    });
    tokens.collect()
}

fn refused(effects: &[Effect]) -> Vec<(u64, Duration)> {
    let refusals = effects.iter().filter_map(|effect| match effect {
        Effect::Refuse {
            request,
            retry_after,
        } => Some((*request, *retry_after)),
        _ => None,
    });
    refusals.collect()
}

/// Each of many waiting operations sent a question of its own.
#[test]
fn request_while_question_is_under_way_waits() {
    let now = Instant::now();
    let mut client = client();
    let effects = client.request(now, operation(now, 1, 500));
    let (to, question) = asked(&effects).expect("a question");
    assert_eq!(
        (to, question.question, question.demands[0].wanted >= 1),
        (OTHER, 1, true)
    );
    assert_eq!(client.request(now, operation(now, 2, 500)), []);
    let effects = client.answer(now + ms(2), 1, &granted(3, 0));
    assert_eq!(admitted(&effects).len(), 2);
    let effects = client.request(now + ms(3), operation(now, 3, 500));
    assert_eq!((admitted(&effects).len(), asked(&effects)), (1, None));
}

/// A process that was suspended used tokens of an answer that waited for it.
#[rstest]
#[case::in_time(299, 1)]
#[case::after_suspension(20_000, 0)]
fn answer_after_some_time_admits(#[case] after_ms: u64, #[case] count: usize) {
    let now = Instant::now();
    let mut client = client();
    client.request(now, operation(now, 1, 60_000));
    let effects = client.answer(now + ms(after_ms), 1, &granted(5, 0));
    let tokens = admitted(&effects);
    assert_eq!(tokens.len(), count);
    assert!(tokens.iter().all(|token| token.expires_at == now + ms(400)));
}

/// An operation admitted before a suspension was sent to a member after it.
#[test]
fn is_valid_ends_400_ms_after_question() {
    let now = Instant::now();
    let mut client = client();
    client.request(now, operation(now, 1, 500));
    let token = admitted(&client.answer(now + ms(100), 1, &granted(1, 0)))[0];
    assert!(token.is_valid(now + ms(399)));
    assert!(!token.is_valid(now + ms(400)));
}

/// A caller's own retry of an operation that had not run was charged twice.
#[test]
fn put_back_admits_next_operation_or_returns_token() {
    let now = Instant::now();
    let mut client = client();
    client.request(now, operation(now, 1, 500));
    let token = admitted(&client.answer(now + ms(2), 1, &granted(1, 0)))[0];
    assert_eq!(client.put_back(now + ms(20), token), []);
    let effects = client.request(now + ms(30), operation(now, 2, 500));
    assert_eq!(admitted(&effects), [token]);
    client.put_back(now + ms(40), token);
    let later = now + ms(450);
    let effects = client.request(later, operation(later, 3, 500));
    let (_, question) = asked(&effects).expect("a question");
    let unused = Returned {
        question: 1,
        tokens: 1,
    };
    assert_eq!(question.demands[0].returned, [unused]);
    client.lost(later, question.question);
    let effects = client.tick(later + ms(1_000));
    let (_, question) =
        asked(&effects).map_or_else(Default::default, |(_, question)| (0, Some(question)));
    let again = question.is_some_and(|question| !question.demands[0].returned.is_empty());
    assert!(!again, "a report is sent at most once");
}

/// Operations waited for tokens that could not come before their deadline, and callers were not told when to come back.
#[test]
fn answer_without_tokens_refuses_early_deadlines() {
    let now = Instant::now();
    let mut client = client();
    client.request(now, operation(now, 1, 100));
    client.request(now, operation(now, 2, 900));
    let effects = client.answer(now + ms(2), 1, &granted(0, 300));
    assert_eq!(refused(&effects), [(1, ms(300))]);
    let effects = client.request(now + ms(12), operation(now, 3, 200));
    assert_eq!(refused(&effects), [(3, ms(290))]);
    let effects = client.tick(now + ms(202));
    assert!(
        asked(&effects).is_some(),
        "the proxy keeps its place among those that wait"
    );
}

/// While a shard had no coordinator, operations waited until their deadline without end, or the proxy never asked again.
#[test]
fn request_without_coordinator_is_refused_until_one_answers() {
    let mut now = Instant::now();
    let mut client = client();
    let mut to = Vec::new();
    for request in 0..400 {
        now += ms(10);
        let effects = client.request(now, operation(now, request, 500));
        if let Some((proxy, question)) = asked(&effects) {
            to.push(proxy);
            let number = question.question;
            let answer = QuotaAnswer::NotCoordinator { holder: None };
            client.answer(now, number, &answer);
        }
    }
    assert!(
        to.len() < 15 && to.contains(&OTHER) && to.contains(&THIRD) && to.contains(&ME),
        "{to:?}"
    );
    let effects = client.request(now, operation(now, 400, 500));
    assert_eq!(refused(&effects), [(400, ms(1_000))]);
    client.set_coordinator(THIRD);
    let effects = client.request(now, operation(now, 401, 500));
    assert_eq!(
        (asked(&effects).map(|(to, _)| to), refused(&effects)),
        (Some(THIRD), Vec::new())
    );
}

/// Proxies that named each other as the coordinator were asked in a loop.
#[test]
fn answer_of_other_holder_is_followed_once() {
    let now = Instant::now();
    let mut client = client();
    client.request(now, operation(now, 1, 500));
    let named = |holder| QuotaAnswer::NotCoordinator {
        holder: Some(holder),
    };
    let effects = client.answer(now, 1, &named(THIRD));
    assert_eq!(asked(&effects).map(|(to, _)| to), Some(THIRD));
    let effects = client.answer(now, 2, &named(OTHER));
    assert_eq!(asked(&effects), None);
    let effects = client.tick(client.next_tick(now).expect("a retry"));
    assert_eq!(asked(&effects).map(|(to, _)| to), Some(OTHER));
}

/// An answer with enormous numbers ended the process.
#[test]
fn answer_with_extreme_numbers_is_bounded() {
    let now = Instant::now();
    let mut client = client();
    client.request(now, operation(now, 1, 500));
    client.answer(now, 1, &granted(u64::MAX, u64::MAX));
    assert!(
        client
            .next_tick(now)
            .is_none_or(|at| at <= now + ms(60_000))
    );
}
