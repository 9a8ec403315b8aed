//! Options of a load, and their bounds.

use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of proxies.
const ADDRESSES_MAX: usize = 64;
/// Maximum number of sessions.
const SESSIONS_MAX: u32 = 5_000;
/// Maximum rate of requests per second.
const REQUESTS_PER_SECOND_MAX: f64 = 20_000.0;
/// Maximum duration of a load and of a request's timeout.
const LENGTH_MAX: Duration = Duration::from_secs(600);

/// Options of one load.
#[derive(Clone, Debug)]
pub struct Options {
    /// Loopback addresses of the proxies; the sessions start evenly distributed over them.
    pub addresses: Vec<SocketAddr>,
    /// Name of the caller as which the sessions log in.
    pub caller: Box<str>,
    /// Name of the service to which the sessions send their requests.
    pub service: Box<str>,
    /// Number of sessions.
    pub sessions: u32,
    /// Mean rate of requests of all sessions together; the arrivals are a Poisson process.
    pub requests_per_second: f64,
    /// Share of requests that write; the others read.
    pub write_share: f64,
    /// Share of sessions that present their token when they move to another proxy.
    pub token_share: f64,
    /// Share of requests before which a session moves to another proxy.
    pub roam_share: f64,
    /// Duration for which the sessions generate requests.
    pub length: Duration,
    /// Time after which a session gives up connecting, or a request that it has sent.
    pub timeout: Duration,
    /// Seed of the load's random numbers.
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

/// Error for invalid options.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("invalid options: {}", findings.join("; "))]
pub struct InvalidOptions {
    /// One message per invalid option.
    pub findings: Vec<String>,
}

impl Options {
    /// Checks that all options are within their bounds.
    ///
    /// # Errors
    ///
    /// Returns an error with a finding for each invalid option.
    pub fn check(&self) -> Result<(), InvalidOptions> {
        let mut findings: Vec<String> = self
            .addresses
            .iter()
            .filter_map(non_loopback_finding)
            .collect();
        let mut require = |is_valid: bool, finding: String| {
            if !is_valid {
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
            rate > 0.0 && rate <= REQUESTS_PER_SECOND_MAX,
            format!(
                "{rate} requests a second are not above 0 and at most {REQUESTS_PER_SECOND_MAX}"
            ),
        );
        require(
            self.length <= LENGTH_MAX && self.timeout <= LENGTH_MAX,
            format!(
                "the length or the timeout is above {} s",
                LENGTH_MAX.as_secs()
            ),
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
            false => Err(InvalidOptions { findings }),
        }
    }
}

/// Returns a finding if the address is not a loopback address.
fn non_loopback_finding(address: &SocketAddr) -> Option<String> {
    let is_loopback = address.ip().is_loopback();
    (!is_loopback).then(|| format!("{address} is not a loopback address"))
}
