//! A caller that sends statements without waiting for their answers.

#[path = "support/scripted.rs"]
#[allow(dead_code)]
mod scripted;
#[path = "support/scripted_system.rs"]
#[allow(dead_code)]
mod scripted_system;
mod support;

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use fulmarlift_broker::topology::Consistency;
use fulmarlift_session::peer::Forwarding;
use fulmarlift_session::protocol::caller::StatementOptions;
use fulmarlift_session::protocol::member::{Codec, Command, Verb};
use fulmarlift_session::serve;
use scripted_system::{Limits, System};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};

const OPTIONS: StatementOptions = StatementOptions {
    consistency: Consistency::Leader,
    timeout_ms: 240,
    objective_ms: 240,
    priority: 1,
    workspace: None,
};
/// Size of the buffers of both sockets, so that the caller is soon stopped by a proxy that stops reading.
const SOCKET_BUFFER_BYTES: u32 = 16 << 10;
const SENT_BYTES_MAX: usize = 64 << 20;
/// Four socket buffers, each twice its size in the kernel, and the statements whose answers fit into two of them.
const TAKEN_BYTES_MAX: usize = 512 << 10;

fn encoded(command: Command<'_>) -> Bytes {
    let mut outbox = BytesMut::new();
    let encoded = Forwarding.encode(command, &mut outbox);
    encoded.expect("the message fits");
    outbox.freeze()
}

/// Returns statements that the proxy answers itself.
fn statements() -> Bytes {
    let (id, text) = (Bytes::from_static(b"s1.0"), Bytes::from_static(b"ROLLBACK"));
    let statement = encoded(Command::Run {
        id: &id,
        text: &text,
        verb: Verb::Rollback,
        floor: None,
        options: Some(OPTIONS),
    });
    statement.repeat(20_000).into()
}

/// Returns the number of bytes that were sent before the proxy stopped reading for a second.
async fn send_without_reading(stream: &mut TcpStream) -> usize {
    let statements = statements();
    let mut rest = encoded(Command::Startup {
        group: "ledger",
        member: "any",
        workspace: None,
    });
    let mut sent_bytes = 0;
    while sent_bytes < SENT_BYTES_MAX {
        let writing = tokio::time::timeout(Duration::from_secs(1), stream.write_buf(&mut rest));
        let Ok(written) = writing.await else { break };
        sent_bytes += written.expect("the session is open");
        if rest.is_empty() {
            rest = statements.clone();
        }
    }
    sent_bytes
}

#[tokio::test]
async fn statements_of_caller_that_reads_no_answers_stay_in_its_socket() {
    let test = async {
        let system = System::start(false, Limits::default()).await;
        let socket = TcpSocket::new_v4().expect("loopback");
        socket
            .set_recv_buffer_size(SOCKET_BUFFER_BYTES)
            .expect("the size is valid");
        socket
            .set_send_buffer_size(SOCKET_BUFFER_BYTES)
            .expect("the size is valid");
        socket
            .bind(([127, 0, 0, 1], 0).into())
            .expect("a port is free");
        let listener = socket.listen(16).expect("the socket is bound");
        let address = listener.local_addr().expect("the socket is bound");
        let grace = scripted_system::SHORT_GRACE;
        let served = serve::accept_callers(Rc::clone(&system.entry), listener, grace);
        tokio::task::spawn_local(served);
        let socket = TcpSocket::new_v4().expect("loopback");
        socket
            .set_recv_buffer_size(SOCKET_BUFFER_BYTES)
            .expect("the size is valid");
        socket
            .set_send_buffer_size(SOCKET_BUFFER_BYTES)
            .expect("the size is valid");
        let mut stream = socket.connect(address).await.expect("loopback");
        let taken_bytes = send_without_reading(&mut stream).await;
        assert!(taken_bytes > SOCKET_BUFFER_BYTES as usize, "{taken_bytes}");
        assert!(taken_bytes < TAKEN_BYTES_MAX, "{taken_bytes}");
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
