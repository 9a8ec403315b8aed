//! Session values, and what a member's connection holds of them.

use fulmarlift_session::protocol::Mode;
use fulmarlift_session::protocol::member::Prepared;
use fulmarlift_session::values::{ConnectionState, SessionState, StateDiff};

fn prepared(shape: &str) -> Prepared {
    Prepared {
        mode: Mode::Read,
        shape: shape.into(),
    }
}

fn holding(values: &[(&str, &'static str)]) -> SessionState {
    let mut held = SessionState::default();
    for (name, value) in values {
        held.set(name, (*value).into());
    }
    held
}

#[test]
fn close_gap_sends_only_what_differs() {
    let mut connection_state = ConnectionState::default();
    let first = holding(&[("zone", "a"), ("speed", "1")]);
    assert_eq!(connection_state.sync_with(&first, None).values.len(), 2);
    assert_eq!(
        connection_state.sync_with(&first, None),
        StateDiff::default()
    );
    let second = holding(&[("zone", "b"), ("speed", "1")]);
    let gap = connection_state.sync_with(&second, None);
    assert!(!gap.reset);
    assert_eq!(gap.values, [("zone".into(), "b".into())]);
}

#[test]
fn close_gap_clears_values_of_another_session() {
    let mut connection_state = ConnectionState::default();
    let shape = prepared("q1");
    connection_state.sync_with(&holding(&[("zone", "a")]), Some(&shape));
    let gap = connection_state.sync_with(&SessionState::default(), Some(&shape));
    assert!(gap.reset);
    assert_eq!(gap.prepare, Some(shape), "clearing takes the names along");
}

#[test]
fn close_gap_prepares_shape_once() {
    let mut connection_state = ConnectionState::default();
    let held = SessionState::default();
    let shape = prepared("q1");
    assert_eq!(
        connection_state.sync_with(&held, Some(&shape)).prepare,
        Some(shape.clone())
    );
    assert_eq!(
        connection_state.sync_with(&held, Some(&shape)).prepare,
        None
    );
}

#[test]
fn close_gap_clears_after_doubt() {
    let mut connection_state = ConnectionState::default();
    let held = holding(&[("zone", "a")]);
    connection_state.sync_with(&held, None);
    connection_state.mark_uncertain();
    let gap = connection_state.sync_with(&held, None);
    assert!(gap.reset);
    assert_eq!(gap.values.len(), 1);
    assert_eq!(
        connection_state.sync_with(&held, None),
        StateDiff::default()
    );
}

#[test]
fn prepare_replaces_meaning_of_name() {
    let mut held = SessionState::default();
    held.prepare("s1", prepared("q1"));
    held.prepare("s1", prepared("q2"));
    assert_eq!(held.prepared("s1"), Some(&prepared("q2")));
    assert!(held.deallocate("s1"));
    assert!(!held.deallocate("s1"));
}
