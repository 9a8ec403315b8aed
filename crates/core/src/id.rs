//! Identifiers. Those of groups, members, proxies, services and callers are hashes of names, so that every
//! proxy derives the same ones without agreement.

use xxhash_rust::xxh3;

/// A database group.
pub type GroupId = u64;
/// A member of a database group.
pub type MemberId = u64;
/// One incarnation of a proxy: a restarted proxy gets a new identifier.
pub type ProxyId = u64;
/// A service of the configuration.
pub type ServiceId = u64;
/// A caller's account.
pub type CallerId = u64;
/// A request at one proxy, in order of arrival.
pub type RequestId = u64;
/// A connection from one proxy to a member.
pub type ConnId = u64;
/// A question to a member or a claim to the platform; the answer carries the same identifier.
pub type ControlRequestId = u64;
/// The term of a primary; each failover starts a higher one.
pub type Term = u64;
/// The number of a log entry, counted from 1.
pub type Position = u64;

/// Returns the identifier of a group, service, caller or proxy with this name.
pub fn of(name: &str) -> u64 {
    xxh3::xxh3_64(name.as_bytes())
}

/// Returns the identifier of a member of the group.
pub fn member(group: GroupId, name: &str) -> MemberId {
    xxh3::xxh3_64_with_seed(name.as_bytes(), group)
}

/// Returns the weight of a proxy for a subject in rendezvous hashing; the proxy with the highest weight ranks first.
pub fn rendezvous_weight(subject: u64, proxy: ProxyId) -> u64 {
    xxh3::xxh3_64_with_seed(&proxy.to_le_bytes(), subject)
}
