//! A system of a platform, three members and proxies, each a process.

use std::net::SocketAddr;
use std::process::{Command, Output};

use fulmarlift_config::model;
use fulmarlift_store::publish::{self, submit};
use fulmarlift_store::{admin, client, retry};
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio_postgres::{Client, Connection, NoTls, Socket, tls};

use crate::support::process::{self, Process};
use crate::support::{document, standin, wait};

/// Limits how many systems run concurrently, and with it the number of processes to a few dozen.
static SYSTEM_PERMITS: Semaphore = Semaphore::const_new(6);

/// A platform, a group of three members, and proxies.
pub struct System {
    pub platform: Process,
    pub platform_address: SocketAddr,
    pub members: Vec<Process>,
    pub member_addresses: Vec<SocketAddr>,
    pub proxies: Vec<Proxy>,
    pub proxy_addresses: Vec<SocketAddr>,
    _permit: SemaphorePermit<'static>,
}

/// Process of a proxy and its addresses.
pub struct Proxy {
    pub process: Process,
    pub caller_address: SocketAddr,
    pub admin_address: SocketAddr,
    pub peer_address: SocketAddr,
}

impl System {
    /// Starts a platform, three members and this many proxies, and waits until the proxies serve.
    pub async fn start(proxies: usize) -> Self {
        Self::start_with(proxies, &[]).await
    }

    /// Does the same as [`System::start`], with further arguments for the members.
    pub async fn start_with(proxies: usize, member_arguments: &[&str]) -> Self {
        let mut system = Self::start_platform().await;
        system.start_members(member_arguments);
        system
            .submit(0, 1_000)
            .await
            .expect("the platform accepts the first version");
        for _ in 0..proxies {
            system.start_proxy();
        }
        for index in 0..proxies {
            system.wait_until_serving(index).await;
        }
        system
    }

    /// Starts a platform and members, without proxies or a configuration.
    pub async fn start_standins() -> Self {
        let mut system = Self::start_platform().await;
        system.start_members(&[]);
        system
    }

    async fn start_platform() -> Self {
        let permit = SYSTEM_PERMITS
            .acquire()
            .await
            .expect("the semaphore is never closed");
        let listen = ["--listen=127.0.0.1:0".to_owned()];
        let mut platform = Process::start(env!("CARGO_BIN_EXE_fulmarlift-platform"), &listen);
        let platform_address = platform.read_address("ready");
        Self {
            platform,
            platform_address,
            members: Vec::new(),
            member_addresses: Vec::new(),
            proxies: Vec::new(),
            proxy_addresses: Vec::new(),
            _permit: permit,
        }
    }

    fn start_members(&mut self, arguments: &[&str]) {
        let replication_addresses: Vec<SocketAddr> =
            (0..3).map(|_| process::free_address()).collect();
        for index in 0..3 {
            let mut flags = vec![
                format!("--name=m{index}"),
                "--listen=127.0.0.1:0".to_owned(),
                format!("--replication-listen={}", replication_addresses[index]),
            ];
            for (peer, address) in replication_addresses
                .iter()
                .enumerate()
                .filter(|(peer, _)| *peer != index)
            {
                flags.push(format!("--peer=m{peer}={address}"));
            }
            if index == 0 {
                flags.push("--primary".to_owned());
            }
            flags.extend(arguments.iter().map(|text| (*text).to_owned()));
            let mut member = Process::start(env!("CARGO_BIN_EXE_fulmarlift-member"), &flags);
            self.member_addresses.push(member.read_address("ready"));
            self.members.push(member);
        }
    }

    /// Submits a configuration with this limit of queued requests, based on this version.
    pub async fn submit(
        &self,
        base: u64,
        queue_requests: u32,
    ) -> Result<publish::Head, submit::Error> {
        let client = client::Client::new(&self.platform_url()).expect("the URL is valid");
        let submission = submit::Submission {
            document: self.document_with_queue_limit(queue_requests),
            base,
            submitter: format!("operator-{queue_requests}").into(),
            submitted_at_ms: 0,
            nonce: submit::random_nonce(),
            retry: retry::Retry::default(),
        };
        submit::submit(&client, &submission).await
    }

    /// Returns a configuration with one service, one group and a caller without a password.
    pub fn document(&self) -> model::Document {
        document::with_members(&self.member_addresses)
    }

    /// Returns the configuration with this limit of queued requests, which tells versions apart.
    pub fn document_with_queue_limit(&self, queue_requests: u32) -> model::Document {
        document::with_queue_limit(self.document(), queue_requests)
    }

    /// Returns the URL of the platform.
    pub fn platform_url(&self) -> String {
        format!("http://{}", self.platform_address)
    }

    /// Starts another proxy, which gets the addresses of the earlier proxies as peers; returns its index.
    pub fn start_proxy(&mut self) -> usize {
        let peers = self
            .proxies
            .iter()
            .map(|proxy| proxy.peer_address.to_string());
        let flags = [
            format!("--name=p{}", self.proxies.len()),
            "--region=rvk".to_owned(),
            "--domain=rvk-a".to_owned(),
            format!("--platform={}", self.platform_url()),
            format!("--peers={}", peers.collect::<Vec<_>>().join(",")),
        ];
        let mut process = Process::start(env!("CARGO_BIN_EXE_fulmarliftd"), &flags);
        let caller_address = process.read_address("ready");
        self.proxy_addresses.push(caller_address);
        self.proxies.push(Proxy {
            caller_address,
            admin_address: process.read_address("admin"),
            peer_address: process.read_address("peer"),
            process,
        });
        self.proxies.len() - 1
    }

    /// Waits until a proxy answers a read.
    pub async fn wait_until_serving(&self, index: usize) {
        wait::until("the proxy answers a read", async || {
            match self.try_connect(index).await {
                Ok(client) => client.simple_query("SELECT 1").await.is_ok(),
                Err(_) => false,
            }
        })
        .await;
    }

    /// Connects a caller to a proxy; returns an error when the proxy refuses.
    pub async fn try_connect(&self, index: usize) -> Result<Client, tokio_postgres::Error> {
        let (client, connection) = open(self.proxies[index].caller_address).await?;
        tokio::spawn(connection);
        Ok(client)
    }

    /// Connects a caller to a proxy that must accept it.
    pub async fn connect(&self, index: usize) -> Client {
        self.try_connect(index)
            .await
            .expect("the proxy accepts the login")
    }

    /// Returns the status that a proxy reports; `None` when it does not answer.
    pub async fn status(&self, index: usize) -> Option<admin::Status> {
        let url = format!("http://{}", self.proxies[index].admin_address);
        let client = admin::Client::new(&url).expect("the URL is valid");
        client.status().await.ok()
    }

    /// Returns the HTTP status and the body of the readiness endpoint of a proxy.
    pub async fn readiness(&self, index: usize) -> (u16, String) {
        let url = format!("http://{}/ready", self.proxies[index].admin_address);
        let answer = reqwest::get(url).await.expect("the admin port answers");
        let status = answer.status().as_u16();
        (status, answer.text().await.expect("the body is text"))
    }

    /// Returns the sum of a proxy's metrics whose lines start with `series`.
    pub async fn metric(&self, index: usize, series: &str) -> f64 {
        let url = format!("http://{}/metrics", self.proxies[index].admin_address);
        let answer = reqwest::get(url).await.expect("the admin port answers");
        let text = answer.text().await.expect("the body is text");
        let lines = text.lines().filter(|line| line.starts_with(series));
        let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        values.sum()
    }

    /// Waits until a configuration version is in force at a proxy.
    pub async fn wait_for_version(&self, index: usize, version: u64) {
        wait::until("the version is in force", async || {
            let status = self.status(index).await;
            status.is_some_and(|status| status.config_version == version)
        })
        .await;
    }

    /// Waits until a proxy sees another primary than this member, in a term above 1.
    pub async fn wait_until_replaced(&self, index: usize, member: &str) {
        wait::until("the primary is replaced", async || {
            let Some(status) = self.status(index).await else {
                return false;
            };
            let primary = status.groups[0].primary.as_deref();
            status.groups[0].term > 1 && primary.is_some_and(|name| name != member)
        })
        .await;
    }

    /// Sets switches of the platform.
    pub async fn switch_platform(&self, change: serde_json::Value) {
        standin::switch_platform(self.platform_address, change).await;
    }

    /// Runs the operators' command.
    pub fn run_command(&self, arguments: &[&str]) -> Output {
        let result = Command::new(env!("CARGO_BIN_EXE_fulmarlift"))
            .args(arguments)
            .env("FULMARLIFT_PLATFORM", self.platform_url())
            .env("FULMARLIFT_WHO", "operator")
            .output();
        result.expect("the command runs")
    }

    /// Runs the operators' command, which must succeed, and returns its standard output.
    pub fn command_output(&self, arguments: &[&str]) -> String {
        let output = self.run_command(arguments);
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{arguments:?}: {stderr}");
        String::from_utf8(output.stdout).expect("the command prints text")
    }
}

/// Connection of a caller; the client works only while a task polls it.
pub type CallerConnection = Connection<Socket, tls::NoTlsStream>;

/// Opens a caller's connection to a proxy.
pub async fn open(proxy: SocketAddr) -> Result<(Client, CallerConnection), tokio_postgres::Error> {
    let settings = format!(
        "host={} port={} user=courier dbname=ledger",
        proxy.ip(),
        proxy.port()
    );
    tokio_postgres::connect(&settings, NoTls).await
}
