//! One session: its arrivals, its moves between proxies, and the check of what it reads.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::load::{connection, counter, options, outcome, tally};

/// A session with a row of its own, whose value only goes up.
pub struct Session {
    id: i64,
    options: options::Options,
    tally: Arc<tally::Tally>,
    random: StdRng,
    address: usize,
    connection: Option<connection::Connection>,
    /// Whether the session carries its token to the next proxy.
    carries: bool,
    token: Option<Box<str>>,
    counter: counter::Counter,
}

impl Session {
    /// Creates a session; the same options and number give the same arrivals, kinds and moves.
    pub fn new(number: u32, options: &options::Options, tally: Arc<tally::Tally>) -> Self {
        let seed = options.seed.wrapping_mul(1 << 20) ^ u64::from(number);
        let mut random = StdRng::seed_from_u64(seed);
        let carries = random.random_bool(options.token_share);
        Self {
            id: number.into(),
            options: options.clone(),
            tally,
            random,
            address: number as usize % options.addresses.len(),
            connection: None,
            carries,
            token: None,
            counter: counter::Counter::default(),
        }
    }

    /// Sends requests at their planned instants; one that comes while another runs waits for it, and that wait
    /// counts.
    pub async fn run(mut self, started: Instant, until: Instant) {
        let mut arrival = started + self.pause();
        while arrival < until {
            tokio::time::sleep_until(arrival.into()).await;
            self.roam();
            self.request(arrival).await;
            arrival += self.pause();
            if Instant::now() > until + self.options.timeout {
                return;
            }
        }
    }

    fn pause(&mut self) -> Duration {
        let rate = self.options.requests_per_second / f64::from(self.options.sessions);
        let uniform: f64 = self.random.random();
        Duration::from_secs_f64(-(1.0 - uniform).ln() / rate)
    }

    fn roam(&mut self) {
        let addresses = self.options.addresses.len();
        let moves = self.random.random_bool(self.options.roam_share);
        let step = self.random.random_range(1..addresses.max(2));
        if moves && addresses > 1 {
            self.address = (self.address + step) % addresses;
            self.connection = None;
        }
    }

    async fn request(&mut self, arrival: Instant) {
        let kind = match self.random.random_bool(self.options.write_share) {
            true => outcome::Kind::Write,
            false if self.carries => outcome::Kind::TokenRead,
            false => outcome::Kind::IndexRead,
        };
        if !self.connect().await {
            self.tally
                .request(kind, outcome::Outcome::Failed, arrival.elapsed());
            return;
        }
        let Some(connection) = self.connection.take() else {
            return;
        };
        let limit = self.options.timeout;
        let outcome = match kind {
            outcome::Kind::Write => self.write(&connection, limit).await,
            _ => self.read(&connection, kind, limit).await,
        };
        self.tally.request(kind, outcome, arrival.elapsed());
        if self.carries {
            self.token = connection.token().or(self.token.take());
        }
        let given_up = matches!(
            outcome,
            outcome::Outcome::Unknown | outcome::Outcome::Failed
        );
        if !given_up && !connection.client.is_closed() {
            self.connection = Some(connection);
        }
    }

    async fn connect(&mut self) -> bool {
        if self.connection.is_some() {
            return true;
        }
        let started = Instant::now();
        let opened = tokio::time::timeout(self.options.timeout, self.open()).await;
        match opened {
            Ok(Ok(connection)) => {
                self.tally.connected(started.elapsed());
                self.connection = Some(connection);
                true
            }
            _ => {
                self.tally.connect_failed();
                false
            }
        }
    }

    async fn open(&self) -> Result<connection::Connection, tokio_postgres::Error> {
        let address = self.options.addresses[self.address];
        let connection = connection::Connection::open(&self.options, address).await?;
        if let Some(token) = &self.token {
            connection.bring(token).await?;
        }
        Ok(connection)
    }

    async fn write(
        &mut self,
        connection: &connection::Connection,
        limit: Duration,
    ) -> outcome::Outcome {
        let value = self.counter.next_value();
        // A write whose outcome is unknown may run late; it must not take the row back.
        let update = format!(
            "UPDATE load_counter SET value = {value} WHERE id = {} AND value < {value}",
            self.id
        );
        let ran = tokio::time::timeout(limit, connection.client.batch_execute(&update)).await;
        let outcome = outcome_of(outcome::Kind::Write, &ran);
        self.counter.ended(value, outcome);
        outcome
    }

    async fn read(
        &mut self,
        connection: &connection::Connection,
        kind: outcome::Kind,
        limit: Duration,
    ) -> outcome::Outcome {
        let select = format!("SELECT value FROM load_counter WHERE id = {}", self.id);
        let ran = tokio::time::timeout(limit, connection.client.simple_query(&select)).await;
        let outcome = outcome_of(kind, &ran);
        if let Ok(Ok(messages)) = &ran {
            match self.counter.judge(value_of(messages)) {
                counter::Seen::Good => {}
                counter::Seen::Stale => self.tally.stale(),
                counter::Seen::False => self.tally.false_read(),
            }
        }
        outcome
    }
}

fn outcome_of<T>(
    kind: outcome::Kind,
    ran: &Result<Result<T, tokio_postgres::Error>, tokio::time::error::Elapsed>,
) -> outcome::Outcome {
    match ran {
        Ok(Ok(_)) => outcome::Outcome::Done,
        Ok(Err(error)) => outcome::outcome(kind, error.code().map(|code| code.code())),
        Err(_) => outcome::outcome(kind, None),
    }
}

fn value_of(messages: &[tokio_postgres::SimpleQueryMessage]) -> Option<i64> {
    messages.iter().find_map(|message| match message {
        tokio_postgres::SimpleQueryMessage::Row(row) => row.get(0)?.parse().ok(),
        _ => None,
    })
}
