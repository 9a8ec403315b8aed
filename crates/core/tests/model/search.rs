//! A breadth-first search over all states within bounds.

use std::collections::{HashSet, VecDeque};
use std::hash::{Hash, Hasher};

use crate::model::rules::Rules;
use crate::model::world::World;

/// Hasher that rotates and multiplies each word. It is fast even in builds without optimisation.
#[derive(Default)]
struct Fingerprint(u64);

const MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

impl Hasher for Fingerprint {
    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.write_u64(u64::from(*byte));
        }
    }

    fn write_u8(&mut self, word: u8) {
        self.write_u64(u64::from(word));
    }

    fn write_u32(&mut self, word: u32) {
        self.write_u64(u64::from(word));
    }

    fn write_u64(&mut self, word: u64) {
        self.0 = (self.0.rotate_left(29) ^ word).wrapping_mul(MULTIPLIER);
    }

    fn write_usize(&mut self, word: usize) {
        self.write_u64(word as u64);
    }

    fn finish(&self) -> u64 {
        (self.0 ^ (self.0 >> 32)).wrapping_mul(MULTIPLIER)
    }
}

fn fingerprint(world: &World) -> u64 {
    let mut hasher = Fingerprint::default();
    world.hash(&mut hasher);
    hasher.finish()
}

/// Result of a search.
#[derive(Clone, Debug)]
pub struct SearchResult {
    /// Number of distinct states visited.
    pub states: usize,
    /// Number of states in which a claimant is in a handover and has not found a successor yet.
    pub handing_over: usize,
    /// First broken invariant, if any.
    pub violation: Option<&'static str>,
}

/// Searches until it finds a violation or has visited every state within the bounds.
pub fn run(rules: &Rules) -> SearchResult {
    // Keeps only the fingerprints of visited states. Two states with the same fingerprint are improbable.
    let mut visited = HashSet::new();
    let mut queue = VecDeque::from([World::new()]);
    let mut next = Vec::new();
    let mut handing_over = 0;
    while let Some(world) = queue.pop_front() {
        world.successors(rules, &mut next);
        for world in next.drain(..) {
            if !visited.insert(fingerprint(&world)) {
                continue;
            }
            handing_over += usize::from(world.is_handing_over());
            if world.violation().is_some() {
                return SearchResult {
                    states: visited.len(),
                    handing_over,
                    violation: world.violation(),
                };
            }
            queue.push_back(world);
        }
    }
    SearchResult {
        states: visited.len(),
        handing_over,
        violation: None,
    }
}
