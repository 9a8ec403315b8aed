//! A relay between two proxies on the loopback interface, with a limited rate towards the client.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Interval at which bytes are passed on to the client.
const PIECE_INTERVAL: Duration = Duration::from_millis(50);

/// A relay to one address.
pub struct Relay {
    /// Address of the relay.
    pub address: SocketAddr,
    /// Most bytes per second towards each client.
    pub bytes_per_s: Cell<usize>,
    /// Number of bytes passed on to clients.
    pub relayed_bytes: Cell<usize>,
}

impl Relay {
    /// Starts a relay to an address. The rate is not limited at first.
    pub async fn start(target: SocketAddr) -> Rc<Self> {
        let socket = TcpListener::bind("127.0.0.1:0").await;
        let socket = socket.expect("loopback is available");
        let relay = Rc::new(Self {
            address: socket.local_addr().expect("the listener is bound"),
            bytes_per_s: Cell::new(usize::MAX),
            relayed_bytes: Cell::new(0),
        });
        let accepting = Rc::clone(&relay);
        tokio::task::spawn_local(async move {
            while let Ok((client, _)) = socket.accept().await {
                let relay = Rc::clone(&accepting);
                tokio::task::spawn_local(async move {
                    // A connection that fails ends the relaying, as it ends that between the proxies.
                    let _ = relay.run(client, target).await;
                });
            }
        });
        relay
    }

    async fn run(&self, client: TcpStream, target: SocketAddr) -> std::io::Result<()> {
        let server = TcpStream::connect(target).await?;
        let (mut from_client, mut to_client) = client.into_split();
        let (mut from_server, mut to_server) = server.into_split();
        let upwards = tokio::io::copy(&mut from_client, &mut to_server);
        let downwards = async {
            let mut buffer = vec![0; 1 << 16];
            loop {
                let pieces_per_s = 1_000 / PIECE_INTERVAL.as_millis() as usize;
                let piece = (self.bytes_per_s.get() / pieces_per_s).clamp(1, buffer.len());
                let received = from_server.read(&mut buffer[..piece]).await?;
                if received == 0 {
                    return Ok(());
                }
                to_client.write_all(&buffer[..received]).await?;
                self.relayed_bytes.set(self.relayed_bytes.get() + received);
                if self.bytes_per_s.get() < usize::MAX {
                    tokio::time::sleep(PIECE_INTERVAL).await;
                }
            }
        };
        tokio::select! {
            _ = upwards => Ok(()),
            ended = downwards => ended,
        }
    }
}
