//! Messages between proxies.

use serde::{Deserialize, Serialize};

use crate::id;
use crate::topology;

/// A heartbeat from one proxy to another.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub proxy: id::ProxyId,
    /// Number of the heartbeat, increasing.
    pub sequence: u64,
    /// The sender's address for peers, as `ip:port`.
    pub address: Box<str>,
    /// Where the sender runs.
    pub place: topology::Place,
    /// Configuration in force at the sender.
    pub head: Head,
    /// Whether the sender is stopping.
    pub leaving: bool,
    /// What the sender sees of groups.
    pub groups: Vec<GroupReport>,
    /// What the sender uses of members' connections, by member.
    pub shares: Vec<ShareReport>,
}

impl Message {
    /// Returns what the sender uses of a member's connections.
    pub fn share(&self, member: id::MemberId) -> Option<&ShareReport> {
        let index = self
            .shares
            .binary_search_by_key(&member, |share| share.member);
        self.shares.get(index.ok()?)
    }

    /// Returns the size of the message as it travels, in bytes without headers.
    pub fn encoded_len(&self) -> usize {
        // Serialising into a byte vector fails for types without a length or with custom errors only.
        postcard::to_allocvec(self).map_or(0, |bytes| bytes.len())
    }
}

/// A configuration version and what identifies its content.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// Version, only ever going up.
    pub version: u64,
    /// SHA-256 of the document in hexadecimal.
    pub digest: Box<str>,
}

/// What a proxy sees of a group's primary.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct GroupReport {
    /// The group.
    pub group: id::GroupId,
    /// Highest term seen.
    pub term: id::Term,
    /// Whether the primary of that term answers the sender.
    pub primary_answers: bool,
}

/// What a proxy uses of a member's connections.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ShareReport {
    /// The member.
    pub member: id::MemberId,
    /// Connections that the sender holds or is opening.
    pub open: u32,
    /// Requests that wait for a connection at the sender.
    pub waiting: u32,
    /// Connections that the sender lends to others.
    pub loans: Vec<Loan>,
}

/// Connections that one proxy lends to another.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Loan {
    /// The borrower.
    pub to: id::ProxyId,
    /// Number of connections.
    pub connections: u32,
    /// Time until they are given back, counted from the arrival of the message.
    pub left_ms: u32,
}

/// An entry of the platform's list of VMs.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Vm {
    /// The VM's name.
    pub name: Box<str>,
    /// Address as `ip:port`: a proxy's for peers, or a member's for callers.
    pub address: Box<str>,
    /// Where it runs.
    pub place: topology::Place,
    /// What the platform says of it.
    pub state: VmState,
}

/// The platform's word on a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum VmState {
    /// In service.
    Live,
    /// About to be taken away.
    Leaving,
}
