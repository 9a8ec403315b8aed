//! Messages between proxies: each decodes to what was encoded, or to an error.

use bytes::{Bytes, BytesMut};
use fulmarlift_broker::topology::Consistency;
use fulmarlift_core::floor::Point;
use fulmarlift_session::peer::{Forwarding, Serving};
use fulmarlift_session::protocol::caller::{self, Codec as _, Forwarded, Message, Query};
use fulmarlift_session::protocol::caller::{Reply, Statement, StatementOptions};
use fulmarlift_session::protocol::member::{self, Codec as _, Command, Frame, Prepared, Verb};
use fulmarlift_session::protocol::{Code, Mode, TransactionState, WireError, Withheld};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, FileFailurePersistence, RngSeed};

/// Failed inputs, which each run tries first.
const REGRESSIONS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/frames-regressions.txt");
/// Most bytes of a caller's message.
const CALLER_BYTES_MAX: usize = 1 << 20;
/// Most bytes that a decoder may keep of an incomplete message.
const INBOX_BYTES_MAX: usize = 3 << 20;

fn config(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(58),
        failure_persistence: Some(Box::new(FileFailurePersistence::Direct(REGRESSIONS))),
        ..Config::default()
    }
}

fn options() -> StatementOptions {
    StatementOptions {
        consistency: Consistency::Leader,
        timeout_ms: 5_000,
        objective_ms: u32::MAX,
        priority: 1,
        workspace: None,
    }
}

fn bytes() -> impl Strategy<Value = Bytes> {
    prop_oneof![
        8 => vec(any::<u8>(), 0..40),
        1 => vec(any::<u8>(), 1_000..20_000),
    ]
    .prop_map(Bytes::from)
}

fn text() -> impl Strategy<Value = Box<str>> {
    prop_oneof![8 => ".{0,24}", 1 => ".{1000,4000}"].prop_map(Box::from)
}

fn mode() -> impl Strategy<Value = Mode> {
    prop_oneof![Just(Mode::Read), Just(Mode::Write)]
}

fn point() -> impl Strategy<Value = Option<Point>> {
    prop::option::of((any::<u64>(), any::<u64>()).prop_map(|(term, at)| Point::new(term, at)))
}

/// A command of a forwarding proxy, as the message that the home must decode.
fn message() -> impl Strategy<Value = Message> {
    let forwarded = |session_commit| {
        let options = options();
        Some(Forwarded {
            options,
            session_commit,
        })
    };
    let statement = prop_oneof![
        mode().prop_map(Statement::Begin),
        mode().prop_map(Statement::Run),
        Just(Statement::Commit),
    ];
    let query = |id, text, statement, forwarded| {
        Message::Query(Query {
            id,
            text,
            statement,
            forwarded,
        })
    };
    prop_oneof![
        (bytes(), bytes(), statement, point()).prop_map(move |(id, text, statement, point)| query(
            id,
            text,
            statement,
            forwarded(point)
        )),
        (bytes(), mode(), text(), bytes(), point()).prop_map(
            move |(id, mode, shape, arguments, point)| {
                let prepared = Prepared { mode, shape };
                let statement = Statement::ExecutePrepared {
                    prepared,
                    arguments,
                };
                query(id, Bytes::new(), statement, forwarded(point))
            }
        ),
        (text(), bytes()).prop_map(move |(name, value)| {
            query(
                Bytes::new(),
                Bytes::new(),
                Statement::Set { name, value },
                None,
            )
        }),
        Just(query(Bytes::new(), Bytes::new(), Statement::Reset, None)),
        Just(query(Bytes::new(), Bytes::new(), Statement::Rollback, None)),
        text().prop_map(|database| Message::Startup {
            database,
            key: Bytes::new()
        }),
        Just(Message::Terminate),
    ]
}

fn forward(message: &Message, outbox: &mut BytesMut) -> Result<(), Withheld> {
    let query = match message {
        Message::Startup { database, .. } => {
            let command = Command::Startup {
                group: database,
                member: "any",
                workspace: None,
            };
            return Forwarding.encode(command, outbox);
        }
        Message::Terminate => return Forwarding.encode(Command::Terminate, outbox),
        Message::Query(query) => query,
    };
    let forwarded = query.forwarded.as_ref();
    let floor = forwarded.and_then(|forwarded| forwarded.session_commit);
    let options = forwarded.map(|forwarded| forwarded.options);
    let run = |verb| Command::Run {
        id: &query.id,
        text: &query.text,
        verb,
        floor,
        options,
    };
    let command = match &query.statement {
        Statement::Begin(mode) => run(Verb::Begin(*mode)),
        Statement::Run(mode) => run(Verb::Run(*mode)),
        Statement::Commit => run(Verb::Commit),
        Statement::ExecutePrepared {
            prepared,
            arguments,
        } => Command::Execute {
            id: &query.id,
            prepared,
            prepared_id: None,
            arguments,
            floor,
            options,
        },
        Statement::Set { name, value } => Command::Set { name, value },
        Statement::Reset => Command::Reset,
        Statement::Rollback => Command::Rollback,
        other => panic!("{other:?} is not forwarded"),
    };
    Forwarding.encode(command, outbox)
}

fn code() -> impl Strategy<Value = Code> {
    prop_oneof![
        Just(Code::Busy),
        Just(Code::InDoubt),
        text().prop_map(Code::Other)
    ]
}

fn frame() -> impl Strategy<Value = Frame> {
    let state = prop_oneof![
        Just(TransactionState::Idle),
        Just(TransactionState::Transaction),
        Just(TransactionState::Failed),
    ];
    prop_oneof![
        bytes().prop_map(Frame::Row),
        bytes().prop_map(Frame::Complete),
        (code(), text()).prop_map(|(code, text)| Frame::Error(code, text)),
        (state, point()).prop_map(|(state, point)| Frame::Ready(state, point)),
        Just(Frame::Closing),
    ]
}

fn answer(frame: &Frame, outbox: &mut BytesMut) {
    let reply = match frame {
        Frame::Row(row) => Reply::Row(row),
        Frame::Complete(signature) => Reply::Complete(signature),
        Frame::Error(code, text) => Reply::Error(code, text),
        Frame::Ready(state, point) => Reply::Ready(*state, *point),
        Frame::Closing => Reply::Closing,
    };
    Serving.encode(reply, outbox);
}

/// Feeds bytes in pieces of this length. Returns the messages, and the error that ended them.
fn decode_pieces<T>(
    bytes: &[u8],
    piece_bytes: usize,
    mut decode: impl FnMut(&mut BytesMut) -> Result<Option<T>, WireError>,
) -> (Vec<T>, Option<WireError>) {
    let mut inbox = BytesMut::new();
    let mut messages = Vec::new();
    for piece in bytes.chunks(piece_bytes) {
        inbox.extend_from_slice(piece);
        loop {
            match decode(&mut inbox) {
                Ok(Some(message)) => messages.push(message),
                Ok(None) => break,
                Err(error) => return (messages, Some(error)),
            }
        }
        assert!(
            inbox.len() <= INBOX_BYTES_MAX,
            "a decoder keeps {}",
            inbox.len()
        );
    }
    (messages, None)
}

proptest! {
    #![proptest_config(config(300))]

    #[test]
    fn home_decodes_what_was_forwarded(sent in vec(message(), 1..8), piece_bytes in 1..400_usize) {
        let mut outbox = BytesMut::new();
        for message in &sent {
            prop_assert_eq!(forward(message, &mut outbox), Ok(()));
        }
        let decoded = decode_pieces(&outbox, piece_bytes, |inbox| caller::Codec::decode(&mut Serving, inbox));
        prop_assert_eq!(decoded, (sent, None));
    }

    #[test]
    fn forwarding_proxy_decodes_what_was_answered(sent in vec(frame(), 1..8), piece_bytes in 1..400_usize) {
        let mut outbox = BytesMut::new();
        sent.iter().for_each(|frame| answer(frame, &mut outbox));
        let decoded = decode_pieces(&outbox, piece_bytes, |inbox| member::Codec::decode(&mut Forwarding, inbox));
        prop_assert_eq!(decoded, (sent, None));
    }

    #[test]
    fn foreign_bytes_are_bounded(bytes in vec(any::<u8>(), 0..4_000), piece_bytes in 1..400_usize) {
        decode_pieces(&bytes, piece_bytes, |inbox| caller::Codec::decode(&mut Serving, inbox));
        decode_pieces(&bytes, piece_bytes, |inbox| member::Codec::decode(&mut Forwarding, inbox));
    }
}

#[test]
fn endless_message_is_refused() {
    let mut bytes = u32::MAX.to_be_bytes().to_vec();
    bytes.resize(8 << 20, 0);
    let (messages, error) = decode_pieces(&bytes, 1 << 16, |inbox| {
        caller::Codec::decode(&mut Serving, inbox)
    });
    assert!(messages.is_empty());
    assert!(matches!(error, Some(WireError::TooLarge { .. })));
}

/// The definition and the execution are both as long as a caller's message may be.
#[test]
fn longest_execution_reaches_home() {
    let prepared = Prepared {
        mode: Mode::Write,
        shape: "x".repeat(CALLER_BYTES_MAX).into(),
    };
    let arguments = Bytes::from(vec![b'x'; CALLER_BYTES_MAX]);
    let sent = Message::Query(Query {
        id: "1a".into(),
        text: Bytes::new(),
        statement: Statement::ExecutePrepared {
            prepared,
            arguments,
        },
        forwarded: Some(Forwarded {
            options: options(),
            session_commit: Some(Point::new(u64::MAX, u64::MAX)),
        }),
    });
    let mut outbox = BytesMut::new();
    assert_eq!(forward(&sent, &mut outbox), Ok(()));
    let decoded = caller::Codec::decode(&mut Serving, &mut outbox);
    assert!(decoded == Ok(Some(sent)), "another statement");
}

#[test]
fn message_that_home_would_refuse_is_withheld() {
    let sent = Message::Query(Query {
        id: "1a".into(),
        text: vec![b'x'; 3 * CALLER_BYTES_MAX].into(),
        statement: Statement::Run(Mode::Write),
        forwarded: Some(Forwarded {
            options: options(),
            session_commit: None,
        }),
    });
    let withheld = forward(&sent, &mut BytesMut::new());
    assert_eq!(withheld, Err(Withheld::TooLong));
}
