//! Breadth-first search over all states within bounds.

use std::collections::{HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use crate::model::system::{Rules, System};

/// Result of a search.
#[derive(Clone, Debug)]
pub struct Found {
    /// Number of different states visited.
    pub states: usize,
    /// Number of visited states that an executed promotion led to.
    pub promotions: usize,
    /// First violated guarantee, if any, with the steps that led to it.
    pub violation: Option<(&'static str, Vec<String>)>,
}

/// Searches until a guarantee is violated or no unvisited state is left.
pub fn run(rules: &Rules) -> Found {
    // Only hashes of the states are kept: a collision of two states is improbable.
    let mut visited = HashSet::new();
    // The step that led to each visited state, with the index of the state before it.
    let mut steps: Vec<(usize, String)> = vec![(0, String::new())];
    let mut queue = VecDeque::from([(0, System::new(rules))]);
    let mut next = Vec::new();
    let mut promotions = 0;
    while let Some((from, system)) = queue.pop_front() {
        system.successors(rules, &mut next);
        for (step, mut system) in next.drain(..) {
            system.normalise();
            let mut hasher = DefaultHasher::new();
            system.hash(&mut hasher);
            if !visited.insert(hasher.finish()) {
                continue;
            }
            steps.push((from, step));
            promotions += usize::from(system.group.promoted);
            if let Some(violation) = system.group.violation {
                return Found {
                    states: visited.len(),
                    promotions,
                    violation: Some((violation, path_to(&steps, steps.len() - 1))),
                };
            }
            queue.push_back((steps.len() - 1, system));
        }
    }
    Found {
        states: visited.len(),
        promotions,
        violation: None,
    }
}

/// Returns the steps from the initial state to the state of this index.
fn path_to(steps: &[(usize, String)], mut index: usize) -> Vec<String> {
    let mut path = Vec::new();
    while index > 0 {
        let (from, step) = &steps[index];
        path.push(step.clone());
        index = *from;
    }
    path.reverse();
    path
}
