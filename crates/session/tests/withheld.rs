//! Statements that the codec of members withholds: they are answered with a code that says so, and nothing else changes.

#[path = "support/member.rs"]
mod member;
mod support;

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use fulmarlift_broker::event::{Answer, Event, MemberStatus, StatementReport};
use fulmarlift_broker::revision::Revision;
use fulmarlift_broker::state::Settings;
use fulmarlift_broker::topology::{Consistency, Group, Member as Entry, Route, Topology};
use fulmarlift_core::floor::Point;
use fulmarlift_core::id;
use fulmarlift_core::topology::Place;
use fulmarlift_session::deployment::Deployment;
use fulmarlift_session::peer::{Forwarding, Serving};
use fulmarlift_session::protocol::caller::StatementOptions;
use fulmarlift_session::protocol::member::{Codec, Command, Frame, ReadBack, Verb};
use fulmarlift_session::protocol::{Code, Mode, TransactionState, WireError, Withheld};
use fulmarlift_session::serve;
use fulmarlift_session::session::ShutdownGrace;
use fulmarlift_session::shell::Shell;
use member::Member;
use rstest::rstest;
use support::{ClaimRows, Unavailable};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const GROUP: &str = "ledger";
const OPTIONS: StatementOptions = StatementOptions {
    consistency: Consistency::Leader,
    timeout_ms: 5_000,
    objective_ms: 5_000,
    priority: 1,
    workspace: None,
};
/// Text of the statements, and name of the session values, that the codec withholds as too long.
const TOO_LONG: &str = "too long";
/// Text of the statements that the codec changes.
const CHANGED: &str = "changed";

/// Codec between proxies that withholds and changes some commands.
#[derive(Debug, Default)]
struct Faulty(Forwarding);

impl Codec for Faulty {
    fn encode(&mut self, command: Command<'_>, outbox: &mut BytesMut) -> Result<(), Withheld> {
        let options = Some(OPTIONS);
        match command {
            Command::Run { text, .. } if text == TOO_LONG => {
                outbox.extend_from_slice(b"a part");
                Err(Withheld::TooLong)
            }
            Command::Set { name, .. } if name == TOO_LONG => Err(Withheld::TooLong),
            // The codec of the member has no such command.
            Command::Begin => self.0.encode(
                Command::Run {
                    id: &"-".into(),
                    text: &"BEGIN".into(),
                    verb: Verb::Begin(Mode::Write),
                    floor: None,
                    options,
                },
                outbox,
            ),
            other => self.0.encode(other, outbox),
        }
    }

    fn read_back<'a>(&self, message: &'a [u8]) -> ReadBack<'a> {
        let changes = |part: &[u8]| part == CHANGED.as_bytes();
        match message.windows(CHANGED.len()).any(changes) {
            true => ReadBack::Malformed,
            false => ReadBack::Opaque,
        }
    }

    fn decode(&mut self, inbox: &mut BytesMut) -> Result<Option<Frame>, WireError> {
        self.0.decode(inbox)
    }

    fn member_status(&self, row: &Bytes) -> Option<MemberStatus> {
        self.0.member_status(row)
    }
}

struct FaultyDeployment;

impl Deployment for FaultyDeployment {
    type Caller = Serving;
    type Member = Faulty;
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

async fn start_system() -> (Rc<Shell<FaultyDeployment>>, Rc<Member>) {
    let settings = Settings {
        name: "proxy-1-0".into(),
        vm_name: "proxy-1".into(),
        place: place(),
        drain_timeout: Duration::from_secs(7),
        fenced: true,
    };
    let shell = Shell::new(settings, ClaimRows::unwritten(), Unavailable, Unavailable);
    let member = Member::start().await;
    let route = Route {
        database: GROUP.into(),
        group: id::of(GROUP),
        consistency: OPTIONS.consistency,
        statement_timeout_ms: OPTIONS.timeout_ms,
        objective_ms: OPTIONS.objective_ms,
        priority: OPTIONS.priority,
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
        address: member.address,
        place: place(),
        slots: 2,
        leaving: false,
        listed_as_leader: true,
        cold_remaining_ms: 0,
        revision: Revision { era: 0, version: 1 },
    }));
    shell.handle(Event::DirectoryRead {
        answered_at: Some(fulmarlift_session::clock::now()),
    });
    shell.handle(Event::PeersRead);
    let (sent_at, commit) = (Instant::now(), false);
    shell.handle(Event::StatementEnded(StatementReport {
        member: 11,
        answer: Answer::Led { sent_at, commit },
        point: Some(Point::new(1, 1)),
        floor: None,
        connected_at: None,
        took: None,
    }));
    (shell, member)
}

struct Caller {
    stream: TcpStream,
    inbox: BytesMut,
}

impl Caller {
    async fn connect(shell: &Rc<Shell<FaultyDeployment>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("the loopback address is available");
        let address = listener.local_addr().expect("the listener is bound");
        let grace = ShutdownGrace {
            idle_delay: Duration::ZERO,
            idle_spread: Duration::ZERO,
            transaction_timeout: Duration::from_millis(300),
            statement_timeout: Duration::from_millis(600),
        };
        tokio::task::spawn_local(serve::accept_callers(Rc::clone(shell), listener, grace));
        let stream = TcpStream::connect(address).await;
        let mut caller = Self {
            stream: stream.expect("the address accepts connections"),
            inbox: BytesMut::new(),
        };
        let (group, member) = (GROUP, "any");
        caller
            .ask(Command::Startup {
                group,
                member,
                workspace: None,
            })
            .await;
        caller
    }

    /// Sends a command; returns the error code of the answer, if any, and the state.
    async fn ask(&mut self, command: Command<'_>) -> (Option<Code>, TransactionState) {
        let mut outbox = BytesMut::new();
        let encoded = Forwarding.encode(command, &mut outbox);
        encoded.expect("commands in tests are short");
        let sent = self.stream.write_all_buf(&mut outbox).await;
        sent.expect("the proxy accepts the bytes");
        let mut code = None;
        loop {
            match Forwarding
                .decode(&mut self.inbox)
                .expect("frames are valid")
            {
                Some(Frame::Ready(state, _)) => return (code, state),
                Some(Frame::Error(refused, _)) => code = Some(refused),
                Some(_) => {}
                None => {
                    let read = self.stream.read_buf(&mut self.inbox).await;
                    assert!(read.expect("the session is open") > 0);
                }
            }
        }
    }

    async fn run(&mut self, text: &'static str, verb: Verb) -> (Option<Code>, TransactionState) {
        self.ask(Command::Run {
            id: &"1a".into(),
            text: &text.into(),
            verb,
            floor: None,
            options: Some(OPTIONS),
        })
        .await
    }
}

const READ: Verb = Verb::Run(Mode::Read);
const WRITE: Verb = Verb::Run(Mode::Write);
const REFUSED: Option<Code> = Some(Code::Aborted);

async fn on_one_thread(test: impl Future<Output = ()>) {
    tokio::task::LocalSet::new().run_until(test).await;
}

/// Returns the numbers of the connections that statements have used.
fn connections(member: &Member) -> Vec<usize> {
    let mut numbers: Vec<usize> = member.received.borrow().iter().map(|(n, ..)| *n).collect();
    numbers.sort_unstable();
    numbers.dedup();
    numbers
}

#[rstest]
#[case::read_too_long(TOO_LONG, READ)]
#[case::write_too_long(TOO_LONG, WRITE)]
#[case::read_changed(CHANGED, READ)]
#[case::write_changed(CHANGED, WRITE)]
#[tokio::test]
async fn withheld_statement_is_refused_and_connection_goes_on(
    #[case] text: &'static str,
    #[case] verb: Verb,
) {
    on_one_thread(async {
        let (shell, member) = start_system().await;
        let mut caller = Caller::connect(&shell).await;
        for _ in 0..20 {
            assert_eq!(
                caller.run(text, verb).await,
                (REFUSED, TransactionState::Idle)
            );
            let next = caller.run("WRITE 1 x", WRITE).await;
            assert_eq!(next, (None, TransactionState::Idle));
        }
        let texts = member.texts();
        assert!(texts.iter().all(|received| received != text), "{texts:?}");
        let writes = texts.iter().filter(|text| *text == "WRITE 1 x").count();
        assert_eq!((writes, connections(&member).len()), (20, 1));
    })
    .await;
}

#[tokio::test]
async fn withheld_setting_refuses_statement_and_is_reset() {
    on_one_thread(async {
        let (shell, member) = start_system().await;
        let mut caller = Caller::connect(&shell).await;
        for (name, value) in [("a", "1"), (TOO_LONG, "2"), ("z", "3")] {
            let value = Bytes::from(value);
            let set = Command::Set {
                name,
                value: &value,
            };
            assert_eq!(caller.ask(set).await.0, None);
        }
        let refused = caller.run("WRITE 1 x", WRITE).await;
        assert_eq!(refused, (REFUSED, TransactionState::Idle));
        let mut other = Caller::connect(&shell).await;
        assert_eq!(other.run("WRITE 2 y", WRITE).await.0, None);
        let received = member.received.borrow();
        let writes: Vec<_> = received
            .iter()
            .map(|(_, _, text)| text.as_str())
            .filter(|text| text.starts_with("WRITE"))
            .collect();
        assert_eq!(writes, ["WRITE 2 y"]);
        drop(received);
        assert_eq!(connections(&member).len(), 1);
    })
    .await;
}

#[rstest]
#[case::too_long(TOO_LONG)]
#[case::changed(CHANGED)]
#[tokio::test]
async fn withheld_statement_rolls_transaction_back(#[case] text: &'static str) {
    on_one_thread(async {
        let (shell, member) = start_system().await;
        let mut caller = Caller::connect(&shell).await;
        caller.run("BEGIN", Verb::Begin(Mode::Write)).await;
        assert_eq!(caller.run("WRITE 1 x", WRITE).await.0, None);
        let refused = caller.run(text, WRITE).await;
        assert_eq!(refused, (REFUSED, TransactionState::Failed));
        let commit = caller.run("COMMIT", Verb::Commit).await;
        assert_eq!(commit, (REFUSED, TransactionState::Idle));
        assert_eq!(caller.run("WRITE 2 y", WRITE).await.0, None);
        let texts = member.texts();
        assert!(!texts.contains(&"COMMIT".to_owned()), "{texts:?}");
        assert!(!texts.contains(&text.to_owned()), "{texts:?}");
    })
    .await;
}

#[rstest]
#[case::too_long(TOO_LONG)]
#[case::changed(CHANGED)]
#[tokio::test]
async fn withheld_begin_refuses_first_statement(#[case] text: &'static str) {
    on_one_thread(async {
        let (shell, member) = start_system().await;
        let mut caller = Caller::connect(&shell).await;
        caller.run(text, Verb::Begin(Mode::Write)).await;
        let refused = caller.run("WRITE 1 x", WRITE).await;
        assert_eq!(refused, (REFUSED, TransactionState::Failed));
        assert_eq!(caller.run("ROLLBACK", Verb::Rollback).await.0, None);
        assert_eq!(caller.run("WRITE 2 y", WRITE).await.0, None);
        let texts = member.texts();
        assert!(!texts.contains(&"WRITE 1 x".to_owned()), "{texts:?}");
        assert_eq!(connections(&member).len(), 1);
    })
    .await;
}
