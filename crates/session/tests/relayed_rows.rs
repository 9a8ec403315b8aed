//! Rows and signatures that another process has sent, on their way to a caller whose messages are lines (issue 61).

mod support;

use std::rc::Rc;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use fulmarlift_broker::event::{Answer, Event, StatementReport};
use fulmarlift_broker::revision::Revision;
use fulmarlift_broker::state::Settings;
use fulmarlift_broker::topology::{Consistency, Group, Member as Entry, Route, Topology};
use fulmarlift_core::floor::Point;
use fulmarlift_core::id;
use fulmarlift_core::topology::Place;
use fulmarlift_session::clock;
use fulmarlift_session::deployment::Deployment;
use fulmarlift_session::peer::{Forwarding, Serving};
use fulmarlift_session::protocol::caller::{Codec, Message, Reply, StatementOptions};
use fulmarlift_session::protocol::member::{Codec as _, Command, Verb};
use fulmarlift_session::protocol::{Mode, TransactionState, WireError};
use fulmarlift_session::serve;
use fulmarlift_session::session::ShutdownGrace;
use fulmarlift_session::shell::Shell;
use rstest::rstest;
use support::{ClaimRows, Unavailable};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const GROUP: &str = "ledger";
/// A read at the leader would need a transaction of the proxy's own, which the stand-in's codec cannot express.
const CONSISTENCY: Consistency = Consistency::Bounded {
    max_staleness_ms: 60_000,
};
const GRACE: ShutdownGrace = ShutdownGrace {
    idle_delay: Duration::ZERO,
    idle_spread: Duration::ZERO,
    transaction_timeout: Duration::from_millis(300),
    statement_timeout: Duration::from_millis(600),
};

/// Callers send frames and get lines.
#[derive(Default)]
struct LineCaller(Serving);

impl Codec for LineCaller {
    fn decode(&mut self, inbox: &mut BytesMut) -> Result<Option<Message>, WireError> {
        self.0.decode(inbox)
    }

    fn can_encode(&self, reply: Reply<'_>) -> bool {
        match reply {
            Reply::Row(bytes) | Reply::Complete(bytes) => !bytes.contains(&b'\n'),
            _ => true,
        }
    }

    fn encode(&mut self, reply: Reply<'_>, outbox: &mut BytesMut) {
        match reply {
            Reply::Ready(..) => outbox.put_slice(b"READY"),
            Reply::Row(bytes) => {
                outbox.put_slice(b"DATAROW ");
                outbox.put_slice(bytes);
            }
            Reply::Complete(bytes) => {
                outbox.put_slice(b"COMPLETE ");
                outbox.put_slice(bytes);
            }
            Reply::Done => outbox.put_slice(b"COMPLETE -"),
            Reply::Error(code, _) => outbox.put_slice(format!("ERROR {code:?}").as_bytes()),
            Reply::Closing => outbox.put_slice(b"CLOSING"),
        }
        outbox.put_slice(b"\r\n");
    }
}

struct LineCallers;

impl Deployment for LineCallers {
    type Caller = LineCaller;
    type Member = Forwarding;
    type Claims = ClaimRows;
    type PromotionOrders = Unavailable;
    type Directory = Unavailable;
}

fn place() -> Place {
    Place {
        region: "north".into(),
        domain: "a".into(),
    }
}

fn start_shell(member: std::net::SocketAddr) -> Rc<Shell<LineCallers>> {
    let settings = Settings {
        name: "proxy-1-0".into(),
        vm_name: "proxy-1".into(),
        place: place(),
        drain_timeout: Duration::from_secs(7),
        fenced: true,
    };
    let shell = Shell::new(settings, ClaimRows::unwritten(), Unavailable, Unavailable);
    let route = Route {
        database: GROUP.into(),
        group: id::of(GROUP),
        consistency: CONSISTENCY,
        statement_timeout_ms: 2_000,
        objective_ms: 2_000,
        priority: 1,
        allows_anonymous: false,
    };
    let group = Group {
        name: GROUP.into(),
        connections_max: 8,
        sync_replicas: 0,
    };
    let topology = Topology::new(1, vec![route], vec![(id::of(GROUP), group)]);
    shell.handle(Event::Configured(topology));
    shell.handle(Event::Listed(Entry {
        id: 11,
        name: "member-1".into(),
        group: id::of(GROUP),
        address: member,
        place: place(),
        slots: 4,
        leaving: false,
        listed_as_leader: true,
        cold_remaining_ms: 0,
        revision: Revision { era: 0, version: 1 },
    }));
    shell.handle(Event::DirectoryRead {
        answered_at: Some(clock::now()),
    });
    shell.handle(Event::PeersRead);
    shell.handle(Event::StatementEnded(StatementReport {
        member: 11,
        answer: Answer::Led {
            sent_at: clock::now(),
            commit: false,
        },
        point: Some(Point::new(1, 1)),
        floor: None,
        connected_at: None,
        took: None,
    }));
    shell
}

/// Answers each statement with this row and signature.
async fn serve_member(listener: TcpListener, row: Bytes, signature: Bytes) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let (row, signature) = (row.clone(), signature.clone());
        tokio::task::spawn_local(async move {
            let (mut inbox, mut outbox) = (BytesMut::new(), BytesMut::new());
            loop {
                match Serving.decode(&mut inbox).expect("frames are valid") {
                    Some(Message::Startup { .. }) => {}
                    Some(Message::Query(_)) => {
                        Serving.encode(Reply::Row(&row), &mut outbox);
                        Serving.encode(Reply::Complete(&signature), &mut outbox);
                    }
                    Some(Message::Terminate) => return,
                    None => match stream.read_buf(&mut inbox).await {
                        Ok(0) | Err(_) => return,
                        Ok(_) => continue,
                    },
                }
                let ready = Reply::Ready(TransactionState::Idle, Some(Point::new(1, 1)));
                Serving.encode(ready, &mut outbox);
                if stream.write_all_buf(&mut outbox).await.is_err() {
                    return;
                }
            }
        });
    }
}

/// Returns what a caller gets until the second ready message.
async fn read_replies(stream: &mut TcpStream) -> String {
    let mut inbox = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&inbox).into_owned();
        let lines = text.split("\r\n");
        if lines.filter(|line| line.starts_with("READY")).count() >= 2 {
            return text;
        }
        assert!(stream.read_buf(&mut inbox).await.is_ok_and(|read| read > 0));
    }
}

#[rstest]
#[case::usual("a", "signed", "DATAROW a\r\nCOMPLETE signed\r\n")]
#[case::row("a\r\nCOMPLETE forged", "signed", "ERROR InDoubt\r\n")]
#[case::signature("a", "x\r\nREADY", "ERROR InDoubt\r\n")]
#[tokio::test]
async fn reply_that_is_no_single_message_is_not_passed_on(
    #[case] row: &'static str,
    #[case] signature: &'static str,
    #[case] expected: &str,
    #[values(Mode::Read, Mode::Write)] mode: Mode,
) {
    tokio::task::LocalSet::new()
        .run_until(async {
            let members = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
            let shell = start_shell(members.local_addr().expect("the listener is bound"));
            tokio::task::spawn_local(serve_member(members, row.into(), signature.into()));
            let callers = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
            let address = callers.local_addr().expect("the listener is bound");
            tokio::task::spawn_local(serve::accept_callers(shell, callers, GRACE));
            let mut stream = TcpStream::connect(address).await.expect("loopback");
            let mut outbox = BytesMut::new();
            let startup = Command::Startup {
                group: GROUP,
                member: "any",
                workspace: None,
            };
            Forwarding.encode(startup, &mut outbox).expect("short");
            let (id, text) = (Bytes::from_static(b"1"), Bytes::from_static(b"READ 1"));
            let statement = Command::Run {
                id: &id,
                text: &text,
                verb: Verb::Run(mode),
                floor: None,
                options: Some(StatementOptions {
                    consistency: CONSISTENCY,
                    timeout_ms: 2_000,
                    objective_ms: 2_000,
                    priority: 1,
                    workspace: None,
                }),
            };
            Forwarding.encode(statement, &mut outbox).expect("short");
            stream.write_all_buf(&mut outbox).await.expect("open");
            let replies = read_replies(&mut stream).await;
            assert_eq!(replies, format!("READY\r\n{expected}READY\r\n"));
        })
        .await;
}
