//! Divides members' connections among the proxies, and lends unused ones to peers.

use std::time::Instant;

use crate::effect;
use crate::id;
use crate::peer;
use crate::pool;
use crate::route;
use crate::state::State;

/// A peer whose requests wait for connections to a member.
struct Borrower {
    proxy: id::ProxyId,
    waiting: u32,
}

impl<P: route::Policy> State<P> {
    /// Sets this proxy's share of each member's connections.
    pub(super) fn update_shares(&mut self, now: Instant) {
        let own_id = self.identity.proxy;
        let unheard_count = self.peers.unheard_count(now, &self.identity.address);
        for (id, config) in self.topology.groups.iter() {
            let Some(group) = self.groups.get_mut(id) else {
                continue;
            };
            for (member, member_config) in config.members.iter() {
                let share = self.peers.share(
                    now,
                    own_id,
                    unheard_count,
                    member,
                    member_config.connections,
                );
                if let Some(pool) = group.pools.get_mut(member) {
                    pool.lending.set_share(share);
                    pool.lending.expire(now);
                    pool.limit = pool.lending.limit();
                }
            }
        }
    }

    /// Applies the loans to this proxy that a peer reports.
    pub(super) fn apply_loans(&mut self, now: Instant, from: id::ProxyId) {
        let own_id = self.identity.proxy;
        let Some(peer) = self.peers.peers.get(from) else {
            return;
        };
        for (member, pool) in self.groups.iter_mut().flat_map(|(_, g)| g.pools.iter_mut()) {
            let report = peer.message.connection_report(member);
            let loans = report.map(|report| report.loans.as_slice());
            let loan = loans
                .unwrap_or_default()
                .iter()
                .find(|loan| loan.to == own_id);
            pool.lending.borrow(now, from, loan);
            pool.limit = pool.lending.limit();
        }
    }

    /// Lends unused connections to the peers whose requests wait for one.
    pub(super) fn lend_to_peers(&mut self, now: Instant, effects: &mut Vec<effect::Effect>) {
        let until = self.peers.loan_until(now);
        for (member, pool) in self.groups.iter_mut().flat_map(|(_, g)| g.pools.iter_mut()) {
            renew_loans(now, &self.peers, member, pool);
            let borrowers = find_borrowers(now, &self.peers, member);
            if borrowers.is_empty() || self.draining {
                continue;
            }
            for conn in pool.remove_idle_for_lending() {
                self.conn_members.remove(conn);
                effects.push(effect::Effect::Close(conn));
            }
            lend_spare(until, borrowers, pool);
            pool.limit = pool.lending.limit();
        }
    }
}

/// Extends the loans to peers that still use the connections.
fn renew_loans(now: Instant, peers: &peer::Table, member: id::MemberId, pool: &mut pool::Pool) {
    let until = peers.loan_until(now);
    for (proxy, peer) in peers.alive(now) {
        let report = peer.message.connection_report(member);
        // The shares of two proxies differ by at most one, so a peer with more open connections uses borrowed ones.
        let still_used = |report: &peer::ConnectionReport| {
            report.waiting > 0 || report.open > pool.lending.share() + 1
        };
        if pool.lending.lends_to(proxy) && report.is_some_and(still_used) {
            pool.lending.lend(until, proxy, 0);
        }
    }
}

fn find_borrowers(now: Instant, peers: &peer::Table, member: id::MemberId) -> Vec<Borrower> {
    let waiting = peers.alive(now).filter_map(|(proxy, peer)| {
        let waiting = peer.message.connection_report(member)?.waiting;
        (waiting > 0).then_some(Borrower { proxy, waiting })
    });
    waiting.collect()
}

/// Lends one connection to each borrower in turn until none is spare, starting with the borrower that has the
/// most waiting requests.
fn lend_spare(until: Instant, mut borrowers: Vec<Borrower>, pool: &mut pool::Pool) {
    borrowers.sort_by_key(|borrower| std::cmp::Reverse(borrower.waiting));
    let mut spare = pool.spare();
    while spare > 0 && borrowers.iter().any(|borrower| borrower.waiting > 0) {
        for borrower in borrowers.iter_mut().filter(|b| b.waiting > 0) {
            if spare == 0 {
                return;
            }
            pool.lending.lend(until, borrower.proxy, 1);
            borrower.waiting -= 1;
            spare -= 1;
        }
    }
}
