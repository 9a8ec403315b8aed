//! Members that end a transaction with an error, or whose rollback undoes what was set and prepared in the transaction, while callers
//! go on directly and through a home; and the lines that are logged then (issue 58).

mod support;

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Once;
use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use fulmarlift_broker::event::{Answer, Event, MemberStatus, StatementReport};
use fulmarlift_broker::revision::Revision;
use fulmarlift_broker::state::Settings;
use fulmarlift_broker::topology::{Consistency, Group, Member as Entry, Peer, Route, Topology};
use fulmarlift_core::floor::Point;
use fulmarlift_core::id;
use fulmarlift_core::topology::Place;
use fulmarlift_session::clock;
use fulmarlift_session::deployment::Deployment;
use fulmarlift_session::logging;
use fulmarlift_session::peer::{Forwarding, Serving};
use fulmarlift_session::protocol::caller::StatementOptions;
use fulmarlift_session::protocol::member::{Codec, Command, Frame, Prepared, ReadBack, Verb};
use fulmarlift_session::protocol::{Code, Mode, TransactionState, WireError, Withheld};
use fulmarlift_session::serve;
use fulmarlift_session::session::ShutdownGrace;
use fulmarlift_session::shell::Shell;
use rstest::rstest;
use support::{ClaimRows, Unavailable};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const GROUP: &str = "ledger";
const OPTIONS: StatementOptions = StatementOptions {
    consistency: Consistency::Leader,
    timeout_ms: 2_000,
    objective_ms: 2_000,
    priority: 1,
    workspace: None,
};
const BEGIN: Verb = Verb::Begin(Mode::Write);
const READ: Verb = Verb::Run(Mode::Read);
const WRITE: Verb = Verb::Run(Mode::Write);
/// Time that a transaction may rest after the stop of its home has begun.
const REST_AT_STOP: Duration = Duration::from_millis(60);
const HOME_GRACE: ShutdownGrace = ShutdownGrace {
    transaction_timeout: REST_AT_STOP,
    ..GRACE
};
const GRACE: ShutdownGrace = ShutdownGrace {
    idle_delay: Duration::from_secs(5),
    idle_spread: Duration::ZERO,
    transaction_timeout: Duration::from_secs(5),
    statement_timeout: Duration::from_secs(5),
};

const STRAY_SUCCESS: &str = "COMPLETE stray\r\nREADY I\r\n";
const STRAY_ERROR: &str = "ERROR FAILED\r\nREADY I\r\n";
const REAL_ANSWER_DELAY: Duration = Duration::from_millis(100);

/// The proxy's side of the lines.
#[derive(Debug, Default)]
struct Lines;

impl Codec for Lines {
    fn encode(&mut self, command: Command<'_>, outbox: &mut BytesMut) -> Result<(), Withheld> {
        let line = match command {
            Command::Startup { .. } => "STARTUP".to_owned(),
            Command::Run { id, text, .. } => format!("QUERY {} {}", utf8(id), utf8(text)),
            Command::Execute {
                id,
                prepared_id,
                arguments,
                ..
            } => {
                let prepared_id = prepared_id.ok_or(Withheld::Unprepared)?;
                format!(
                    "QUERY {} EXECUTE p{prepared_id} {}",
                    utf8(id),
                    utf8(arguments)
                )
            }
            Command::Begin => "QUERY - BEGIN".to_owned(),
            Command::Rollback => "QUERY - ROLLBACK".to_owned(),
            Command::Set { name, value } => format!("QUERY - SET {name} {}", utf8(value)),
            Command::Prepare { prepared_id, .. } => format!("QUERY - PREPARE p{prepared_id}"),
            Command::Deallocate(prepared_id) => format!("QUERY - DEALLOCATE p{prepared_id}"),
            Command::Reset => "QUERY - RESET".to_owned(),
            Command::Status | Command::Hold(_) | Command::Release | Command::Demote(_) => {
                "QUERY - STATUS".to_owned()
            }
            Command::Terminate => "TERMINATE".to_owned(),
        };
        outbox.put_slice(line.as_bytes());
        outbox.put_slice(b"\r\n");
        Ok(())
    }

    fn read_back<'a>(&self, _message: &'a [u8]) -> ReadBack<'a> {
        ReadBack::Opaque
    }

    fn decode(&mut self, inbox: &mut BytesMut) -> Result<Option<Frame>, WireError> {
        let Some(line) = take_line(inbox) else {
            return Ok(None);
        };
        let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
        let frame = match (word, rest) {
            ("COMPLETE", _) => Frame::Complete(rest.to_owned().into()),
            ("ERROR", "FAILED") => Frame::Error(Code::Failed, "stand-in".into()),
            ("ERROR", "MALFORMED") => Frame::Error(Code::Malformed, "stand-in".into()),
            ("ERROR", "TIMEOUT") => Frame::Error(Code::Timeout, "stand-in".into()),
            ("ERROR", "NOSTMT") => Frame::Error(Code::NoStatement, "stand-in".into()),
            ("READY", _) => {
                let state = match rest {
                    "T" => TransactionState::Transaction,
                    _ => TransactionState::Idle,
                };
                Frame::Ready(state, Some(Point::new(1, 1)))
            }
            _ => return Err(WireError::Malformed("unknown word")),
        };
        Ok(Some(frame))
    }

    fn member_status(&self, _row: &Bytes) -> Option<MemberStatus> {
        None
    }
}

struct LineDeployment;

impl Deployment for LineDeployment {
    type Caller = Serving;
    type Member = Lines;
    type Claims = ClaimRows;
    type PromotionOrders = Unavailable;
    type Directory = Unavailable;
}

/// What a connection has been told, as texts without `SET` and `PREPARE`.
#[derive(Clone, Default)]
struct Told {
    values: BTreeSet<String>,
    prepared: BTreeSet<String>,
}

/// A member on a loopback address.
struct Member {
    address: SocketAddr,
    /// Id of a write before which the member rolls the transaction back, and the code with which it answers although the write has
    /// run and is kept.
    ends_before: Cell<Option<(&'static str, &'static str)>>,
    /// Whether a rollback undoes what was set and prepared in the transaction.
    undoes: bool,
    /// Whether the member rolls a transaction back after each write in it that succeeds.
    ends_after: Cell<bool>,
    /// Id of a statement before whose answer the member sends this one, which belongs to no statement, and [`REAL_ANSWER_DELAY`] later
    /// the real one.
    answers_early: Cell<Option<(&'static str, &'static str)>>,
    /// Time that each answer takes.
    answer_delay: Cell<Duration>,
    /// Ids of the writes in the open transaction of the only connection.
    open_writes: RefCell<Vec<String>>,
    /// Ids of single writes that have run in a transaction.
    misplaced: RefCell<Vec<String>>,
    kept: RefCell<Vec<String>>,
    /// Ids of callers' statements that have run, with the values of their connection.
    values: RefCell<Vec<(String, BTreeSet<String>)>>,
}

impl Member {
    async fn start(undoes: bool) -> Rc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
        let member = Rc::new(Self {
            address: listener.local_addr().expect("the listener is bound"),
            ends_before: Cell::new(None),
            undoes,
            ends_after: Cell::new(false),
            answers_early: Cell::new(None),
            answer_delay: Cell::default(),
            open_writes: RefCell::default(),
            misplaced: RefCell::default(),
            kept: RefCell::default(),
            values: RefCell::default(),
        });
        let accepting = Rc::clone(&member);
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let member = Rc::clone(&accepting);
                tokio::task::spawn_local(async move { member.serve(stream).await });
            }
        });
        member
    }

    async fn serve(&self, mut stream: TcpStream) {
        let mut inbox = BytesMut::new();
        let mut told = Told::default();
        // What was told before the open transaction.
        let mut before: Option<Told> = None;
        loop {
            let Some(line) = take_line(&mut inbox) else {
                match stream.read_buf(&mut inbox).await {
                    Ok(0) | Err(_) => return,
                    Ok(_) => continue,
                }
            };
            let answer = match line
                .strip_prefix("QUERY ")
                .and_then(|rest| rest.split_once(' '))
            {
                Some((id, text)) => self.run(&mut told, &mut before, id, text),
                None if line == "STARTUP" => String::new(),
                None => return,
            };
            if let Some((id, stray)) = self.answers_early.get()
                && line.starts_with(&format!("QUERY {id} "))
            {
                if stream.write_all(stray.as_bytes()).await.is_err() {
                    return;
                }
                tokio::time::sleep(REAL_ANSWER_DELAY).await;
            }
            tokio::time::sleep(self.answer_delay.get()).await;
            let state = if before.is_some() { 'T' } else { 'I' };
            let answer = format!("{answer}READY {state}\r\n");
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    fn run(&self, told: &mut Told, before: &mut Option<Told>, id: &str, text: &str) -> String {
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        if id != "-" {
            let values = (id.to_owned(), told.values.clone());
            self.values.borrow_mut().push(values);
        }
        match word {
            "BEGIN" if before.is_some() => return "ERROR MALFORMED\r\n".to_owned(),
            "BEGIN" => {
                *before = Some(told.clone());
                self.open_writes.take();
            }
            "COMMIT" => {
                *before = None;
                let committed = self.open_writes.take();
                self.kept.borrow_mut().extend(committed);
            }
            "ROLLBACK" => {
                self.open_writes.take();
                if let Some(before) = before.take()
                    && self.undoes
                {
                    *told = before;
                }
            }
            "SET" => drop(told.values.insert(rest.to_owned())),
            "PREPARE" => drop(told.prepared.insert(rest.to_owned())),
            "DEALLOCATE" => drop(told.prepared.remove(rest)),
            "RESET" => *told = Told::default(),
            "EXECUTE" => {
                let name = rest.split(' ').next().unwrap_or_default();
                if !told.prepared.contains(name) {
                    return "ERROR NOSTMT\r\n".to_owned();
                }
            }
            "WRITE" => {
                if before.is_some() && id.starts_with('s') {
                    self.misplaced.borrow_mut().push(id.to_owned());
                }
                if let Some((ends_at, code)) = self.ends_before.get()
                    && ends_at == id
                {
                    *before = None;
                    self.kept.borrow_mut().push(id.to_owned());
                    return format!("ERROR {code}\r\n");
                }
                if before.is_some() {
                    self.open_writes.borrow_mut().push(id.to_owned());
                }
                if self.ends_after.get() {
                    *before = None;
                    self.open_writes.take();
                }
            }
            _ => {}
        }
        format!("COMPLETE {id}\r\n")
    }
}

fn place(domain: &str) -> Place {
    Place {
        region: "north".into(),
        domain: domain.into(),
    }
}

type LineShell = Rc<Shell<LineDeployment>>;

/// Starts a proxy that has one connection to the member at most.
fn start_shell(vm_name: &str, domain: &str, member: &Member) -> LineShell {
    let settings = Settings {
        name: format!("{vm_name}-0").into(),
        vm_name: vm_name.into(),
        place: place(domain),
        drain_timeout: Duration::from_secs(7),
        fenced: true,
    };
    let shell = Shell::new(settings, ClaimRows::unwritten(), Unavailable, Unavailable);
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
        connections_max: 1,
        sync_replicas: 0,
    };
    let topology = Topology::new(1, vec![route], vec![(id::of(GROUP), group)]);
    shell.handle(Event::Configured(topology));
    shell.handle(Event::Listed(Entry {
        id: 11,
        name: "member-1".into(),
        group: id::of(GROUP),
        address: member.address,
        place: place("a"),
        slots: 4,
        leaving: false,
        listed_as_leader: true,
        cold_remaining_ms: 0,
        revision: Revision { era: 0, version: 1 },
    }));
    shell.handle(Event::DirectoryRead {
        answered_at: Some(clock::now()),
    });
    tokio::task::spawn_local(Rc::clone(&shell).tick());
    shell
}

/// Starts the proxies; returns the one that keeps the connections to the member, and the one that callers connect to.
async fn start_system(member: &Member, forwards: bool) -> (LineShell, LineShell) {
    let home = start_shell("proxy-1", "a", member);
    home.handle(Event::PeersRead);
    home.handle(Event::StatementEnded(StatementReport {
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
    if !forwards {
        return (Rc::clone(&home), home);
    }
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::task::spawn_local(serve::accept_peers(Rc::clone(&home), listener, HOME_GRACE));
    let entry = start_shell("proxy-far", "far", member);
    entry.handle(Event::PeerListed(Peer {
        vm_name: "proxy-1".into(),
        address,
        updates_address: address,
        place: place("a"),
    }));
    entry.handle(Event::PeersRead);
    (home, entry)
}

struct Caller {
    stream: TcpStream,
    inbox: BytesMut,
}

impl Caller {
    async fn connect(shell: &LineShell) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
        let address = listener.local_addr().expect("the listener is bound");
        let served = serve::accept_callers(Rc::clone(shell), listener, GRACE);
        tokio::task::spawn_local(served);
        let mut caller = Self {
            stream: TcpStream::connect(address).await.expect("loopback"),
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

    /// Sends a command; returns the error code of the answer, if any.
    async fn ask(&mut self, command: Command<'_>) -> Option<Code> {
        let mut outbox = BytesMut::new();
        let encoded = Forwarding.encode(command, &mut outbox);
        encoded.expect("the statement fits");
        let sent = self.stream.write_all_buf(&mut outbox).await;
        sent.expect("the proxy accepts the bytes");
        let mut code = None;
        loop {
            let frame = Forwarding.decode(&mut self.inbox);
            match frame.expect("frames are valid") {
                Some(Frame::Ready(..)) => return code,
                Some(Frame::Error(error, _)) => code = Some(error),
                Some(_) => {}
                None => match self.stream.read_buf(&mut self.inbox).await {
                    Ok(0) | Err(_) => panic!("the session has ended: {code:?}"),
                    Ok(_) => {}
                },
            }
        }
    }

    async fn run(&mut self, id: &'static str, text: &'static str, verb: Verb) -> Option<Code> {
        self.ask(Command::Run {
            id: &id.into(),
            text: &text.into(),
            verb,
            floor: None,
            options: Some(OPTIONS),
        })
        .await
    }

    async fn execute(&mut self, id: &'static str) -> Option<Code> {
        let prepared = Prepared {
            mode: Mode::Read,
            shape: "q 2c".into(),
        };
        self.ask(Command::Execute {
            id: &id.into(),
            prepared: &prepared,
            prepared_id: None,
            arguments: &"1a4".into(),
            floor: None,
            options: Some(OPTIONS),
        })
        .await
    }
}

fn take_line(inbox: &mut BytesMut) -> Option<String> {
    let length = inbox.windows(2).position(|end| end == b"\r\n")?;
    let line = inbox.split_to(length);
    inbox.advance(2);
    Some(String::from_utf8_lossy(&line).into_owned())
}

fn utf8(bytes: &Bytes) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

async fn on_one_thread(test: impl Future<Output = ()>) {
    tokio::task::LocalSet::new().run_until(test).await;
}

/// The member rolls a transaction back, runs its write outside, and reports an error that promises nothing. The commit must not be
/// answered with a promise either.
#[rstest]
#[tokio::test]
async fn commit_behind_write_outside_transaction_is_no_promise(
    #[values(false, true)] forwards: bool,
    #[values("FAILED", "TIMEOUT")] code: &'static str,
) {
    on_one_thread(async {
        let member = Member::start(false).await;
        let (_, shell) = start_system(&member, forwards).await;
        member.ends_before.set(Some(("t1.1", code)));
        let mut caller = Caller::connect(&shell).await;
        assert_eq!(caller.run("t1.0", "BEGIN", BEGIN).await, None);
        assert!(caller.run("t1.1", "WRITE 1 x", WRITE).await.is_some());
        let ended = caller.run("t1.2", "COMMIT", Verb::Commit).await;
        assert_eq!(*member.kept.borrow(), ["t1.1"]);
        assert_eq!(ended, Some(Code::InDoubt));
    })
    .await;
}

/// A rollback may undo what was prepared in its transaction. Statements that other transactions of the connection execute are known
/// all the same.
#[rstest]
#[tokio::test]
async fn statement_is_known_behind_rollback_of_its_transaction(
    #[values(false, true)] undoes: bool,
    #[values(false, true)] forwards: bool,
) {
    on_one_thread(async {
        let member = Member::start(undoes).await;
        let (_, shell) = start_system(&member, forwards).await;
        let mut codes = Vec::new();
        for ids in [
            ["t1.0", "t1.1", "t1.2"],
            ["t2.0", "t2.1", "t2.2"],
            ["t3.0", "t3.1", "t3.2"],
        ] {
            let mut caller = Caller::connect(&shell).await;
            assert_eq!(caller.run(ids[0], "BEGIN", BEGIN).await, None);
            codes.push(caller.execute(ids[1]).await);
            caller.run(ids[2], "ROLLBACK", Verb::Rollback).await;
        }
        assert_eq!(codes, [None, None, None]);
    })
    .await;
}

/// A rollback may undo what was set in its transaction. The next session of the connection has its values all the same.
#[rstest]
#[tokio::test]
async fn values_are_set_behind_rollback_of_their_transaction(
    #[values(false, true)] undoes: bool,
    #[values(false, true)] forwards: bool,
) {
    on_one_thread(async {
        let member = Member::start(undoes).await;
        let (_, shell) = start_system(&member, forwards).await;
        let value = Bytes::from("c1");
        let set = Command::Set {
            name: "owner",
            value: &value,
        };
        let mut caller = Caller::connect(&shell).await;
        assert_eq!(caller.ask(set).await, None);
        assert_eq!(caller.run("t1.0", "BEGIN", BEGIN).await, None);
        assert_eq!(caller.run("t1.1", "READ 1", READ).await, None);
        caller.run("t1.2", "ROLLBACK", Verb::Rollback).await;
        let mut next = Caller::connect(&shell).await;
        assert_eq!(next.ask(set).await, None);
        assert_eq!(next.run("s1.0", "READ 1", READ).await, None);
        let values = member.values.borrow();
        let ran = values.iter().find(|(id, _)| id == "s1.0");
        let expected = BTreeSet::from(["owner c1".to_owned()]);
        assert_eq!(ran.map(|(_, values)| values), Some(&expected));
    })
    .await;
}

/// The value is set behind the `BEGIN`, so that the member sets it in the transaction.
#[rstest]
#[tokio::test]
async fn value_set_in_transaction_is_known_behind_its_rollback(
    #[values(false, true)] undoes: bool,
    #[values(false, true)] forwards: bool,
) {
    on_one_thread(async {
        let member = Member::start(undoes).await;
        let (_, shell) = start_system(&member, forwards).await;
        let value = Bytes::from("c1");
        let set = Command::Set {
            name: "owner",
            value: &value,
        };
        let mut caller = Caller::connect(&shell).await;
        assert_eq!(caller.run("t1.0", "BEGIN", BEGIN).await, None);
        assert_eq!(caller.run("t1.1", "READ 1", READ).await, None);
        assert_eq!(caller.ask(set).await, None);
        assert_eq!(caller.run("t1.2", "READ 1", READ).await, None);
        caller.run("t1.3", "ROLLBACK", Verb::Rollback).await;
        assert_eq!(caller.run("s1.0", "READ 1", READ).await, None);
        let values = member.values.borrow();
        let ran = values.iter().find(|(id, _)| id == "s1.0");
        let expected = BTreeSet::from(["owner c1".to_owned()]);
        assert_eq!(ran.map(|(_, values)| values), Some(&expected));
    })
    .await;
}

/// A write is answered with another answer, whose state shows no transaction, and its own answer is late: what the connection is in is not
/// known. No statement of another session may run on it.
#[rstest]
#[tokio::test]
async fn connection_whose_state_differs_is_not_used_again(
    #[values(STRAY_SUCCESS, STRAY_ERROR)] stray: &'static str,
    #[values(false, true)] forwards: bool,
) {
    on_one_thread(async {
        let member = Member::start(false).await;
        let (_, shell) = start_system(&member, forwards).await;
        member.answers_early.set(Some(("t1.1", stray)));
        let mut caller = Caller::connect(&shell).await;
        let mut other = Caller::connect(&shell).await;
        assert_eq!(caller.run("t1.0", "BEGIN", BEGIN).await, None);
        assert!(caller.run("t1.1", "WRITE 1 x", WRITE).await.is_some());
        other.run("s1.0", "WRITE 7 x", WRITE).await;
        assert_eq!(*member.misplaced.borrow(), Vec::<String>::new());
    })
    .await;
}

/// The same at a member whose answers take a while, where the next caller commits a transaction of its own.
#[rstest]
#[tokio::test]
async fn transaction_is_not_committed_by_another_caller(
    #[values(STRAY_SUCCESS, STRAY_ERROR)] stray: &'static str,
    #[values(false, true)] forwards: bool,
) {
    on_one_thread(async {
        let member = Member::start(false).await;
        let (_, shell) = start_system(&member, forwards).await;
        member.answers_early.set(Some(("t1.1", stray)));
        member.answer_delay.set(REAL_ANSWER_DELAY / 2);
        let mut caller = Caller::connect(&shell).await;
        let mut other = Caller::connect(&shell).await;
        assert_eq!(caller.run("t1.0", "BEGIN", BEGIN).await, None);
        assert!(caller.run("t1.1", "WRITE 1 x", WRITE).await.is_some());
        other.run("t2.0", "BEGIN", BEGIN).await;
        other.run("t2.1", "COMMIT", Verb::Commit).await;
        tokio::time::sleep(REAL_ANSWER_DELAY * 2).await;
        assert_eq!(*member.kept.borrow(), Vec::<String>::new());
    })
    .await;
}

thread_local! {
    /// Lines that the current test has logged.
    static LINES: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

/// Keeps the lines that a test logs.
struct KeptLines;

impl log::Log for KeptLines {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        LINES.with_borrow_mut(|lines| lines.push(record.args().to_string()));
    }

    fn flush(&self) {}
}

fn keep_lines() {
    static START: Once = Once::new();
    START.call_once(|| {
        log::set_logger(&KeptLines).expect("no other logger is set");
        log::set_max_level(log::LevelFilter::Info);
    });
    LINES.take();
}

/// A caller's id of any form stays one bounded field of the line that names its statement.
#[tokio::test]
async fn id_in_line_of_deviation_is_bounded() {
    const ID: &str = concat!(
        "t1.1\u{1b}[2J\"",
        "0123456789012345678901234567890123456789012345678901234567890123456789",
    );
    keep_lines();
    on_one_thread(async {
        let member = Member::start(false).await;
        let (_, shell) = start_system(&member, false).await;
        member.ends_after.set(true);
        let mut caller = Caller::connect(&shell).await;
        assert_eq!(caller.run("t1.0", "BEGIN", BEGIN).await, None);
        let code = caller.run(ID, "WRITE 1 x", WRITE).await;
        assert_eq!(code, Some(Code::InDoubt));
        let lines = LINES.take();
        let line = lines
            .iter()
            .find(|line| line.starts_with("event=state_differs "));
        let expected = format!(
            "event=state_differs request={} member=member-1 expected=Transaction told=Idle",
            logging::field(ID.as_bytes())
        );
        assert_eq!(line, Some(&expected));
    })
    .await;
}

/// A home that stops ends a resting transaction and tells so. The forwarding proxy, which reads that before its next statement, reports
/// no connection out of step: nothing is wrong.
#[tokio::test]
async fn end_of_resting_transaction_at_stop_is_no_deviation() {
    const TRANSACTION_ENDED: &str = "event=transaction_ended ";
    keep_lines();
    on_one_thread(async {
        let member = Member::start(false).await;
        let (home, shell) = start_system(&member, true).await;
        let mut caller = Caller::connect(&shell).await;
        assert_eq!(caller.run("t1.0", "BEGIN", BEGIN).await, None);
        assert_eq!(caller.run("t1.1", "WRITE 1 x", WRITE).await, None);
        home.stop();
        let has_ended =
            |lines: &mut Vec<String>| lines.iter().any(|line| line.starts_with(TRANSACTION_ENDED));
        while !LINES.with_borrow_mut(has_ended) {
            tokio::time::sleep(REST_AT_STOP / 6).await;
        }
        // The home's message is on its way.
        tokio::time::sleep(REST_AT_STOP).await;
        let code = caller.run("t1.2", "COMMIT", Verb::Commit).await;
        assert_eq!(code, Some(Code::Aborted));
        let lines = LINES.take();
        let is_deviation = |line: &&String| line.contains("reason=OutOfStep");
        assert_eq!(lines.iter().find(is_deviation), None);
    })
    .await;
}
