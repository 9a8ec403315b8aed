//! A relay before a member, which can be cut: then nothing passes and no side is told.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;

/// Starts a relay to a port; returns its port and the switch of the cut.
pub fn start(target: u16) -> (u16, Arc<AtomicBool>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let port = listener.local_addr().expect("bound").port();
    let cut = Arc::new(AtomicBool::new(false));
    let switch = Arc::clone(&cut);
    thread::spawn(move || {
        for inbound in listener.incoming().flatten() {
            let Ok(outbound) = TcpStream::connect(("127.0.0.1", target)) else {
                continue;
            };
            let _ = (inbound.set_nodelay(true), outbound.set_nodelay(true));
            let (Ok(back), Ok(there)) = (inbound.try_clone(), outbound.try_clone()) else {
                continue;
            };
            for (mut from, mut to) in [(inbound, there), (outbound, back)] {
                let cut = Arc::clone(&switch);
                thread::spawn(move || {
                    let mut chunk = [0; 16 * 1024];
                    while let Ok(length) = from.read(&mut chunk) {
                        if length == 0 {
                            let _ = to.shutdown(std::net::Shutdown::Both);
                            return;
                        }
                        if !cut.load(Ordering::Relaxed) && to.write_all(&chunk[..length]).is_err() {
                            return;
                        }
                    }
                });
            }
        }
    });
    (port, cut)
}
