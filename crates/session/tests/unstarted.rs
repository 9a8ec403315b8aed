//! Connections on which nothing is sent (issue 61).

mod support;

use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use fulmarlift_broker::event::Event;
use fulmarlift_broker::topology::{Consistency, Group, Route, Topology};
use fulmarlift_core::id;
use fulmarlift_session::peer::Forwarding;
use fulmarlift_session::protocol::Code;
use fulmarlift_session::protocol::member::{Codec, Command, Frame};
use fulmarlift_session::serve;
use fulmarlift_session::session::ShutdownGrace;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const GROUP: &str = "ledger";
/// Most connections without a startup message that a proxy keeps.
const UNSTARTED_MAX: usize = 256;
/// Connections beyond the limit.
const SURPLUS: usize = 8;
/// Well below the time within which a startup message must arrive.
const PROMPT: Duration = Duration::from_secs(1);
const GRACE: ShutdownGrace = ShutdownGrace {
    idle_delay: Duration::ZERO,
    idle_spread: Duration::ZERO,
    transaction_timeout: Duration::from_millis(300),
    statement_timeout: Duration::from_millis(600),
};

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
        sync_replicas: 0,
    };
    Topology::new(1, vec![route], vec![(id::of(GROUP), group)])
}

/// Opens a session; returns whether it is ready.
async fn start_session(stream: &mut TcpStream) -> bool {
    let mut outbox = BytesMut::new();
    let startup = Command::Startup {
        group: GROUP,
        member: "any",
        workspace: None,
    };
    Forwarding.encode(startup, &mut outbox).expect("short");
    if stream.write_all_buf(&mut outbox).await.is_err() {
        return false;
    }
    let mut inbox = BytesMut::new();
    loop {
        match Forwarding.decode(&mut inbox).expect("frames are valid") {
            Some(Frame::Ready(..)) => return true,
            Some(_) => return false,
            None => match stream.read_buf(&mut inbox).await {
                Ok(0) | Err(_) => return false,
                Ok(_) => {}
            },
        }
    }
}

/// Returns whether the proxy closes the connection soon.
async fn is_closed(stream: &mut TcpStream) -> bool {
    let read = tokio::time::timeout(PROMPT, stream.read(&mut [0; 16])).await;
    matches!(read, Ok(Ok(0) | Err(_)))
}

#[tokio::test]
async fn oldest_silent_connections_are_closed() {
    tokio::task::LocalSet::new()
        .run_until(async {
            let shell = support::shell("proxy-1");
            shell.handle(Event::Configured(topology()));
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
            let address = listener.local_addr().expect("the listener is bound");
            let served = serve::accept_callers(Rc::clone(&shell), listener, GRACE);
            tokio::task::spawn_local(served);
            let mut idle = TcpStream::connect(address).await.expect("loopback");
            assert!(start_session(&mut idle).await);
            let mut silent = Vec::new();
            for _ in 0..UNSTARTED_MAX + SURPLUS {
                silent.push(TcpStream::connect(address).await.expect("loopback"));
                tokio::task::yield_now().await;
            }
            let mut caller = TcpStream::connect(address).await.expect("loopback");
            let started = tokio::time::timeout(PROMPT, start_session(&mut caller)).await;
            assert_eq!(started, Ok(true));
            for oldest in &mut silent[..SURPLUS] {
                assert!(is_closed(oldest).await);
            }
            assert!(shell.sessions() <= UNSTARTED_MAX + 2);
            let newest = silent.last_mut().expect("there are some");
            assert!(start_session(newest).await);
            // A session that has started is never closed for idleness.
            assert!(!is_closed(&mut idle).await);
        })
        .await;
}

/// Guards against connections without a session whose unfinished messages use up the memory of the process.
#[tokio::test]
async fn long_startup_message_is_refused_before_its_end() {
    tokio::task::LocalSet::new()
        .run_until(async {
            let shell = support::shell("proxy-1");
            shell.handle(Event::Configured(topology()));
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
            let address = listener.local_addr().expect("the listener is bound");
            let served = serve::accept_callers(Rc::clone(&shell), listener, GRACE);
            tokio::task::spawn_local(served);
            let mut stream = TcpStream::connect(address).await.expect("loopback");
            let mut unfinished = vec![0; 16 << 10];
            // The length of a message of 1 MiB.
            unfinished[..4].copy_from_slice(&(1_u32 << 20).to_be_bytes());
            // The proxy may close the connection before it has all.
            let _ = stream.write_all(&unfinished).await;
            let mut inbox = BytesMut::new();
            let read = tokio::time::timeout(PROMPT, stream.read_buf(&mut inbox)).await;
            assert!(read.is_ok(), "the proxy waits for more");
            if let Ok(Some(frame)) = Forwarding.decode(&mut inbox) {
                assert!(
                    matches!(frame, Frame::Error(Code::TooLarge, _)),
                    "{frame:?}"
                );
            }
        })
        .await;
}
