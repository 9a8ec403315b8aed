//! Session values, and the changes that bring a connection to them.

use bytes::Bytes;
use fulmarlift_session::protocol::Mode;
use fulmarlift_session::protocol::member::Prepared;
use fulmarlift_session::values::{ConnectionState, SessionState, StateDiff};

/// Most prepared statements of a connection.
const PREPARED_MAX: u64 = 1_024;
/// Most bytes of the shapes of a connection's prepared statements.
const SHAPE_BYTES_MAX: usize = 1 << 20;

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
        Some((1, shape)),
        "a reset also removes prepared statements, and ids are not used again"
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
        Some((0, shape.clone()))
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

#[test]
fn sync_with_removes_least_recently_used_statement() {
    let mut connection_state = ConnectionState::default();
    let session_state = SessionState::default();
    let mut sync = |nth: u64| {
        let shape = prepared(&format!("q{nth}"));
        connection_state.sync_with(&session_state, Some(&shape))
    };
    for nth in 0..PREPARED_MAX {
        assert_eq!(sync(nth).deallocate, []);
    }
    // The first one is used again, so that the second is the oldest.
    assert_eq!(sync(0), StateDiff::default());
    let diff = sync(PREPARED_MAX);
    assert_eq!(diff.deallocate, [1]);
    let words = diff.commands().map(|command| format!("{command:?}"));
    let words: Vec<_> = words.collect();
    assert!(words[0].starts_with("Deallocate"), "{words:?}");
    assert!(words[1].starts_with("Prepare"), "{words:?}");
    assert_eq!(sync(0), StateDiff::default());
    let prepare = sync(1).prepare;
    assert_eq!(prepare, Some((PREPARED_MAX + 1, prepared("q1"))));
}

#[test]
fn sync_with_bounds_bytes_of_shapes() {
    let mut connection_state = ConnectionState::default();
    let session_state = SessionState::default();
    let long = |letter: &str| prepared(&letter.repeat(SHAPE_BYTES_MAX / 2));
    let shapes = [
        long("a"),
        long("b"),
        prepared("q"),
        prepared(&"c".repeat(2 * SHAPE_BYTES_MAX)),
    ];
    let removed = shapes.map(|shape| {
        let diff = connection_state.sync_with(&session_state, Some(&shape));
        assert_eq!(
            connection_state.prepared_id(&shape),
            diff.prepare.map(|(id, _)| id)
        );
        diff.deallocate
    });
    // The last one is longer than the bound, and stays alone.
    assert_eq!(removed, [vec![], vec![], vec![0], vec![1, 2]]);
}

#[test]
fn prepared_id_is_known_until_reset() {
    let mut connection_state = ConnectionState::default();
    let shape = prepared("q 2c");
    assert_eq!(connection_state.prepared_id(&shape), None);
    connection_state.sync_with(&SessionState::default(), Some(&shape));
    assert_eq!(connection_state.prepared_id(&shape), Some(0));
    connection_state.mark_uncertain();
    connection_state.sync_with(&SessionState::default(), None);
    assert_eq!(connection_state.prepared_id(&shape), None);
}

/// A message is up to 1 MiB, and a buffer holds more than one.
#[test]
fn session_value_does_not_keep_its_message_in_memory() {
    let message = Bytes::from(vec![b'x'; 1 << 20]);
    let mut session_state = SessionState::default();
    session_state.set("zone", message.slice(..1));
    assert!(message.is_unique());
}
