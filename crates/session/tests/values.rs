//! Session values, and what a member's connection holds of them.

use fulmarlift_session::protocol::Mode;
use fulmarlift_session::protocol::member::Prepared;
use fulmarlift_session::values::{Gap, Held, Mirror};

fn prepared(shape: &str) -> Prepared {
    Prepared {
        mode: Mode::Read,
        shape: shape.into(),
    }
}

fn holding(values: &[(&str, &'static str)]) -> Held {
    let mut held = Held::default();
    for (name, value) in values {
        held.set(name, (*value).into());
    }
    held
}

#[test]
fn close_gap_sends_only_what_differs() {
    let mut mirror = Mirror::default();
    let first = holding(&[("zone", "a"), ("speed", "1")]);
    assert_eq!(mirror.close_gap(&first, None).values.len(), 2);
    assert_eq!(mirror.close_gap(&first, None), Gap::default());
    let second = holding(&[("zone", "b"), ("speed", "1")]);
    let gap = mirror.close_gap(&second, None);
    assert!(!gap.reset);
    assert_eq!(gap.values, [("zone".into(), "b".into())]);
}

#[test]
fn close_gap_clears_values_of_another_session() {
    let mut mirror = Mirror::default();
    let shape = prepared("q1");
    mirror.close_gap(&holding(&[("zone", "a")]), Some(&shape));
    let gap = mirror.close_gap(&Held::default(), Some(&shape));
    assert!(gap.reset);
    assert_eq!(gap.prepare, Some(shape), "clearing takes the names along");
}

#[test]
fn close_gap_prepares_shape_once() {
    let mut mirror = Mirror::default();
    let held = Held::default();
    let shape = prepared("q1");
    assert_eq!(
        mirror.close_gap(&held, Some(&shape)).prepare,
        Some(shape.clone())
    );
    assert_eq!(mirror.close_gap(&held, Some(&shape)).prepare, None);
}

#[test]
fn close_gap_clears_after_doubt() {
    let mut mirror = Mirror::default();
    let held = holding(&[("zone", "a")]);
    mirror.close_gap(&held, None);
    mirror.doubt();
    let gap = mirror.close_gap(&held, None);
    assert!(gap.reset);
    assert_eq!(gap.values.len(), 1);
    assert_eq!(mirror.close_gap(&held, None), Gap::default());
}

#[test]
fn prepare_replaces_meaning_of_name() {
    let mut held = Held::default();
    held.prepare("s1", prepared("q1"));
    held.prepare("s1", prepared("q2"));
    assert_eq!(held.prepared("s1"), Some(&prepared("q2")));
    assert!(held.deallocate("s1"));
    assert!(!held.deallocate("s1"));
}
