//! Connections between proxies that another system, another build or another proxy than the one meant has at the other end.

#[path = "support/commanded.rs"]
mod commanded;
#[path = "support/member.rs"]
mod member;
mod support;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Once;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use fulmarlift_broker::event::{Answer, Event, StatementReport};
use fulmarlift_broker::revision::Revision;
use fulmarlift_broker::topology::{Consistency, Group, Member as Entry, Peer, Route, Topology};
use fulmarlift_core::floor::Point;
use fulmarlift_core::id;
use fulmarlift_core::topology::Place;
use fulmarlift_session::clock;
use fulmarlift_session::peer::Forwarding;
use fulmarlift_session::peer::greeting::{
    self, Greeting, PROTOCOL_VERSION, Reason, Refusal, Service,
};
use fulmarlift_session::protocol::Mode;
use fulmarlift_session::protocol::caller::StatementOptions;
use fulmarlift_session::protocol::member::{Codec, Command, End, Frame, Verb};
use fulmarlift_session::session::ShutdownGrace;
use fulmarlift_session::shell::Shell;
use fulmarlift_session::{serve, updates};
use proptest::prelude::{Strategy, any};
use proptest::test_runner::{Config, TestRunner};
use rstest::rstest;
use support::{Store, StorePart, TestDeployment, shell, shell_in};
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
const STATEMENT: &str = "WRITE 1 x";
/// Time in which a proxy that refuses a connection closes it, on a busy machine.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time in which a statement or command that is passed on reaches the member.
const ARRIVAL_TIME: Duration = Duration::from_millis(300);
/// Time in which proxies that replace each other as homes and members without a home serve a caller again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(8);
/// Connections that send random bytes.
const RANDOM_CASES: u32 = 64;

async fn on_one_thread(test: impl Future<Output = ()>) {
    tokio::task::LocalSet::new().run_until(test).await;
}

fn place(domain: &str) -> Place {
    Place {
        region: "north".into(),
        domain: domain.into(),
    }
}

/// Passes the group and its only member, which leads, to a shell.
fn configure(shell: &Rc<Shell<TestDeployment>>, member: SocketAddr) {
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
        address: member,
        place: place("a"),
        slots: 2,
        leaving: false,
        listed_as_leader: true,
        cold_remaining_ms: 0,
        revision: Revision { era: 0, version: 1 },
    }));
    shell.handle(Event::DirectoryRead {
        answered_at: Some(clock::now()),
    });
    shell.handle(Event::PeersRead);
}

fn show_leader(shell: &Rc<Shell<TestDeployment>>) {
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

async fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("the loopback address is available");
    let address = listener.local_addr().expect("the listener is bound");
    (listener, address)
}

fn shutdown_grace() -> ShutdownGrace {
    ShutdownGrace {
        idle_delay: Duration::ZERO,
        idle_spread: Duration::ZERO,
        transaction_timeout: Duration::from_millis(300),
        statement_timeout: Duration::from_millis(600),
    }
}

/// Starts a home of the group under this name; returns its member, and its address for other proxies.
async fn start_home(vm_name: &str) -> (Rc<member::Member>, SocketAddr) {
    let (shell, member) = (shell_in(vm_name, "a"), member::Member::start().await);
    configure(&shell, member.address);
    show_leader(&shell);
    let (listener, address) = bind().await;
    tokio::task::spawn_local(serve::accept_peers(shell, listener, shutdown_grace()));
    (member, address)
}

/// Returns a proxy that forwards to a home of this name, and its own address for callers.
async fn start_forwarding(
    home: &str,
    address: SocketAddr,
    member: SocketAddr,
) -> (Rc<Shell<TestDeployment>>, SocketAddr) {
    let shell = shell_in("proxy-far", "far");
    shell.handle(Event::PeerListed(Peer {
        vm_name: home.into(),
        address,
        updates_address: address,
        place: place("a"),
    }));
    configure(&shell, member);
    let (listener, address) = bind().await;
    let accepting = serve::accept_callers(Rc::clone(&shell), listener, shutdown_grace());
    tokio::task::spawn_local(accepting);
    (shell, address)
}

/// Returns the messages that open a connection for the group and run a write, as earlier builds send them.
fn statement_frames() -> BytesMut {
    let (mut codec, mut frames) = (Forwarding, BytesMut::new());
    let startup = Command::Startup {
        group: GROUP,
        member: "home",
        workspace: None,
    };
    codec
        .encode(startup, &mut frames)
        .expect("short messages are encoded");
    let (id, text) = (
        Bytes::from_static(b"1"),
        Bytes::from_static(STATEMENT.as_bytes()),
    );
    let write = Command::Run {
        id: &id,
        text: &text,
        verb: Verb::Run(Mode::Write),
        floor: None,
        options: Some(OPTIONS),
    };
    codec
        .encode(write, &mut frames)
        .expect("short messages are encoded");
    frames
}

/// Returns messages of a build whose first message has one field more, and whose second is not the one that has its number now.
fn frames_of_other_layout() -> Vec<u8> {
    #[derive(serde::Serialize)]
    enum Request<'a> {
        Startup(&'a str, u8),
        Prepare(&'a [u8], &'a [u8], (u8, u8), (u8, u16, u16, u8), Option<u8>),
    }
    let prepare = Request::Prepare(
        b"1",
        STATEMENT.as_bytes(),
        (3, 1),
        (0, 5_000, 5_000, 1),
        None,
    );
    let frames = [Request::Startup(GROUP, 0), prepare].map(|request| {
        let value = postcard::to_stdvec(&request).expect("plain values encode");
        let length = u32::try_from(value.len()).expect("the value is short");
        [&length.to_be_bytes()[..], &value].concat()
    });
    frames.concat()
}

/// Sends bytes to an address, and waits until the other end closes the connection. Returns what it has answered; none if it keeps
/// the connection open.
async fn send_until_closed(address: SocketAddr, bytes: &[u8]) -> Option<Vec<u8>> {
    let connected = TcpStream::connect(address).await;
    let mut stream = connected.expect("the address accepts connections");
    // Fails if the other end has closed the connection before the last byte.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let reading = tokio::time::timeout(CLOSE_TIMEOUT, stream.read_to_end(&mut answer)).await;
    // A connection that is closed with unread bytes ends in an error here.
    reading.ok().map(|_| answer)
}

/// Anything may connect to an address that a proxy has, also what was meant for the address's last owner.
#[rstest]
#[case::statement_without_greeting(statement_frames().to_vec())]
#[case::frames_of_other_layout(frames_of_other_layout())]
#[case::lines_of_a_caller(b"STARTUP ledger who\r\nQUERY 1 WRITE 1 x\r\n".to_vec())]
#[case::http(b"GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n".to_vec())]
#[case::nothing_but_zeros(vec![0; 64])]
#[tokio::test]
async fn foreign_bytes_are_refused_before_any_statement(#[case] bytes: Vec<u8>) {
    on_one_thread(async {
        let (member, address) = start_home("proxy-1").await;
        let answer = send_until_closed(address, &bytes).await;
        tokio::time::sleep(ARRIVAL_TIME).await;
        assert!(member.texts().is_empty(), "{:?}", member.texts());
        assert_eq!(answer.as_deref(), Some(&[][..]), "closed without an answer");
    })
    .await;
}

#[test]
fn random_bytes_before_statement_are_refused() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime starts");
    let mut runner = TestRunner::new_with_rng(
        Config::with_cases(RANDOM_CASES),
        proptest::test_runner::TestRng::deterministic_rng(
            proptest::test_runner::RngAlgorithm::ChaCha,
        ),
    );
    runtime.block_on(on_one_thread(async {
        let (member, address) = start_home("proxy-1").await;
        for _ in 0..RANDOM_CASES {
            let junk = proptest::collection::vec(any::<u8>(), 0..24);
            let junk = junk.new_tree(&mut runner).expect("bytes are generated");
            let junk = proptest::strategy::ValueTree::current(&junk);
            let bytes = [&junk, &statement_frames()[..]].concat();
            let answer = send_until_closed(address, &bytes).await;
            assert_eq!(answer.as_deref(), Some(&[][..]), "{junk:?}");
        }
        tokio::time::sleep(ARRIVAL_TIME).await;
        assert!(member.texts().is_empty(), "{:?}", member.texts());
    }));
}

/// The proxy that was a home at this address has gone, and another one has the address. It has not taken part in the choice of
/// homes, and its members need not be those of the group.
#[tokio::test]
async fn statement_is_not_run_by_another_proxy_at_address_of_home() {
    keep_lines();
    on_one_thread(async {
        let (other_member, address) = start_home("proxy-2").await;
        let member = member::Member::start().await;
        let (shell, callers) = start_forwarding("proxy-1", address, member.address).await;
        assert!(shell.with_broker(|broker| broker.forwards_requests(id::of(GROUP))));
        let connected = TcpStream::connect(callers).await;
        let mut caller = connected.expect("the proxy takes callers");
        let sent = caller.write_all(&statement_frames()).await;
        sent.expect("the proxy takes the statement");
        tokio::time::sleep(ARRIVAL_TIME).await;
        assert!(other_member.texts().is_empty());
        for side in ["side=accept", "side=connect"] {
            let names = "from=proxy-far meant=proxy-1 at=proxy-2";
            let lines = refusal_lines();
            let told = lines
                .iter()
                .find(|line| line.contains(side) && line.contains(names));
            let told = told.unwrap_or_else(|| panic!("{lines:?}"));
            let version = format!("version={PROTOCOL_VERSION} reason=name");
            assert!(told.contains(&version), "{told}");
        }
    })
    .await;
}

/// A reader's address, too, may be that of another proxy by now, which may belong to another system.
#[tokio::test]
async fn updates_of_another_proxy_at_address_of_reader_are_not_applied() {
    on_one_thread(async {
        let store = Rc::new(Store::default());
        store.version.set(1);
        let sources = |store: &Rc<Store>| {
            let part = |contents| StorePart {
                store: Rc::clone(store),
                contents,
            };
            updates::Sources {
                configurations: part(fulmarlift_session::deployment::Contents::Configuration),
                members: part(fulmarlift_session::deployment::Contents::Members),
                proxies: part(fulmarlift_session::deployment::Contents::Peers),
            }
        };
        let (listener, address) = bind().await;
        let other = shell("other");
        tokio::task::spawn_local(updates::observe(Rc::clone(&other), sources(&store)));
        tokio::task::spawn_local(updates::publish(Rc::clone(&other), listener));
        let down = Rc::new(Store::default());
        down.down.set(true);
        let shell = shell("proxy-1");
        for nth in 2..8 {
            shell.handle(Event::PeerListed(Peer {
                vm_name: format!("proxy-{nth}").into(),
                address,
                updates_address: address,
                place: place("a"),
            }));
        }
        tokio::task::spawn_local(updates::observe(Rc::clone(&shell), sources(&down)));
        tokio::time::sleep(CLOSE_TIMEOUT).await;
        let version = |shell: &Rc<Shell<_>>| shell.with_broker(|broker| broker.topology().version);
        assert_eq!((version(&other), version(&shell)), (1, 0));
    })
    .await;
}

/// Returns the refusal of a home to a greeting, with what the home tells of itself.
async fn refusal_of(greeting: &Greeting) -> (Option<Refusal>, Rc<member::Member>) {
    let (member, address) = start_home("proxy-1").await;
    let mut bytes = BytesMut::new();
    greeting.encode(&mut bytes);
    bytes.extend_from_slice(&statement_frames());
    let answer = send_until_closed(address, &bytes).await;
    let mut answer = BytesMut::from(&answer.unwrap_or_default()[..]);
    let answer = greeting::Answer::decode(&mut answer).expect("the home answers the greeting");
    (
        answer.and_then(|answer| answer.check("proxy-1").err()),
        member,
    )
}

/// Both ends learn why, and who the other one is.
#[rstest]
#[case::of_another_version(Greeting { version: PROTOCOL_VERSION + 1, ..greeting("proxy-1") }, Reason::Version)]
#[case::of_an_earlier_version(Greeting { version: PROTOCOL_VERSION - 1, ..greeting("proxy-1") }, Reason::Version)]
#[case::for_another_proxy(greeting("proxy-2"), Reason::Name)]
#[case::for_another_proxy_of_longer_name(greeting("proxy-12"), Reason::Name)]
#[case::for_nobody(greeting(""), Reason::Name)]
#[case::for_another_service(Greeting { service: Service::Updates as u8, ..greeting("proxy-1") }, Reason::Service)]
#[tokio::test]
async fn greeting_is_refused(#[case] greeting: Greeting, #[case] reason: Reason) {
    on_one_thread(async {
        let (refusal, member) = refusal_of(&greeting).await;
        let refusal = refusal.expect("the home refuses");
        assert_eq!(refusal.reason, reason);
        assert_eq!(refusal.from.vm_name.as_deref(), Some("proxy-1"));
        assert!(member.texts().is_empty(), "{:?}", member.texts());
    })
    .await;
}

fn greeting(meant: &str) -> Greeting {
    Greeting::new(Service::Statements, meant, "asker")
}

/// Whoever takes the port for another one may try again and again, and must not crowd out the lines of others.
#[tokio::test]
async fn refusals_are_logged_rarely() {
    const CONNECTIONS: usize = 40;
    const LINES_PER_S_MAX: usize = 8;
    keep_lines();
    on_one_thread(async {
        let (_, address) = start_home("proxy-1").await;
        let started_at = clock::now();
        for _ in 0..CONNECTIONS {
            send_until_closed(address, b"GET / HTTP/1.1\r\n\r\n").await;
        }
        let seconds = clock::now().saturating_duration_since(started_at).as_secs();
        let lines = refusal_lines();
        let lines_max = LINES_PER_S_MAX * (1 + usize::try_from(seconds).unwrap_or(usize::MAX / 16));
        assert!((1..=lines_max).contains(&lines.len()), "{lines:?}");
        tokio::time::sleep(Duration::from_secs(1)).await;
        send_until_closed(address, b"GET / HTTP/1.1\r\n\r\n").await;
        let lines = refusal_lines();
        let unlogged = lines.iter().filter_map(|line| line.split_once("unlogged="));
        let unlogged: usize = unlogged
            .filter_map(|(_, count)| count.parse::<usize>().ok())
            .sum();
        assert_eq!(lines.len() + unlogged, CONNECTIONS + 1, "{lines:?}");
    })
    .await;
}

thread_local! {
    /// Lines that the current test has logged.
    static LINES: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

/// Keeps lines.
struct Lines;

impl log::Log for Lines {
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
        log::set_logger(&Lines).expect("no other logger is set");
        log::set_max_level(log::LevelFilter::Info);
    });
}

/// Returns the lines of refused connections.
fn refusal_lines() -> Vec<String> {
    LINES.with_borrow(|lines| {
        let told = lines
            .iter()
            .filter(|line| line.contains("event=peer_refused"));
        told.cloned().collect()
    })
}

/// Returns a question to hold a member, as earlier builds send it.
fn hold_question(member: &Entry) -> Vec<u8> {
    let (kind, asker, hold, term) = (7_u32, "asker", 1_u32, 2_u64);
    let question = postcard::to_stdvec(&(kind, asker, member, (hold, term)));
    let question = question.expect("plain values encode");
    let length = u32::try_from(question.len()).expect("the question is short");
    [&length.to_be_bytes()[..], &question].concat()
}

#[tokio::test]
async fn command_without_greeting_is_not_sent_to_member() {
    on_one_thread(async {
        let member = commanded::Member::start(false).await;
        let entry = commanded::entry("replica", "b", member.address, false);
        let proxy = commanded::Proxy::start("proxy", "a", std::slice::from_ref(&entry)).await;
        let address = proxy.peer.updates_address;
        let answer = send_until_closed(address, &hold_question(&entry)).await;
        tokio::time::sleep(ARRIVAL_TIME).await;
        assert!(!member.got("HOLD"));
        assert_eq!(answer.as_deref(), Some(&[][..]), "closed without an answer");
    })
    .await;
}

/// All homes are of another build, so the proxy becomes a home itself.
#[tokio::test]
async fn caller_is_served_though_home_refuses() {
    on_one_thread(async {
        let (_, address) = start_home("proxy-2").await;
        let member = member::Member::start().await;
        let (shell, callers) = start_forwarding("proxy-1", address, member.address).await;
        show_leader(&shell);
        let deadline = tokio::time::Instant::now() + RECOVERY_TIMEOUT;
        while member.texts().is_empty() && tokio::time::Instant::now() < deadline {
            // The codec cannot encode probes, so no ticks come from the shell itself.
            shell.handle(Event::Tick);
            run_statement(callers).await;
        }
        assert_eq!(member.texts(), [STATEMENT]);
    })
    .await;
}

/// Runs the write as a caller, and returns how it ended.
async fn run_statement(address: SocketAddr) -> Option<End> {
    let connected = TcpStream::connect(address).await;
    let mut stream = connected.expect("the proxy takes callers");
    let sent = stream.write_all(&statement_frames()).await;
    sent.expect("the proxy takes the statement");
    let (mut codec, mut inbox) = (Forwarding, BytesMut::new());
    let mut end = None;
    let answering = async {
        let mut readies = 0;
        // One for the startup, and one for the statement.
        while readies < 2 {
            match codec
                .decode(&mut inbox)
                .expect("the proxy follows the protocol")
            {
                Some(Frame::Ready(..)) => readies += 1,
                Some(Frame::Complete(signature)) => end = Some(End::Complete(signature)),
                Some(Frame::Error(code, text)) => end = Some(End::Error(code, text)),
                Some(_) => {}
                None if stream.read_buf(&mut inbox).await.is_ok_and(|read| read > 0) => {}
                None => return,
            }
        }
    };
    let _ = tokio::time::timeout(ARRIVAL_TIME, answering).await;
    end
}
