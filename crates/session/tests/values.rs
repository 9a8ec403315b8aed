//! Session values, and the changes that bring a connection to them.

use fulmarlift_session::protocol::Mode;
use fulmarlift_session::protocol::member::Prepared;
use fulmarlift_session::values::{ConnectionState, SessionState, StateDiff};

fn prepared(shape: &str) -> Prepared {
    Prepared {
        mode: Mode::Read,
        shape: shape.into(),
    }
}

fn session_with(values: &[(&str, &'static str)]) -> SessionState {
    let mut session_state = SessionState::default();
    for (name, value) in values {
        session_state.set(name, (*value).into());
    }
    session_state
}

#[test]
fn sync_with_sends_only_what_differs() {
    let mut connection_state = ConnectionState::default();
    let first = session_with(&[("zone", "a"), ("speed", "1")]);
    assert_eq!(connection_state.sync_with(&first, None).values.len(), 2);
    assert_eq!(
        connection_state.sync_with(&first, None),
        StateDiff::default()
    );
    let second = session_with(&[("zone", "b"), ("speed", "1")]);
    let diff = connection_state.sync_with(&second, None);
    assert!(!diff.reset);
    assert_eq!(diff.values, [("zone".into(), "b".into())]);
}

#[test]
fn sync_with_clears_values_of_another_session() {
    let mut connection_state = ConnectionState::default();
    let shape = prepared("q1");
    connection_state.sync_with(&session_with(&[("zone", "a")]), Some(&shape));
    let diff = connection_state.sync_with(&SessionState::default(), Some(&shape));
    assert!(diff.reset);
    assert_eq!(
        diff.prepare,
        Some(shape),
        "a reset also removes prepared statements"
    );
}

#[test]
fn sync_with_prepares_shape_once() {
    let mut connection_state = ConnectionState::default();
    let session_state = SessionState::default();
    let shape = prepared("q1");
    assert_eq!(
        connection_state
            .sync_with(&session_state, Some(&shape))
            .prepare,
        Some(shape.clone())
    );
    assert_eq!(
        connection_state
            .sync_with(&session_state, Some(&shape))
            .prepare,
        None
    );
}

#[test]
fn sync_with_clears_uncertain_state() {
    let mut connection_state = ConnectionState::default();
    let session_state = session_with(&[("zone", "a")]);
    connection_state.sync_with(&session_state, None);
    connection_state.mark_uncertain();
    let diff = connection_state.sync_with(&session_state, None);
    assert!(diff.reset);
    assert_eq!(diff.values.len(), 1);
    assert_eq!(
        connection_state.sync_with(&session_state, None),
        StateDiff::default()
    );
}

#[test]
fn prepare_replaces_meaning_of_name() {
    let mut session_state = SessionState::default();
    session_state.prepare("s1", prepared("q1"));
    session_state.prepare("s1", prepared("q2"));
    assert_eq!(session_state.prepared("s1"), Some(&prepared("q2")));
    assert!(session_state.deallocate("s1"));
    assert!(!session_state.deallocate("s1"));
}
