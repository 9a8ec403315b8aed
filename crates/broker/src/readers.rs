//! Which proxy of a failure domain reads the store for the others.
//!
//! Answers the calls to the store, which are priced and limited, of a deployment that grows: one reader a domain, which hands
//! on what it learns. Every proxy ranks the domain's proxies in the same way and listens to one that ranks above itself,
//! so that nobody listens in a circle while views differ.

use fulmarlift_core::id;

use crate::homes;

/// Least number of proxies in a domain for which one reads: fewer cost less than the detour.
const PROXIES_MIN: usize = 4;
/// Proxies that are tried before one reads for itself.
const TRIED_MAX: usize = 2;
/// Subject of the rendezvous hash.
const READER: u64 = 0x7265_6164;

/// Returns the proxies of the domain that rank above this one, the highest first; none for one that is to read itself.
pub fn above(me: id::ProxyId, domain: &str, others: &[homes::Candidate<'_>]) -> Vec<id::ProxyId> {
    let near = others.iter().filter(|other| other.domain == domain);
    let near: Vec<id::ProxyId> = near.map(|other| other.proxy).collect();
    if near.len() + 1 < PROXIES_MIN {
        return Vec::new();
    }
    let rank = |proxy: &id::ProxyId| std::cmp::Reverse(id::rendezvous_weight(READER, *proxy));
    let mut above: Vec<id::ProxyId> = near
        .into_iter()
        .filter(|proxy| rank(proxy) < rank(&me))
        .collect();
    above.sort_by_key(rank);
    above.truncate(TRIED_MAX);
    above
}
