//! Baseline: a relay that copies bytes between two sockets, on a single-threaded runtime like the measured proxy.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::mpsc;

use tokio::net::{TcpListener, TcpStream};

/// Starts a relay to the member and returns the address of the relay.
pub fn start(member: SocketAddr) -> SocketAddr {
    serve_on_own_thread(async move {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                tokio::spawn(relay(caller, member));
            }
        });
        address
    })
}

async fn relay(mut caller: TcpStream, member: SocketAddr) -> std::io::Result<()> {
    let mut member = TcpStream::connect(member).await?;
    caller.set_nodelay(true)?;
    member.set_nodelay(true)?;
    tokio::io::copy_bidirectional(&mut caller, &mut member).await?;
    Ok(())
}

/// Starts a server on a new thread with a single-threaded runtime and returns its address.
///
/// The server runs until the program ends.
pub fn serve_on_own_thread(start: impl Future<Output = SocketAddr> + Send + 'static) -> SocketAddr {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        let mut builder = tokio::runtime::Builder::new_current_thread();
        let runtime = builder.enable_all().build().expect("the runtime starts");
        runtime.block_on(async {
            sender
                .send(start.await)
                .expect("the starting thread waits for the address");
            std::future::pending::<()>().await;
        });
    });
    receiver.recv().expect("the server starts")
}
