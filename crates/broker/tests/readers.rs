//! Tests of the choice of the proxy that reads the store for its failure domain.

use fulmarlift_broker::homes::Candidate;
use fulmarlift_broker::readers;
use fulmarlift_core::id;

fn others(proxy: usize, count: usize) -> Vec<Candidate<'static>> {
    let others = (0..count).filter(|nth| *nth != proxy);
    others
        .map(|nth| Candidate {
            proxy: id::of(&format!("proxy-{nth}")),
            domain: if nth < 10 { "a" } else { "b" },
        })
        .collect()
}

fn reader_candidates(proxy: usize, count: usize) -> Vec<id::ProxyId> {
    let name = format!("proxy-{proxy}");
    readers::reader_candidates(id::of(&name), "a", &others(proxy, count))
}

#[test]
fn above_leaves_one_reader_a_domain() {
    let reading = (0..10).filter(|proxy| reader_candidates(*proxy, 20).is_empty());
    assert_eq!(reading.count(), 1);
}

#[test]
fn above_never_goes_in_a_circle() {
    for proxy in 0..10 {
        for reader in reader_candidates(proxy, 20) {
            let nth = (0..10).find(|nth| id::of(&format!("proxy-{nth}")) == reader);
            let above_reader = reader_candidates(nth.expect("readers are in the domain"), 20);
            assert!(!above_reader.contains(&id::of(&format!("proxy-{proxy}"))));
        }
    }
}

#[test]
fn above_is_empty_where_few_proxies_share_a_domain() {
    assert!((0..3).all(|proxy| reader_candidates(proxy, 3).is_empty()));
}

#[test]
fn rank_differs_for_each_proxy_of_a_domain() {
    let rank = |proxy: usize| {
        let name = format!("proxy-{proxy}");
        readers::rank(id::of(&name), "a", &others(proxy, 20))
    };
    let mut ranks: Vec<usize> = (0..10).map(rank).collect();
    ranks.sort_unstable();
    assert_eq!(ranks, (0..10).collect::<Vec<_>>());
}

#[test]
fn succession_round_doubles_the_proxies_that_read_the_store() {
    let rounds: Vec<u32> = (1..16).map(readers::succession_round).collect();
    assert_eq!(rounds, [0, 1, 1, 2, 2, 2, 2, 3, 3, 3, 3, 3, 3, 3, 3]);
}
