//! Measures the rate and the latency of reads.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fulmarlift_wire::backend::{self, Connection};
use fulmarlift_wire::frame::{self, Frame, tag};
use futures::future;
use pgwire::messages::{PgWireFrontendMessage, simplequery};

use crate::target;

/// Number of callers that read concurrently.
const CALLER_COUNT: usize = 32;
/// Length of a measurement of the rate.
const ROUND_LENGTH: Duration = Duration::from_millis(700);
/// Number of reads from which a median latency is taken.
const LATENCY_SAMPLES: usize = 2_000;

fn read_query() -> Frame {
    let query = simplequery::Query::new("SELECT v FROM t WHERE id = 1".into());
    frame::encode_frontend(&PgWireFrontendMessage::Query(query))
}

async fn connect(address: SocketAddr, set_statement: &str) -> Connection {
    let mut connection = target::connect(address)
        .await
        .expect("the server accepts the login");
    if !set_statement.is_empty() {
        let deadline = tokio::time::Instant::now() + target::ANSWER_TIMEOUT;
        let result = backend::query(&mut connection, set_statement, deadline).await;
        result.expect("the server accepts the setting");
    }
    connection
}

async fn execute(connection: &mut Connection, query: &Frame) {
    connection
        .framed
        .send(query)
        .await
        .expect("the connection is open");
    loop {
        let frame = connection
            .framed
            .read_frame()
            .await
            .expect("the connection is open");
        let frame = frame.expect("the connection is open");
        assert_ne!(frame.tag, tag::backend::ERROR_RESPONSE);
        if frame.tag == tag::backend::READY_FOR_QUERY {
            return;
        }
    }
}

/// Returns the reads per second of all callers together. Each caller first runs `set_statement`, unless it is empty.
pub async fn rate(address: SocketAddr, set_statement: &str) -> f64 {
    let callers = (0..CALLER_COUNT).map(|_| connect(address, set_statement));
    let callers = future::join_all(callers).await;
    let started = Instant::now();
    let until = started + ROUND_LENGTH;
    let tasks = callers.into_iter().map(|mut caller| {
        tokio::spawn(async move {
            let query = read_query();
            let mut count = 0_u32;
            while Instant::now() < until {
                execute(&mut caller, &query).await;
                count += 1;
            }
            count
        })
    });
    let counts = future::join_all(tasks).await;
    let total: u32 = counts
        .into_iter()
        .map(|count| count.expect("the caller does not panic"))
        .sum();
    f64::from(total) / started.elapsed().as_secs_f64()
}

/// Returns the median latency of reads that one caller sends one after the other, in microseconds. The caller first
/// runs `set_statement`, unless it is empty.
pub async fn median_us(address: SocketAddr, set_statement: &str) -> f64 {
    let mut caller = connect(address, set_statement).await;
    let query = read_query();
    let mut latencies = Vec::with_capacity(LATENCY_SAMPLES);
    for _ in 0..LATENCY_SAMPLES {
        let started = Instant::now();
        execute(&mut caller, &query).await;
        latencies.push(started.elapsed());
    }
    latencies.sort();
    latencies[LATENCY_SAMPLES / 2].as_secs_f64() * 1e6
}
