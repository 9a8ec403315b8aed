//! This proxy's part of a member's connections: a share of its own, lent and borrowed.

use std::time::{Duration, Instant};

use crate::id;
use crate::peer;
use crate::sorted;

/// Longest time for which connections are borrowed by one message.
const LOAN_MAX: Duration = Duration::from_secs(60);
/// Time after a loan's end before its lender uses the connections again. It covers the way of the
/// message that granted the loan, whose reader counts the time from its arrival.
const RETURN_MARGIN: Duration = Duration::from_millis(500);

/// A share and its loans.
///
/// A lender counts a loan as gone from before the borrower hears of it until after the borrower has
/// forgotten it, so the limits of all proxies never sum up to more than the shares do.
#[derive(Clone, Debug, Default)]
pub struct Lending {
    share: u32,
    lent: sorted::Map<id::ProxyId, Loan>,
    borrowed: sorted::Map<id::ProxyId, Loan>,
}

#[derive(Clone, Copy, Debug)]
struct Loan {
    connections: u32,
    until: Instant,
}

impl Lending {
    /// Creates a share without loans.
    pub fn new(share: u32) -> Self {
        Self {
            share,
            ..Self::default()
        }
    }

    /// Returns this proxy's own share.
    pub fn share(&self) -> u32 {
        self.share
    }

    /// Sets this proxy's own share.
    pub fn set_share(&mut self, share: u32) {
        self.share = share;
    }

    /// Forgets loans that are over.
    pub fn expire(&mut self, now: Instant) {
        self.lent.retain(|_, loan| now < loan.until + RETURN_MARGIN);
        self.borrowed.retain(|_, loan| now < loan.until);
    }

    /// Returns the connections of the share that are not lent.
    pub fn kept(&self) -> u32 {
        self.share.saturating_sub(sum(&self.lent))
    }

    /// Returns how many connections this proxy may hold.
    pub fn limit(&self) -> u32 {
        self.kept() + sum(&self.borrowed)
    }

    /// Lends connections to a proxy, in addition to those lent to it before, or lends them longer.
    pub fn lend(&mut self, until: Instant, to: id::ProxyId, more: u32) {
        let known = self.lent.get(to).map_or(0, |loan| loan.connections);
        let loan = Loan {
            connections: known + more,
            until,
        };
        if loan.connections > 0 {
            self.lent.insert(to, loan);
        }
    }

    /// Returns whether connections are lent to a proxy.
    pub fn lends_to(&self, proxy: id::ProxyId) -> bool {
        self.lent.contains(proxy)
    }

    /// Takes in what a proxy lends to this one by its newest word.
    pub fn borrow(&mut self, now: Instant, from: id::ProxyId, loan: Option<&peer::Loan>) {
        self.borrowed.remove(from);
        if let Some(loan) = loan {
            let left = Duration::from_millis(loan.left_ms.into()).min(LOAN_MAX);
            let loan = Loan {
                connections: loan.connections,
                until: now + left,
            };
            self.borrowed.insert(from, loan);
        }
    }

    /// Returns the loans that are to be reported.
    pub fn report(&self, now: Instant) -> Vec<peer::Loan> {
        let current = self.lent.iter().filter(|(_, loan)| now < loan.until);
        let loan = |(to, loan): (id::ProxyId, &Loan)| {
            let left = loan.until.saturating_duration_since(now);
            peer::Loan {
                to,
                connections: loan.connections,
                left_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
            }
        };
        current.map(loan).collect()
    }
}

fn sum(loans: &sorted::Map<id::ProxyId, Loan>) -> u32 {
    loans.values().map(|loan| loan.connections).sum()
}
