//! Breadth-first search over all states within bounds.

use std::collections::{HashSet, VecDeque};
use std::hash::{Hash, Hasher};

use crate::model::group::Violation;
use crate::model::system::{Rules, System};

/// Result of a search.
#[derive(Clone, Debug)]
pub struct Found {
    /// Number of different states visited.
    pub states: usize,
    /// Number of visited states that an executed promotion led to.
    pub promotions: usize,
    /// First violated guarantee of those that are judged, if any, with the steps that led to it.
    pub violation: Option<(Violation, Vec<String>)>,
}

/// Hasher that, unlike the standard one, is fast in builds without optimisation.
#[derive(Default)]
struct StateHasher(u64);

impl Hasher for StateHasher {
    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.write_u64(u64::from(*byte));
        }
    }

    fn write_u8(&mut self, value: u8) {
        self.write_u64(u64::from(value));
    }

    fn write_u32(&mut self, value: u32) {
        self.write_u64(u64::from(value));
    }

    fn write_u64(&mut self, value: u64) {
        // Both halves of the product depend on all bits of the state and the value.
        let product = u128::from(self.0 ^ value ^ 0x9e37_79b9_7f4a_7c15) * 0xd6e8_feb8_6659_fd93;
        self.0 = (product as u64) ^ ((product >> 64) as u64);
    }

    fn write_usize(&mut self, value: usize) {
        self.write_u64(value as u64);
    }

    fn finish(&self) -> u64 {
        self.0
    }
}

/// Searches until a guarantee that is judged is violated or no unvisited state is left.
pub fn run(rules: &Rules) -> Found {
    // Only hashes of the states are kept: a collision of two states is improbable.
    let mut visited = HashSet::new();
    // The index of the step that led to each visited state among its successors, with the index of the state before it.
    let mut steps: Vec<(usize, usize)> = vec![(0, 0)];
    let mut queue = VecDeque::from([(0, Box::new(System::new(rules)))]);
    let mut next = Vec::new();
    let mut promotions = 0;
    while let Some((from, system)) = queue.pop_front() {
        system.successors(rules, false, &mut next);
        for (step, (_, mut system)) in next.drain(..).enumerate() {
            system.normalise(rules);
            let violation = system.group.violation.take();
            let violation = violation.filter(|violation| rules.judges(*violation));
            let mut hasher = StateHasher::default();
            system.hash(&mut hasher);
            if violation.is_none() && !visited.insert(hasher.finish()) {
                continue;
            }
            steps.push((from, step));
            promotions += usize::from(system.group.promoted);
            if let Some(violation) = violation {
                return Found {
                    states: visited.len() + 1,
                    promotions,
                    violation: Some((violation, path_to(rules, &steps))),
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

/// Returns the steps from the initial state to the last state.
fn path_to(rules: &Rules, steps: &[(usize, usize)]) -> Vec<String> {
    let mut chosen = Vec::new();
    let mut index = steps.len() - 1;
    while index > 0 {
        let (from, step) = steps[index];
        chosen.push(step);
        index = from;
    }
    let mut system = Box::new(System::new(rules));
    let describe = |step: usize| {
        let mut next = Vec::new();
        system.successors(rules, true, &mut next);
        let (description, successor) = next.swap_remove(step);
        system = successor;
        system.normalise(rules);
        system.group.violation = None;
        description
    };
    chosen.into_iter().rev().map(describe).collect()
}
