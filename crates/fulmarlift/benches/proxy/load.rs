//! Callers that read.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fulmarlift_wire::backend::{self, Connection};
use fulmarlift_wire::frame::{self, Frame, tag};
use futures::future;
use pgwire::messages::{PgWireFrontendMessage, simplequery};

use crate::target;

/// Callers that read at the same time.
const CALLERS: usize = 32;
/// Length of a round.
const ROUND: Duration = Duration::from_millis(700);
/// Reads of which the median latency is taken.
const READS: usize = 2_000;

fn read() -> Frame {
    let query = simplequery::Query::new("SELECT v FROM t WHERE id = 1".into());
    frame::encode_frontend(&PgWireFrontendMessage::Query(query))
}

async fn connect(address: SocketAddr, setting: &str) -> Connection {
    let mut connection = target::connect(address).await.expect("it serves");
    if !setting.is_empty() {
        let deadline = tokio::time::Instant::now() + target::PATIENCE;
        let set = backend::query(&mut connection, setting, deadline).await;
        set.expect("the setting is taken");
    }
    connection
}

async fn ask(connection: &mut Connection, query: &Frame) {
    connection.framed.send(query).await.expect("it is open");
    loop {
        let frame = connection.framed.read_frame().await.expect("it is open");
        let frame = frame.expect("it is open");
        assert_ne!(frame.tag, tag::backend::ERROR_RESPONSE);
        if frame.tag == tag::backend::READY_FOR_QUERY {
            return;
        }
    }
}

/// Returns reads a second of many callers.
pub async fn rate(address: SocketAddr, setting: &str) -> f64 {
    let callers = (0..CALLERS).map(|_| connect(address, setting));
    let callers = future::join_all(callers).await;
    let started = Instant::now();
    let until = started + ROUND;
    let running = callers.into_iter().map(|mut caller| {
        tokio::spawn(async move {
            let query = read();
            let mut count = 0_u32;
            while Instant::now() < until {
                ask(&mut caller, &query).await;
                count += 1;
            }
            count
        })
    });
    let counts = future::join_all(running).await;
    let total: u32 = counts
        .into_iter()
        .map(|count| count.expect("it ends"))
        .sum();
    f64::from(total) / started.elapsed().as_secs_f64()
}

/// Returns the median time of a read of one caller, in microseconds.
pub async fn median_us(address: SocketAddr, setting: &str) -> f64 {
    let mut caller = connect(address, setting).await;
    let query = read();
    let mut times = Vec::with_capacity(READS);
    for _ in 0..READS {
        let started = Instant::now();
        ask(&mut caller, &query).await;
        times.push(started.elapsed());
    }
    times.sort();
    times[READS / 2].as_secs_f64() * 1e6
}
