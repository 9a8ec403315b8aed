//! A deployment whose members take the commands of a failover, and stand-ins for such members.

// Each test file is compiled with this module on its own, and uses only part of it.
#![allow(dead_code)]

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use fulmarlift_broker::claim::{Claim, ClaimRow};
use fulmarlift_broker::event::{DirectoryContact, Event, MemberStatus, OrderOutcome, StoreOutcome};
use fulmarlift_broker::revision::Revision;
use fulmarlift_broker::state::Settings;
use fulmarlift_broker::topology::{Consistency, Group, Member as Entry, Peer, Route, Topology};
use fulmarlift_core::floor::Point;
use fulmarlift_core::id;
use fulmarlift_core::topology::Place;
use fulmarlift_session::clock;
use fulmarlift_session::deployment::{
    Batch, CallError, Claims, Contents, Deployment, PromotionOrders, Source, Update,
};
use fulmarlift_session::peer::{Forwarding, Serving};
use fulmarlift_session::protocol::caller::{
    Codec as _, Message, Reply, Statement, StatementOptions,
};
use fulmarlift_session::protocol::member::{Codec, Command, Frame, ReadBack, Verb};
use fulmarlift_session::protocol::{Code, Mode, TransactionState, WireError, Withheld};
use fulmarlift_session::shell::Shell;
use fulmarlift_session::transfer::Transfer;
use fulmarlift_session::updates;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time for which a started proxy has reached the directory: longer than the members have to write their entries.
const DIRECTORY_REACHED_FOR: Duration = Duration::from_secs(3);

pub const GROUP: &str = "ledger";

/// A deployment whose members speak the protocol between proxies, with the commands of a failover as texts of reads.
pub struct Commanded;

impl Deployment for Commanded {
    type Caller = Serving;
    type Member = CommandCodec;
    type Claims = Row;
    type PromotionOrders = Orders;
    type Directory = Directory;
}

#[derive(Debug, Default)]
pub struct CommandCodec(Forwarding);

impl CommandCodec {
    fn encode_text(&mut self, text: &str, outbox: &mut BytesMut) -> Result<(), Withheld> {
        let (id, text) = (Bytes::from_static(b"-"), Bytes::from(text.to_owned()));
        let options = StatementOptions {
            consistency: Consistency::Leader,
            timeout_ms: 1_000,
            objective_ms: 1_000,
            priority: 0,
            workspace: None,
        };
        let command = Command::Run {
            id: &id,
            text: &text,
            verb: Verb::Run(Mode::Read),
            floor: None,
            options: Some(options),
        };
        self.0.encode(command, outbox)
    }
}

impl Codec for CommandCodec {
    fn encode(&mut self, command: Command<'_>, outbox: &mut BytesMut) -> Result<(), Withheld> {
        match command {
            Command::Status => self.encode_text("STATUS", outbox),
            Command::Hold(term) => self.encode_text(&format!("HOLD {term}"), outbox),
            Command::Release => self.encode_text("RELEASE", outbox),
            Command::Demote(term) => self.encode_text(&format!("DEMOTE {term}"), outbox),
            Command::Begin => self.encode_text("BEGIN", outbox),
            other => self.0.encode(other, outbox),
        }
    }

    fn read_back<'a>(&self, message: &'a [u8]) -> ReadBack<'a> {
        self.0.read_back(message)
    }

    fn decode(&mut self, inbox: &mut BytesMut) -> Result<Option<Frame>, WireError> {
        self.0.decode(inbox)
    }

    fn member_status(&self, row: &Bytes) -> Option<MemberStatus> {
        postcard::from_bytes(row).ok()
    }
}

/// The claim row of the only group.
#[derive(Clone)]
pub struct Row {
    row: Rc<RefCell<ClaimRow>>,
    started_at: Instant,
    /// Number of writes.
    pub writes: Rc<Cell<usize>>,
}

impl Row {
    fn new() -> Self {
        Self {
            row: Rc::default(),
            started_at: clock::now(),
            writes: Rc::default(),
        }
    }
}

impl Claims for Row {
    async fn load(&self, _: &str) -> Result<ClaimRow, CallError> {
        let mut row = self.row.borrow().clone();
        let now = clock::now().saturating_duration_since(self.started_at);
        row.now_ms = now.as_millis() as u64;
        Ok(row)
    }

    async fn store(&self, _: &str, claim: &Claim, revision: Revision) -> StoreOutcome {
        let mut row = self.row.borrow_mut();
        if row.revision != revision {
            return StoreOutcome::Conflict;
        }
        row.claim = claim.clone();
        row.revision.version += 1;
        self.writes.set(self.writes.get() + 1);
        StoreOutcome::Written(row.revision)
    }
}

/// The names of the members whose promotion was ordered.
#[derive(Clone, Default)]
pub struct Orders(pub Rc<RefCell<Vec<String>>>);

impl PromotionOrders for Orders {
    async fn promote(&self, _: &str, member: &str, _: &str, _: u64) -> OrderOutcome {
        self.0.borrow_mut().push(member.to_owned());
        OrderOutcome::Accepted
    }
}

/// The directory: it does not answer before it has entries.
#[derive(Clone, Default)]
pub struct Directory(pub Rc<RefCell<Option<Vec<Entry>>>>);

impl Source for Directory {
    fn contents(&self) -> Contents {
        Contents::Members
    }

    async fn read(&self, _: &Transfer) -> Result<Batch, CallError> {
        let entries = self.0.borrow().clone();
        let entries = entries.ok_or_else(|| CallError::Unknown("unavailable".into()))?;
        Ok(Batch {
            updates: entries.into_iter().map(Update::Listed).collect(),
            revision: Revision { era: 0, version: 9 },
        })
    }

    async fn changes(&self, _: Revision, _: Duration, _: &Transfer) -> Result<Batch, CallError> {
        Err(CallError::Unknown("unavailable".into()))
    }
}

/// A proxy with what it is connected to.
pub struct Proxy {
    pub shell: Rc<Shell<Commanded>>,
    pub row: Row,
    pub orders: Orders,
    pub directory: Directory,
    pub peer: Peer,
}

impl Proxy {
    /// Starts a proxy that answers the questions of others, with the group and these members, and that has reached the directory for long
    /// enough to take over. It gets no ticks yet.
    pub async fn start(vm_name: &str, domain: &str, members: &[Entry]) -> Self {
        let (row, orders, directory) = (Row::new(), Orders::default(), Directory::default());
        let settings = Settings {
            name: format!("{vm_name}-0").into(),
            vm_name: vm_name.into(),
            place: place(domain),
            drain_timeout: Duration::from_secs(7),
            fenced: true,
        };
        let shell = Shell::new(settings, row.clone(), orders.clone(), directory.clone());
        let socket = TcpListener::bind("127.0.0.1:0").await;
        let socket = socket.expect("loopback is available");
        let address = socket.local_addr().expect("the listener is bound");
        tokio::task::spawn_local(updates::publish(Rc::clone(&shell), socket));
        shell.handle(Event::Configured(topology()));
        for member in members {
            shell.handle(Event::Listed(member.clone()));
        }
        let now = clock::now();
        shell.handle(Event::DirectoryTold(Some(DirectoryContact {
            answered_at: now,
            reached_since: now.checked_sub(DIRECTORY_REACHED_FOR).unwrap_or(now),
        })));
        Self {
            shell,
            row,
            orders,
            directory,
            peer: peer(vm_name, domain, address),
        }
    }

    /// Tells the proxy of the others, and starts its ticks.
    pub fn run(&self, peers: &[&Peer]) {
        for peer in peers {
            self.shell.handle(Event::PeerListed(Peer::clone(peer)));
        }
        self.shell.handle(Event::PeersRead);
        tokio::task::spawn_local(Rc::clone(&self.shell).tick());
    }
}

pub fn place(domain: &str) -> Place {
    Place {
        region: "north".into(),
        domain: domain.into(),
    }
}

pub fn peer(vm_name: &str, domain: &str, updates_address: SocketAddr) -> Peer {
    Peer {
        vm_name: vm_name.into(),
        address: ([127, 0, 0, 1], 1).into(),
        updates_address,
        place: place(domain),
    }
}

fn topology() -> Topology {
    let route = Route {
        database: GROUP.into(),
        group: id::of(GROUP),
        consistency: Consistency::Leader,
        statement_timeout_ms: 1_000,
        objective_ms: 1_000,
        priority: 1,
        allows_anonymous: false,
    };
    let group = Group {
        name: GROUP.into(),
        connections_max: 8,
        sync_replicas: 1,
    };
    Topology::new(1, vec![route], vec![(id::of(GROUP), group)])
}

/// Returns the entry of a member in a domain.
pub fn entry(name: &str, domain: &str, address: SocketAddr, leads: bool) -> Entry {
    Entry {
        id: id::of(name),
        name: name.into(),
        group: id::of(GROUP),
        address,
        place: place(domain),
        slots: 2,
        leaving: false,
        listed_as_leader: leads,
        cold_remaining_ms: 0,
        revision: Revision { era: 0, version: 1 },
    }
}

/// Returns an address that refuses connections.
pub fn refusing_address() -> SocketAddr {
    let socket = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback is available");
    socket.local_addr().expect("the listener is bound")
}

/// An address that accepts connections and answers nothing. Tells for how long each connection was open.
pub struct Silent {
    pub address: SocketAddr,
    pub open_for: RefCell<Vec<Duration>>,
}

impl Silent {
    pub async fn start() -> Rc<Self> {
        let socket = TcpListener::bind("127.0.0.1:0").await;
        let socket = socket.expect("loopback is available");
        let silent = Rc::new(Self {
            address: socket.local_addr().expect("the listener is bound"),
            open_for: RefCell::default(),
        });
        let accepting = Rc::clone(&silent);
        tokio::task::spawn_local(async move {
            while let Ok((mut stream, _)) = socket.accept().await {
                let silent = Rc::clone(&accepting);
                let accepted_at = clock::now();
                tokio::task::spawn_local(async move {
                    let mut ignored = [0; 256];
                    while stream.read(&mut ignored).await.is_ok_and(|read| read > 0) {}
                    let open_for = clock::now().saturating_duration_since(accepted_at);
                    silent.open_for.borrow_mut().push(open_for);
                });
            }
        });
        silent
    }
}

/// A stand-in for a member that takes commands.
pub struct Member {
    pub address: SocketAddr,
    pub status: Cell<MemberStatus>,
    /// Number of connections that it allows.
    pub connections_max: Cell<usize>,
    /// Time that it takes to accept a connection.
    pub accept_time: Cell<Duration>,
    /// Whether it leaves commands unanswered.
    pub silent: Cell<bool>,
    /// Number of open connections.
    pub connections: Cell<usize>,
    /// Number of connections that it has accepted.
    pub accepted: Cell<usize>,
    /// Texts of the commands.
    pub commands: RefCell<Vec<String>>,
}

impl Member {
    pub async fn start(leads: bool) -> Rc<Self> {
        let socket = TcpListener::bind("127.0.0.1:0").await;
        let socket = socket.expect("loopback is available");
        let member = Rc::new(Self {
            address: socket.local_addr().expect("the listener is bound"),
            status: Cell::new(MemberStatus {
                leads,
                term: 1,
                received: Point::new(1, 5),
                held_term: 0,
            }),
            connections_max: Cell::new(usize::MAX),
            accept_time: Cell::default(),
            silent: Cell::default(),
            connections: Cell::default(),
            accepted: Cell::default(),
            commands: RefCell::default(),
        });
        let accepting = Rc::clone(&member);
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = socket.accept().await {
                let member = Rc::clone(&accepting);
                tokio::task::spawn_local(async move {
                    member.connections.set(member.connections.get() + 1);
                    member.serve(stream).await;
                    member.connections.set(member.connections.get() - 1);
                });
            }
        });
        member
    }

    /// Returns whether it got a command of this kind.
    pub fn got(&self, kind: &str) -> bool {
        let commands = self.commands.borrow();
        commands.iter().any(|text| text.starts_with(kind))
    }

    async fn serve(&self, mut stream: TcpStream) {
        let (mut codec, mut inbox, mut outbox) = (Serving, BytesMut::new(), BytesMut::new());
        let mut state = TransactionState::Idle;
        loop {
            let message = match codec.decode(&mut inbox) {
                Ok(Some(message)) => message,
                Ok(None) => match stream.read_buf(&mut inbox).await {
                    Ok(0) | Err(_) => return,
                    Ok(_) => continue,
                },
                Err(error) => panic!("{error}"),
            };
            match message {
                Message::Startup { .. } if self.connections.get() > self.connections_max.get() => {
                    codec.encode(Reply::Error(&Code::TooMany, "full"), &mut outbox);
                    let _ = stream.write_all_buf(&mut outbox).await;
                    return;
                }
                Message::Startup { .. } => {
                    tokio::time::sleep(self.accept_time.get()).await;
                    self.accepted.set(self.accepted.get() + 1);
                }
                Message::Terminate => return,
                Message::Query(query) => {
                    let text = String::from_utf8_lossy(&query.text).into_owned();
                    if text == "BEGIN" {
                        state = TransactionState::Transaction;
                    } else if query.statement == Statement::Rollback {
                        state = TransactionState::Idle;
                    }
                    if !text.is_empty() {
                        self.carry_out(&text);
                        self.commands.borrow_mut().push(text);
                    }
                    if self.silent.get() {
                        std::future::pending::<()>().await;
                    }
                    let row = postcard::to_stdvec(&self.status.get()).expect("a status encodes");
                    codec.encode(Reply::Row(&Bytes::from(row)), &mut outbox);
                    let signature = Bytes::from_static(b"-");
                    codec.encode(Reply::Complete(&signature), &mut outbox);
                }
            }
            let point = Some(self.status.get().received);
            codec.encode(Reply::Ready(state, point), &mut outbox);
            if stream.write_all_buf(&mut outbox).await.is_err() {
                return;
            }
        }
    }

    fn carry_out(&self, text: &str) {
        let mut status = self.status.get();
        match text.split_once(' ') {
            Some(("HOLD", term)) => status.held_term = term.parse().expect("a term"),
            Some(("DEMOTE", _)) => status.leads = false,
            _ => {}
        }
        self.status.set(status);
    }
}
