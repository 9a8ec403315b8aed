//! Paths between the parts of the system, and their cuts.

use rand::RngExt;
use rand::rngs::StdRng;

use crate::simulation::clock::{MS, Micros};

/// An end of a path.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Node {
    /// The proxy of this index.
    Proxy(usize),
    /// The member of this index.
    Member(usize),
    /// The store.
    Store,
}

/// One direction of a path that is cut until a time.
#[derive(Clone, Copy, Debug)]
struct Cut {
    from: Node,
    to: Node,
    until: Micros,
}

/// All paths.
#[derive(Default)]
pub struct Net {
    cuts: Vec<Cut>,
}

impl Net {
    /// Cuts one direction of a path.
    pub fn cut(&mut self, from: Node, to: Node, until: Micros) {
        self.cuts.push(Cut { from, to, until });
    }

    /// Cuts both directions of a path.
    pub fn cut_both(&mut self, a: Node, b: Node, until: Micros) {
        self.cut(a, b, until);
        self.cut(b, a, until);
    }

    /// Returns the time at which a cut of this direction ends; `None` if it is not cut.
    pub fn cut_until(&self, from: Node, to: Node, now: Micros) -> Option<Micros> {
        let cuts = self.cuts.iter();
        let ends = cuts
            .filter(|cut| cut.from == from && cut.to == to && now < cut.until)
            .map(|cut| cut.until);
        ends.max()
    }

    /// Returns the arrival of a message that is sent now. What a cut holds up arrives after it, as the sender repeats it.
    pub fn arrival(&self, from: Node, to: Node, now: Micros, random: &mut StdRng) -> Micros {
        let sent_at = match self.cut_until(from, to, now) {
            Some(until) => until + random.random_range(0..200 * MS),
            None => now,
        };
        sent_at + latency(random)
    }
}

fn latency(random: &mut StdRng) -> Micros {
    match random.random_bool(0.05) {
        true => random.random_range(3 * MS..30 * MS),
        false => random.random_range(300..3 * MS),
    }
}
