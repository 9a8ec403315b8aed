//! The stored encodings of the messages by which statements are forwarded, for the version of the messages between proxies. Those of
//! updates and questions are compared in `layout/updates.rs`.

#[path = "layout/stored.rs"]
mod stored;

use bytes::{Bytes, BytesMut};
use fulmarlift_broker::topology::Consistency;
use fulmarlift_core::floor::Point;
use fulmarlift_session::peer::{Forwarding, Serving, greeting};
use fulmarlift_session::protocol::caller::{Codec as _, Reply, StatementOptions};
use fulmarlift_session::protocol::member::{Codec as _, Command, Prepared, Verb};
use fulmarlift_session::protocol::{Code, Mode, TransactionState};

const OPTIONS: StatementOptions = StatementOptions {
    consistency: Consistency::OwnWrites {
        max_staleness_ms: 300,
    },
    timeout_ms: 1_000,
    objective_ms: 400,
    priority: 2,
    workspace: None,
};

#[test]
fn greeting_keeps_its_layout_in_all_versions() {
    let mut bytes = BytesMut::new();
    let greeting = greeting::Greeting {
        version: 0x0102,
        ..greeting::Greeting::new(greeting::Service::Updates, "meant", "asker")
    };
    greeting.encode(&mut bytes);
    assert_eq!(&bytes[..], b"\xf5pq\n\x01\x02\x02\x05meant\x05asker");
    bytes.clear();
    let answer = greeting::Answer {
        version: 0x0102,
        code: 4,
        vm_name: "other".into(),
    };
    answer.encode(&mut bytes);
    assert_eq!(&bytes[..], b"\xf5pa\n\x01\x02\x04\x05other");
}

#[test]
fn statements_are_encoded_as_stored() {
    let (id, text) = (Bytes::from_static(b"5c0e"), Bytes::from_static(b"READ 1"));
    let prepared = Prepared {
        mode: Mode::Write,
        shape: "q2c".into(),
    };
    let floor = Some(Point::new(3, 1_207));
    let run = |verb, options| Command::Run {
        id: &id,
        text: &text,
        verb,
        floor,
        options: Some(options),
    };
    let leader = StatementOptions {
        consistency: Consistency::Leader,
        ..OPTIONS
    };
    let bounded = StatementOptions {
        consistency: Consistency::Bounded {
            max_staleness_ms: 300,
        },
        ..OPTIONS
    };
    let of_workspace = StatementOptions {
        workspace: Some(5),
        ..OPTIONS
    };
    let commands = [
        (
            "startup",
            Command::Startup {
                group: "ledger",
                member: "home",
                workspace: None,
            },
        ),
        ("begin read", run(Verb::Begin(Mode::Read), OPTIONS)),
        ("begin write", run(Verb::Begin(Mode::Write), leader)),
        ("commit", run(Verb::Commit, OPTIONS)),
        ("rollback of a caller", run(Verb::Rollback, OPTIONS)),
        ("read", run(Verb::Run(Mode::Read), bounded)),
        ("write", run(Verb::Run(Mode::Write), OPTIONS)),
        (
            "read for a workspace",
            run(Verb::Run(Mode::Read), of_workspace),
        ),
        (
            "execute",
            Command::Execute {
                id: &id,
                prepared: &prepared,
                prepared_id: None,
                arguments: &text,
                floor,
                options: Some(OPTIONS),
            },
        ),
        (
            "set",
            Command::Set {
                name: "zone",
                value: &text,
            },
        ),
        ("rollback", Command::Rollback),
        ("reset", Command::Reset),
        ("terminate", Command::Terminate),
    ];
    let encodings = commands.map(|(name, command)| {
        let mut bytes = BytesMut::new();
        Forwarding
            .encode(command, &mut bytes)
            .expect("short messages are encoded");
        (name, bytes.to_vec())
    });
    stored::compare("statements", &encodings);
}

#[test]
fn answers_are_encoded_as_stored() {
    let row = Bytes::from_static(b"row");
    let codes = [
        Code::Busy,
        Code::Aborted,
        Code::Behind,
        Code::ReadOnly,
        Code::Misrouted,
        Code::TooMany,
        Code::Failed,
        Code::NoStatement,
        Code::Timeout,
        Code::InDoubt,
        Code::NoDatabase,
        Code::Unauthorized,
        Code::Malformed,
        Code::TooLarge,
        Code::Other("ODD".into()),
    ];
    let point = Some(Point::new(3, 1_207));
    let mut replies = vec![
        ("row", Reply::Row(&row)),
        ("complete", Reply::Complete(&row)),
        ("done", Reply::Done),
        ("idle", Reply::Ready(TransactionState::Idle, None)),
        (
            "transaction",
            Reply::Ready(TransactionState::Transaction, point),
        ),
        ("failed", Reply::Ready(TransactionState::Failed, point)),
        ("closing", Reply::Closing),
    ];
    replies.extend(
        codes
            .iter()
            .map(|code| ("error", Reply::Error(code, "text"))),
    );
    let encodings = replies.into_iter().map(|(name, reply)| {
        let mut bytes = BytesMut::new();
        Serving.encode(reply, &mut bytes);
        (name, bytes.to_vec())
    });
    stored::compare("answers", &encodings.collect::<Vec<_>>());
}
