//! A breadth-first search over all states within bounds.

use std::collections::{HashSet, VecDeque};
use std::hash::{Hash, Hasher};

use crate::model::rules::Rules;
use crate::model::world::World;

/// Multiplies and rotates each word: quick without optimisation.
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

/// What a search found.
#[derive(Clone, Debug)]
pub struct Found {
    /// Different states visited.
    pub states: usize,
    /// States in which a primary was being moved.
    pub moving: usize,
    /// The invariant broken first, if any.
    pub violation: Option<&'static str>,
}

/// Searches until a violation is found or no state is left.
pub fn run(rules: &Rules) -> Found {
    // Only fingerprints of visited states are kept: two of them with equal ones are improbable.
    let mut visited = HashSet::new();
    let mut queue = VecDeque::from([World::new()]);
    let mut next = Vec::new();
    let mut moving = 0;
    while let Some(world) = queue.pop_front() {
        world.successors(rules, &mut next);
        for world in next.drain(..) {
            if !visited.insert(fingerprint(&world)) {
                continue;
            }
            moving += usize::from(world.is_moving());
            if world.violation().is_some() {
                return Found {
                    states: visited.len(),
                    moving,
                    violation: world.violation(),
                };
            }
            queue.push_back(world);
        }
    }
    Found {
        states: visited.len(),
        moving,
        violation: None,
    }
}
