//! Nodes, latencies between them, and network partitions.

use std::time::Duration;

/// A simulated process, or the platform.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Node {
    Proxy(usize),
    Member(usize),
    Platform,
}

/// One-way latencies, and losses of single messages.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    pub same_domain: Duration,
    pub same_region: Duration,
    pub other_region: Duration,
    /// Share of messages that are lost, from 0 to 1; a connection retransmits them.
    pub loss: f64,
    /// Additional delay of a lost message on a connection.
    pub retransmission: Duration,
}

/// Latencies of the two regions of Ábyrgðarpóstur, without losses.
pub const REYKJAVIK: Link = Link {
    same_domain: Duration::from_micros(200),
    same_region: Duration::from_millis(1),
    other_region: Duration::from_millis(8),
    loss: 0.0,
    retransmission: Duration::from_millis(200),
};

impl Link {
    /// Returns the one-way latency between two domains, whose names begin with that of their region.
    pub fn latency(&self, one: &str, other: &str) -> Duration {
        if one == other {
            self.same_domain
        } else if region(one) == region(other) {
            self.same_region
        } else {
            self.other_region
        }
    }
}

/// Returns the region of a domain: the part of its name before the first hyphen.
pub fn region(domain: &str) -> &str {
    domain.split('-').next().unwrap_or(domain)
}

/// Network partitions: pairs of names between which no message passes. A name stands for a process, a domain
/// or a region.
#[derive(Clone, Debug, Default)]
pub struct Cuts {
    pairs: Vec<(Box<str>, Box<str>)>,
}

impl Cuts {
    /// Cuts the nodes of one name off from those of another.
    pub fn add(&mut self, one: &str, other: &str) {
        self.pairs.push((one.into(), other.into()));
    }

    /// Removes all cuts.
    pub fn clear(&mut self) {
        self.pairs.clear();
    }

    /// Returns whether a cut separates a process with the names `one` from a process with the names `other`.
    pub fn separates(&self, one: &[&str], other: &[&str]) -> bool {
        self.pairs.iter().any(|(a, b)| {
            let (a, b) = (a.as_ref(), b.as_ref());
            one.contains(&a) && other.contains(&b) || one.contains(&b) && other.contains(&a)
        })
    }
}
