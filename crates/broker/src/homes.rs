//! Which proxies are homes of a group: they keep connections to its members, and the others forward to them.
//!
//! Answers a deployment that grows: a member allows few connections for all proxies together, so that not every proxy
//! may hold some. Homes are chosen by rendezvous hashing in the failure domains where the group has members, so that a
//! read that is forwarded crosses no more domains than one that is not.

use fulmarlift_core::id;

/// Homes in a failure domain: two, so that one may fail. More would open more connections, which all take slots when
/// many proxies start at once, and share them worse.
const HOMES_PER_DOMAIN: usize = 2;

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
    domains: &[&str],
    candidates: &[Candidate<'_>],
) -> Vec<id::ProxyId> {
    let mut homes = Vec::new();
    for domain in domains {
        let mut there: Vec<id::ProxyId> = candidates
            .iter()
            .filter(|candidate| candidate.domain == *domain)
            .map(|candidate| candidate.proxy)
            .collect();
        there.sort_by_key(|proxy| std::cmp::Reverse(id::rendezvous_weight(group, *proxy)));
        there.truncate(HOMES_PER_DOMAIN);
        homes.extend(there);
    }
    if homes.is_empty() {
        homes = candidates.iter().map(|candidate| candidate.proxy).collect();
    }
    homes
}
