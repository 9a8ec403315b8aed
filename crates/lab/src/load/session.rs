//! Sessions, which send requests, move between proxies, and check the results of their reads.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::load::{connection, expected_counter, options, outcome, tally};

/// A session with its own row, whose counter only its own writes change, to ever higher values.
pub struct Session {
    id: i64,
    options: options::Options,
    tally: Arc<tally::Tally>,
    rng: StdRng,
    /// Index of the current proxy's address in the options.
    address_index: usize,
    connection: Option<connection::Connection>,
    /// Whether the session presents its token when it moves to another proxy.
    carries_token: bool,
    /// Token that a proxy reported last, if the session presents it.
    token: Option<Box<str>>,
    counter: expected_counter::ExpectedCounter,
}

impl Session {
    /// Creates a session. With the same options and number, a session sends the same kinds of requests at the same
    /// scheduled times and moves in the same way.
    pub fn new(number: u32, options: &options::Options, tally: Arc<tally::Tally>) -> Self {
        let seed = options.seed.wrapping_mul(1 << 20) ^ u64::from(number);
        let mut rng = StdRng::seed_from_u64(seed);
        let carries_token = rng.random_bool(options.token_share);
        Self {
            id: number.into(),
            options: options.clone(),
            tally,
            rng,
            address_index: number as usize % options.addresses.len(),
            connection: None,
            carries_token,
            token: None,
            counter: expected_counter::ExpectedCounter::default(),
        }
    }

    /// Sends requests at their scheduled times. A request that is due while another runs waits until that has ended,
    /// and the wait counts towards its latency. Ends at the latest when the timeout has passed after `arrivals_end`.
    pub async fn run(mut self, started: Instant, arrivals_end: Instant) {
        let mut arrival = started + self.draw_interval();
        while arrival < arrivals_end {
            tokio::time::sleep_until(arrival.into()).await;
            self.roam();
            self.send_request(arrival).await;
            arrival += self.draw_interval();
            if Instant::now() > arrivals_end + self.options.timeout {
                return;
            }
        }
    }

    /// Draws the time from one scheduled request of the session to the next.
    fn draw_interval(&mut self) -> Duration {
        let rate = self.options.requests_per_second / f64::from(self.options.sessions);
        let uniform: f64 = self.rng.random();
        Duration::from_secs_f64(-(1.0 - uniform).ln() / rate)
    }

    /// With the probability in the options, moves the session to another proxy and closes its connection.
    fn roam(&mut self) {
        let address_count = self.options.addresses.len();
        let moves = self.rng.random_bool(self.options.roam_share);
        let offset = self.rng.random_range(1..address_count.max(2));
        if moves && address_count > 1 {
            self.address_index = (self.address_index + offset) % address_count;
            self.connection = None;
        }
    }

    /// Sends a request of a random kind and records its outcome. After an unknown outcome or a failure, the session opens
    /// a new connection for its next request.
    async fn send_request(&mut self, arrival: Instant) {
        let kind = match self.rng.random_bool(self.options.write_share) {
            true => outcome::Kind::Write,
            false if self.carries_token => outcome::Kind::TokenRead,
            false => outcome::Kind::IndexRead,
        };
        if !self.ensure_connected().await {
            self.tally
                .record_request(kind, outcome::Outcome::Failed, arrival.elapsed());
            return;
        }
        let Some(connection) = self.connection.take() else {
            return;
        };
        let timeout = self.options.timeout;
        let outcome = match kind {
            outcome::Kind::Write => self.write(&connection, timeout).await,
            _ => self.read(&connection, kind, timeout).await,
        };
        self.tally.record_request(kind, outcome, arrival.elapsed());
        if self.carries_token {
            self.token = connection.token().or(self.token.take());
        }
        let is_broken = matches!(
            outcome,
            outcome::Outcome::Unknown | outcome::Outcome::Failed
        );
        if !is_broken && !connection.client.is_closed() {
            self.connection = Some(connection);
        }
    }

    /// Opens a connection to the current proxy if there is none, and returns whether there is one now.
    async fn ensure_connected(&mut self) -> bool {
        if self.connection.is_some() {
            return true;
        }
        let started = Instant::now();
        let result = tokio::time::timeout(self.options.timeout, self.open_connection()).await;
        match result {
            Ok(Ok(connection)) => {
                self.tally.record_connect(started.elapsed());
                self.connection = Some(connection);
                true
            }
            _ => {
                self.tally.record_connect_failure();
                false
            }
        }
    }

    /// Opens a connection to the current proxy and presents the session's token, if there is one.
    async fn open_connection(&self) -> Result<connection::Connection, tokio_postgres::Error> {
        let address = self.options.addresses[self.address_index];
        let connection = connection::Connection::open(&self.options, address).await?;
        if let Some(token) = &self.token {
            connection.set_token(token).await?;
        }
        Ok(connection)
    }

    /// Writes the next value to the session's row and records the outcome.
    async fn write(
        &mut self,
        connection: &connection::Connection,
        timeout: Duration,
    ) -> outcome::Outcome {
        let value = self.counter.next_value();
        // A write whose outcome is unknown may still run later; it must not overwrite a higher value.
        let update = format!(
            "UPDATE load_counter SET value = {value} WHERE id = {} AND value < {value}",
            self.id
        );
        let result = tokio::time::timeout(timeout, connection.client.batch_execute(&update)).await;
        let outcome = outcome_of(outcome::Kind::Write, &result);
        self.counter.record_outcome(value, outcome);
        outcome
    }

    /// Reads the session's row and records a stale or false read.
    async fn read(
        &mut self,
        connection: &connection::Connection,
        kind: outcome::Kind,
        timeout: Duration,
    ) -> outcome::Outcome {
        let select = format!("SELECT value FROM load_counter WHERE id = {}", self.id);
        let result = tokio::time::timeout(timeout, connection.client.simple_query(&select)).await;
        let outcome = outcome_of(kind, &result);
        if let Ok(Ok(messages)) = &result {
            match self.counter.judge(value_of(messages)) {
                expected_counter::ReadVerdict::Valid => {}
                expected_counter::ReadVerdict::Stale => self.tally.record_stale_read(),
                expected_counter::ReadVerdict::False => self.tally.record_false_read(),
            }
        }
        outcome
    }
}

/// Returns the outcome of a request from the result of its statement; a timeout counts as no answer.
fn outcome_of<T>(
    kind: outcome::Kind,
    result: &Result<Result<T, tokio_postgres::Error>, tokio::time::error::Elapsed>,
) -> outcome::Outcome {
    match result {
        Ok(Ok(_)) => outcome::Outcome::Done,
        Ok(Err(error)) => outcome::classify_outcome(kind, error.code().map(|code| code.code())),
        Err(_) => outcome::classify_outcome(kind, None),
    }
}

/// Returns the value of the row in the result of a read, or `None` if the row is missing.
fn value_of(messages: &[tokio_postgres::SimpleQueryMessage]) -> Option<i64> {
    messages.iter().find_map(|message| match message {
        tokio_postgres::SimpleQueryMessage::Row(row) => row.get(0)?.parse().ok(),
        _ => None,
    })
}
