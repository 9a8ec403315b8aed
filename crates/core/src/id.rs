//! Identifiers, terms and log positions. The identifiers of groups, members, proxies, services and callers are hashes
//! of names, so that every proxy derives the same ones without agreement.

use xxhash_rust::xxh3;

/// Identifier of a database group.
pub type GroupId = u64;
/// Identifier of a member, unique across groups.
pub type MemberId = u64;
/// Identifier of one incarnation of a proxy; a restarted proxy gets a new one.
pub type ProxyId = u64;
/// Identifier of a service in the configuration.
pub type ServiceId = u64;
/// Identifier of a caller's account.
pub type CallerId = u64;
/// Identifier of a workspace in the configuration.
pub type WorkspaceId = u64;
/// Identifier of a request at one proxy, ascending in order of arrival.
pub type RequestId = u64;
/// Identifier of a connection to a member, unique at one proxy.
pub type ConnId = u64;
/// Identifier of a control request, unique at one proxy: a status request, fence or promotion to a member, or a claim
/// to the platform. The answer carries the same identifier.
pub type ControlRequestId = u64;
/// The term of a primary; each failover starts a higher one.
pub type Term = u64;
/// The position of an entry in a member's log; 0 stands before the first entry.
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
