//! Connections of a member that this proxy may use: its own share, less those lent, plus those borrowed.

use std::time::{Duration, Instant};

use crate::id;
use crate::peer;
use crate::sorted;

/// Maximum duration of a loan that one message grants.
const LOAN_DURATION_MAX: Duration = Duration::from_secs(60);
/// Time after a loan's end before its lender uses the connections again. It covers the transit time of the message
/// that granted the loan, since the borrower counts the duration from the message's arrival.
const RETURN_MARGIN: Duration = Duration::from_millis(500);

/// This proxy's share of a member's connections, and its loans.
///
/// A lender starts to deduct a loan before the borrower learns of it, and stops after the borrower has returned it. So
/// the limits of all proxies never add up to more than their shares.
#[derive(Clone, Debug, Default)]
pub struct Lending {
    share: u32,
    lent: sorted::Map<id::ProxyId, TimedLoan>,
    borrowed: sorted::Map<id::ProxyId, TimedLoan>,
}

/// A loan by the proxy's own clock; [`peer::Loan`] is its form in messages.
#[derive(Clone, Copy, Debug)]
struct TimedLoan {
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

    /// Removes loans that are over.
    pub fn expire(&mut self, now: Instant) {
        self.lent.retain(|_, loan| now < loan.until + RETURN_MARGIN);
        self.borrowed.retain(|_, loan| now < loan.until);
    }

    /// Returns the connections of the share that are not lent.
    pub fn unlent(&self) -> u32 {
        self.share.saturating_sub(connection_count(&self.lent))
    }

    /// Returns how many connections this proxy may have open.
    pub fn limit(&self) -> u32 {
        self.unlent() + connection_count(&self.borrowed)
    }

    /// Lends `more` connections to a proxy, in addition to those lent to it before, and extends the whole loan.
    pub fn lend(&mut self, until: Instant, to: id::ProxyId, more: u32) {
        let known = self.lent.get(to).map_or(0, |loan| loan.connections);
        let loan = TimedLoan {
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

    /// Sets what this proxy borrows from `from` to the loan that the newest message of `from` reports; `None` ends
    /// the loan.
    pub fn borrow(&mut self, now: Instant, from: id::ProxyId, loan: Option<&peer::Loan>) {
        self.borrowed.remove(from);
        if let Some(loan) = loan {
            let remaining = Duration::from_millis(loan.remaining_ms.into()).min(LOAN_DURATION_MAX);
            let loan = TimedLoan {
                connections: loan.connections,
                until: now + remaining,
            };
            self.borrowed.insert(from, loan);
        }
    }

    /// Returns the loans to other proxies that go into this proxy's heartbeats.
    pub fn report(&self, now: Instant) -> Vec<peer::Loan> {
        let current = self.lent.iter().filter(|(_, loan)| now < loan.until);
        let loan = |(to, loan): (id::ProxyId, &TimedLoan)| {
            let remaining = loan.until.saturating_duration_since(now);
            peer::Loan {
                to,
                connections: loan.connections,
                remaining_ms: u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX),
            }
        };
        current.map(loan).collect()
    }
}

fn connection_count(loans: &sorted::Map<id::ProxyId, TimedLoan>) -> u32 {
    loans.values().map(|loan| loan.connections).sum()
}
