//! Dividing members' connections among the proxies, and lending them.

use std::time::Instant;

use crate::effect;
use crate::id;
use crate::peer;
use crate::pool;
use crate::route;
use crate::state::State;

/// A peer that waits for connections to a member.
struct Borrower {
    proxy: id::ProxyId,
    wants: u32,
}

impl<P: route::Policy> State<P> {
    /// Divides each member's connections among the proxies that may hold some.
    pub(super) fn share(&mut self, now: Instant) {
        let own = self.identity.proxy;
        let unheard = self.peers.unheard(now, &self.identity.address);
        for (id, config) in self.topology.groups.iter() {
            let Some(group) = self.groups.get_mut(id) else {
                continue;
            };
            for (member, settings) in config.members.iter() {
                let share = self
                    .peers
                    .share(now, own, unheard, member, settings.connections);
                if let Some(pool) = group.pools.get_mut(member) {
                    pool.lending.set_share(share);
                    pool.lending.expire(now);
                    pool.limit = pool.lending.limit();
                }
            }
        }
    }

    /// Takes in what a peer lends to this proxy.
    pub(super) fn borrow(&mut self, now: Instant, from: id::ProxyId) {
        let own = self.identity.proxy;
        let Some(peer) = self.peers.peers.get(from) else {
            return;
        };
        for (member, pool) in self.groups.iter_mut().flat_map(|(_, g)| g.pools.iter_mut()) {
            let report = peer.message.share(member);
            let loans = report.map(|report| report.loans.as_slice());
            let loan = loans.unwrap_or_default().iter().find(|loan| loan.to == own);
            pool.lending.borrow(now, from, loan);
            pool.limit = pool.lending.limit();
        }
    }

    /// Lends connections that peers wait for and that this proxy does not use.
    pub(super) fn lend(&mut self, now: Instant, effects: &mut Vec<effect::Effect>) {
        let until = self.peers.loan_until(now);
        for (member, pool) in self.groups.iter_mut().flat_map(|(_, g)| g.pools.iter_mut()) {
            renew(now, &self.peers, member, pool);
            let borrowers = borrowers(now, &self.peers, member);
            if borrowers.is_empty() || self.draining {
                continue;
            }
            for conn in pool.trim() {
                self.conns.remove(conn);
                effects.push(effect::Effect::Close(conn));
            }
            lend_spare(until, borrowers, pool);
            pool.limit = pool.lending.limit();
        }
    }
}

/// Lends longer what a borrower still uses.
fn renew(now: Instant, peers: &peer::Table, member: id::MemberId, pool: &mut pool::Pool) {
    let until = peers.loan_until(now);
    for (proxy, peer) in peers.alive(now) {
        let report = peer.message.share(member);
        let uses = |report: &peer::ShareReport| {
            report.waiting > 0 || report.open > pool.lending.share() + 1
        };
        if pool.lending.lends_to(proxy) && report.is_some_and(uses) {
            pool.lending.lend(until, proxy, 0);
        }
    }
}

fn borrowers(now: Instant, peers: &peer::Table, member: id::MemberId) -> Vec<Borrower> {
    let waiting = peers.alive(now).filter_map(|(proxy, peer)| {
        let wants = peer.message.share(member)?.waiting;
        (wants > 0).then_some(Borrower { proxy, wants })
    });
    waiting.collect()
}

/// Gives one connection to each borrower in turn while there are any to spare.
fn lend_spare(until: Instant, mut borrowers: Vec<Borrower>, pool: &mut pool::Pool) {
    borrowers.sort_by_key(|borrower| std::cmp::Reverse(borrower.wants));
    let mut spare = pool.spare();
    while spare > 0 && borrowers.iter().any(|borrower| borrower.wants > 0) {
        for borrower in borrowers.iter_mut().filter(|b| b.wants > 0) {
            if spare == 0 {
                return;
            }
            pool.lending.lend(until, borrower.proxy, 1);
            borrower.wants -= 1;
            spare -= 1;
        }
    }
}
