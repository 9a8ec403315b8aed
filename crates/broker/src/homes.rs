//! Which proxies are homes of a group: they keep connections to its members, and the others forward to them.
//!
//! Answers a deployment that grows: a member allows few connections for all proxies together, so that not every proxy
//! may hold some. Homes are chosen by rendezvous hashing in the failure domains where the group has members, so that a
//! read that is forwarded crosses no more domains than one that is not.

use fulmarlift_core::id;

/// Connections to one member that a home should be able to have.
const CONNECTIONS_PER_HOME: u32 = 4;
/// Least number of homes in a failure domain, so that one may fail.
const HOMES_MIN: u32 = 2;
/// Most homes in a failure domain: each opens connections of its own, which take slots while all start at once.
const HOMES_MAX: u32 = 3;

/// A proxy that may be a home.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The proxy.
    pub proxy: id::ProxyId,
    /// Its failure domain.
    pub domain: &'a str,
}

/// Returns the homes of a group, in no particular order. `domains` are those of its members, each once.
///
/// Without a candidate in any of them, all candidates are homes.
pub fn choose(
    group: id::GroupId,
    connections_max: u32,
    domains: &[&str],
    candidates: &[Candidate<'_>],
) -> Vec<id::ProxyId> {
    let count = u32::try_from(domains.len().max(1)).unwrap_or(u32::MAX);
    let per_domain = (connections_max / CONNECTIONS_PER_HOME / count).clamp(HOMES_MIN, HOMES_MAX);
    let per_domain = usize::try_from(per_domain).unwrap_or(usize::MAX);
    let mut homes = Vec::new();
    for domain in domains {
        let mut there: Vec<id::ProxyId> = candidates
            .iter()
            .filter(|candidate| candidate.domain == *domain)
            .map(|candidate| candidate.proxy)
            .collect();
        there.sort_by_key(|proxy| std::cmp::Reverse(id::weight(group, *proxy)));
        there.truncate(per_domain);
        homes.extend(there);
    }
    if homes.is_empty() {
        homes = candidates.iter().map(|candidate| candidate.proxy).collect();
    }
    homes
}
