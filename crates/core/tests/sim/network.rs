//! Places, latencies and cuts.

use std::time::Duration;

/// A process or the platform.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Node {
    Proxy(usize),
    Member(usize),
    Platform,
}

/// Latencies one way, and faults of single messages.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    pub same_domain: Duration,
    pub same_region: Duration,
    pub other_region: Duration,
    /// Share of messages lost; on a connection they arrive after a retransmission.
    pub loss: f64,
    pub retransmission: Duration,
}

/// Ábyrgðarpóstur's link.
pub const REYKJAVIK: Link = Link {
    same_domain: Duration::from_micros(200),
    same_region: Duration::from_millis(1),
    other_region: Duration::from_millis(8),
    loss: 0.0,
    retransmission: Duration::from_millis(200),
};

impl Link {
    /// Returns the latency one way between two domains, whose names begin with their region's.
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

/// Returns the region of a domain.
pub fn region(domain: &str) -> &str {
    domain.split('-').next().unwrap_or(domain)
}

/// Pairs of names between which nothing passes; a name is a process's, a domain's or a region's.
#[derive(Clone, Debug, Default)]
pub struct Cuts {
    pairs: Vec<(Box<str>, Box<str>)>,
}

impl Cuts {
    /// Cuts one name from another.
    pub fn add(&mut self, one: &str, other: &str) {
        self.pairs.push((one.into(), other.into()));
    }

    /// Mends all cuts.
    pub fn clear(&mut self) {
        self.pairs.clear();
    }

    /// Returns whether nothing passes between processes that have these names.
    pub fn parts(&self, one: &[&str], other: &[&str]) -> bool {
        self.pairs.iter().any(|(a, b)| {
            let (a, b) = (a.as_ref(), b.as_ref());
            one.contains(&a) && other.contains(&b) || one.contains(&b) && other.contains(&a)
        })
    }
}
