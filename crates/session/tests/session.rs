//! Callers' sessions, with stand-ins for members and homes on loopback addresses.

#[path = "support/member.rs"]
mod member;
mod support;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Once;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use fulmarlift_broker::claim::{ChoiceRecord, Claim, ClaimRow};
use fulmarlift_broker::event::{Answer, Event, StatementReport};
use fulmarlift_broker::revision::Revision;
use fulmarlift_broker::topology::{Consistency, Group, Member as Entry, Peer, Route, Topology};
use fulmarlift_core::floor::Point;
use fulmarlift_core::id;
use fulmarlift_core::topology::Place;
use fulmarlift_session::peer::Forwarding;
use fulmarlift_session::protocol::caller::StatementOptions;
use fulmarlift_session::protocol::member::{Codec, Command, Frame, Verb};
use fulmarlift_session::protocol::{Code, Mode, TransactionState};
use fulmarlift_session::serve;
use fulmarlift_session::session::ShutdownGrace;
use fulmarlift_session::shell::Shell;
use fulmarlift_session::updates;
use member::{Behavior, Member};
use rstest::rstest;
use support::{ClaimRows, TestDeployment, shell_in, shell_with};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

const GROUP: &str = "ledger";
const OPTIONS: StatementOptions = StatementOptions {
    consistency: Consistency::Leader,
    timeout_ms: 5_000,
    objective_ms: 5_000,
    priority: 1,
    workspace: None,
};

fn shutdown_grace() -> ShutdownGrace {
    ShutdownGrace {
        idle_delay: Duration::ZERO,
        idle_spread: Duration::ZERO,
        transaction_timeout: Duration::from_millis(300),
        statement_timeout: Duration::from_millis(600),
    }
}

/// Returns a configuration with one group and its route. `transaction_idle_ms` is the time for which a transaction may wait for
/// its next statement; 0 sets no limit.
fn topology(transaction_idle_ms: u32) -> Topology {
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
    let mut topology = Topology::new(1, vec![route], vec![(id::of(GROUP), group)]);
    topology.transaction_idle_ms = transaction_idle_ms;
    topology
}

/// Passes the group and its only member to a shell, as the first read of the directory does.
fn configure(shell: &Rc<Shell<TestDeployment>>, member: &Member, transaction_idle_ms: u32) {
    shell.handle(Event::Configured(topology(transaction_idle_ms)));
    shell.handle(Event::Listed(Entry {
        id: 11,
        name: "member-1".into(),
        group: id::of(GROUP),
        address: member.address,
        place: Place {
            region: "north".into(),
            domain: "a".into(),
        },
        slots: 2,
        leaving: false,
        listed_as_leader: true,
        cold_remaining_ms: 0,
        revision: Revision { era: 0, version: 1 },
    }));
    shell.handle(Event::DirectoryRead {
        answered_at: Some(fulmarlift_session::clock::now()),
    });
}

/// A caller's connection, in the protocol between proxies.
struct Caller {
    stream: TcpStream,
    codec: Forwarding,
    inbox: BytesMut,
}

impl Caller {
    /// Connects to a shell as a caller, and opens a session.
    async fn connect(shell: &Rc<Shell<TestDeployment>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("the loopback address is available");
        let address = listener.local_addr().expect("the listener is bound");
        let accepting = serve::accept_callers(Rc::clone(shell), listener, shutdown_grace());
        tokio::task::spawn_local(accepting);
        let mut caller = Self {
            stream: TcpStream::connect(address)
                .await
                .expect("the address accepts connections"),
            codec: Forwarding,
            inbox: BytesMut::new(),
        };
        let member = "any";
        caller
            .send(Command::Startup {
                group: GROUP,
                member,
                workspace: None,
            })
            .await;
        caller.until_ready().await;
        caller
    }

    async fn send(&mut self, command: Command<'_>) {
        let mut outbox = BytesMut::new();
        self.codec
            .encode(command, &mut outbox)
            .expect("commands in tests are short");
        self.stream
            .write_all_buf(&mut outbox)
            .await
            .expect("the proxy accepts the bytes");
    }

    async fn frame(&mut self) -> Option<Frame> {
        loop {
            if let Some(frame) = self
                .codec
                .decode(&mut self.inbox)
                .expect("frames are valid")
            {
                return Some(frame);
            }
            match self.stream.read_buf(&mut self.inbox).await {
                Ok(0) | Err(_) => return None,
                Ok(_) => {}
            }
        }
    }

    /// Returns the frames up to the next ready message, and the state in that message.
    async fn until_ready(&mut self) -> (Vec<Frame>, TransactionState) {
        let mut frames = Vec::new();
        loop {
            match self.frame().await.expect("the session is open") {
                Frame::Ready(state, _) => return (frames, state),
                other => frames.push(other),
            }
        }
    }

    async fn run(&mut self, id: &str, text: &str, verb: Verb) -> (Vec<Frame>, TransactionState) {
        let (id, text) = (Bytes::from(id.to_owned()), Bytes::from(text.to_owned()));
        self.send(Command::Run {
            id: &id,
            text: &text,
            verb,
            floor: None,
            options: Some(OPTIONS),
        })
        .await;
        self.until_ready().await
    }
}

const WRITE: Verb = Verb::Run(Mode::Write);
const BEGIN: Verb = Verb::Begin(Mode::Write);
const READ: Verb = Verb::Run(Mode::Read);

fn error_code(frames: &[Frame]) -> Option<&Code> {
    frames.iter().find_map(|frame| match frame {
        Frame::Error(code, _) => Some(code),
        _ => None,
    })
}

async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Starts a shell with the group and its member. The shell gets no ticks, since the codec of the tests' members cannot
/// encode probes.
async fn start_system(transaction_idle_ms: u32) -> (Rc<Shell<TestDeployment>>, Rc<Member>) {
    let shell = shell_in("proxy-1", "a");
    let member = Member::start().await;
    configure(&shell, &member, transaction_idle_ms);
    shell.handle(Event::PeersRead);
    show_leader(&shell);
    (shell, member)
}

async fn on_one_thread(test: impl Future<Output = ()>) {
    tokio::task::LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn write_keeps_id_and_text() {
    on_one_thread(async {
        let (shell, member) = start_system(0).await;
        let mut caller = Caller::connect(&shell).await;
        let (frames, state) = caller.run("5c0e", "WRITE 1a4 some  data", WRITE).await;
        assert_eq!(frames, [Frame::Complete("signed".into())]);
        assert_eq!(state, TransactionState::Idle);
        let received = member.received.borrow();
        assert_eq!(received[0].1, "5c0e");
        assert_eq!(received[0].2, "WRITE 1a4 some  data");
    })
    .await;
}

#[tokio::test]
async fn write_whose_answer_is_lost_is_in_doubt_and_sent_once() {
    on_one_thread(async {
        let (shell, member) = start_system(0).await;
        member.behavior.set(Behavior::LosesAnswers);
        let mut caller = Caller::connect(&shell).await;
        let (frames, state) = caller.run("1", "WRITE 1a4 x", WRITE).await;
        assert_eq!(error_code(&frames), Some(&Code::InDoubt));
        assert_eq!(state, TransactionState::Idle);
        assert_eq!(member.texts(), ["WRITE 1a4 x"]);
    })
    .await;
}

#[tokio::test]
async fn transaction_runs_on_one_connection() {
    on_one_thread(async {
        let (shell, member) = start_system(0).await;
        let mut caller = Caller::connect(&shell).await;
        let mut other = Caller::connect(&shell).await;
        caller.run("1", "BEGIN", BEGIN).await;
        caller.run("2", "WRITE 1 x", WRITE).await;
        other.run("9", "WRITE 2 y", WRITE).await;
        caller.run("3", "WRITE 3 z", WRITE).await;
        let (frames, state) = caller.run("4", "COMMIT", Verb::Commit).await;
        assert_eq!((error_code(&frames), state), (None, TransactionState::Idle));
        let received = member.received.borrow();
        let connection_of = |id: &str| {
            received
                .iter()
                .find(|(_, received, _)| received == id)
                .map(|(connection, ..)| *connection)
        };
        assert!(connection_of("1").is_some());
        assert_eq!(
            [connection_of("2"), connection_of("3"), connection_of("4")],
            [connection_of("1"); 3]
        );
        assert_ne!(connection_of("9"), connection_of("1"));
    })
    .await;
}

/// Lists a second member, which becomes the leader, at the address of the first one.
fn list_successor(shell: &Rc<Shell<TestDeployment>>, member: &Member) {
    shell.handle(Event::Listed(Entry {
        id: 12,
        name: "member-2".into(),
        group: id::of(GROUP),
        address: member.address,
        place: Place {
            region: "north".into(),
            domain: "a".into(),
        },
        slots: 2,
        leaving: false,
        listed_as_leader: true,
        cold_remaining_ms: 0,
        revision: Revision { era: 0, version: 2 },
    }));
}

/// A member that has lost the lead answers just this statement as a leader does.
#[tokio::test]
async fn commit_of_transaction_without_writes_is_no_evidence_of_leader() {
    on_one_thread(async {
        let (shell, member) = start_system(0).await;
        let leader = || shell.with_broker(|broker| broker.leader(id::of(GROUP)));
        let mut caller = Caller::connect(&shell).await;
        caller.run("1", "BEGIN", BEGIN).await;
        caller.run("2", "READ 1", READ).await;
        assert_eq!(leader(), Some(11));
        list_successor(&shell, &member);
        assert_eq!(leader(), Some(12));
        let (frames, _) = caller.run("3", "COMMIT", Verb::Commit).await;
        assert_eq!(error_code(&frames), None);
        assert_eq!(leader(), Some(12));
    })
    .await;
}

/// Lets the member answer as only the leader of term 1 does.
fn show_leader(shell: &Rc<Shell<TestDeployment>>) {
    let sent_at = Instant::now();
    let commit = false;
    shell.handle(Event::StatementEnded(StatementReport {
        member: 11,
        answer: Answer::Led { sent_at, commit },
        point: Some(Point::new(1, 1)),
        floor: None,
        connected_at: None,
        took: None,
    }));
}

/// Returns a row of an attempt to replace the leader that is in progress.
fn row_of_attempt() -> ClaimRow {
    let claim = Claim {
        until_ms: 10_000,
        ..Claim::default()
    };
    ClaimRow {
        claim,
        revision: Revision { era: 0, version: 1 },
        now_ms: 5_000,
    }
}

/// Commits were lost that only members outside the next choice had confirmed (inc10).
#[rstest]
#[case::write(false)]
#[case::transaction(true)]
#[tokio::test]
async fn success_of_commit_without_receipt_is_not_passed_on(#[case] in_transaction: bool) {
    on_one_thread(async {
        let (shell, _member) = start_system(0).await;
        let mut replicated = topology(0);
        replicated.version = 2;
        let group = replicated.groups.get_mut(id::of(GROUP));
        group.expect("the group is configured").sync_replicas = 1;
        shell.handle(Event::Configured(replicated));
        let mut caller = Caller::connect(&shell).await;
        let (frames, state) = match in_transaction {
            false => caller.run("1", "WRITE 1 a", WRITE).await,
            true => {
                caller.run("1", "BEGIN", BEGIN).await;
                caller.run("2", "WRITE 1 a", WRITE).await;
                caller.run("3", "COMMIT", Verb::Commit).await
            }
        };
        assert_eq!(error_code(&frames), Some(&Code::InDoubt));
        assert_eq!(state, TransactionState::Idle);
    })
    .await;
}

/// A replaced leader acknowledged commits, and callers were told of the success (review case 3).
#[rstest]
#[case::write_without_attempt(false, false, None)]
#[case::write_during_attempt(false, true, Some(Code::InDoubt))]
#[case::transaction_without_attempt(true, false, None)]
#[case::transaction_during_attempt(true, true, Some(Code::InDoubt))]
#[tokio::test]
async fn success_of_commit_is_passed_on_only_with_lease(
    #[case] in_transaction: bool,
    #[case] is_replaced: bool,
    #[case] expected: Option<Code>,
) {
    on_one_thread(async {
        let member = Member::start().await;
        member.behavior.set(Behavior::AnswersLate);
        let claims = ClaimRows::unwritten();
        let shell = shell_with("proxy-1", "a", false, claims.clone());
        configure(&shell, &member, 0);
        shell.handle(Event::PeersRead);
        show_leader(&shell);
        let mut caller = Caller::connect(&shell).await;
        let sent_before = || !member.received.borrow().is_empty();
        let commit = async {
            if !in_transaction {
                return caller.run("1", "WRITE 1 a", WRITE).await;
            }
            caller.run("1", "BEGIN", BEGIN).await;
            caller.run("2", "WRITE 1 a", WRITE).await;
            caller.run("3", "COMMIT", Verb::Commit).await
        };
        let attempt = async {
            wait_until(sent_before).await;
            if is_replaced {
                claims.set(row_of_attempt());
            }
        };
        let ((frames, state), ()) = tokio::join!(commit, attempt);
        assert_eq!(error_code(&frames), expected.as_ref());
        assert_eq!(state, TransactionState::Idle);
    })
    .await;
}

/// The store answers only the other proxy, and no member can tell that the leader has not been replaced.
#[tokio::test]
async fn read_of_newest_data_is_served_by_claim_row_that_other_proxy_reads() {
    on_one_thread(async {
        let member = Member::start().await;
        let other = shell_with("proxy-2", "b", false, ClaimRows::unwritten());
        other.handle(Event::Configured(topology(0)));
        let socket = TcpListener::bind("127.0.0.1:0").await;
        let socket = socket.expect("the loopback address is available");
        let updates_address = socket.local_addr().expect("the listener is bound");
        tokio::task::spawn_local(updates::publish(other, socket));
        let shell = shell_with("proxy-1", "a", false, ClaimRows::default());
        configure(&shell, &member, 0);
        shell.handle(Event::PeerListed(Peer {
            vm_name: "proxy-2".into(),
            address: updates_address,
            updates_address,
            place: Place {
                region: "north".into(),
                domain: "c".into(),
            },
        }));
        shell.handle(Event::PeersRead);
        show_leader(&shell);
        let mut caller = Caller::connect(&shell).await;
        caller.run("2", "BEGIN", BEGIN).await;
        let (frames, _) = caller.run("3", "READ 1", READ).await;
        assert_eq!(error_code(&frames), None);
    })
    .await;
}

#[tokio::test]
async fn transaction_is_rolled_back_when_its_caller_leaves() {
    on_one_thread(async {
        let (shell, member) = start_system(0).await;
        let mut caller = Caller::connect(&shell).await;
        caller.run("1", "BEGIN", BEGIN).await;
        caller.run("2", "WRITE 1 x", WRITE).await;
        drop(caller);
        wait_until(|| member.texts().last().is_some_and(|text| text == "ROLLBACK")).await;
        // The next session uses the same connection.
        let mut next = Caller::connect(&shell).await;
        next.run("3", "WRITE 1 y", WRITE).await;
        let received = member.received.borrow();
        assert_eq!(received.last().map(|(connection, ..)| *connection), Some(0));
    })
    .await;
}

#[tokio::test]
async fn transaction_that_rests_gives_its_connection_back_and_is_told_aborted() {
    on_one_thread(async {
        let (shell, member) = start_system(50).await;
        let mut caller = Caller::connect(&shell).await;
        caller.run("1", "BEGIN", BEGIN).await;
        caller.run("2", "WRITE 1 x", WRITE).await;
        wait_until(|| member.texts().contains(&"ROLLBACK".to_owned())).await;
        let (frames, state) = caller.run("3", "WRITE 2 x", WRITE).await;
        assert_eq!(
            (error_code(&frames), state),
            (Some(&Code::Aborted), TransactionState::Failed)
        );
        let (frames, _) = caller.run("4", "WRITE 2 x", WRITE).await;
        assert_eq!(error_code(&frames), Some(&Code::Malformed));
        let (frames, state) = caller.run("5", "COMMIT", Verb::Commit).await;
        assert_eq!(
            (error_code(&frames), state),
            (Some(&Code::Aborted), TransactionState::Idle)
        );
        assert!(!member.texts().contains(&"COMMIT".to_owned()));
    })
    .await;
}

#[tokio::test]
async fn values_of_one_session_do_not_reach_another() {
    on_one_thread(async {
        let (shell, member) = start_system(0).await;
        let mut first = Caller::connect(&shell).await;
        let value = Bytes::from_static(b"north");
        first
            .send(Command::Set {
                name: "zone",
                value: &value,
            })
            .await;
        first.until_ready().await;
        first.run("1", "WRITE 1 x", WRITE).await;
        let mut second = Caller::connect(&shell).await;
        second.run("2", "WRITE 2 x", WRITE).await;
        let expected = ["SET zone north", "WRITE 1 x", "RESET", "WRITE 2 x"];
        assert_eq!(member.texts(), expected);
    })
    .await;
}

/// A `COMMIT` is a statement, too: it runs with the values of its session, in a transaction without other statements and after a value was set
/// in the transaction.
#[rstest]
#[case::empty_transaction(false, &["SET zone north", "WRITE 1 x", "RESET", "BEGIN", "COMMIT"])]
#[case::set_in_transaction(
    true,
    &["SET zone north", "WRITE 1 x", "BEGIN", "READ 1", "RESET", "SET zone south", "COMMIT"]
)]
#[tokio::test]
async fn commit_runs_with_values_of_its_session(
    #[case] sets_value: bool,
    #[case] expected: &[&str],
) {
    on_one_thread(async {
        let (shell, member) = start_system(0).await;
        let mut first = Caller::connect(&shell).await;
        let set = async |caller: &mut Caller, value: &'static [u8]| {
            let value = Bytes::from_static(value);
            let name = "zone";
            caller
                .send(Command::Set {
                    name,
                    value: &value,
                })
                .await;
            caller.until_ready().await;
        };
        set(&mut first, b"north").await;
        first.run("1", "WRITE 1 x", WRITE).await;
        let mut second = match sets_value {
            true => first,
            false => Caller::connect(&shell).await,
        };
        second.run("2", "BEGIN", BEGIN).await;
        if sets_value {
            second.run("4", "READ 1", READ).await;
            set(&mut second, b"south").await;
        }
        let (frames, state) = second.run("3", "COMMIT", Verb::Commit).await;
        assert_eq!(error_code(&frames), None);
        assert_eq!(state, TransactionState::Idle);
        assert_eq!(member.texts(), expected);
    })
    .await;
}

#[tokio::test]
async fn stop_closes_idle_session_and_ends_open_transaction_later() {
    on_one_thread(async {
        let (shell, member) = start_system(0).await;
        let mut idle = Caller::connect(&shell).await;
        let mut busy = Caller::connect(&shell).await;
        busy.run("1", "BEGIN", BEGIN).await;
        busy.run("2", "WRITE 1 x", WRITE).await;
        shell.stop();
        assert_eq!(idle.frame().await, None, "closed without a message");
        let (frames, _) = busy.run("3", "WRITE 2 x", WRITE).await;
        assert_eq!(
            error_code(&frames),
            None,
            "within the transaction's timeout"
        );
        let frame = busy.frame().await;
        assert!(
            matches!(frame, Some(Frame::Error(Code::Aborted, _))),
            "{frame:?}"
        );
        assert_eq!(busy.frame().await, None);
        wait_until(|| member.texts().last().is_some_and(|text| text == "ROLLBACK")).await;
        wait_until(|| shell.sessions() == 0).await;
    })
    .await;
}

/// The leader stops answering, and then the proxy stops, before the statement's timeout.
#[rstest]
#[case::write(&[("WRITE 1 x", WRITE)], Code::InDoubt)]
#[case::statement_of_transaction(&[("BEGIN", BEGIN), ("WRITE 1 x", WRITE), ("READ 1", READ)], Code::Aborted)]
#[case::commit(&[("BEGIN", BEGIN), ("WRITE 1 x", WRITE), ("COMMIT", Verb::Commit)], Code::InDoubt)]
#[tokio::test]
async fn stop_answers_statement_whose_member_is_silent(
    #[case] statements: &'static [(&'static str, Verb)],
    #[case] expected: Code,
) {
    const DRAIN_TIMEOUT: Duration = Duration::from_millis(1_000);
    on_one_thread(async {
        let (shell, member) = start_system(0).await;
        let mut caller = Caller::connect(&shell).await;
        let ((last, last_verb), before) = statements.split_last().expect("there is a statement");
        for (text, verb) in before {
            caller.run("1", text, *verb).await;
        }
        member.behavior.set(Behavior::Silent);
        let mut stopped = std::pin::pin!(async {
            wait_until(|| member.texts().iter().any(|text| text == last)).await;
            serve::drain(&shell, Duration::ZERO, DRAIN_TIMEOUT).await;
        });
        let (id, text) = (
            Bytes::from_static(b"2"),
            Bytes::from_static(last.as_bytes()),
        );
        let command = Command::Run {
            id: &id,
            text: &text,
            verb: *last_verb,
            floor: None,
            options: Some(OPTIONS),
        };
        caller.send(command).await;
        stopped.as_mut().await;
        assert_eq!(shell.sessions(), 0);
        let frame = caller.frame().await;
        assert!(
            matches!(&frame, Some(Frame::Error(code, _)) if *code == expected),
            "{frame:?}"
        );
        assert_eq!(caller.frame().await, None);
    })
    .await;
}

/// Makes a shell serve other proxies; returns the address.
async fn serve_peers(home: &Rc<Shell<TestDeployment>>) -> SocketAddr {
    home.handle(Event::PeersRead);
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("the loopback address is available");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::task::spawn_local(serve::accept_peers(
        Rc::clone(home),
        listener,
        shutdown_grace(),
    ));
    address
}

/// Creates a shell in a domain without members, which forwards statements to the given homes.
fn forwarding_shell(homes: &[(&str, SocketAddr)], member: &Member) -> Rc<Shell<TestDeployment>> {
    let remote = shell_in("proxy-far", "far");
    configure(&remote, member, 0);
    for (name, address) in homes {
        remote.handle(Event::PeerListed(Peer {
            vm_name: (*name).into(),
            address: *address,
            updates_address: *address,
            place: Place {
                region: "north".into(),
                domain: "a".into(),
            },
        }));
    }
    remote.handle(Event::PeersRead);
    remote
}

/// Starts a relay that delays bytes and ends of connections by 50 ms in each direction; returns its address.
async fn start_delaying_relay(target: SocketAddr) -> SocketAddr {
    const ONE_WAY_DELAY: Duration = Duration::from_millis(50);
    async fn forward(mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        let mut bytes = BytesMut::new();
        while matches!(from.read_buf(&mut bytes).await, Ok(1..)) {
            tokio::time::sleep(ONE_WAY_DELAY).await;
            if to.write_all_buf(&mut bytes).await.is_err() {
                return;
            }
        }
        tokio::time::sleep(ONE_WAY_DELAY).await;
    }
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("the loopback address is available");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::task::spawn_local(async move {
        while let Ok((near, _)) = listener.accept().await {
            let remote = TcpStream::connect(target)
                .await
                .expect("the address accepts connections");
            let ((near_in, near_out), (remote_in, remote_out)) =
                (near.into_split(), remote.into_split());
            tokio::task::spawn_local(forward(near_in, remote_out));
            tokio::task::spawn_local(forward(remote_in, near_out));
        }
    });
    address
}

#[tokio::test]
async fn forwarded_statement_reaches_member_unchanged() {
    on_one_thread(async {
        let (home, member) = start_system(0).await;
        let remote = forwarding_shell(&[("proxy-1", serve_peers(&home).await)], &member);
        assert!(remote.with_broker(|broker| broker.forwards_requests(id::of(GROUP))));
        let mut caller = Caller::connect(&remote).await;
        caller.run("1", "BEGIN", BEGIN).await;
        caller.run("2", "WRITE 1a4 some  data", WRITE).await;
        let (frames, state) = caller.run("3", "COMMIT", Verb::Commit).await;
        assert_eq!((error_code(&frames), state), (None, TransactionState::Idle));
        let expected = ["BEGIN", "WRITE 1a4 some  data", "COMMIT"];
        assert_eq!(member.texts(), expected);
    })
    .await;
}

#[tokio::test]
async fn statement_of_caller_that_has_left_is_not_begun() {
    on_one_thread(async {
        let (shell, member) = start_system(0).await;
        let mut caller = Caller::connect(&shell).await;
        let (id, text) = (Bytes::from_static(b"1"), Bytes::from_static(b"WRITE 1 x"));
        caller
            .send(Command::Run {
                id: &id,
                text: &text,
                verb: WRITE,
                floor: None,
                options: Some(OPTIONS),
            })
            .await;
        // The proxy runs on the same thread, so it reads the statement only after the caller has also closed the connection.
        drop(caller);
        wait_until(|| shell.sessions() == 0).await;
        assert!(member.texts().is_empty());
    })
    .await;
}

#[rstest]
#[case::write("WRITE 1 x", WRITE)]
#[case::read("READ 1", READ)]
#[tokio::test]
async fn refusal_of_a_home_is_tried_at_another(#[case] text: &str, #[case] verb: Verb) {
    on_one_thread(async {
        let homes = [Member::start().await, Member::start().await];
        let addresses = [("proxy-1", homes[0].address), ("proxy-2", homes[1].address)];
        let remote = forwarding_shell(&addresses, &homes[0]);
        let mut caller = Caller::connect(&remote).await;
        let (frames, _) = caller.run("1", text, verb).await;
        assert_eq!(error_code(&frames), None);
        // Index of the home that ran the first statement.
        let first_home = usize::from(homes[0].texts().is_empty());
        homes[first_home].behavior.set(Behavior::Refuses);
        let (frames, _) = caller.run("2", text, verb).await;
        assert_eq!(error_code(&frames), None);
        assert_eq!(homes[1 - first_home].texts(), [text]);
    })
    .await;
}

/// A stopping home closes its idle connections, but a forwarding proxy notices only after the network delay and may still
/// send a write on one of them. Such a write must not end in doubt.
#[tokio::test]
async fn stop_of_a_home_leaves_no_forwarded_write_in_doubt() {
    on_one_thread(async {
        let (home, member) = start_system(0).await;
        let address = start_delaying_relay(serve_peers(&home).await).await;
        let remote = forwarding_shell(&[("proxy-1", address)], &member);
        let mut caller = Caller::connect(&remote).await;
        caller.run("1", "WRITE 1 x", WRITE).await;
        home.stop();
        let (frames, _) = caller.run("2", "WRITE 2 x", WRITE).await;
        assert_ne!(error_code(&frames), Some(&Code::InDoubt));
    })
    .await;
}

thread_local! {
    /// Lines that the current test has logged.
    static LINES: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

/// Keeps lines with their levels.
struct Lines;

impl log::Log for Lines {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let line = format!("level={} {}", record.level(), record.args());
        LINES.with_borrow_mut(|lines| lines.push(line));
    }

    fn flush(&self) {}
}

fn keep_lines() {
    static START: Once = Once::new();
    START.call_once(|| {
        log::set_logger(&Lines).expect("no other logger is set");
        log::set_max_level(log::LevelFilter::Info);
    });
    LINES.take();
}

/// Lets a shell learn that member 2 was promoted, whose log has nothing of term 1. Returns the requests of the commits that it warns of.
fn lost_requests(shell: &Rc<Shell<TestDeployment>>, member: &Member) -> Vec<String> {
    list_successor(shell, member);
    let choice = ChoiceRecord {
        token: 1,
        target: "member-2".into(),
        replaced_term: 1,
        target_had: Some(Point::new(1, 0)),
        ..ChoiceRecord::default()
    };
    let claim = Claim {
        token: 1,
        choice: Some(Box::new(choice)),
        ..Claim::default()
    };
    let row = ClaimRow {
        claim,
        ..row_of_attempt()
    };
    LINES.take();
    let (group, asked_at) = (id::of(GROUP), fulmarlift_session::clock::now());
    shell.handle(Event::ChoiceLoaded {
        group,
        asked_at,
        row,
    });
    shell.handle(Event::Tick);
    let request = |line: &String| {
        let line = line.strip_prefix("level=WARN event=commit_lost request=")?;
        line.split(' ').next().map(str::to_owned)
    };
    LINES.take().iter().filter_map(request).collect()
}

/// The record of a loss shows proxies that have told callers of the commits, directly or for another proxy (users' LOST, inc14).
#[rstest]
#[case::write(false, Behavior::Runs, &["7e"])]
#[case::transaction(true, Behavior::Runs, &["9a"])]
#[case::write_in_doubt(false, Behavior::LosesAnswers, &[])]
#[tokio::test]
async fn told_commit_that_is_lost_is_warned_of(
    #[values(false, true)] forwards: bool,
    #[case] in_transaction: bool,
    #[case] behavior: Behavior,
    #[case] expected: &[&str],
) {
    on_one_thread(async {
        keep_lines();
        let (home, member) = start_system(0).await;
        let remote = forwarding_shell(&[("proxy-1", serve_peers(&home).await)], &member);
        member.behavior.set(behavior);
        let mut caller = Caller::connect(if forwards { &remote } else { &home }).await;
        let (frames, _) = match in_transaction {
            false => caller.run("7e", "WRITE 1 a", WRITE).await,
            true => {
                caller.run("7c", "BEGIN", BEGIN).await;
                caller.run("7d", "WRITE 1 a", WRITE).await;
                caller.run("9a", "COMMIT", Verb::Commit).await
            }
        };
        assert_eq!(error_code(&frames).is_some(), expected.is_empty());
        assert_eq!(lost_requests(&home, &member), expected);
        let forwarded = if forwards { expected } else { &[] };
        assert_eq!(lost_requests(&remote, &member), forwarded);
    })
    .await;
}

/// A session that sets values without an end keeps those that it has.
#[rstest]
#[case::many_values(1_100, 1)]
#[case::long_values(40, 10_000)]
#[tokio::test]
async fn session_values_are_bounded(#[case] values: usize, #[case] value_bytes: usize) {
    on_one_thread(async {
        let member = Member::start().await;
        let shell = shell_in("proxy-1", "a");
        configure(&shell, &member, 0);
        let mut caller = Caller::connect(&shell).await;
        let value = Bytes::from(vec![b'x'; value_bytes]);
        let mut refused = 0;
        for number in 0..values {
            let name = format!("n{number}");
            let name = name.as_str();
            let value = &value;
            caller.send(Command::Set { name, value }).await;
            let (frames, state) = caller.until_ready().await;
            assert_eq!(state, TransactionState::Idle);
            if let Some(code) = error_code(&frames) {
                assert_eq!(code, &Code::TooLarge);
                refused += 1;
            }
        }
        assert!(refused > 0);
        // One that is there can be replaced, and a reset makes room.
        let (name, value) = ("n0", &Bytes::from_static(b"y"));
        caller.send(Command::Set { name, value }).await;
        assert_eq!(error_code(&caller.until_ready().await.0), None);
        caller.send(Command::Reset).await;
        caller.until_ready().await;
        let name = "n";
        caller.send(Command::Set { name, value }).await;
        assert_eq!(error_code(&caller.until_ready().await.0), None);
    })
    .await;
}
