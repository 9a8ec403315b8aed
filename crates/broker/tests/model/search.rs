//! A breadth-first search over all states within bounds.

use std::collections::{HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use crate::model::world::{Rules, World};

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
    let mut queue = VecDeque::from([(0, World::new(rules))]);
    let mut next = Vec::new();
    let mut promotions = 0;
    while let Some((from, world)) = queue.pop_front() {
        world.successors(rules, &mut next);
        for (what, mut world) in next.drain(..) {
            world.normalise();
            let mut hasher = DefaultHasher::new();
            world.hash(&mut hasher);
            if !visited.insert(hasher.finish()) {
                continue;
            }
            ways.push((from, what));
            promotions += usize::from(world.group.promoted);
            if let Some(violation) = world.group.violation {
                return Found {
                    states: visited.len(),
                    promotions,
                    violation: Some((violation, way_to(&ways, ways.len() - 1))),
                };
            }
            queue.push_back((ways.len() - 1, world));
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
