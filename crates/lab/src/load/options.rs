//! What a load varies, and its bounds.

use std::net::SocketAddr;
use std::time::Duration;

/// Most addresses of one load.
const ADDRESSES_MAX: usize = 64;
/// Most sessions of one load.
const SESSIONS_MAX: u32 = 5_000;
/// Most requests a second of one load.
const RATE_MAX: f64 = 20_000.0;
/// Longest load.
const LENGTH_MAX: Duration = Duration::from_secs(600);

/// Settings of one load.
#[derive(Clone, Debug)]
pub struct Options {
    /// Proxies; sessions start at them in turn.
    pub addresses: Vec<SocketAddr>,
    /// Caller that logs in.
    pub caller: Box<str>,
    /// Service that is asked.
    pub service: Box<str>,
    /// Number of sessions.
    pub sessions: u32,
    /// Requests a second over all sessions, Poisson.
    pub requests_per_second: f64,
    /// Share of requests that write.
    pub write_share: f64,
    /// Share of sessions that carry their token to the next proxy.
    pub token_share: f64,
    /// Share of requests before which a session moves to another proxy.
    pub roam_share: f64,
    /// Time during which requests arrive.
    pub length: Duration,
    /// Time after which a request is given up.
    pub timeout: Duration,
    /// Seed of every random number.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            addresses: Vec::new(),
            caller: "courier".into(),
            service: "ledger".into(),
            sessions: 50,
            requests_per_second: 200.0,
            write_share: 0.2,
            token_share: 0.5,
            roam_share: 0.1,
            length: Duration::from_secs(10),
            timeout: Duration::from_secs(15),
            seed: 1,
        }
    }
}

/// All options that cannot be used.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the load cannot run: {}", findings.join("; "))]
pub struct Invalid {
    /// The findings.
    pub findings: Vec<String>,
}

impl Options {
    /// Checks all options.
    ///
    /// # Errors
    ///
    /// Returns every finding.
    pub fn check(&self) -> Result<(), Invalid> {
        let mut findings: Vec<String> = self.addresses.iter().filter_map(foreign).collect();
        let mut require = |holds: bool, finding: String| {
            if !holds {
                findings.push(finding);
            }
        };
        let addresses = self.addresses.len();
        require(
            (1..=ADDRESSES_MAX).contains(&addresses),
            format!("{addresses} addresses are not between 1 and {ADDRESSES_MAX}"),
        );
        require(
            (1..=SESSIONS_MAX).contains(&self.sessions),
            format!(
                "{} sessions are not between 1 and {SESSIONS_MAX}",
                self.sessions
            ),
        );
        let rate = self.requests_per_second;
        require(
            rate > 0.0 && rate <= RATE_MAX,
            format!("{rate} requests a second are not above 0 and at most {RATE_MAX}"),
        );
        require(
            self.length <= LENGTH_MAX && self.timeout <= LENGTH_MAX,
            format!("a time is above {} s", LENGTH_MAX.as_secs()),
        );
        let shares = [self.write_share, self.token_share, self.roam_share];
        for share in shares {
            require(
                (0.0..=1.0).contains(&share),
                format!("share {share} is not between 0 and 1"),
            );
        }
        match findings.is_empty() {
            true => Ok(()),
            false => Err(Invalid { findings }),
        }
    }
}

fn foreign(address: &SocketAddr) -> Option<String> {
    let loopback = address.ip().is_loopback();
    (!loopback).then(|| format!("{address} is not a loopback address"))
}
