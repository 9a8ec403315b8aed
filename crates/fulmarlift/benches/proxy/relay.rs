//! The baseline: bytes from one socket to another, on a runtime of one thread as the proxy has it here.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::mpsc;

use tokio::net::{TcpListener, TcpStream};

/// Starts a relay to an address and returns its own.
pub fn start(member: SocketAddr) -> SocketAddr {
    on_one_core(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                tokio::spawn(pass(caller, member));
            }
        });
        address
    })
}

async fn pass(mut caller: TcpStream, member: SocketAddr) -> std::io::Result<()> {
    let mut member = TcpStream::connect(member).await?;
    caller.set_nodelay(true)?;
    member.set_nodelay(true)?;
    tokio::io::copy_bidirectional(&mut caller, &mut member).await?;
    Ok(())
}

/// Starts something on a thread of its own that serves for as long as the program runs.
pub fn on_one_core(start: impl Future<Output = SocketAddr> + Send + 'static) -> SocketAddr {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        let mut builder = tokio::runtime::Builder::new_current_thread();
        let runtime = builder.enable_all().build().expect("a runtime starts");
        runtime.block_on(async {
            sender.send(start.await).expect("the program waits");
            std::future::pending::<()>().await;
        });
    });
    receiver.recv().expect("it starts")
}
