//! Clients that do not read their answers, or read them slowly (issue 61).

#[allow(dead_code)]
#[path = "support/scripted.rs"]
mod scripted;
mod support;
#[allow(dead_code)]
#[path = "support/scripted_system.rs"]
mod system;

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use fulmarlift_broker::topology::Consistency;
use fulmarlift_session::peer::Forwarding;
use fulmarlift_session::protocol::caller::StatementOptions;
use fulmarlift_session::protocol::member::{Codec, Command, Frame, Verb};
use fulmarlift_session::serve;
use fulmarlift_session::session::ShutdownGrace;
use rstest::rstest;
use system::{BEGIN, Limits, READ, SHORT_GRACE, System};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Size of the socket buffers, so that few answers fill them.
const BUFFER_BYTES: u32 = 4 << 10;
/// Statements whose answers exceed the buffers.
const STATEMENTS: usize = 4_000;
/// Time after which a client that reads nothing is disconnected, with some delay of the machine.
const UNREAD_LIMIT: Duration = Duration::from_secs(8);
const GRACE: ShutdownGrace = ShutdownGrace {
    idle_delay: Duration::from_secs(20),
    ..SHORT_GRACE
};

async fn on_one_thread(test: impl Future<Output = ()>) {
    tokio::task::LocalSet::new().run_until(test).await;
}

fn run_command<'a>(id: &'a Bytes, text: &'a Bytes, verb: Verb) -> Command<'a> {
    Command::Run {
        id,
        text,
        verb,
        floor: None,
        options: Some(StatementOptions {
            consistency: Consistency::Leader,
            timeout_ms: 5_000,
            objective_ms: 5_000,
            priority: 1,
            workspace: None,
        }),
    }
}

/// Connects with small buffers at both ends.
async fn connect(system: &System) -> TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("the listener is bound");
    let buffer_bytes = usize::try_from(BUFFER_BYTES).expect("a small number");
    socket2::SockRef::from(&listener)
        .set_send_buffer_size(buffer_bytes)
        .expect("the option is valid");
    let served = serve::accept_callers(Rc::clone(&system.entry), listener, GRACE);
    tokio::task::spawn_local(served);
    let socket = TcpSocket::new_v4().expect("a socket can be made");
    let sized = socket.set_recv_buffer_size(BUFFER_BYTES);
    sized.expect("the option is valid");
    let mut stream = socket.connect(address).await.expect("loopback");
    let startup = Command::Startup {
        group: "ledger",
        member: "any",
        workspace: None,
    };
    send(&mut stream, startup).await;
    stream
}

async fn send(stream: &mut TcpStream, command: Command<'_>) {
    let mut outbox = BytesMut::new();
    let encoded = Forwarding.encode(command, &mut outbox);
    encoded.expect("the statement fits");
    // The proxy may have ended the session.
    let _ = stream.write_all_buf(&mut outbox).await;
}

/// Sends statements that the proxy answers, all at once.
async fn send_all(stream: &mut TcpStream, system: &System, in_transaction: bool) {
    let (id, text) = (Bytes::from_static(b"t1.1"), Bytes::from_static(b"READ 1"));
    if in_transaction {
        for (id, text) in [("t1.0", "BEGIN"), ("t1.1", "READ 1")] {
            let sent = (id.to_owned(), text.to_owned());
            system.member.sent.borrow_mut().push(sent);
        }
        let (id, text) = (Bytes::from_static(b"t1.0"), Bytes::from_static(b"BEGIN"));
        send(stream, run_command(&id, &text, BEGIN)).await;
    }
    let mut outbox = BytesMut::new();
    for _ in 0..STATEMENTS {
        let command = match in_transaction {
            true => run_command(&id, &text, READ),
            false => Command::Reset,
        };
        Forwarding.encode(command, &mut outbox).expect("short");
    }
    // The proxy takes no further statements while their answers are not read.
    let _ = tokio::time::timeout(
        Duration::from_millis(500),
        stream.write_all_buf(&mut outbox),
    )
    .await;
    // The proxy has filled the buffers.
    tokio::time::sleep(Duration::from_millis(300)).await;
}

/// Waits until no session is left; returns whether that was so in time.
async fn sessions_end(system: &System, limit: Duration) -> bool {
    let ends_by = Instant::now() + limit;
    while system.entry.sessions() > 0 && Instant::now() < ends_by {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    system.entry.sessions() == 0
}

#[rstest]
#[case::outside_transaction(false, false, UNREAD_LIMIT)]
#[case::in_transaction(true, false, Duration::from_secs(2))]
#[case::at_stop(false, true, Duration::from_secs(2))]
#[tokio::test]
async fn client_that_reads_nothing_is_disconnected(
    #[case] in_transaction: bool,
    #[case] proxy_stops: bool,
    #[case] limit: Duration,
) {
    on_one_thread(async {
        let limits = Limits {
            transaction_idle_ms: 500,
            statement_timeout_ms: 5_000,
            ..Limits::default()
        };
        let system = System::start(false, limits).await;
        let mut stream = connect(&system).await;
        send_all(&mut stream, &system, in_transaction).await;
        assert_eq!(system.entry.sessions(), 1);
        if proxy_stops {
            system.entry.stop();
        }
        assert!(sessions_end(&system, limit).await);
    })
    .await;
}

#[tokio::test]
async fn client_that_reads_slowly_gets_all_answers() {
    on_one_thread(async {
        let system = System::start(false, Limits::default()).await;
        let mut stream = connect(&system).await;
        let (mut reader, mut writer) = stream.split();
        let mut outbox = BytesMut::new();
        for _ in 0..STATEMENTS {
            Forwarding
                .encode(Command::Reset, &mut outbox)
                .expect("short");
        }
        let writing = writer.write_all_buf(&mut outbox);
        let reading = async {
            let mut inbox = BytesMut::new();
            let mut answered = 0;
            while answered <= STATEMENTS {
                let mut piece = [0; 512];
                let read_bytes = reader.read(&mut piece).await.expect("the session is open");
                assert!(read_bytes > 0, "the session has ended");
                inbox.extend_from_slice(&piece[..read_bytes]);
                while let Some(frame) = Forwarding.decode(&mut inbox).expect("frames are valid") {
                    answered += usize::from(matches!(frame, Frame::Ready(..)));
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        let (written, ()) = tokio::join!(writing, reading);
        written.expect("the proxy reads");
    })
    .await;
}
