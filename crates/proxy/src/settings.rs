//! Settings of the daemon. The daemon checks all of them before it starts and reports every problem at once.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::net::SocketAddr;
use std::path::PathBuf;

use fulmarlift_core::identity;

/// Maximum login timeout, in milliseconds.
const LOGIN_TIMEOUT_MAX_MS: u64 = 600_000;

/// Settings as text, from flags or environment variables.
#[derive(Clone, Debug, Default)]
pub struct Raw {
    /// Name of the proxy.
    pub name: Option<String>,
    /// Region in which the proxy runs.
    pub region: Option<String>,
    /// Failure domain in which the proxy runs.
    pub domain: Option<String>,
    /// Address for callers.
    pub listen: Option<String>,
    /// Address for peers, TCP and UDP.
    pub peer_listen: Option<String>,
    /// Address for operators.
    pub admin_listen: Option<String>,
    /// Addresses of other proxies, separated by commas.
    pub peers: Option<String>,
    /// Address of the platform.
    pub platform: Option<String>,
    /// Account with which the proxy logs in at members.
    pub member_user: Option<String>,
    /// File that holds the account's password.
    pub member_password_file: Option<String>,
    /// Maximum length of one message of a caller, in bytes.
    pub max_frame_bytes: Option<String>,
    /// Timeout of a caller's login, in milliseconds.
    pub login_timeout_ms: Option<String>,
    /// File with the certificate chain that the proxy presents to callers, PEM.
    pub tls_chain: Option<String>,
    /// File with the private key of the certificate, PEM.
    pub tls_key: Option<String>,
    /// File with the root certificates that members' certificates must chain to, PEM. If set, connections to members
    /// use TLS.
    pub member_tls_roots: Option<String>,
    /// Format of the log: `text` or `json`.
    pub log_format: Option<String>,
}

/// Checked settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the proxy.
    pub name: Box<str>,
    /// Region in which the proxy runs.
    pub region: Box<str>,
    /// Failure domain in which the proxy runs.
    pub domain: Box<str>,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for peers, TCP and UDP.
    pub peer_listen: SocketAddr,
    /// Address for operators.
    pub admin_listen: SocketAddr,
    /// Addresses of other proxies.
    pub peers: Vec<SocketAddr>,
    /// Address of the platform.
    pub platform: Option<Box<str>>,
    /// Account with which the proxy logs in at members, and the name of the database that it opens there.
    pub member_user: Box<str>,
    /// Password of that account: the content of the file without white space at the end.
    pub member_password: Option<Box<str>>,
    /// Maximum length of one message of a caller, in bytes. Does not limit CopyData messages during a COPY, which the
    /// proxy passes on in chunks.
    pub max_frame_bytes: usize,
    /// Timeout of a caller's login, in milliseconds.
    pub login_timeout_ms: u64,
    /// Certificate chain and private key for callers; without them, callers cannot use TLS.
    pub tls: Option<TlsFiles>,
    /// Root certificates that members' certificates must chain to; if set, connections to members use TLS.
    pub member_tls_roots: Option<PathBuf>,
    /// Format of the log.
    pub log_format: LogFormat,
}

/// Format of the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogFormat {
    /// One line of text per event.
    #[default]
    Text,
    /// One JSON object per event.
    Json,
}

impl std::str::FromStr for LogFormat {
    type Err = UnknownFormat;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(UnknownFormat),
        }
    }
}

/// The log format is neither `text` nor `json`.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("expected text or json")]
pub struct UnknownFormat;

/// Files of a certificate chain and its private key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TlsFiles {
    /// Certificate chain, PEM.
    pub chain: PathBuf,
    /// Private key, PEM.
    pub key: PathBuf,
}

/// A problem with one setting.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{flag}: {problem}")]
pub struct Finding {
    /// Command-line flag of the setting.
    pub flag: &'static str,
    /// Description of the problem.
    pub problem: Box<str>,
}

/// Error of settings that cannot be used.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{} setting(s) cannot be used", findings.len())]
pub struct Invalid {
    /// All problems, at least one.
    pub findings: Vec<Finding>,
}

#[derive(Debug, Default)]
struct Checker {
    findings: Vec<Finding>,
}

impl Checker {
    fn report(&mut self, flag: &'static str, problem: impl Into<Box<str>>) {
        let problem = problem.into();
        self.findings.push(Finding { flag, problem });
    }

    fn parse<T: std::str::FromStr>(
        &mut self,
        flag: &'static str,
        value: Option<&str>,
        default: T,
    ) -> T
    where
        T::Err: std::fmt::Display,
    {
        match value.map(str::parse) {
            None => default,
            Some(Ok(value)) => value,
            Some(Err(error)) => {
                let text = value.unwrap_or_default();
                self.report(flag, format!("{text:?} cannot be used: {error}"));
                default
            }
        }
    }

    fn non_empty(&mut self, flag: &'static str, value: Option<&str>, default: &str) -> Box<str> {
        let value = value.unwrap_or(default);
        if value.is_empty() {
            self.report(flag, "must not be empty");
        }
        value.into()
    }

    fn check_range(&mut self, flag: &'static str, value: u64, min: u64, max: u64) {
        if !(min..=max).contains(&value) {
            self.report(flag, format!("{value} is not between {min} and {max}"));
        }
    }

    fn file(&mut self, flag: &'static str, value: Option<&str>) -> Option<PathBuf> {
        let path = PathBuf::from(value?);
        if !path.is_file() {
            self.report(flag, format!("{} is not a file", path.display()));
        }
        Some(path)
    }

    fn password(&mut self, flag: &'static str, value: Option<&str>) -> Option<Box<str>> {
        let path = self.file(flag, value)?;
        match std::fs::read_to_string(&path) {
            Ok(text) => Some(text.trim_end().into()),
            Err(error) => {
                self.report(flag, format!("cannot be read: {error}"));
                None
            }
        }
    }

    fn peers(&mut self, value: Option<&str>) -> Vec<SocketAddr> {
        let addresses = value.unwrap_or_default().split(',');
        let mut peers = Vec::new();
        for address in addresses.map(str::trim).filter(|text| !text.is_empty()) {
            match address.parse() {
                Ok(peer) => peers.push(peer),
                Err(error) => self.report("--peers", format!("{address:?}: {error}")),
            }
        }
        peers
    }
}

impl Settings {
    /// Parses and checks all settings. A setting that is missing gets its default.
    ///
    /// # Errors
    ///
    /// Returns all problems with the flags of their settings.
    pub fn check(raw: &Raw) -> Result<Self, Invalid> {
        let mut checker = Checker::default();
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = Self {
            name: checker.non_empty("--name", raw.name.as_deref(), "fulmarliftd"),
            region: checker.non_empty("--region", raw.region.as_deref(), "default"),
            domain: checker.non_empty("--domain", raw.domain.as_deref(), "default"),
            listen: checker.parse("--listen", raw.listen.as_deref(), any_port),
            peer_listen: checker.parse("--peer-listen", raw.peer_listen.as_deref(), any_port),
            admin_listen: checker.parse("--admin-listen", raw.admin_listen.as_deref(), any_port),
            peers: checker.peers(raw.peers.as_deref()),
            platform: raw.platform.as_deref().map(Into::into),
            member_user: checker.non_empty(
                "--member-user",
                raw.member_user.as_deref(),
                "fulmarlift",
            ),
            member_password: checker.password(
                "--member-password-file",
                raw.member_password_file.as_deref(),
            ),
            max_frame_bytes: checker.parse(
                "--max-frame-bytes",
                raw.max_frame_bytes.as_deref(),
                16 << 20,
            ),
            login_timeout_ms: checker.parse(
                "--login-timeout-ms",
                raw.login_timeout_ms.as_deref(),
                10_000,
            ),
            tls: checker.tls(raw),
            member_tls_roots: checker.file("--member-tls-roots", raw.member_tls_roots.as_deref()),
            log_format: checker.parse(
                "--log-format",
                raw.log_format.as_deref(),
                LogFormat::default(),
            ),
        };
        checker.check_range(
            "--login-timeout-ms",
            settings.login_timeout_ms,
            1,
            LOGIN_TIMEOUT_MAX_MS,
        );
        checker.check_range(
            "--max-frame-bytes",
            settings.max_frame_bytes as u64,
            1 << 10,
            1 << 30,
        );
        checker.platform(settings.platform.as_deref());
        match checker.findings.is_empty() {
            true => Ok(settings),
            false => Err(Invalid {
                findings: checker.findings,
            }),
        }
    }

    /// Returns the identity of a new incarnation of this proxy.
    pub fn identity(&self) -> identity::Identity {
        // Peers must not mistake a restarted proxy for its earlier incarnation, so the name gets a random part.
        let incarnation = RandomState::new().hash_one(std::process::id());
        let name = format!("{}/{incarnation:x}", self.name);
        let address = self.peer_listen.to_string();
        identity::Identity::new(&name, &self.region, &self.domain, &address)
    }
}

impl Checker {
    fn tls(&mut self, raw: &Raw) -> Option<TlsFiles> {
        let chain = self.file("--tls-chain", raw.tls_chain.as_deref());
        let key = self.file("--tls-key", raw.tls_key.as_deref());
        match (chain, key) {
            (Some(chain), Some(key)) => Some(TlsFiles { chain, key }),
            (None, None) => None,
            (Some(_), None) => {
                self.report("--tls-key", "is needed beside --tls-chain");
                None
            }
            (None, Some(_)) => {
                self.report("--tls-chain", "is needed beside --tls-key");
                None
            }
        }
    }

    fn platform(&mut self, address: Option<&str>) {
        let Some(address) = address else {
            return;
        };
        if let Err(error) = fulmarlift_store::client::Client::new(address) {
            self.report("--platform", error.to_string());
        }
    }
}
