//! The whole system.

use std::net::SocketAddr;
use std::time::Duration;

use fulmarlift_config::model;
use fulmarlift_platform::platform::Platform;
use fulmarlift_platform::{client, message};
use tokio_postgres::{Client, NoTls};

use crate::support::process::{self, Process};

/// Time between two tries at something that takes a while to come true.
const POLL: Duration = Duration::from_millis(20);

/// A platform, a group of three members and proxies.
pub struct System {
    pub platform: Process,
    pub platform_address: SocketAddr,
    pub members: Vec<Process>,
    pub member_addresses: Vec<SocketAddr>,
    pub proxies: Vec<Process>,
    pub proxy_addresses: Vec<SocketAddr>,
    pub admin_addresses: Vec<SocketAddr>,
    pub peer_addresses: Vec<SocketAddr>,
}

impl System {
    /// Starts everything and puts a configuration in force.
    pub async fn start(proxies: usize) -> Self {
        Self::start_with(proxies, &[]).await
    }

    /// Starts everything, members with further arguments.
    pub async fn start_with(proxies: usize, member_arguments: &[&str]) -> Self {
        let platform_listen = ["--listen".to_owned(), "127.0.0.1:0".to_owned()];
        let mut platform =
            Process::start(env!("CARGO_BIN_EXE_fulmarlift-platform"), &platform_listen);
        let platform_address = platform.address("ready");
        let mut system = Self {
            platform,
            platform_address,
            members: Vec::new(),
            member_addresses: Vec::new(),
            proxies: Vec::new(),
            proxy_addresses: Vec::new(),
            admin_addresses: Vec::new(),
            peer_addresses: Vec::new(),
        };
        system.start_members(member_arguments);
        system.submit(1).await;
        for index in 0..proxies {
            system.start_proxy(index);
        }
        for index in 0..proxies {
            system.until_ready(index).await;
        }
        system
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

    /// Writes a configuration version to the platform.
    pub async fn submit(&self, version: u64) {
        let document = self.document();
        let digest = document.digest();
        let client = client::Client::new(&format!("http://{}", self.platform_address));
        let client = client.expect("an address");
        let name = format!("config-{version}-{digest}");
        let text = document.to_json();
        let put = client.put_object(&name, text.as_bytes()).await;
        put.expect("the platform is up");
        let head = serde_json::json!({
            "version": version, "digest": digest, "base": version - 1, "who": "test",
        });
        let transaction = message::Transaction {
            puts: vec![message::Put {
                table: "config".into(),
                key: "head".into(),
                value: head,
            }],
            ..message::Transaction::default()
        };
        let put = client.transact(&transaction).await;
        put.expect("the platform is up");
    }

    /// Returns a configuration with one service, one group and a caller without a password.
    pub fn document(&self) -> model::Document {
        let members = self.member_addresses.iter().enumerate();
        let members = members.map(|(index, address)| model::Member {
            name: format!("m{index}").into(),
            address: address.to_string().into(),
            domain: "rvk-a".into(),
            connections: 16,
            connect_ms: 12,
        });
        model::Document {
            regions: vec![model::Region {
                name: "rvk".into(),
                domains: vec!["rvk-a".into()],
            }],
            groups: vec![model::Group {
                name: "ledger".into(),
                slots: 2,
                members: members.collect(),
            }],
            callers: vec![model::Caller {
                name: "courier".into(),
                verifier: "trust".into(),
            }],
            services: vec![model::Service {
                name: "ledger".into(),
                group: "ledger".into(),
                callers: vec!["courier".into()],
                read_classes: Vec::new(),
                limits: model::Limits::default(),
            }],
            ..model::Document::default()
        }
    }

    /// Starts a proxy.
    pub fn start_proxy(&mut self, index: usize) {
        let peers: Vec<String> = self
            .peer_addresses
            .iter()
            .map(ToString::to_string)
            .collect();
        let flags = [
            format!("--name=p{index}"),
            "--region=rvk".to_owned(),
            "--domain=rvk-a".to_owned(),
            format!("--platform=http://{}", self.platform_address),
            format!("--peers={}", peers.join(",")),
        ];
        let mut proxy = Process::start(env!("CARGO_BIN_EXE_fulmarliftd"), &flags);
        self.proxy_addresses.push(proxy.address("ready"));
        self.admin_addresses.push(proxy.address("admin"));
        self.peer_addresses.push(proxy.address("peer"));
        self.proxies.push(proxy);
    }

    /// Waits until a proxy serves a write.
    pub async fn until_ready(&self, index: usize) {
        loop {
            let connected = self.try_connect(index).await;
            if let Ok(client) = connected
                && client.simple_query("SELECT 1").await.is_ok()
            {
                return;
            }
            tokio::time::sleep(POLL).await;
        }
    }

    async fn try_connect(&self, index: usize) -> Result<Client, tokio_postgres::Error> {
        let address = self.proxy_addresses[index];
        let settings = format!(
            "host={} port={} user=courier dbname=ledger",
            address.ip(),
            address.port()
        );
        let (client, connection) = tokio_postgres::connect(&settings, NoTls).await?;
        tokio::spawn(connection);
        Ok(client)
    }

    /// Connects a caller to a proxy.
    pub async fn connect(&self, index: usize) -> Client {
        self.try_connect(index).await.expect("the proxy serves")
    }
}
