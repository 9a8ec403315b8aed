//! Connections to members whose address, or whose name, another process has by now.

mod support;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use fulmarlift_broker::event::{self, Event, MemberStatus, StatementReport};
use fulmarlift_broker::revision::Revision;
use fulmarlift_broker::state::Settings;
use fulmarlift_broker::topology::{Consistency, Group, Member as Entry, Route, Topology};
use fulmarlift_core::floor::Point;
use fulmarlift_core::id;
use fulmarlift_core::topology::Place;
use fulmarlift_session::clock;
use fulmarlift_session::deployment::Deployment;
use fulmarlift_session::peer::{Forwarding, Serving};
use fulmarlift_session::protocol::caller::{Codec as _, Message, Reply, StatementOptions};
use fulmarlift_session::protocol::member::{Codec, Command, Frame, ReadBack, Verb};
use fulmarlift_session::protocol::{Code, Mode, TransactionState, WireError, Withheld};
use fulmarlift_session::serve;
use fulmarlift_session::session::ShutdownGrace;
use fulmarlift_session::shell::Shell;
use rstest::rstest;
use support::{ClaimRows, Unavailable};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const GROUPS: [&str; 2] = ["ledger", "stock"];
/// Time in which a statement that is sent is answered, on a busy machine.
const ANSWER_TIME: Duration = Duration::from_millis(300);

/// Most statements until one is served by a member that is listed anew.
const ATTEMPTS_MAX: usize = 20;

/// A deployment whose members speak the protocol between proxies, with the member's name in the startup message.
struct Named;

impl Deployment for Named {
    type Caller = Serving;
    type Member = NamedCodec;
    type Claims = ClaimRows;
    type PromotionOrders = Unavailable;
    type Directory = Unavailable;
}

#[derive(Debug, Default)]
struct NamedCodec(Forwarding);

impl Codec for NamedCodec {
    fn encode(&mut self, command: Command<'_>, outbox: &mut BytesMut) -> Result<(), Withheld> {
        match command {
            Command::Startup { group, member, .. } => {
                let group = &format!("{group}/{member}");
                self.0.encode(
                    Command::Startup {
                        group,
                        member,
                        workspace: None,
                    },
                    outbox,
                )
            }
            other => self.0.encode(other, outbox),
        }
    }

    fn read_back<'a>(&self, message: &'a [u8]) -> ReadBack<'a> {
        self.0.read_back(message)
    }

    fn decode(&mut self, inbox: &mut BytesMut) -> Result<Option<Frame>, WireError> {
        self.0.decode(inbox)
    }

    fn member_status(&self, _: &Bytes) -> Option<MemberStatus> {
        None
    }
}

/// An address at which one member after the other runs.
struct Machine {
    address: SocketAddr,
    /// Group and name of the member that runs now.
    runs: RefCell<&'static str>,
    /// Counts the members, each of which ends the connections of the one before.
    generation: watch::Sender<u32>,
    /// Number of the connection, what its startup message named, and the text of each statement.
    received: RefCell<Vec<(usize, String, String)>>,
    /// Startup messages that were refused.
    refused: RefCell<Vec<String>>,
    connections: Cell<usize>,
}

impl Machine {
    async fn start(runs: &'static str) -> Rc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("the loopback address is available");
        let machine = Rc::new(Self {
            address: listener.local_addr().expect("the listener is bound"),
            runs: RefCell::new(runs),
            generation: watch::Sender::new(0),
            received: RefCell::default(),
            refused: RefCell::default(),
            connections: Cell::default(),
        });
        let accepting = Rc::clone(&machine);
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let machine = Rc::clone(&accepting);
                let number = machine.connections.get();
                machine.connections.set(number + 1);
                tokio::task::spawn_local(async move {
                    let mut ended = machine.generation.subscribe();
                    tokio::select! {
                        () = machine.serve(stream, number) => {}
                        _ = ended.changed() => {}
                    }
                });
            }
        });
        machine
    }

    /// Ends the member that runs, with its connections, and starts another one.
    fn restart_as(&self, runs: &'static str) {
        self.runs.replace(runs);
        self.generation.send_modify(|generation| *generation += 1);
    }

    async fn serve(&self, mut stream: TcpStream, number: usize) {
        let (mut codec, mut inbox, mut outbox) = (Serving, BytesMut::new(), BytesMut::new());
        let mut opened_for = String::new();
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
                Message::Startup { database, .. } if *database != **self.runs.borrow() => {
                    self.refused.borrow_mut().push(database.into());
                    codec.encode(Reply::Error(&Code::Misrouted, "another"), &mut outbox);
                    let _ = stream.write_all_buf(&mut outbox).await;
                    return;
                }
                Message::Startup { database, .. } => opened_for = database.into(),
                Message::Terminate => return,
                Message::Query(query) => {
                    let text = String::from_utf8_lossy(&query.text).into_owned();
                    let received = (number, opened_for.clone(), text);
                    self.received.borrow_mut().push(received);
                    let signature = Bytes::from_static(b"signed");
                    codec.encode(Reply::Complete(&signature), &mut outbox);
                }
            }
            let ready = Reply::Ready(TransactionState::Idle, Some(Point::new(1, 1)));
            codec.encode(ready, &mut outbox);
            if stream.write_all_buf(&mut outbox).await.is_err() {
                return;
            }
        }
    }
}

fn place() -> Place {
    Place {
        region: "north".into(),
        domain: "a".into(),
    }
}

/// Starts a proxy with both groups and no members; returns its address for callers.
async fn start_proxy() -> (Rc<Shell<Named>>, SocketAddr) {
    let settings = Settings {
        name: "proxy-1-0".into(),
        vm_name: "proxy-1".into(),
        place: place(),
        drain_timeout: Duration::from_secs(7),
        fenced: true,
    };
    let shell = Shell::new(settings, ClaimRows::unwritten(), Unavailable, Unavailable);
    let routes = GROUPS.map(|group| Route {
        database: group.into(),
        group: id::of(group),
        consistency: Consistency::Leader,
        statement_timeout_ms: 200,
        objective_ms: 200,
        priority: 1,
        allows_anonymous: false,
    });
    let groups = GROUPS.map(|name| {
        let group = Group {
            name: name.into(),
            connections_max: 8,
            sync_replicas: 0,
        };
        (id::of(name), group)
    });
    shell.handle(Event::Configured(Topology::new(
        1,
        routes.to_vec(),
        groups.to_vec(),
    )));
    shell.handle(Event::DirectoryRead {
        answered_at: Some(clock::now()),
    });
    shell.handle(Event::PeersRead);
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("the loopback address is available");
    let address = listener.local_addr().expect("the listener is bound");
    let grace = ShutdownGrace {
        idle_delay: Duration::ZERO,
        idle_spread: Duration::ZERO,
        transaction_timeout: Duration::from_millis(300),
        statement_timeout: Duration::from_millis(600),
    };
    let accepting = serve::accept_callers(Rc::clone(&shell), listener, grace);
    tokio::task::spawn_local(accepting);
    (shell, address)
}

/// Lists a member that leads its group. `born` tells its incarnations apart.
fn list(shell: &Rc<Shell<Named>>, group: &str, name: &str, born: u64, address: SocketAddr) {
    let member = id::member(id::of(group), &format!("{name}@{born}"));
    shell.handle(Event::Listed(Entry {
        id: member,
        name: name.into(),
        group: id::of(group),
        address,
        place: place(),
        slots: 2,
        leaving: false,
        listed_as_leader: true,
        cold_remaining_ms: 0,
        revision: Revision {
            era: 0,
            version: born,
        },
    }));
    shell.handle(Event::StatementEnded(StatementReport {
        member,
        answer: event::Answer::Led {
            sent_at: clock::now(),
            commit: false,
        },
        point: Some(Point::new(1, 1)),
        floor: None,
        connected_at: None,
        took: None,
    }));
}

fn unlist(shell: &Rc<Shell<Named>>, name: &str, version: u64) {
    shell.handle(Event::Unlisted {
        name: name.into(),
        revision: Revision { era: 0, version },
    });
}

/// Runs a write as a caller of a group's database, and waits for its end or for as long as an answer takes.
async fn write(address: SocketAddr, group: &str, text: &'static str) {
    let connected = TcpStream::connect(address).await;
    let mut stream = connected.expect("the proxy takes callers");
    let (mut codec, mut messages) = (Forwarding, BytesMut::new());
    let member = "any";
    codec
        .encode(
            Command::Startup {
                group,
                member,
                workspace: None,
            },
            &mut messages,
        )
        .expect("short messages are encoded");
    let (id, text) = (
        Bytes::from_static(b"1"),
        Bytes::from_static(text.as_bytes()),
    );
    let options = StatementOptions {
        consistency: Consistency::Leader,
        timeout_ms: 200,
        objective_ms: 200,
        priority: 1,
        workspace: None,
    };
    let write = Command::Run {
        id: &id,
        text: &text,
        verb: Verb::Run(Mode::Write),
        floor: None,
        options: Some(options),
    };
    codec
        .encode(write, &mut messages)
        .expect("short messages are encoded");
    let sent = stream.write_all_buf(&mut messages).await;
    sent.expect("the proxy takes the statement");
    let mut inbox = BytesMut::new();
    let answering = async {
        let mut readies = 0;
        // One for the startup, and one for the statement.
        while readies < 2 {
            match codec.decode(&mut inbox).expect("the proxy's messages") {
                Some(Frame::Ready(..)) => readies += 1,
                Some(_) => {}
                None if stream.read_buf(&mut inbox).await.is_ok_and(|read| read > 0) => {}
                None => return,
            }
        }
    };
    let _ = tokio::time::timeout(ANSWER_TIME, answering).await;
}

async fn on_one_thread(test: impl Future<Output = ()>) {
    tokio::task::LocalSet::new().run_until(test).await;
}

/// A member is released, and another service's member gets its address, before or after the directory tells. The process may also
/// end unnoticed.
#[rstest]
#[case::directory_tells_first(true)]
#[case::directory_tells_later(false)]
#[tokio::test]
async fn connection_is_not_used_for_another_group_at_the_address(#[case] told: bool) {
    on_one_thread(async {
        let machine = Machine::start("ledger/i-1").await;
        let (shell, callers) = start_proxy().await;
        list(&shell, "ledger", "i-1", 1, machine.address);
        write(callers, "ledger", "WRITE 1 a").await;
        machine.restart_as("stock/i-2");
        if told {
            unlist(&shell, "i-1", 2);
        }
        write(callers, "ledger", "WRITE 1 b").await;
        list(&shell, "stock", "i-2", 3, machine.address);
        write(callers, "stock", "WRITE 1 c").await;
        write(callers, "ledger", "WRITE 1 d").await;
        let received = machine.received.borrow();
        let texts = received
            .iter()
            .map(|(_, opened_for, text)| (opened_for.as_str(), text.as_str()));
        let expected = [("ledger/i-1", "WRITE 1 a"), ("stock/i-2", "WRITE 1 c")];
        assert!(texts.eq(expected), "{received:?}");
        let refused = machine.refused.borrow();
        assert!(told || refused.contains(&"ledger/i-1".to_owned()));
        assert_ne!(received[0].0, received[1].0);
    })
    .await;
}

/// Two members of one group use the address in turn.
#[tokio::test]
async fn connection_is_not_used_for_another_member_of_the_group() {
    on_one_thread(async {
        let machine = Machine::start("ledger/i-1").await;
        let (shell, callers) = start_proxy().await;
        list(&shell, "ledger", "i-1", 1, machine.address);
        write(callers, "ledger", "WRITE 1 a").await;
        machine.restart_as("ledger/i-2");
        write(callers, "ledger", "WRITE 1 b").await;
        unlist(&shell, "i-1", 2);
        list(&shell, "ledger", "i-2", 3, machine.address);
        write(callers, "ledger", "WRITE 1 c").await;
        let received = machine.received.borrow();
        for (_, opened_for, text) in received.iter() {
            let expected = match text.as_str() {
                "WRITE 1 a" => "ledger/i-1",
                _ => "ledger/i-2",
            };
            assert_eq!(opened_for, expected, "{received:?}");
        }
        let texts: Vec<&str> = received.iter().map(|(_, _, text)| text.as_str()).collect();
        assert!(
            texts.starts_with(&["WRITE 1 a"]) && texts.ends_with(&["WRITE 1 c"]),
            "{texts:?}"
        );
    })
    .await;
}

/// The connection of the incarnation before, which seems open, must not serve the next one: what the proxy knows of the two
/// differs. The machine keeps it open, as a network does that loses the end of a connection.
#[tokio::test]
async fn connection_is_not_used_for_next_incarnation_of_the_member() {
    on_one_thread(async {
        let machine = Machine::start("ledger/i-1").await;
        let (shell, callers) = start_proxy().await;
        list(&shell, "ledger", "i-1", 1, machine.address);
        write(callers, "ledger", "WRITE 1 a").await;
        list(&shell, "ledger", "i-1", 2, machine.address);
        // The proxy first learns that the new incarnation leads.
        for _ in 0..ATTEMPTS_MAX {
            if machine.received.borrow().len() < 2 {
                write(callers, "ledger", "WRITE 1 b").await;
            }
        }
        let received = machine.received.borrow();
        assert!(received.len() > 1, "{received:?}");
        for (number, _, text) in &received[1..] {
            assert_eq!(text, "WRITE 1 b");
            assert_ne!(*number, received[0].0, "{received:?}");
        }
    })
    .await;
}
