//! Choice of the proxy that reads the store for its failure domain.
//!
//! Calls to the store are priced and limited, and would grow with the number of proxies. So one proxy of a domain, the
//! reader, reads the store and hands on the updates to its listeners, the other proxies of the domain. All proxies rank the
//! domain's proxies in the same way, and each listens only to one that ranks above itself. This prevents cycles of
//! listeners while the proxies know different sets of proxies.

use fulmarlift_core::id;

use crate::homes;

/// Number of proxies in a domain from which they share a reader. With fewer proxies the calls saved cost less than the
/// extra hop.
const PROXIES_MIN: usize = 4;
/// Number of proxies that a proxy tries as its reader before it reads the store itself.
const TRIED_MAX: usize = 2;
/// Key of the rendezvous hash that ranks the proxies: "read" in ASCII.
const READER_HASH_KEY: u64 = 0x7265_6164;

/// Returns the proxies of the domain that rank above this one, at most `TRIED_MAX` of them, the highest first; none if this
/// proxy reads the store itself.
pub fn reader_candidates(
    proxy: id::ProxyId,
    domain: &str,
    others: &[homes::Candidate<'_>],
) -> Vec<id::ProxyId> {
    let mut higher = higher_ranked(proxy, domain, others);
    higher.truncate(TRIED_MAX);
    higher
}

/// Returns the number of proxies of the domain that rank above this one; 0 if this proxy reads the store itself.
pub fn rank(proxy: id::ProxyId, domain: &str, others: &[homes::Candidate<'_>]) -> usize {
    higher_ranked(proxy, domain, others).len()
}

/// Returns the round after the loss of the reader in which the proxy of this rank reads the store itself, if it has not found
/// another reader until then. The first round has one proxy, each further round twice as many as the one before, so that a
/// reader that is slow to take over does not make a whole domain read the store.
pub fn succession_round(rank: usize) -> u32 {
    rank.checked_ilog2().unwrap_or(0)
}

/// Returns the proxies of the domain that rank above this one, the highest first; none in a small domain.
fn higher_ranked(
    proxy: id::ProxyId,
    domain: &str,
    others: &[homes::Candidate<'_>],
) -> Vec<id::ProxyId> {
    let local = others.iter().filter(|other| other.domain == domain);
    let local: Vec<id::ProxyId> = local.map(|other| other.proxy).collect();
    if local.len() + 1 < PROXIES_MIN {
        return Vec::new();
    }
    // A lower position is a higher rank.
    let position =
        |proxy: &id::ProxyId| std::cmp::Reverse(id::rendezvous_weight(READER_HASH_KEY, *proxy));
    let mut higher: Vec<id::ProxyId> = local
        .into_iter()
        .filter(|other| position(other) < position(&proxy))
        .collect();
    higher.sort_by_cached_key(position);
    higher
}
