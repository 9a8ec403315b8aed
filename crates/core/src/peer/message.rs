//! Heartbeat messages between proxies, and the platform's list of VMs.

use serde::{Deserialize, Serialize};

use crate::id;
use crate::topology;

/// A heartbeat from one proxy to another.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Identifier of the sender.
    pub proxy: id::ProxyId,
    /// Number of the heartbeat. The sender increases it with each one.
    pub sequence: u64,
    /// The sender's address for peers, as `ip:port`.
    pub address: Box<str>,
    /// Region and failure domain of the sender.
    pub place: topology::Place,
    /// Version and digest of the configuration in force at the sender.
    pub head: Head,
    /// Whether the sender is draining: it refuses new requests and stops once those in flight have ended.
    pub draining: bool,
    /// Sender's view of the groups that it watches or serves, sorted by group.
    pub groups: Vec<GroupReport>,
    /// Sender's use of members' connections, sorted by member.
    pub connection_reports: Vec<ConnectionReport>,
}

impl Message {
    /// Returns the sender's use of a member's connections, if it reports any.
    pub fn connection_report(&self, member: id::MemberId) -> Option<&ConnectionReport> {
        let index = self
            .connection_reports
            .binary_search_by_key(&member, |report| report.member);
        self.connection_reports.get(index.ok()?)
    }

    /// Returns the size of the encoded message in bytes, without headers.
    pub fn encoded_len(&self) -> usize {
        // Encoding plain data into a byte vector does not fail.
        postcard::to_allocvec(self).map_or(0, |bytes| bytes.len())
    }
}

/// Identifies a configuration: its version and the digest of its content.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// Version of the configuration. It only grows.
    pub version: u64,
    /// SHA-256 of the document in hexadecimal.
    pub digest: Box<str>,
}

/// A proxy's view of a group's primary.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct GroupReport {
    /// Group that the report is about.
    pub group: id::GroupId,
    /// Highest term that a member has reported to the sender.
    pub term: id::Term,
    /// Whether the primary of that term answers the sender.
    pub primary_answers: bool,
}

/// A proxy's use of a member's connections.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConnectionReport {
    /// Member that the connections lead to.
    pub member: id::MemberId,
    /// Number of connections that the sender has open or is opening.
    pub open: u32,
    /// Number of requests that wait for a connection at the sender.
    pub waiting: u32,
    /// Connections that the sender lends to other proxies.
    pub loans: Vec<Loan>,
}

/// Connections that one proxy lends to another.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Loan {
    /// Proxy that may use the connections.
    pub to: id::ProxyId,
    /// Number of connections lent.
    pub connections: u32,
    /// Time until the loan ends, in milliseconds from the arrival of the message.
    pub remaining_ms: u32,
}

/// An entry of the platform's list of VMs.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub name: Box<str>,
    /// Address as `ip:port`: the peer address of a proxy, or the address of a member as in the configuration.
    pub address: Box<str>,
    /// Region and failure domain of the VM.
    pub place: topology::Place,
    /// State of the VM, as the platform reports it.
    pub state: VmState,
}

/// State of a VM, as the platform reports it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum VmState {
    /// The VM stays in service.
    Live,
    /// The platform will soon take the VM out of service.
    Leaving,
}
