//! Clients: each runs single statements in sessions and records how each request ended.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::record::Record;

/// Databases with the kind of their route.
pub const DATABASES: [(&str, &str); 3] =
    [("handover", "primary"), ("status", "bounded_staleness"), ("dispatch", "read_own_writes")];

/// A request with the time at which it was sent, and whether it was served.
#[derive(Clone, Copy)]
pub struct Ended {
    pub sent_at: Duration,
    pub served: bool,
}

pub struct Clients {
    pub ended: Mutex<Vec<Ended>>,
    /// Data of the writes whose success a client has received.
    pub confirmed: Mutex<Vec<String>>,
    pub stop: AtomicBool,
    pub record: Arc<Record>,
}

impl Clients {
    pub fn start(record: Arc<Record>, ports: &[u16], count: usize) -> Arc<Self> {
        let clients = Arc::new(Self {
            ended: Mutex::default(),
            confirmed: Mutex::default(),
            stop: AtomicBool::new(false),
            record,
        });
        for number in 0..count {
            let (clients, ports) = (Arc::clone(&clients), ports.to_vec());
            thread::spawn(move || clients.run(number, &ports));
        }
        clients
    }

    fn run(&self, number: usize, ports: &[u16]) {
        let (mut counter, mut turn) = (0, number);
        while !self.stop.load(Ordering::Relaxed) {
            turn += 1;
            let _ = self.session(number, ports[turn % ports.len()], &mut counter);
            thread::sleep(Duration::from_millis(100));
        }
    }

    fn session(&self, number: usize, port: u16, counter: &mut u64) -> std::io::Result<()> {
        let mut stream = TcpStream::connect(("127.0.0.1", port))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(3)))?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let (database, _) = DATABASES[number % DATABASES.len()];
        stream.write_all(format!("STARTUP {database} c{number}\r\n").as_bytes())?;
        if !read_answer(&mut reader)?.1.starts_with("READY") {
            return Ok(());
        }
        while !self.stop.load(Ordering::Relaxed) {
            *counter += 1;
            let writes = database != "status" && *counter % 2 == 0;
            let data = format!("{counter}");
            let text = match writes {
                true => format!("WRITE c{number} {data}"),
                false => format!("READ c{number}"),
            };
            let sent_at = self.record.elapsed();
            stream.write_all(format!("QUERY c{number}x{counter} {text}\r\n").as_bytes())?;
            let answer = read_answer(&mut reader);
            let (first, served) = match &answer {
                Ok((first, _)) => (first.clone(), !first.starts_with("ERROR")),
                Err(error) => (format!("no answer ({error})"), false),
            };
            self.record.line(&format!("c{number} on {database} at port {port}: {text}, sent {:.3}: {first}", sent_at.as_secs_f64()));
            self.ended.lock().unwrap().push(Ended { sent_at, served });
            if served && writes {
                self.confirmed.lock().unwrap().push(format!("c{number}={data}"));
            }
            answer?;
            thread::sleep(Duration::from_millis(if served { 40 } else { 200 }));
        }
        stream.write_all(b"TERMINATE\r\n")
    }

    /// Returns the requests sent in a span of time and how many of them were served.
    pub fn served(&self, from: Duration, until: Duration) -> (usize, usize) {
        let ended = self.ended.lock().unwrap();
        let sent: Vec<_> = ended.iter().filter(|one| one.sent_at >= from && one.sent_at < until).collect();
        (sent.len(), sent.iter().filter(|one| one.served).count())
    }
}

/// Reads up to READY; returns the result's line (the last one before it) and the READY line.
fn read_answer(reader: &mut BufReader<TcpStream>) -> std::io::Result<(String, String)> {
    let mut result = String::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end().to_owned();
        if line.starts_with("READY") {
            return Ok((result, line));
        }
        result = line;
    }
}
