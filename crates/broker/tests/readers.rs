//! Tests of the choice of the proxy that reads the store for its failure domain.

use fulmarlift_broker::homes::Candidate;
use fulmarlift_broker::readers;
use fulmarlift_core::id;

fn others(me: usize, count: usize) -> Vec<Candidate<'static>> {
    let others = (0..count).filter(|nth| *nth != me);
    others
        .map(|nth| Candidate {
            proxy: id::of(&format!("proxy-{nth}")),
            domain: if nth < 10 { "a" } else { "b" },
        })
        .collect()
}

fn above(me: usize, count: usize) -> Vec<id::ProxyId> {
    let name = format!("proxy-{me}");
    readers::higher_ranked(id::of(&name), "a", &others(me, count))
}

#[test]
fn above_leaves_one_reader_a_domain() {
    let reading = (0..10).filter(|me| above(*me, 20).is_empty());
    assert_eq!(reading.count(), 1);
}

#[test]
fn above_never_goes_in_a_circle() {
    for me in 0..10 {
        for reader in above(me, 20) {
            let nth = (0..10).find(|nth| id::of(&format!("proxy-{nth}")) == reader);
            let theirs = above(nth.expect("readers are in the domain"), 20);
            assert!(!theirs.contains(&id::of(&format!("proxy-{me}"))));
        }
    }
}

#[test]
fn above_is_empty_where_few_proxies_share_a_domain() {
    assert!((0..3).all(|me| above(me, 3).is_empty()));
}
