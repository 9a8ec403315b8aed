//! Choice of a group's homes: the proxies that keep connections to its members. Other proxies forward requests to them.
//!
//! A member allows few connections for all proxies together, so in a large deployment not every proxy can keep connections.
//! Rendezvous hashing chooses the homes among the proxies in the failure domains where the group has members, so that a
//! forwarded read crosses no more domains than a direct one.

use fulmarlift_core::id;

/// Homes per failure domain. Two, so that one may fail. More homes would open more connections, each of which takes a slot
/// of the member when many proxies start at once, and would divide the slots among more queues.
const HOMES_PER_DOMAIN: usize = 2;

/// A proxy among which homes or the reader of a domain are chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Identifier of the proxy.
    pub proxy: id::ProxyId,
    /// Failure domain of the proxy.
    pub domain: &'a str,
}

/// Returns the homes of a group, in no particular order. `domains` lists the failure domains of the group's members
/// without duplicates.
///
/// If no candidate is in any of these domains, all candidates are homes.
pub fn choose(
    group: id::GroupId,
    domains: &[&str],
    candidates: &[Candidate<'_>],
) -> Vec<id::ProxyId> {
    let mut homes = Vec::new();
    for domain in domains {
        let mut local: Vec<(u64, id::ProxyId)> = candidates
            .iter()
            .filter(|candidate| candidate.domain == *domain)
            .map(|candidate| {
                let weight = id::rendezvous_weight(group, candidate.proxy);
                (weight, candidate.proxy)
            })
            .collect();
        local.sort_unstable_by_key(|(weight, proxy)| std::cmp::Reverse((*weight, *proxy)));
        local.truncate(HOMES_PER_DOMAIN);
        homes.extend(local.into_iter().map(|(_, proxy)| proxy));
    }
    if homes.is_empty() {
        homes = candidates.iter().map(|candidate| candidate.proxy).collect();
    }
    homes
}
