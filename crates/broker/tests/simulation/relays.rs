//! Commands of a failover that other proxies pass on to members that the sender does not reach, and the members that they know.

use fulmarlift_broker::effect;
use fulmarlift_broker::event;
use fulmarlift_core::id;
use rand::RngExt;

use crate::simulation::clock::{MS, Micros};
use crate::simulation::effects;
use crate::simulation::member;
use crate::simulation::net::Node;
use crate::simulation::proxy::{self, Ended, Exchange, Purpose};
use crate::simulation::world::{Happening, Input, PROXIES, World};

/// Time after which other proxies are asked if the connection is not open.
const OPEN_PATIENCE: Micros = 100 * MS;
/// Time after which other proxies are asked if an open connection brings no answer.
const ANSWER_PATIENCE: Micros = 300 * MS;
/// Timeout of the answer through another proxy.
const RELAYED_ANSWER_TIMEOUT: Micros = 300 * MS;
/// Most proxies that are asked.
const RELAYS_MAX: usize = 3;

/// A command of a failover that is on its way.
pub struct Errand {
    proxy: usize,
    member: id::MemberId,
    command: effect::MemberCommand,
    asked_at: Micros,
    until: Micros,
    /// Number of ways on which it may still be answered.
    open: u32,
    /// Whether other proxies have been asked.
    is_relayed: bool,
}

impl World {
    pub(super) fn begin_errand(
        &mut self,
        index: usize,
        conn: Option<id::ConnId>,
        member: id::MemberId,
        command: effect::MemberCommand,
    ) {
        self.next_exchange += 1;
        let id = self.next_exchange;
        let errand = Errand {
            proxy: index,
            member,
            command,
            asked_at: self.now,
            until: self.now + effects::COMMAND_TIMEOUT,
            open: 1,
            is_relayed: false,
        };
        self.errands.insert(id, errand);
        let patience = match conn {
            Some(_) => ANSWER_PATIENCE,
            None => OPEN_PATIENCE,
        };
        self.wake(index, self.now + patience, Input::AskRelays(id));
        match conn {
            Some(_) => self.send_errand(index, conn, id, command),
            None => {
                let purpose = Purpose::Errand(id, command, false);
                let connect = member::Command::Connect;
                let timeout = effects::COMMAND_TIMEOUT;
                self.send(index, None, member, connect, purpose, timeout);
            }
        }
    }

    /// Sends the command of an errand on the direct way.
    pub(super) fn send_errand(
        &mut self,
        index: usize,
        conn: Option<id::ConnId>,
        id: u64,
        command: effect::MemberCommand,
    ) {
        let Some(errand) = self.errands.get(&id) else {
            return;
        };
        let (member, timeout) = (errand.member, errand.until.saturating_sub(self.now));
        let purpose = Purpose::Errand(id, command, true);
        self.send(index, conn, member, sent(command), purpose, timeout);
    }

    /// Lets other proxies pass on a command that has not been answered.
    pub(super) fn ask_relays(&mut self, id: u64) {
        let Some(errand) = self.errands.get_mut(&id) else {
            return;
        };
        if errand.is_relayed {
            return;
        }
        errand.is_relayed = true;
        if self.now >= errand.until {
            return self.give_up_errand(id);
        }
        let (index, member_id) = (errand.proxy, errand.member);
        let (command, until) = (errand.command, errand.until);
        let member = self.member_index(member_id);
        let others = (1..PROXIES).map(|other| (index + other) % PROXIES);
        let helpers: Vec<usize> = others
            .filter(|helper| self.now >= self.proxies[*helper].frozen_until)
            .take(RELAYS_MAX)
            .collect();
        for helper in helpers {
            let member_starts = self.members[member].starts;
            let mut conns = self.proxies[helper].conns.values();
            let is_connected = conns.any(|conn| {
                conn.member == member && conn.member_starts == member_starts && !conn.busy
            });
            if !is_connected && self.is_full(member) {
                continue;
            }
            self.next_exchange += 1;
            let exchange = self.next_exchange;
            self.exchanges.insert(
                exchange,
                Exchange {
                    proxy: index,
                    proxy_starts: self.proxies[index].starts,
                    conn: None,
                    member_id,
                    member,
                    member_starts,
                    command: sent(command),
                    purpose: Purpose::Errand(id, command, true),
                    sent_at: self.now,
                    via: Some(helper),
                },
            );
            let path = (Node::Proxy(helper), Node::Member(member));
            let mut at = self.net.arrival(
                Node::Proxy(index),
                Node::Proxy(helper),
                self.now,
                &mut self.random,
            );
            if !is_connected {
                at += self.random.random_range(MS..6 * MS);
            }
            let at = self.net.arrival(path.0, path.1, at, &mut self.random);
            self.queue.push(at, Happening::Arrives(exchange));
            let silent = Input::Ended(exchange, Ended::Silent);
            let silent_at = until.min(self.now + RELAYED_ANSWER_TIMEOUT);
            self.wake(index, silent_at, silent);
            if let Some(errand) = self.errands.get_mut(&id) {
                errand.open += 1;
            }
        }
        self.give_up_errand(id);
    }

    /// Lets other proxies tell what they know, before the directory answers.
    pub(super) fn ask_proxies(&mut self, index: usize) {
        let asked_at = self.instant();
        for other in (1..PROXIES).map(|other| (index + other) % PROXIES) {
            if self.now < self.proxies[other].frozen_until {
                continue;
            }
            let knowledge = self.proxies[other].broker.knowledge(asked_at, proxy::GROUP);
            let event = event::Event::ProxyTold {
                group: proxy::GROUP,
                proxy: id::of(&proxy::vm_name(other)),
                asked_at,
                knowledge,
            };
            self.wake(index, self.now + MS, Input::Event(event));
        }
    }

    /// Returns the time at which an answer that a proxy passes on arrives.
    pub(super) fn passed_on(&mut self, helper: usize, to: usize, at: Micros) -> Micros {
        let sent_at = at.max(self.proxies[helper].frozen_until);
        self.net.arrival(
            Node::Proxy(helper),
            Node::Proxy(to),
            sent_at,
            &mut self.random,
        )
    }

    /// One way of an errand ended: its command was answered, or it will not be on this way.
    pub(super) fn errand_ended(
        &mut self,
        id: u64,
        command: effect::MemberCommand,
        exchange: &Exchange,
        status: Option<event::MemberStatus>,
    ) {
        let Some(errand) = self.errands.get_mut(&id) else {
            return;
        };
        errand.open -= 1;
        let (index, asked_at) = (errand.proxy, errand.asked_at);
        if status.is_none() {
            return match errand.is_relayed {
                true => self.give_up_errand(id),
                false => self.ask_relays(id),
            };
        }
        self.errands.remove(&id);
        self.outcome.relayed += u64::from(exchange.via.is_some());
        self.note(|| {
            let way = exchange
                .via
                .map(|helper| format!(" through proxy-{helper}"));
            format!(
                "proxy-{index}: member-{} answers {command:?}{}: {status:?}",
                exchange.member + 1,
                way.unwrap_or_default()
            )
        });
        self.command_ended(index, exchange.member_id, asked_at, status);
    }

    /// Reports an errand as unanswered if no way is left.
    fn give_up_errand(&mut self, id: u64) {
        let errand = self.errands.get(&id);
        let Some(errand) = errand.filter(|errand| errand.open == 0) else {
            return;
        };
        let (index, member, asked_at) = (errand.proxy, errand.member, errand.asked_at);
        let command = errand.command;
        self.errands.remove(&id);
        self.note(|| format!("proxy-{index}: no answer to {command:?}"));
        self.command_ended(index, member, asked_at, None);
    }
}

/// Returns what a member receives for a command.
fn sent(command: effect::MemberCommand) -> member::Command {
    match command {
        effect::MemberCommand::Status => member::Command::Status,
        effect::MemberCommand::Hold(term) => member::Command::Hold(term),
        effect::MemberCommand::Release { .. } => member::Command::Release,
        effect::MemberCommand::Demote(term) => member::Command::Demote(term),
    }
}
