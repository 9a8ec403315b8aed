//! Members on loopback addresses that answer callers' statements as the test says, the proxies before them, and callers that read
//! codes and texts.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use fulmarlift_broker::event::{Answer, Event, MemberStatus, StatementReport};
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
use fulmarlift_session::protocol::member::{Codec, Command, Frame, ReadBack, Verb};
use fulmarlift_session::protocol::words;
use fulmarlift_session::protocol::{Code, TransactionState, WireError, Withheld};
use fulmarlift_session::serve;
use fulmarlift_session::session::ShutdownGrace;
use fulmarlift_session::shell::Shell;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use crate::support::{ClaimRows, Unavailable};

const GROUP: &str = "ledger";
pub const TIMEOUT_MS: u32 = 2_000;
const GRACE: ShutdownGrace = ShutdownGrace {
    idle_delay: Duration::from_secs(5),
    idle_spread: Duration::ZERO,
    transaction_timeout: Duration::from_secs(5),
    statement_timeout: Duration::from_secs(5),
};

/// The proxy's side of lines as a member writes them.
#[derive(Debug, Default)]
pub struct Lines {
    scanned_bytes: usize,
}

impl Codec for Lines {
    fn encode(&mut self, command: Command<'_>, outbox: &mut BytesMut) -> Result<(), Withheld> {
        let text = |bytes: &Bytes| String::from_utf8_lossy(bytes).into_owned();
        let line = match command {
            Command::Startup { .. } => "STARTUP".into(),
            Command::Run { id, text: sent, .. } => format!("QUERY {} {}", text(id), text(sent)),
            Command::Begin => "QUERY - BEGIN".into(),
            Command::Rollback => "QUERY - ROLLBACK".into(),
            Command::Set { name, value } => format!("QUERY - SET {name} {}", text(value)),
            Command::Reset => "QUERY - RESET".into(),
            Command::Terminate => "TERMINATE".into(),
            _ => "QUERY - STATUS".into(),
        };
        outbox.put_slice(line.as_bytes());
        words::end_line(outbox);
        Ok(())
    }

    fn read_back<'a>(&self, _: &'a [u8]) -> ReadBack<'a> {
        ReadBack::Opaque
    }

    fn decode(&mut self, inbox: &mut BytesMut) -> Result<Option<Frame>, WireError> {
        let Some(line) = words::take_line(inbox, &mut self.scanned_bytes)? else {
            return Ok(None);
        };
        let (word, rest) = words::split_word(&line);
        Ok(Some(match word.as_ref() {
            b"DATAROW" => Frame::Row(rest),
            b"COMPLETE" => Frame::Complete(rest),
            b"ERROR" => {
                let code = match rest.as_ref() {
                    b"BUSY" => Code::Busy,
                    b"FAILED" => Code::Failed,
                    b"READONLY" => Code::ReadOnly,
                    _ => Code::Other("OTHER".into()),
                };
                Frame::Error(code, "stand-in".into())
            }
            b"READY" => {
                let state = match rest.as_ref() {
                    b"T" => TransactionState::Transaction,
                    _ => TransactionState::Idle,
                };
                Frame::Ready(state, Some(Point::new(1, 1)))
            }
            _ => return Err(WireError::Malformed("unknown word")),
        }))
    }

    fn member_status(&self, _: &Bytes) -> Option<MemberStatus> {
        None
    }
}

/// Proxies whose members speak lines.
pub struct LineDeployment;

impl Deployment for LineDeployment {
    type Caller = Serving;
    type Member = Lines;
    type Claims = ClaimRows;
    type PromotionOrders = Unavailable;
    type Directory = Unavailable;
}

/// How a member answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reaction {
    /// Runs the statement.
    Runs,
    /// Sends these bytes.
    Sends(&'static str),
    /// Refuses the statement with this code.
    Refuses(&'static str),
    /// Runs the statement and answers after this time.
    Delays(Duration),
    /// Closes the connection.
    Closes,
    /// Sends nothing.
    Rests,
}

/// A member.
pub struct Member {
    pub address: SocketAddr,
    /// Reaction to callers' statements.
    pub reaction: Cell<Reaction>,
    /// Text of the proxy's own commands to which the member reacts in another way.
    pub own: Cell<Option<(&'static str, Reaction)>>,
    /// Time at which each statement of a caller has arrived.
    pub arrivals: RefCell<Vec<Instant>>,
    pub connections: Cell<usize>,
    /// Whether the member answers startup messages.
    pub accepts: Cell<bool>,
    /// Newest `SET` on the connection of each `BEGIN` of a caller, at its arrival.
    pub begun_with: RefCell<Vec<String>>,
}

impl Member {
    pub async fn start() -> Rc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
        let member = Rc::new(Self {
            address: listener.local_addr().expect("the listener is bound"),
            reaction: Cell::new(Reaction::Runs),
            own: Cell::new(None),
            arrivals: RefCell::default(),
            connections: Cell::new(0),
            accepts: Cell::new(true),
            begun_with: RefCell::default(),
        });
        let accepting = Rc::clone(&member);
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                accepting.connections.set(accepting.connections.get() + 1);
                let member = Rc::clone(&accepting);
                // Answers must not wait for the acknowledgement of earlier ones.
                stream.set_nodelay(true).expect("the connection is open");
                tokio::task::spawn_local(async move { member.serve(stream).await });
            }
        });
        member
    }

    async fn serve(&self, mut stream: TcpStream) {
        let (mut inbox, mut scanned_bytes, mut state) = (BytesMut::new(), 0, 'I');
        let mut set = String::new();
        loop {
            let line = match words::take_line(&mut inbox, &mut scanned_bytes) {
                Ok(Some(line)) => line,
                _ => match stream.read_buf(&mut inbox).await {
                    Ok(0) | Err(_) => return,
                    Ok(_) => continue,
                },
            };
            let line = String::from_utf8_lossy(&line).into_owned();
            let Some((id, text)) = line
                .strip_prefix("QUERY ")
                .and_then(|query| query.split_once(' '))
            else {
                if line == "STARTUP" && !self.accepts.get() {
                    continue;
                }
                if line != "STARTUP" || stream.write_all(b"READY I\r\n").await.is_err() {
                    return;
                }
                continue;
            };
            let word = text.split(' ').next().unwrap_or_default();
            match (id, word) {
                ("-", "SET" | "RESET") => set = text.to_owned(),
                ("-", _) => {}
                (_, "BEGIN") => self.begun_with.borrow_mut().push(set.clone()),
                _ => {}
            }
            let reaction = match id {
                "-" => {
                    let own = self.own.get().filter(|(start, _)| text.starts_with(start));
                    own.map_or(Reaction::Runs, |(_, reaction)| reaction)
                }
                _ => {
                    self.arrivals.borrow_mut().push(Instant::now());
                    match word {
                        "BEGIN" | "ROLLBACK" => Reaction::Runs,
                        _ => self.reaction.get(),
                    }
                }
            };
            if let Reaction::Delays(delay) = reaction {
                tokio::time::sleep(delay).await;
            }
            let answer = match reaction {
                Reaction::Runs | Reaction::Delays(_) => {
                    state = match word {
                        "BEGIN" => 'T',
                        "COMMIT" | "ROLLBACK" => 'I',
                        _ => state,
                    };
                    format!("COMPLETE {id}\r\nREADY {state}\r\n")
                }
                Reaction::Sends(bytes) => bytes.to_owned(),
                Reaction::Refuses(code) => format!("ERROR {code}\r\nREADY {state}\r\n"),
                Reaction::Closes => return,
                Reaction::Rests => continue,
            };
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
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

/// Starts a proxy; the first member leads.
fn start_shell(vm_name: &str, consistency: Consistency, members: &[Rc<Member>]) -> LineShell {
    let settings = Settings {
        name: format!("{vm_name}-0").into(),
        vm_name: vm_name.into(),
        place: place(vm_name),
        drain_timeout: Duration::from_secs(7),
        fenced: true,
    };
    let shell = Shell::new(settings, ClaimRows::unwritten(), Unavailable, Unavailable);
    let route = Route {
        database: GROUP.into(),
        group: id::of(GROUP),
        consistency,
        statement_timeout_ms: TIMEOUT_MS,
        objective_ms: TIMEOUT_MS,
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
    for (number, member) in (1..).zip(members) {
        shell.handle(Event::Listed(Entry {
            id: 10 + number,
            name: format!("member-{number}").into(),
            group: id::of(GROUP),
            address: member.address,
            place: place("home"),
            slots: 4,
            leaving: false,
            listed_as_leader: number == 1,
            cold_remaining_ms: 0,
            revision: Revision { era: 0, version: 1 },
        }));
    }
    shell.handle(Event::DirectoryRead {
        answered_at: Some(clock::now()),
    });
    tokio::task::spawn_local(Rc::clone(&shell).tick());
    shell
}

/// Members, and the proxy that callers connect to.
pub struct System {
    pub members: Vec<Rc<Member>>,
    entry: LineShell,
    consistency: Consistency,
}

impl System {
    /// Starts the proxies; callers connect to the home itself unless `forwards` is set.
    pub async fn start(members: usize, consistency: Consistency, forwards: bool) -> Self {
        let mut started = Vec::new();
        for _ in 0..members {
            started.push(Member::start().await);
        }
        let home = start_shell("home", consistency, &started);
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
        let mut entry = Rc::clone(&home);
        if forwards {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
            let address = listener.local_addr().expect("the listener is bound");
            let served = serve::accept_peers(Rc::clone(&home), listener, GRACE);
            tokio::task::spawn_local(served);
            entry = start_shell("far", consistency, &started);
            entry.handle(Event::PeerListed(Peer {
                vm_name: "home".into(),
                address,
                updates_address: address,
                place: place("home"),
            }));
            entry.handle(Event::PeersRead);
        }
        Self {
            members: started,
            entry,
            consistency,
        }
    }

    /// Sets how all members answer callers' statements.
    pub fn react(&self, reaction: Reaction) {
        for member in &self.members {
            member.reaction.set(reaction);
        }
    }

    /// Returns the times at which callers' statements have arrived at any member.
    pub fn arrivals(&self) -> Vec<Instant> {
        let arrivals = self.members.iter().map(|member| member.arrivals.borrow());
        let mut arrivals: Vec<Instant> = arrivals.flat_map(|arrivals| arrivals.clone()).collect();
        arrivals.sort();
        arrivals
    }

    pub async fn connect(&self) -> Caller {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
        let address = listener.local_addr().expect("the listener is bound");
        let served = serve::accept_callers(Rc::clone(&self.entry), listener, GRACE);
        tokio::task::spawn_local(served);
        let mut caller = Caller {
            stream: TcpStream::connect(address).await.expect("loopback"),
            inbox: BytesMut::new(),
            consistency: self.consistency,
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
}

/// A caller's connection.
pub struct Caller {
    pub stream: TcpStream,
    inbox: BytesMut,
    consistency: Consistency,
}

/// Error of an answer.
pub type Refused = Option<(Code, Box<str>)>;

impl Caller {
    /// Sends a command; returns the error of the answer, if any.
    pub async fn ask(&mut self, command: Command<'_>) -> Refused {
        let mut outbox = BytesMut::new();
        let encoded = Forwarding.encode(command, &mut outbox);
        encoded.expect("the statement fits");
        let sent = self.stream.write_all_buf(&mut outbox).await;
        sent.expect("the proxy accepts the bytes");
        let mut refused = None;
        loop {
            let frame = Forwarding.decode(&mut self.inbox);
            match frame.expect("frames are valid") {
                Some(Frame::Ready(..)) => return refused,
                Some(Frame::Error(code, text)) => refused = Some((code, text)),
                Some(_) => {}
                None => match self.stream.read_buf(&mut self.inbox).await {
                    Ok(0) | Err(_) => panic!("the session has ended: {refused:?}"),
                    Ok(_) => {}
                },
            }
        }
    }

    pub async fn run(&mut self, id: &'static str, text: &'static str, verb: Verb) -> Refused {
        let options = StatementOptions {
            consistency: self.consistency,
            timeout_ms: TIMEOUT_MS,
            objective_ms: TIMEOUT_MS,
            priority: 1,
            workspace: None,
        };
        self.ask(Command::Run {
            id: &id.into(),
            text: &text.into(),
            verb,
            floor: None,
            options: Some(options),
        })
        .await
    }
}
