//! Starts and stops the system of the demo.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use fulmarlift_config::{builder, finding, model, verifier};
use fulmarlift_proxy::{proxy, settings};
use fulmarlift_standin::{member, platform};
use fulmarlift_store::publish::submit;
use fulmarlift_store::{client, retry};

/// Name of the service and of its group.
pub const SERVICE: &str = "ledger";
/// Name of the caller, which logs in from loopback addresses without a password.
pub const CALLER: &str = "courier";
/// Failure domain of each member, also used as its name.
const MEMBER_DOMAINS: [&str; 3] = ["rvk-a", "rvk-b", "aey-a"];
/// Maximum number of connections to each member.
const CONNECTIONS: u32 = 16;
/// Time to open a connection to a member, in milliseconds.
const CONNECT_MS: u32 = 12;
/// Replication delay, in milliseconds.
const LAG_MS: u64 = 2;
/// Interval at which [`System::start`] checks whether the proxies serve.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time within which the proxies must serve.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A running system.
pub struct System {
    /// Stand-in for the platform.
    pub platform: platform::Handle,
    /// Stand-ins for the members; the first is the primary at the start.
    pub members: Vec<member::Handle>,
    /// The two proxies.
    pub proxies: Vec<fulmarlift_proxy::Proxy>,
}

/// Error that prevents the start of the system.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A member failed to start.
    #[error("member: {0}")]
    Member(#[from] member::StartError),
    /// The platform failed to start.
    #[error("platform: {0}")]
    Platform(#[from] platform::StartError),
    /// The address of the platform is invalid for its client.
    #[error("client of the platform: {0}")]
    Client(#[from] fulmarlift_store::platform::Error),
    /// The platform did not accept the configuration.
    #[error("configuration: {0}")]
    Submit(#[from] submit::Error),
    /// The check of the configuration has findings.
    #[error("configuration: {0}")]
    Findings(#[from] finding::Findings),
    /// The settings of a proxy are invalid.
    #[error("settings: {0}")]
    Settings(#[from] settings::Invalid),
    /// A proxy failed to start.
    #[error("proxy: {0}")]
    Proxy(#[from] proxy::Error),
    /// The proxies did not serve within the start timeout.
    #[error("the proxies did not serve within the start timeout")]
    NotReady,
}

impl System {
    /// Starts a system whose first proxy accepts callers on this address, and whose second proxy on the next port.
    ///
    /// With port 0, each proxy takes any free port.
    ///
    /// # Errors
    ///
    /// Returns an error when a platform, member or proxy fails to start, or when the proxies do not serve in time.
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
            .map(|proxy| proxy.peer_address.to_string())
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
        let all_serve = async {
            while !self
                .proxies
                .iter()
                .all(|proxy| proxy.is_ready() && sees_whole_group(proxy))
            {
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        };
        let result = tokio::time::timeout(START_TIMEOUT, all_serve).await;
        result.map_err(|_| Error::NotReady)
    }

    /// Returns the index of the primary. If a replaced member still takes itself for the primary, the one of the
    /// highest term counts.
    pub fn primary(&self) -> Option<usize> {
        let statuses = self.members.iter().map(member::Handle::status).enumerate();
        let primaries = statuses.filter(|(_, status)| status.role == member::Role::Primary);
        let newest = primaries.max_by_key(|(_, status)| status.term)?;
        Some(newest.0)
    }

    /// Stops the proxies gracefully, then the members and the platform.
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

/// Returns whether the proxy knows the primary of each group and reaches all members.
fn sees_whole_group(proxy: &fulmarlift_proxy::Proxy) -> bool {
    let status = proxy.engine.status();
    status.groups.iter().all(|group| {
        let reachable = group.members.iter().filter(|member| member.reachable);
        group.primary.is_some() && reachable.count() == group.members.len()
    })
}

async fn start_members() -> Result<Vec<member::Handle>, Error> {
    let mut members = Vec::new();
    for (index, domain) in MEMBER_DOMAINS.iter().enumerate() {
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
        let others = members
            .iter()
            .filter(|other| other.address() != member.address());
        member.set_peers(others.map(member::Handle::as_peer).collect());
    }
    Ok(members)
}

fn document(members: &[member::Handle]) -> Result<model::Document, finding::Findings> {
    let mut group = builder::Group::new(SERVICE).slots(2);
    for (handle, domain) in members.iter().zip(MEMBER_DOMAINS) {
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
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let submission = submit::Submission {
        document,
        base: model::UNACCEPTED,
        submitter: "demo".into(),
        submitted_at_ms: since_epoch.map_or(0, |time| time.as_millis() as u64),
        nonce: submit::random_nonce(),
        retry: retry::Retry::default(),
    };
    submit::submit(&client, &submission).await?;
    Ok(())
}
