//! Program that runs a stand-in for a database member.

use std::net::{AddrParseError, SocketAddr};
use std::str::FromStr;

use fulmarlift_standin::member;

mod flags {
    use super::{PeerFlag, SocketAddr};

    xflags::xflags! {
        /// Runs a stand-in for a database member.
        cmd fulmarlift-member {
            /// Name of the member in log lines.
            optional --name name: String
            /// Address for callers, IP:PORT (127.0.0.1:0 when not given).
            optional --listen address: SocketAddr
            /// Address for replication to and from other members, IP:PORT (127.0.0.1:0 when not given).
            optional --replication-listen address: SocketAddr
            /// Another member of the group and its replication address, NAME=ADDRESS; may be repeated.
            repeated --peer peer: PeerFlag
            /// Start as the primary of term 1.
            optional --primary
            /// Maximum number of connections.
            optional --connections-max count: usize
            /// Delay of each connection startup, in milliseconds.
            optional --connect-ms connect_ms: u64
            /// Delay of each request and of each answer, in microseconds.
            optional --latency-us latency_us: u64
            /// Delay of each replicated log entry, in milliseconds.
            optional --lag-ms lag_ms: u64
            /// SQL statements that form the first entry of the primary's log.
            optional --initial-sql sql: String
        }
    }
}

/// Value of the flag `--peer`: another member of the group, written as `NAME=ADDRESS`.
#[derive(Debug)]
pub struct PeerFlag(member::Peer);

/// Error in the value of a `--peer` flag.
#[derive(Debug, thiserror::Error)]
pub enum PeerFlagError {
    /// The value has no `=` between a name and an address.
    #[error("a peer must be given as NAME=ADDRESS")]
    Form,
    /// The part after `=` is not an IP:PORT address.
    #[error(transparent)]
    Address(#[from] AddrParseError),
}

impl FromStr for PeerFlag {
    type Err = PeerFlagError;

    fn from_str(text: &str) -> Result<Self, PeerFlagError> {
        let (name, address) = text.split_once('=').ok_or(PeerFlagError::Form)?;
        Ok(Self(member::Peer {
            name: name.into(),
            address: address.parse()?,
        }))
    }
}

#[tokio::main]
async fn main() -> Result<(), member::StartError> {
    env_logger::init();
    let flags = flags::FulmarliftMember::from_env_or_exit();
    let member = member::Member::start(config(flags)).await?;
    println!("ready {}", member.address());
    println!("replication {}", member.replication_address());
    tokio::signal::ctrl_c().await?;
    Ok(())
}

fn config(flags: flags::FulmarliftMember) -> member::Config {
    let defaults = member::Config::default();
    member::Config {
        name: flags.name.map_or(defaults.name, String::into_boxed_str),
        listen: flags.listen.unwrap_or(defaults.listen),
        replication_listen: flags
            .replication_listen
            .unwrap_or(defaults.replication_listen),
        primary: flags.primary,
        peers: flags.peer.into_iter().map(|peer| peer.0).collect(),
        connections_max: flags.connections_max.unwrap_or(defaults.connections_max),
        connect_ms: flags.connect_ms.unwrap_or(defaults.connect_ms),
        latency_us: flags.latency_us.unwrap_or(defaults.latency_us),
        lag_ms: flags.lag_ms.unwrap_or(defaults.lag_ms),
        lock_wait_ms: defaults.lock_wait_ms,
        initial_sql: flags
            .initial_sql
            .map_or(defaults.initial_sql, String::into_boxed_str),
    }
}
