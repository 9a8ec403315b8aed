//! A breadth-first search over all states within bounds.

use std::collections::{HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use crate::model::system::{Rules, System};

/// What a search found.
#[derive(Clone, Debug)]
pub struct Found {
    /// Different states visited.
    pub states: usize,
    /// Promotions that took effect, over all states' ways.
    pub promotions: usize,
    /// The first promise broken, if any, and what led there.
    pub violation: Option<(&'static str, Vec<String>)>,
}

/// Searches until a promise is broken or no state is left.
pub fn run(rules: &Rules) -> Found {
    // Only fingerprints are kept: two states with equal ones are improbable.
    let mut visited = HashSet::new();
    // What happened, after which entry.
    let mut ways: Vec<(usize, String)> = vec![(0, String::new())];
    let mut queue = VecDeque::from([(0, System::new(rules))]);
    let mut next = Vec::new();
    let mut promotions = 0;
    while let Some((from, system)) = queue.pop_front() {
        system.successors(rules, &mut next);
        for (what, mut system) in next.drain(..) {
            system.normalise();
            let mut hasher = DefaultHasher::new();
            system.hash(&mut hasher);
            if !visited.insert(hasher.finish()) {
                continue;
            }
            ways.push((from, what));
            promotions += usize::from(system.group.promoted);
            if let Some(violation) = system.group.violation {
                return Found {
                    states: visited.len(),
                    promotions,
                    violation: Some((violation, way_to(&ways, ways.len() - 1))),
                };
            }
            queue.push_back((ways.len() - 1, system));
        }
    }
    Found {
        states: visited.len(),
        promotions,
        violation: None,
    }
}

fn way_to(ways: &[(usize, String)], mut at: usize) -> Vec<String> {
    let mut way = Vec::new();
    while at > 0 {
        let (from, what) = &ways[at];
        way.push(what.clone());
        at = *from;
    }
    way.reverse();
    way
}
