//! The whole system.

use std::net::SocketAddr;
use std::process::{Command, Output};

use fulmarlift_config::model;
use fulmarlift_store::publish::{self, submit};
use fulmarlift_store::{admin, client, retry};
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio_postgres::{Client, Connection, NoTls, Socket, tls};

use crate::support::process::{self, Process};
use crate::support::{document, standin, wait};

/// Systems that run at once, so that a few dozen processes do.
static SYSTEMS: Semaphore = Semaphore::const_new(6);

/// A platform, a group of three members and proxies.
pub struct System {
    pub platform: Process,
    pub platform_address: SocketAddr,
    pub members: Vec<Process>,
    pub member_addresses: Vec<SocketAddr>,
    pub proxies: Vec<Proxy>,
    pub proxy_addresses: Vec<SocketAddr>,
    _permit: SemaphorePermit<'static>,
}

/// A proxy's process.
pub struct Proxy {
    pub process: Process,
    pub listen: SocketAddr,
    pub admin: SocketAddr,
    pub peer: SocketAddr,
}

impl System {
    /// Starts everything and puts a configuration in force.
    pub async fn start(proxies: usize) -> Self {
        Self::start_with(proxies, &[]).await
    }

    /// Starts everything, members with further arguments.
    pub async fn start_with(proxies: usize, member_arguments: &[&str]) -> Self {
        let mut system = Self::start_platform().await;
        system.start_members(member_arguments);
        system.submit(0, 1_000).await.expect("the first version");
        for _ in 0..proxies {
            system.start_proxy();
        }
        for index in 0..proxies {
            system.until_serving(index).await;
        }
        system
    }

    /// Starts a platform and members, and neither proxies nor a configuration.
    pub async fn start_standins() -> Self {
        let mut system = Self::start_platform().await;
        system.start_members(&[]);
        system
    }

    async fn start_platform() -> Self {
        let permit = SYSTEMS.acquire().await.expect("it is never closed");
        let listen = ["--listen=127.0.0.1:0".to_owned()];
        let mut platform = Process::start(env!("CARGO_BIN_EXE_fulmarlift-platform"), &listen);
        let platform_address = platform.address("ready");
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
        let replication: Vec<SocketAddr> = (0..3).map(|_| process::free_address()).collect();
        for index in 0..3 {
            let mut flags = vec![
                format!("--name=m{index}"),
                "--listen=127.0.0.1:0".to_owned(),
                format!("--replication-listen={}", replication[index]),
            ];
            for (peer, address) in replication.iter().enumerate().filter(|(p, _)| *p != index) {
                flags.push(format!("--peer=m{peer}={address}"));
            }
            if index == 0 {
                flags.push("--primary".to_owned());
            }
            flags.extend(arguments.iter().map(|text| (*text).to_owned()));
            let mut member = Process::start(env!("CARGO_BIN_EXE_fulmarlift-member"), &flags);
            self.member_addresses.push(member.address("ready"));
            self.members.push(member);
        }
    }

    /// Submits a configuration with this mark on a base.
    pub async fn submit(&self, base: u64, mark: u32) -> Result<publish::Head, submit::Error> {
        let client = client::Client::new(&self.platform_url()).expect("an address");
        let submission = submit::Submission {
            document: self.marked(mark),
            base,
            submitter: format!("operator-{mark}").into(),
            submitted_at_ms: 0,
            nonce: submit::random_nonce(),
            retry: retry::Retry::default(),
        };
        submit::submit(&client, &submission).await
    }

    /// Returns a configuration with one service, one group and a caller without a password.
    pub fn document(&self) -> model::Document {
        document::of(&self.member_addresses)
    }

    /// Returns the configuration with this mark.
    pub fn marked(&self, mark: u32) -> model::Document {
        document::marked(self.document(), mark)
    }

    /// Returns the platform's address as a URL.
    pub fn platform_url(&self) -> String {
        format!("http://{}", self.platform_address)
    }

    /// Starts a further proxy, which knows the addresses of those before it; returns its index.
    pub fn start_proxy(&mut self) -> usize {
        let peers = self.proxies.iter().map(|proxy| proxy.peer.to_string());
        let flags = [
            format!("--name=p{}", self.proxies.len()),
            "--region=rvk".to_owned(),
            "--domain=rvk-a".to_owned(),
            format!("--platform={}", self.platform_url()),
            format!("--peers={}", peers.collect::<Vec<_>>().join(",")),
        ];
        let mut process = Process::start(env!("CARGO_BIN_EXE_fulmarliftd"), &flags);
        let listen = process.address("ready");
        self.proxy_addresses.push(listen);
        self.proxies.push(Proxy {
            listen,
            admin: process.address("admin"),
            peer: process.address("peer"),
            process,
        });
        self.proxies.len() - 1
    }

    /// Waits until a proxy serves a read.
    pub async fn until_serving(&self, index: usize) {
        wait::until("the proxy serves", async || {
            match self.try_connect(index).await {
                Ok(client) => client.simple_query("SELECT 1").await.is_ok(),
                Err(_) => false,
            }
        })
        .await;
    }

    /// Connects a caller to a proxy.
    pub async fn try_connect(&self, index: usize) -> Result<Client, tokio_postgres::Error> {
        let (client, connection) = open(self.proxies[index].listen).await?;
        tokio::spawn(connection);
        Ok(client)
    }

    /// Connects a caller to a proxy that serves.
    pub async fn connect(&self, index: usize) -> Client {
        self.try_connect(index).await.expect("the proxy serves")
    }

    /// Returns what a proxy sees.
    pub async fn status(&self, index: usize) -> Option<admin::Status> {
        let url = format!("http://{}", self.proxies[index].admin);
        let client = admin::Client::new(&url).expect("an address");
        client.status().await.ok()
    }

    /// Returns a proxy's answer about its readiness.
    pub async fn readiness(&self, index: usize) -> (u16, String) {
        let url = format!("http://{}/ready", self.proxies[index].admin);
        let answer = reqwest::get(url).await.expect("the admin port serves");
        let status = answer.status().as_u16();
        (status, answer.text().await.expect("a text"))
    }

    /// Returns the sum of a proxy's metrics whose name and labels start so.
    pub async fn metric(&self, index: usize, series: &str) -> f64 {
        let url = format!("http://{}/metrics", self.proxies[index].admin);
        let answer = reqwest::get(url).await.expect("the admin port serves");
        let text = answer.text().await.expect("a text");
        let lines = text.lines().filter(|line| line.starts_with(series));
        let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        values.sum()
    }

    /// Waits until a configuration version is in force at a proxy.
    pub async fn until_version(&self, index: usize, version: u64) {
        wait::until("the version is in force", async || {
            let status = self.status(index).await;
            status.is_some_and(|status| status.config_version == version)
        })
        .await;
    }

    /// Waits until a proxy sees a primary other than this member.
    pub async fn until_replaced(&self, index: usize, member: &str) {
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
    pub fn command(&self, arguments: &[&str]) -> Output {
        let command = Command::new(env!("CARGO_BIN_EXE_fulmarlift"))
            .args(arguments)
            .env("FULMARLIFT_PLATFORM", self.platform_url())
            .env("FULMARLIFT_WHO", "operator")
            .output();
        command.expect("the command runs")
    }

    /// Runs the operators' command, which is to succeed, and returns what it prints.
    pub fn printed(&self, arguments: &[&str]) -> String {
        let output = self.command(arguments);
        let error = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{arguments:?}: {error}");
        String::from_utf8(output.stdout).expect("it prints text")
    }
}

/// A caller's connection, which has to be polled for its client to work.
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
