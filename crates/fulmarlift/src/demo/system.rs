//! Starting the system.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use fulmarlift_config::{builder, finding, model, verifier};
use fulmarlift_proxy::{proxy, settings};
use fulmarlift_standin::{member, platform};
use fulmarlift_store::publish::submit;
use fulmarlift_store::{client, retry};

/// Service of the demo.
pub const SERVICE: &str = "ledger";
/// Caller of the demo; it needs no password from loopback.
pub const CALLER: &str = "courier";
/// Failure domain of each member.
const DOMAINS: [&str; 3] = ["rvk-a", "rvk-b", "aey-a"];
/// Connections of each member.
const CONNECTIONS: u32 = 16;
/// Time that a new connection to a member takes, in milliseconds.
const CONNECT_MS: u32 = 12;
/// Delay of replication, in milliseconds.
const LAG_MS: u64 = 2;
/// Time between two looks at whether the proxies serve.
const POLL: Duration = Duration::from_millis(20);
/// Time that the proxies are given to serve.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A running system.
pub struct System {
    /// The platform.
    pub platform: platform::Handle,
    /// The members; the first is the primary at the start.
    pub members: Vec<member::Handle>,
    /// The proxies.
    pub proxies: Vec<fulmarlift_proxy::Proxy>,
}

/// Why the system could not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A member could not start.
    #[error("member: {0}")]
    Member(#[from] member::StartError),
    /// The platform could not start.
    #[error("platform: {0}")]
    Platform(#[from] platform::StartError),
    /// The platform's client could not start.
    #[error("platform's client: {0}")]
    Client(#[from] fulmarlift_store::platform::Error),
    /// The configuration was not accepted.
    #[error("configuration: {0}")]
    Submit(#[from] submit::Error),
    /// The configuration has findings.
    #[error("configuration: {0}")]
    Findings(#[from] finding::Findings),
    /// The settings of a proxy cannot be used.
    #[error("settings: {0}")]
    Settings(#[from] settings::Invalid),
    /// A proxy could not start.
    #[error("proxy: {0}")]
    Proxy(#[from] proxy::Error),
    /// The proxies did not serve in time.
    #[error("the proxies did not serve in time")]
    NotReady,
}

impl System {
    /// Starts a system whose first proxy listens on this address and whose second listens on the next port;
    /// port 0 takes any free ports.
    ///
    /// # Errors
    ///
    /// Returns an error when a part cannot start.
    pub async fn start(listen: SocketAddr) -> Result<Self, Error> {
        let platform = platform::Platform::start(platform::Config::default()).await?;
        let members = start_members().await?;
        submit(platform.address(), document(&members)?).await?;
        let mut system = Self {
            platform,
            members,
            proxies: Vec::new(),
        };
        system.start_proxy(listen, "rvk-a").await?;
        let second = match listen.port() {
            0 => listen,
            port => SocketAddr::new(listen.ip(), port + 1),
        };
        system.start_proxy(second, "rvk-b").await?;
        system.wait_ready().await?;
        Ok(system)
    }

    async fn start_proxy(&mut self, listen: SocketAddr, domain: &str) -> Result<(), Error> {
        let peers: Vec<String> = self
            .proxies
            .iter()
            .map(|p| p.peer_address.to_string())
            .collect();
        let raw = settings::Raw {
            name: Some(format!("proxy-{}", self.proxies.len() + 1)),
            region: Some("reykjavik".to_owned()),
            domain: Some(domain.to_owned()),
            listen: Some(listen.to_string()),
            peers: Some(peers.join(",")),
            platform: Some(format!("http://{}", self.platform.address())),
            ..settings::Raw::default()
        };
        let settings = settings::Settings::check(&raw)?;
        let proxy = fulmarlift_proxy::Proxy::start(settings, None).await?;
        self.proxies.push(proxy);
        Ok(())
    }

    async fn wait_ready(&self) -> Result<(), Error> {
        let serves = async {
            while !self
                .proxies
                .iter()
                .all(|proxy| proxy.is_ready() && sees_primary(proxy))
            {
                tokio::time::sleep(POLL).await;
            }
        };
        let served = tokio::time::timeout(START_TIMEOUT, serves).await;
        served.map_err(|_| Error::NotReady)
    }

    /// Returns the index of the member that is the primary of the highest term.
    pub fn primary(&self) -> Option<usize> {
        let statuses = self.members.iter().map(member::Handle::status).enumerate();
        let primaries = statuses.filter(|(_, status)| status.role == member::Role::Primary);
        let newest = primaries.max_by_key(|(_, status)| status.term)?;
        Some(newest.0)
    }

    /// Stops the proxies gracefully, then the rest.
    pub async fn stop(&self) {
        for proxy in &self.proxies {
            proxy.stop().await;
        }
        for member in &self.members {
            member.stop();
        }
        self.platform.stop();
    }
}

fn sees_primary(proxy: &fulmarlift_proxy::Proxy) -> bool {
    let status = proxy.engine.status();
    status.groups.iter().all(|group| {
        let answering = group.members.iter().filter(|member| member.reachable);
        group.primary.is_some() && answering.count() == group.members.len()
    })
}

async fn start_members() -> Result<Vec<member::Handle>, Error> {
    let mut members = Vec::new();
    for (index, domain) in DOMAINS.iter().enumerate() {
        let config = member::Config {
            name: (*domain).into(),
            primary: index == 0,
            connections_max: CONNECTIONS as usize,
            connect_ms: CONNECT_MS.into(),
            lag_ms: LAG_MS,
            ..member::Config::default()
        };
        members.push(member::Member::start(config).await?);
    }
    for member in &members {
        let others = members.iter().filter(|m| m.address() != member.address());
        member.set_peers(others.map(member::Handle::as_peer).collect());
    }
    Ok(members)
}

fn document(members: &[member::Handle]) -> Result<model::Document, finding::Findings> {
    let mut group = builder::Group::new(SERVICE).slots(2);
    for (handle, domain) in members.iter().zip(DOMAINS) {
        let member = builder::Member::new(domain, &handle.address().to_string())
            .domain(domain)
            .connections(CONNECTIONS)
            .connect_ms(CONNECT_MS);
        group = group.member(member);
    }
    builder::Document::new()
        .region("reykjavik", ["rvk-a", "rvk-b"])
        .region("akureyri", ["aey-a"])
        .group(group)
        .caller(CALLER, verifier::Verifier::Trust)
        .service(builder::Service::new(SERVICE, SERVICE).caller(CALLER))
        .build()
}

async fn submit(platform: SocketAddr, document: model::Document) -> Result<(), Error> {
    let client = client::Client::new(&format!("http://{platform}"))?;
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let submission = submit::Submission {
        document,
        base: model::UNACCEPTED,
        submitter: "demo".into(),
        submitted_at_ms: since.map_or(0, |since| since.as_millis() as u64),
        nonce: submit::random_nonce(),
        retry: retry::Retry::default(),
    };
    submit::submit(&client, &submission).await?;
    Ok(())
}
