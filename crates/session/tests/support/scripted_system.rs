//! Proxies, a member that deviates from the protocol, and callers that judge what they are told.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use fulmarlift_broker::event::{Answer, Event, StatementReport};
use fulmarlift_broker::revision::Revision;
use fulmarlift_broker::state::Settings;
use fulmarlift_broker::topology::{Consistency, Group, Member as Entry, Peer, Route, Topology};
use fulmarlift_core::floor::Point;
use fulmarlift_core::id;
use fulmarlift_core::topology::Place;
use fulmarlift_session::clock;
use fulmarlift_session::deployment::Deployment;
use fulmarlift_session::peer::{Forwarding, Serving};
use fulmarlift_session::protocol::caller::StatementOptions;
use fulmarlift_session::protocol::member::{Codec, Command, Frame, Verb};
use fulmarlift_session::protocol::{Code, Mode, TransactionState};
use fulmarlift_session::serve;
use fulmarlift_session::session::ShutdownGrace;
use fulmarlift_session::shell::Shell;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::scripted::{LATE, Lines, Member, operation_of};
use crate::support::{ClaimRows, Unavailable};

const GROUP: &str = "ledger";
const OPTIONS: StatementOptions = StatementOptions {
    consistency: Consistency::Leader,
    timeout_ms: 240,
    objective_ms: 240,
    priority: 1,
    workspace: None,
};
pub const READ: Verb = Verb::Run(Mode::Read);
pub const WRITE: Verb = Verb::Run(Mode::Write);
pub const BEGIN: Verb = Verb::Begin(Mode::Write);
/// Statements of a transaction; the number of each is the second part of its id.
pub const TRANSACTION: [(&str, Verb); 5] = [
    ("BEGIN", BEGIN),
    ("READ 1", READ),
    ("WRITE 1 x", WRITE),
    ("WRITE 2 x", WRITE),
    ("COMMIT", Verb::Commit),
];
/// Proxies whose members speak lines.
pub struct LineDeployment;

impl Deployment for LineDeployment {
    type Caller = Serving;
    type Member = Lines;
    type Claims = ClaimRows;
    type PromotionOrders = Unavailable;
    type Directory = Unavailable;
}

/// Limits of the configuration.
#[derive(Clone, Copy)]
pub struct Limits {
    /// Time for which a transaction may wait for its next statement; 0 sets no limit.
    pub transaction_idle_ms: u32,
    pub connections_max: u32,
    pub statement_timeout_ms: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            transaction_idle_ms: 0,
            connections_max: 8,
            statement_timeout_ms: OPTIONS.timeout_ms,
        }
    }
}

pub type LineShell = Rc<Shell<LineDeployment>>;

fn place(domain: &str) -> Place {
    Place {
        region: "north".into(),
        domain: domain.into(),
    }
}

fn start_shell(vm_name: &str, domain: &str, member: &Member, limits: Limits) -> LineShell {
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
        statement_timeout_ms: limits.statement_timeout_ms,
        objective_ms: limits.statement_timeout_ms,
        priority: OPTIONS.priority,
        allows_anonymous: false,
    };
    let group = Group {
        name: GROUP.into(),
        connections_max: limits.connections_max,
        sync_replicas: 0,
    };
    let mut topology = Topology::new(1, vec![route], vec![(id::of(GROUP), group)]);
    topology.transaction_idle_ms = limits.transaction_idle_ms;
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

/// Lets the member answer as only the leader of term 1 does.
fn show_leader(shell: &LineShell) {
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
}

/// Grace of the sessions that a stop of the proxy interrupts.
pub const SHORT_GRACE: ShutdownGrace = ShutdownGrace {
    idle_delay: Duration::from_millis(200),
    idle_spread: Duration::ZERO,
    transaction_timeout: Duration::from_millis(60),
    statement_timeout: Duration::from_millis(100),
};
/// Grace of the sessions that go on during a stop.
const LONG_GRACE: ShutdownGrace = ShutdownGrace {
    idle_delay: Duration::from_secs(5),
    idle_spread: Duration::ZERO,
    transaction_timeout: Duration::from_secs(5),
    statement_timeout: Duration::from_secs(5),
};

/// A member, the proxy that keeps connections to it, and the proxy that callers connect to.
pub struct System {
    /// Keeps the home's port when the home has stopped, so that no other test gets it.
    _home_port: Option<std::net::TcpListener>,
    pub member: Rc<Member>,
    pub home: LineShell,
    pub entry: LineShell,
}

impl System {
    /// Starts the proxies; callers connect to the home itself unless `forwards` is set.
    pub async fn start(forwards: bool, limits: Limits) -> Self {
        let member = Member::start().await;
        let home = start_shell("proxy-1", "a", &member, limits);
        home.handle(Event::PeersRead);
        show_leader(&home);
        let mut home_port = None;
        let entry = match forwards {
            false => Rc::clone(&home),
            true => {
                let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback");
                listener.set_nonblocking(true).expect("the mode is valid");
                home_port = Some(listener.try_clone().expect("the listener is open"));
                let listener = TcpListener::from_std(listener).expect("the runtime is there");
                let address = listener.local_addr().expect("the listener is bound");
                let served = serve::accept_peers(Rc::clone(&home), listener, SHORT_GRACE);
                tokio::task::spawn_local(served);
                let remote = start_shell("proxy-far", "far", &member, Limits::default());
                remote.handle(Event::PeerListed(Peer {
                    vm_name: "proxy-1".into(),
                    address,
                    updates_address: address,
                    place: place("a"),
                }));
                remote.handle(Event::PeersRead);
                remote
            }
        };
        Self {
            _home_port: home_port,
            member,
            home,
            entry,
        }
    }

    pub async fn connect(&self) -> Caller {
        self.connect_with(LONG_GRACE).await
    }

    pub async fn connect_with(&self, grace: ShutdownGrace) -> Caller {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
        let address = listener.local_addr().expect("the listener is bound");
        let served = serve::accept_callers(Rc::clone(&self.entry), listener, grace);
        tokio::task::spawn_local(served);
        let mut caller = Caller {
            stream: TcpStream::connect(address).await.expect("loopback"),
            inbox: BytesMut::new(),
            member: Rc::clone(&self.member),
        };
        let startup = Command::Startup {
            group: GROUP,
            member: "any",
            workspace: None,
        };
        caller.send(startup).await;
        caller.answer().await;
        caller
    }

    /// Runs a transaction to its commit, as a caller that goes on after errors.
    pub async fn run_transaction(&self, operation: &str) {
        let mut caller = self.connect().await;
        for (number, (text, verb)) in TRANSACTION.into_iter().enumerate() {
            if caller
                .run(&format!("{operation}.{number}"), text, verb)
                .await
                .is_none()
            {
                return;
            }
        }
    }

    pub async fn run_single(&self, operation: &str, text: &str, verb: Verb) {
        let mut caller = self.connect().await;
        caller.run(&format!("{operation}.0"), text, verb).await;
    }

    /// Runs transactions and statements that use the connections which were left behind.
    pub async fn run_others(&self) {
        self.run_single("s1", "WRITE 7 x", WRITE).await;
        self.run_single("s2", "READ 7", READ).await;
        self.run_single("s3", "WRITE 8 x", WRITE).await;
        self.run_transaction("t2").await;
        tokio::join!(self.run_transaction("t3"), self.run_transaction("t4"));
        self.run_single("s4", "WRITE 9 x", WRITE).await;
    }

    /// Returns what went wrong, each with a label.
    pub fn take_violations(&self, label: &str) -> Vec<String> {
        let violations = self.member.violations.take();
        violations
            .into_iter()
            .map(|violation| format!("{label}: {violation}"))
            .collect()
    }
}

/// A caller's connection.
pub struct Caller {
    stream: TcpStream,
    inbox: BytesMut,
    member: Rc<Member>,
}

/// Answer to a caller's statement.
pub type CallerAnswer = (Option<Code>, Option<Bytes>, TransactionState);

impl Caller {
    async fn send(&mut self, command: Command<'_>) {
        let mut outbox = BytesMut::new();
        let encoded = Forwarding.encode(command, &mut outbox);
        encoded.expect("the statement fits");
        // The proxy may have ended the session.
        let _ = self.stream.write_all_buf(&mut outbox).await;
    }

    pub async fn send_statement(&mut self, id: &str, text: &str, verb: Verb) {
        let sent = (id.to_owned(), text.to_owned());
        self.member.sent.borrow_mut().push(sent);
        let (id, text) = (Bytes::from(id.to_owned()), Bytes::from(text.to_owned()));
        self.send(Command::Run {
            id: &id,
            text: &text,
            verb,
            floor: None,
            options: Some(OPTIONS),
        })
        .await;
    }

    /// Sets a session value.
    #[allow(dead_code)]
    pub async fn set(&mut self, name: &str, value: &'static str) {
        let value = Bytes::from_static(value.as_bytes());
        self.send(Command::Set {
            name,
            value: &value,
        })
        .await;
        self.answer().await;
    }

    /// Returns the next answer, or none at the end of the session; the code of an error before the end is kept.
    pub async fn answer(&mut self) -> (Option<CallerAnswer>, Option<Code>) {
        let (mut code, mut signature) = (None, None);
        loop {
            match Forwarding
                .decode(&mut self.inbox)
                .expect("frames are valid")
            {
                Some(Frame::Ready(state, _)) => return (Some((code, signature, state)), None),
                Some(Frame::Complete(bytes)) => signature = Some(bytes),
                Some(Frame::Error(error, _)) => code = Some(error),
                // The member's rows are behind a result, where none may be.
                Some(Frame::Row(row)) => {
                    self.member.violate(format!("a caller got the row {row:?}"));
                }
                Some(_) => {}
                None => match self.stream.read_buf(&mut self.inbox).await {
                    Ok(0) | Err(_) => return (None, code),
                    Ok(_) => {}
                },
            }
        }
    }

    /// Runs a statement and judges the answer. Returns none if the session has ended.
    pub async fn run(&mut self, id: &str, text: &str, verb: Verb) -> Option<TransactionState> {
        self.send_statement(id, text, verb).await;
        let (answer, last_code) = self.answer().await;
        let state = answer.as_ref().map(|(_, _, state)| *state);
        let (code, signature) = match answer {
            Some((code, signature, _)) => (code, signature),
            None => (last_code, None),
        };
        self.judge(id, verb, code.as_ref(), signature.as_ref());
        state
    }

    pub fn judge(&self, id: &str, verb: Verb, code: Option<&Code>, signature: Option<&Bytes>) {
        let operation = operation_of(id);
        let own_work = matches!(verb, Verb::Run(_) | Verb::Commit);
        if let (None, Some(signature)) = (code, signature)
            && own_work
            && signature != id
        {
            self.member
                .violate(format!("{id} got the answer {signature:?}"));
        }
        let ends = match verb {
            Verb::Commit => true,
            Verb::Run(Mode::Write) => operation.starts_with('s'),
            _ => false,
        };
        if ends && code.is_none() && signature.is_some() && !self.member.has_kept(operation) {
            self.member
                .violate(format!("{id} was told of a commit that is not kept"));
        }
        if is_promise(code) {
            let (member, id) = (Rc::clone(&self.member), id.to_owned());
            let code = code.cloned();
            tokio::task::spawn_local(async move {
                tokio::time::sleep(LATE * 2).await;
                if member.has_kept(operation_of(&id)) {
                    member.violate(format!("{id} was told {code:?}, and its write is kept"));
                }
            });
        }
    }
}

/// Returns whether the code promises that nothing of the operation is kept.
fn is_promise(code: Option<&Code>) -> bool {
    let promises = [
        Code::Busy,
        Code::Aborted,
        Code::Behind,
        Code::ReadOnly,
        Code::Misrouted,
        Code::TooMany,
    ];
    code.is_some_and(|code| promises.contains(code))
}
