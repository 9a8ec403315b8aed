//! Tests of submits: alone, in races with each other, and under faults of the platform.

mod fake;

use fulmarlift_config::model;
use fulmarlift_store::{
    message,
    platform::Platform,
    publish::{self, read, submit},
    retry,
};

/// Number of submits that run at the same time on the same base.
const RACERS: usize = 3;
/// Number of races in a row for each seed.
const ROUNDS: usize = 5;
/// Seeds of the platform's random faults.
const SEEDS: std::ops::Range<u64> = 0..300;

fn document(region: &str) -> model::Document {
    let region = model::Region {
        name: region.into(),
        domains: vec!["d1".into()],
    };
    model::Document {
        regions: vec![region],
        ..model::Document::default()
    }
}

fn submission(nonce: &str, base: model::Version, region: &str) -> submit::Submission {
    submit::Submission {
        document: document(region),
        base,
        submitter: format!("who-{nonce}").into(),
        submitted_at_ms: 1_000,
        nonce: nonce.into(),
        retry: retry::Retry {
            attempts: 3,
            initial_backoff_ms: 0,
        },
    }
}

fn expect_race_lost(error: submit::Error) -> submit::RaceLost {
    match error {
        submit::Error::RaceLost(lost) => *lost,
        other => panic!("expected Error::RaceLost, got: {other}"),
    }
}

#[tokio::test]
async fn submit_moves_head_and_writes_audit() {
    let platform = fake::Fake::new();
    submit::submit(&platform, &submission("n1", 0, "r1"))
        .await
        .unwrap();
    let head = submit::submit(&platform, &submission("n2", 1, "r2"))
        .await
        .unwrap();
    assert_eq!(read::head(&platform).await.unwrap(), Some(head.clone()));
    assert_eq!((head.version, head.base), (2, 1));
    let stored = read::document(&platform, &head.object, &head.digest)
        .await
        .unwrap();
    assert_eq!(
        stored,
        model::Document {
            version: 2,
            ..document("r2")
        }
    );
    let trail = read::audit_trail(&platform, 10).await.unwrap();
    assert_eq!(
        trail.iter().map(|audit| audit.version).collect::<Vec<_>>(),
        [2, 1]
    );
    assert_eq!(
        (
            &*trail[0].submitter,
            trail[0].submitted_at_ms,
            trail[0].head()
        ),
        ("who-n2", 1_000, head)
    );
    let changes: Vec<_> = trail[0]
        .changes
        .iter()
        .map(|change| &*change.path)
        .collect();
    assert_eq!(changes, ["regions[r1]", "regions[r2]"]);
}

#[tokio::test]
async fn audit_trail_is_limited_to_newest() {
    let platform = fake::Fake::new();
    for base in 0..12 {
        submit::submit(&platform, &submission("n", base, "r1"))
            .await
            .unwrap();
    }
    let versions: Vec<_> = read::audit_trail(&platform, 3)
        .await
        .unwrap()
        .iter()
        .map(|audit| audit.version)
        .collect();
    assert_eq!(versions, [12, 11, 10]);
}

#[tokio::test]
async fn submit_refuses_findings() {
    let platform = fake::Fake::new();
    let mut submission = submission("n1", 0, "r1");
    submission.document.regions[0].domains.clear();
    let error = submit::submit(&platform, &submission).await.unwrap_err();
    assert!(matches!(error, submit::Error::Findings(_)), "{error}");
    assert_eq!(read::head(&platform).await.unwrap(), None);
}

#[rstest::rstest]
#[case::older(1)]
#[case::newer(3)]
#[case::none(0)]
#[tokio::test]
async fn submit_refuses_other_base(#[case] base: model::Version) {
    let platform = fake::Fake::new();
    submit::submit(&platform, &submission("n1", 0, "r1"))
        .await
        .unwrap();
    let head = submit::submit(&platform, &submission("n2", 1, "r2"))
        .await
        .unwrap();
    let lost = expect_race_lost(
        submit::submit(&platform, &submission("n3", base, "r3"))
            .await
            .unwrap_err(),
    );
    assert_eq!((lost.base, &lost.head), (base, &Some(head.clone())));
    let paths = lost.changes.map(|changes| {
        changes
            .into_iter()
            .map(|change| change.path)
            .collect::<Vec<_>>()
    });
    let expected: Option<&[&str]> = match base {
        0 => Some(&["regions[r2]"]),
        1 => Some(&["regions[r1]", "regions[r2]"]),
        _ => None,
    };
    assert_eq!(
        paths.as_deref(),
        expected
            .map(|paths| paths
                .iter()
                .map(|path| Box::from(*path))
                .collect::<Vec<_>>())
            .as_deref()
    );
    assert!(!lost.same_document);
    assert_eq!(read::head(&platform).await.unwrap(), Some(head));
}

#[tokio::test]
async fn submit_tells_that_head_is_same_document() {
    let platform = fake::Fake::new();
    submit::submit(&platform, &submission("n1", 0, "r1"))
        .await
        .unwrap();
    let lost = expect_race_lost(
        submit::submit(&platform, &submission("n2", 0, "r1"))
            .await
            .unwrap_err(),
    );
    assert!(lost.same_document);
}

#[rstest::rstest]
#[case::at_first_attempt(&[fake::Fault::AnswerLost])]
#[case::twice(&[fake::Fault::AnswerLost, fake::Fault::AnswerLost])]
#[case::at_every_attempt(&[fake::Fault::AnswerLost, fake::Fault::AnswerLost, fake::Fault::AnswerLost])]
#[case::after_refusal(&[fake::Fault::Refused, fake::Fault::AnswerLost])]
#[case::at_last_attempt(&[fake::Fault::Refused, fake::Fault::Refused, fake::Fault::AnswerLost])]
#[tokio::test]
async fn submit_finds_lost_answer(#[case] faults: &[fake::Fault]) {
    let platform = fake::Fake::new();
    platform.script_faults(faults.iter().copied());
    let head = submit::submit(&platform, &submission("n1", 0, "r1"))
        .await
        .unwrap();
    assert_eq!(read::head(&platform).await.unwrap(), Some(head));
    assert_eq!(read::audit_trail(&platform, 10).await.unwrap().len(), 1);
}

/// The answer to the first submit is lost, and another submit moves the head before the first one reads the audit trail.
#[tokio::test]
async fn submit_finds_lost_answer_behind_newer_head() {
    let platform = fake::Fake::new();
    let newer = publish::Head {
        version: 2,
        digest: document("r2").digest(),
        base: 1,
        submitter: "who-n2".into(),
        object: "o".into(),
        nonce: "n2".into(),
    };
    let put = message::Put::new(publish::CONFIG_TABLE, publish::HEAD_KEY, &newer);
    platform.set_follow_up(message::Transaction {
        puts: vec![put],
        ..message::Transaction::default()
    });
    platform.script_faults([fake::Fault::AnswerLost]);
    let head = submit::submit(&platform, &submission("n1", 0, "r1"))
        .await
        .unwrap();
    assert_eq!((head.version, &*head.nonce), (1, "n1"));
    assert_eq!(read::head(&platform).await.unwrap(), Some(newer));
}

#[tokio::test]
async fn submit_says_outcome_unknown() {
    let platform = fake::Fake::new();
    platform.script_faults([
        fake::Fault::Refused,
        fake::Fault::Refused,
        fake::Fault::Refused,
    ]);
    let error = submit::submit(&platform, &submission("n1", 0, "r1"))
        .await
        .unwrap_err();
    let submit::Error::OutcomeUnknown { version, nonce, .. } = error else {
        panic!("{error}")
    };
    assert_eq!((version, &*nonce), (1, "n1"));
    assert_eq!(read::head(&platform).await.unwrap(), None);
}

#[tokio::test]
async fn submit_during_outage_is_not_done() {
    let platform = fake::Fake::new();
    platform.set_down(true);
    let error = submit::submit(&platform, &submission("n1", 0, "r1"))
        .await
        .unwrap_err();
    assert!(matches!(error, submit::Error::NotDone(_)), "{error}");
    platform.set_down(false);
    submit::submit(&platform, &submission("n1", 0, "r1"))
        .await
        .unwrap();
}

#[tokio::test]
async fn document_refuses_other_digest() {
    let platform = fake::Fake::new();
    platform
        .put_object("o", document("r1").to_json().as_bytes())
        .await
        .unwrap();
    let error = read::document(&platform, "o", &document("r2").digest())
        .await
        .unwrap_err();
    assert!(matches!(error, read::Error::Digest { .. }), "{error}");
    let error = read::document(&platform, "p", "").await.unwrap_err();
    assert!(matches!(error, read::Error::Missing(_)), "{error}");
}

#[test]
fn random_nonce_differs() {
    let nonces: Vec<_> = (0..100).map(|_| submit::random_nonce()).collect();
    let mut unique = nonces.clone();
    unique.sort();
    unique.dedup();
    assert_eq!((unique.len(), nonces[0].len()), (100, 32));
}

/// Runs races of submits on a platform that refuses calls, loses answers and lets transactions take effect late.
///
/// Guards against a chain of versions that branches, and against a submit that reports another outcome than the audit
/// trail shows.
#[rstest::rstest]
#[case::outages(fake::Odds { refused: 25, ..fake::Odds::default() })]
#[case::lost_answers(fake::Odds { answer_lost: 30, ..fake::Odds::default() })]
#[case::late_transactions(fake::Odds { late: 50, ..fake::Odds::default() })]
#[case::all(fake::Odds { refused: 15, answer_lost: 15, late: 20 })]
#[tokio::test]
async fn submit_race_keeps_one_chain(#[case] odds: fake::Odds) {
    let mut counts = OutcomeCounts::default();
    for seed in SEEDS {
        let platform = fake::Fake::with_odds(seed, odds);
        let mut outcomes = Vec::new();
        for round in 0..ROUNDS {
            outcomes.extend(race(&platform, round).await);
        }
        platform.end_faults();
        counts.add(&outcomes);
        assert_one_chain(&platform, &outcomes, seed).await;
    }
    assert!(
        counts.accepted > 0 && counts.races_lost > 0,
        "the seeds produce no accepted submit or no lost race"
    );
}

/// Result of one submit in a race.
struct Outcome {
    nonce: Box<str>,
    base: model::Version,
    result: Result<publish::Head, submit::Error>,
}

#[derive(Default)]
struct OutcomeCounts {
    accepted: usize,
    races_lost: usize,
}

impl OutcomeCounts {
    fn add(&mut self, outcomes: &[Outcome]) {
        self.accepted += outcomes
            .iter()
            .filter(|outcome| outcome.result.is_ok())
            .count();
        let is_race_lost =
            |outcome: &&Outcome| matches!(outcome.result, Err(submit::Error::RaceLost(_)));
        self.races_lost += outcomes.iter().filter(is_race_lost).count();
    }
}

/// Runs [`RACERS`] submits at the same time on the current head, or on version `round` if the head cannot be read.
async fn race(platform: &fake::Fake, round: usize) -> [Outcome; RACERS] {
    let base = match read::head(platform).await {
        Ok(head) => head.map_or(0, |head| head.version),
        Err(_) => round as model::Version,
    };
    let submit_as = async |racer: usize| {
        let nonce: Box<str> = format!("{round}-{racer}").into();
        // Racers 1 and 2 submit the same document.
        let submission = submission(&nonce, base, &format!("r{}", racer.min(1)));
        Outcome {
            nonce,
            base,
            result: submit::submit(platform, &submission).await,
        }
    };
    let (first, second, third) = tokio::join!(submit_as(0), submit_as(1), submit_as(2));
    [first, second, third]
}

/// Asserts that the audit rows form one chain up to the head and agree with the outcomes that the submits reported.
async fn assert_one_chain(platform: &fake::Fake, outcomes: &[Outcome], seed: u64) {
    let newest = read::head(platform)
        .await
        .unwrap()
        .map_or(0, |head| head.version);
    let mut chain = Vec::new();
    for version in 1..=newest {
        let audit = read::audit(platform, version)
            .await
            .unwrap()
            .expect("each version has an audit row");
        assert_eq!(audit.base, version - 1, "seed {seed}");
        read::document(platform, &audit.object, &audit.digest)
            .await
            .expect("each version has an object");
        chain.push(audit);
    }
    assert!(
        read::audit(platform, newest + 1).await.unwrap().is_none(),
        "seed {seed}"
    );
    for Outcome {
        nonce,
        base,
        result,
    } in outcomes
    {
        let accepted: Vec<_> = chain.iter().filter(|audit| audit.nonce == *nonce).collect();
        match result {
            Ok(head) => assert_eq!(
                (accepted.len(), accepted[0].head(), head.version),
                (1, head.clone(), base + 1),
                "seed {seed}, nonce {nonce}"
            ),
            Err(submit::Error::OutcomeUnknown { .. }) => {
                assert!(accepted.len() <= 1, "seed {seed}, nonce {nonce}")
            }
            Err(error) => assert!(accepted.is_empty(), "seed {seed}, nonce {nonce}: {error}"),
        }
    }
}
