//! The members among each other, their entries, and the platform that promotes them.

use fulmarlift_broker::event;
use fulmarlift_broker::topology;
use fulmarlift_core::id;
use rand::RngExt;

use crate::simulation::checks;
use crate::simulation::clock::{MS, Micros, S};
use crate::simulation::log;
use crate::simulation::member;
use crate::simulation::net::Node;
use crate::simulation::proxy;
use crate::simulation::world::{self, Happening, Input, PROXIES, World};

/// Time from a promotion order to the promotion.
const PROMOTION: Micros = 300 * MS;
/// Time after which a replaced leader that can reach its successor stops leading.
const STEP_DOWN: Micros = S;
/// Time after which the entry of a member that has ended expires.
pub const EXPIRY: Micros = 3_600 * MS;

impl World {
    /// Returns the entry of a member as it sees itself.
    pub fn entry(&self, index: usize) -> topology::Member {
        topology::Member {
            id: self.current_id(index),
            name: Self::member_name(index),
            group: proxy::GROUP,
            address: ([127, 0, 0, 1], 9000 + index as u16).into(),
            place: proxy::place(proxy::DOMAINS[index % proxy::DOMAINS.len()]),
            slots: self.slots,
            leaving: self.members[index].leaving,
            listed_as_leader: self.members[index].leads,
            cold_remaining_ms: 0,
            revision: self.store.revision(),
        }
    }

    /// Lets a member write its entry.
    pub fn publish(&mut self, index: usize) {
        let hidden_until = self.hidden_until.get(&index).copied().unwrap_or(0);
        let from = self.now.max(hidden_until);
        let at = self
            .net
            .arrival(Node::Member(index), Node::Store, from, &mut self.random);
        let starts = self.members[index].starts;
        self.queue.push(at, Happening::Published(index, starts));
    }

    /// Writes the entry of a member.
    pub fn list(&mut self, index: usize) -> topology::Member {
        self.first_listed.entry(index).or_insert(self.now);
        let entry = self.entry(index);
        self.store.list(entry)
    }

    /// Removes the entry of a member.
    pub fn unlist(&mut self, index: usize) {
        if let Some(revision) = self.store.unlist(&Self::member_name(index)) {
            let name = Self::member_name(index);
            self.tell(&event::Event::Unlisted { name, revision });
        }
    }

    /// Tells the proxies of a change of the directory.
    pub fn tell(&mut self, event: &event::Event) {
        for index in 0..PROXIES {
            if !self.store.refuses(index, self.now) {
                let at = self.now
                    + self.random.random_range(2 * MS..world::FEED_DELAY_MAX)
                    + self.feed_lag[index];
                self.wake(index, at, Input::Event(event.clone()));
            }
        }
    }

    /// Lets a leader that runs send its log to all others, after at least `delay`. One that does not sends nothing, but makes the same
    /// draws.
    pub fn replicate(&mut self, leader: usize, delay: Micros) {
        let is_running = self.members[leader].is_running();
        let (term, log) = (self.members[leader].term, self.members[leader].log.clone());
        for to in 0..self.members.len() {
            let cut = self
                .net
                .cut_until(Node::Member(leader), Node::Member(to), self.now);
            if to == leader || cut.is_some() {
                continue;
            }
            let at = self.now + delay + self.random.random_range(3 * MS..12 * MS);
            if !is_running {
                continue;
            }
            self.queue.push(
                at,
                Happening::Replicate {
                    from: leader,
                    to,
                    term,
                    log: log.clone(),
                },
            );
        }
    }

    pub(super) fn log_arrives(&mut self, from: usize, to: usize, term: id::Term, log: &log::Log) {
        let deaf = self
            .deaf_until
            .get(&to)
            .is_some_and(|until| self.now < *until);
        if deaf {
            return;
        }
        let member = &mut self.members[to];
        if member.is_running() && member.leads && member.term < term && !member.steps_down {
            member.steps_down = true;
            let at = self.now + STEP_DOWN;
            self.queue.push(at, Happening::StepDown(to, member.term));
            return;
        }
        if member.receive(term, log) {
            let position = log.end().position;
            let back = (Node::Member(to), Node::Member(from));
            if self.net.cut_until(back.0, back.1, self.now).is_none() {
                let at = self.net.arrival(back.0, back.1, self.now, &mut self.random);
                self.queue
                    .push(at, Happening::Received(from, term, position));
            }
        }
    }

    pub(super) fn replica_has_received(
        &mut self,
        leader: usize,
        term: id::Term,
        position: id::Position,
    ) {
        let member = &mut self.members[leader];
        if !member.is_running() || !(member.leads || member.finishes) || member.term != term {
            return;
        }
        let (received, waiting) = member
            .waiting
            .drain(..)
            .partition(|waiting| waiting.point.position <= position);
        member.waiting = waiting;
        let reply = member.reply(member::Code::Done);
        let received: Vec<member::Waiting> = received;
        for waiting in received {
            let newest = &self.members[self.newest_leader];
            let is_outdated = newest.term > term && !newest.log.contains(waiting.point);
            if is_outdated {
                self.outcome.cut_back += 1;
                self.note(|| format!("CUT BACK: acknowledged late {:?}", waiting.point));
            }
            self.answered.record(self.now, waiting.point);
            self.receipts.push(checks::Receipt {
                acknowledged_at: self.now,
                point: waiting.point,
                leader,
                is_replaced: self.newest_term > term,
            });
            self.answer(waiting.exchange, proxy::Ended::Answered(reply));
        }
    }

    pub(super) fn step_down(&mut self, index: usize, term: id::Term) {
        let member = &mut self.members[index];
        if member.leads && member.term == term && member.steps_down {
            member.stop_leading();
            self.note(|| format!("member-{} steps down from term {term}", index + 1));
            self.publish(index);
        }
    }

    pub(super) fn order_arrives(&mut self, index: usize, starts: u32, target: usize, token: u64) {
        let repeated = self.now < self.orders_repeated_until;
        let late = !repeated && self.now < self.orders_lost_until && self.random.random_bool(0.6);
        let running = self.members[target].is_running() && !self.is_outdated(token);
        let outcome = match (late || repeated, running) {
            (true, _) => event::OrderOutcome::Unknown,
            (false, true) => event::OrderOutcome::Accepted,
            (false, false) => event::OrderOutcome::Refused,
        };
        let (mut delay, mut answer) = (0, 0);
        if late || repeated {
            answer = S;
        }
        if late {
            delay = match self.random.random_range(0..3) {
                0 => 0,
                _ => self.random.random_range(200 * MS..8 * S),
            };
        }
        let executed = !late || self.random.random_bool(0.8);
        self.note(|| {
            format!(
                "platform: order for member-{} by proxy-{index}: {outcome:?}{}",
                target + 1,
                match (late, executed) {
                    (true, true) => format!(", executed {} ms later", delay / MS),
                    (true, false) => ", never executed".to_owned(),
                    _ if repeated => ", executed twice".to_owned(),
                    _ => String::new(),
                }
            )
        });
        if running && executed {
            match late {
                true => {
                    let at = self.now + delay;
                    self.queue.push(at, Happening::LateOrder(target, token));
                }
                false => self.execute_order(target, token),
            }
        }
        if running && repeated {
            let at = self.now + self.random.random_range(200 * MS..4 * S);
            self.queue.push(at, Happening::LateOrder(target, token));
        }
        let at = self.now + answer + self.random.random_range(MS..6 * MS);
        let event = event::Event::PromotionOrdered {
            group: proxy::GROUP,
            outcome,
        };
        self.queue.push(
            at,
            Happening::Proxy(index, Some(starts), Input::Event(event)),
        );
    }

    /// Returns whether an order with a higher token has been seen, where promotions are fenced.
    fn is_outdated(&self, token: u64) -> bool {
        self.plan.fenced && token < self.newest_token
    }

    fn execute_order(&mut self, target: usize, token: u64) {
        self.newest_token = self.newest_token.max(token);
        let at = self.now + PROMOTION;
        self.queue.push(at, Happening::Promote(target));
    }

    pub(super) fn execute_late_order(&mut self, target: usize, token: u64) {
        if !self.is_outdated(token) {
            self.execute_order(target, token);
        }
    }

    pub(super) fn promote(&mut self, index: usize) {
        let leads = self.members[index].leads && self.members[index].term == self.newest_term;
        if leads || !self.members[index].is_running() {
            return;
        }
        self.newest_term += 1;
        self.newest_leader = index;
        self.outcome.promotions += 1;
        let term = self.newest_term;
        let fenced = self.plan.fenced;
        for member in &mut self.members {
            // Holds at a later term than that of the new leader outlast its promotion.
            if !fenced || member.held_term <= term {
                member.held_term = 0;
            }
            if fenced && member.leads || member.finishes {
                member.stop_leading();
            }
        }
        let member = &mut self.members[index];
        member.stop_leading();
        member.leads = true;
        member.term = term;
        let end = member.log.end();
        let (starts_at, now, end_at) = (&self.starts_at, self.now, self.plan.end);
        let returning = |member: usize| {
            let at = starts_at.get(&member);
            at.is_some_and(|at| now < *at && *at < end_at)
        };
        let (behind, last) = checks::compare_promoted(
            &mut self.receipts,
            &self.members,
            &self.first_listed,
            returning,
            index,
        );
        self.outcome.behind_replica.add(behind);
        if let Some(last) = last {
            self.note(|| format!("BEHIND A REPLICA: {behind:?}, last {last:?}"));
        }
        let newest = self.answered.furthest(self.now).next();
        if let Some(point) = newest.filter(|point| !self.members[index].log.contains(*point)) {
            let end = self.members[index].log.end();
            let count = match point.term == end.term {
                true => point.position - end.position,
                false => 1,
            };
            self.outcome.cut_back += count;
            self.note(|| format!("CUT BACK: {count} up to {point:?}"));
        }
        let lacking = self
            .acknowledged
            .furthest(self.now)
            .filter(|point| !self.members[index].log.contains(*point));
        // Commits of terms before the last may have been lost earlier.
        self.outcome.lost += lacking.take(1).count() as u64;
        self.note(|| format!("member-{} leads term {term} with {end:?}", index + 1));
        let delay = self.random.random_range(15 * MS..30 * MS);
        self.replicate(index, delay);
        self.queue
            .push(self.now + 60 * MS, Happening::Heartbeat(index, term));
        self.publish(index);
    }

    /// Ends the process of a member.
    pub fn end_member(&mut self, index: usize, process: member::Process) {
        let member = &mut self.members[index];
        if !member.is_running() {
            return;
        }
        member.process = process;
        let waiting = std::mem::take(&mut member.waiting);
        let starts = member.starts;
        self.note(|| format!("member-{} {process:?}", index + 1));
        if process == member::Process::Ended {
            for waiting in waiting {
                self.answer(waiting.exchange, proxy::Ended::Broken);
            }
            self.close_connections(index);
        }
        self.queue
            .push(self.now + EXPIRY, Happening::Expires(index, starts));
    }

    /// Starts a member again with its log. It leads if it led the newest term, and has forgotten its hold.
    pub fn start_member(&mut self, index: usize) {
        let newest_term = self.newest_term;
        let member = &mut self.members[index];
        if member.is_running() {
            return;
        }
        member.process = member::Process::Running;
        member.starts += 1;
        member.held_term = 0;
        member.steps_down = false;
        member.leads &= member.term == newest_term;
        let (term, leads) = (member.term, member.leads);
        self.note(|| format!("member-{} starts again, leads: {leads}", index + 1));
        if leads {
            self.queue.push(self.now, Happening::Heartbeat(index, term));
        }
        self.record_id(index);
        self.close_connections(index);
        self.publish(index);
    }

    fn close_connections(&mut self, member: usize) {
        for index in 0..PROXIES {
            let conns = self.proxies[index].conns.iter();
            let lost: Vec<id::ConnId> = conns
                .filter(|(_, conn)| conn.member == member && !conn.busy)
                .map(|(conn, _)| *conn)
                .collect();
            for conn in lost {
                let at = self.net.arrival(
                    Node::Member(member),
                    Node::Proxy(index),
                    self.now,
                    &mut self.random,
                );
                self.wake(index, at, Input::ConnLost(conn));
            }
        }
    }
}
