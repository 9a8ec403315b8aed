//! Carries out a broker's effects, as the shell of the product does.

use std::time::Instant;

use fulmarlift_broker::effect;
use fulmarlift_broker::event;
use fulmarlift_broker::topology;
use fulmarlift_core::id;
use rand::RngExt;

use crate::simulation::clock::{MS, Micros, S};
use crate::simulation::member;
use crate::simulation::net::Node;
use crate::simulation::proxy::{self, Ended, Exchange, Purpose};
use crate::simulation::world::{self, Happening, Input, World};

/// Timeout to open a connection.
const CONNECT_TIMEOUT: Micros = 900 * MS;
/// Timeout of a probe.
const PROBE_TIMEOUT: Micros = 700 * MS;
/// Timeout of a command to a member.
pub const COMMAND_TIMEOUT: Micros = 800 * MS;
/// Time after which a call to the store or the platform counts as unanswered.
const CALL_TIMEOUT: Micros = S;

impl World {
    /// Takes an effect. What needs the network is done by a task shortly after, or later if the proxy is frozen then.
    pub(super) fn carry_out(&mut self, index: usize, effect: effect::Effect) {
        match effect {
            effect::Effect::Grant(grant) => self.granted(index, grant),
            effect::Effect::Refuse(refusal) => {
                self.proxies[index].jobs.remove(&refusal.request);
            }
            effect::Effect::Close(conn) => {
                self.proxies[index].conns.remove(&conn);
            }
            effect::Effect::RecordChange(change) => self.record_change(index, &change),
            effect::Effect::AskProxies(_) => {
                if self.plan.relays {
                    self.ask_proxies(index);
                }
            }
            effect => {
                if let effect::Effect::Probe { conn, .. }
                | effect::Effect::AskStatus { conn, .. }
                | effect::Effect::SendCommand {
                    conn: Some(conn), ..
                } = &effect
                    && let Some(conn) = self.proxies[index].conns.get_mut(conn)
                {
                    conn.busy = true;
                }
                let at = self.now + self.random.random_range(0..MS);
                self.wake(index, at, Input::Act(effect, self.now));
            }
        }
    }

    fn record_change(&mut self, index: usize, change: &effect::StateChange) {
        if self.is_traced() {
            let mut text = format!("{change:?}");
            for (index, member) in self.members.iter().enumerate() {
                for starts in 1..=member.starts {
                    let id = self.member_id(index, starts).to_string();
                    text = text.replace(&id, &format!("member-{}@{starts}", index + 1));
                }
            }
            self.note(|| format!("proxy-{index}: {text}"));
        }
        if let effect::StateChange::Failover { step, .. } = change {
            self.freeze_claimant(index, step);
        }
    }

    pub(super) fn act(&mut self, index: usize, effect: effect::Effect, given_at: Micros) {
        match effect {
            effect::Effect::Open { conn, member } => {
                let command = member::Command::Connect;
                let timeout = CONNECT_TIMEOUT;
                self.send(index, Some(conn), member, command, Purpose::Open, timeout);
            }
            effect::Effect::Probe { conn, member } => {
                let (command, timeout) = (member::Command::Begin, PROBE_TIMEOUT);
                let purpose = Purpose::Probe(None);
                self.send(index, Some(conn), member, command, purpose, timeout);
            }
            effect::Effect::AskStatus {
                conn,
                member,
                purpose,
                ..
            } => {
                let (command, timeout) = (member::Command::Status, COMMAND_TIMEOUT);
                let purpose = Purpose::Status(given_at, purpose);
                self.send(index, Some(conn), member, command, purpose, timeout);
            }
            effect::Effect::SendCommand {
                member,
                command,
                conn,
                ..
            } if self.plan.relays && !matches!(command, effect::MemberCommand::Release { .. }) => {
                self.begin_errand(index, conn, member, command);
            }
            effect::Effect::SendCommand {
                member,
                command,
                conn,
                ..
            } => match conn {
                Some(_) => self.send_command(index, conn, member, command),
                None => {
                    let purpose = Purpose::Command(command, false);
                    let connect = member::Command::Connect;
                    self.send(index, None, member, connect, purpose, CONNECT_TIMEOUT);
                }
            },
            effect::Effect::LoadClaim(_) => {
                let at = self.call_arrival(index);
                let (starts, asked_at) = (self.proxies[index].starts, self.instant());
                self.queue
                    .push(at, Happening::Load(index, starts, asked_at));
            }
            effect::Effect::ReadDirectory(_) => {
                if self.plan.relays {
                    self.ask_proxies(index);
                }
                let at = self.call_arrival(index);
                let (starts, asked_at) = (self.proxies[index].starts, self.instant());
                self.queue
                    .push(at, Happening::ReadDirectory(index, starts, asked_at));
            }
            effect @ effect::Effect::StoreClaim { .. } => {
                let at = self.call_arrival(index);
                let starts = self.proxies[index].starts;
                let answered = true;
                self.queue
                    .push(at, Happening::Store(index, starts, effect, answered));
            }
            effect::Effect::OrderPromotion {
                member,
                until,
                token,
                ..
            } => {
                let outdated = until.is_some_and(|until| self.instant() >= until);
                if outdated {
                    let event = event::Event::PromotionOrdered {
                        group: proxy::GROUP,
                        outcome: event::OrderOutcome::Deferred,
                    };
                    return self.step(index, event);
                }
                let at = self.now + self.random.random_range(MS..8 * MS);
                let (starts, member) = (self.proxies[index].starts, self.member_index(member));
                self.queue
                    .push(at, Happening::Ordered(index, starts, member, token));
            }
            _ => {}
        }
    }

    fn call_arrival(&mut self, index: usize) -> Micros {
        let slow = match self.now < self.store.slow_until {
            true => self.random.random_range(0..700 * MS),
            false => 0,
        };
        let path = (Node::Proxy(index), Node::Store);
        slow + self.net.arrival(path.0, path.1, self.now, &mut self.random)
            + self.random.random_range(MS..4 * MS)
    }

    /// Answers a call to the store, or lets it run into its timeout.
    fn answer_call(&mut self, index: usize, starts: u32, event: event::Event, answered: bool) {
        let delay = match answered {
            true => self.random.random_range(MS..4 * MS),
            false => CALL_TIMEOUT,
        };
        let input = Input::Event(event);
        self.queue.push(
            self.now + delay,
            Happening::Proxy(index, Some(starts), input),
        );
    }

    pub(super) fn load(&mut self, index: usize, starts: u32, asked_at: Instant) {
        let refused = self.store.refuses(index, self.now);
        let lost = self.now < self.store.lossy_until && self.random.random_bool(0.3);
        let stored = (!refused && !lost).then(|| self.store.load(self.now));
        let event = event::Event::ClaimLoaded {
            group: proxy::GROUP,
            asked_at,
            stored,
        };
        let quick = refused && index.is_multiple_of(2);
        self.answer_call(index, starts, event, !lost && (!refused || quick));
    }

    /// Answers a read of the directory for an attempt, or does not.
    pub(super) fn directory_read(&mut self, index: usize, starts: u32, asked_at: Instant) {
        let unanswered = self.store.refuses(index, self.now)
            || self.now < self.store.lossy_until && self.random.random_bool(0.3);
        if unanswered {
            let (group, is_read) = (proxy::GROUP, false);
            let event = event::Event::DirectoryLoaded { group, is_read };
            return self.answer_call(index, starts, event, false);
        }
        let entries = self.store.entries.values().cloned().collect();
        let delay = self.random.random_range(MS..4 * MS);
        let input = Input::Directory(entries, asked_at);
        self.queue.push(
            self.now + delay,
            Happening::Proxy(index, Some(starts), input),
        );
    }

    /// Applies an answered read of the directory.
    pub(super) fn apply_directory(
        &mut self,
        index: usize,
        entries: Vec<topology::Member>,
        asked_at: Instant,
    ) {
        for entry in entries {
            self.step(index, event::Event::Listed(entry));
        }
        let answered_at = Some(asked_at);
        self.step(index, event::Event::DirectoryRead { answered_at });
        let (group, is_read) = (proxy::GROUP, true);
        self.step(index, event::Event::DirectoryLoaded { group, is_read });
    }

    pub(super) fn store_claim(
        &mut self,
        index: usize,
        starts: u32,
        effect: effect::Effect,
        answered: bool,
    ) {
        let effect::Effect::StoreClaim {
            claim, revision, ..
        } = &effect
        else {
            return;
        };
        let mut outcome = event::StoreOutcome::Unknown;
        let mut in_time = answered;
        if !answered {
            // A late write: its caller has been told already that the answer is missing.
            let written = self.store.store(claim, *revision);
            self.note(|| format!("store: late write of {claim:?}: {written:?}"));
            return;
        }
        if self.store.refuses(index, self.now) {
            in_time = index.is_multiple_of(2);
            if in_time {
                // The product takes a call that the store has refused for a write that was not made.
                outcome = event::StoreOutcome::Conflict;
            }
        } else if self.now < self.store.lossy_until && self.random.random_bool(0.5) {
            in_time = false;
            let late = self.random.random_bool(0.5);
            let delay = match late {
                true => self.random.random_range(300 * MS..4 * S),
                false => 0,
            };
            let late = Happening::Store(index, starts, effect.clone(), false);
            self.queue.push(self.now + delay, late);
        } else {
            outcome = self.store.store(claim, *revision);
        }
        self.note(|| format!("store: write by proxy-{index} of {claim:?}: {outcome:?}"));
        let event = event::Event::ClaimStored {
            group: proxy::GROUP,
            outcome,
        };
        self.answer_call(index, starts, event, in_time);
    }

    /// Sends a command of a failover on a connection, or on a new one that is open now.
    fn send_command(
        &mut self,
        index: usize,
        conn: Option<id::ConnId>,
        member: id::MemberId,
        command: effect::MemberCommand,
    ) {
        let sent = match command {
            effect::MemberCommand::Status => member::Command::Status,
            effect::MemberCommand::Hold(term) => member::Command::Hold(term),
            effect::MemberCommand::Release { until } if self.instant() >= until => {
                if let Some(conn) = conn {
                    self.give_back(index, conn, true);
                }
                return self.command_ended(index, member, self.now, None);
            }
            effect::MemberCommand::Release { .. } => member::Command::Release,
            effect::MemberCommand::Demote(term) => member::Command::Demote(term),
        };
        let purpose = Purpose::Command(command, true);
        self.send(index, conn, member, sent, purpose, COMMAND_TIMEOUT);
    }

    /// Tells a broker how a command of a failover ended.
    pub(super) fn command_ended(
        &mut self,
        index: usize,
        member: id::MemberId,
        asked_at: Micros,
        status: Option<event::MemberStatus>,
    ) {
        let event = event::Event::StatusAnswered {
            group: proxy::GROUP,
            member,
            asked_at: self.instant_at(asked_at),
            status,
        };
        self.step(index, event);
    }

    /// Sends a command to a member.
    pub(super) fn send(
        &mut self,
        index: usize,
        conn: Option<id::ConnId>,
        member: id::MemberId,
        command: member::Command,
        purpose: Purpose,
        timeout: Micros,
    ) {
        let member_id = member;
        let member = self.member_index(member);
        let known = conn.and_then(|conn| self.proxies[index].conns.get(&conn));
        let member_starts = match known {
            Some(known) => known.member_starts,
            None => self.members[member].starts,
        };
        self.next_exchange += 1;
        let exchange = self.next_exchange;
        self.exchanges.insert(
            exchange,
            Exchange {
                proxy: index,
                proxy_starts: self.proxies[index].starts,
                conn,
                member_id,
                member,
                member_starts,
                command,
                purpose,
                sent_at: self.now,
                via: None,
            },
        );
        let path = (Node::Proxy(index), Node::Member(member));
        let mut at = self.net.arrival(path.0, path.1, self.now, &mut self.random);
        let is_release = matches!(command, member::Command::Release);
        if is_release && self.plan.late_commands && self.random.random_bool(0.5) {
            at += self.random.random_range(500 * MS..6 * S);
        }
        self.queue.push(at, Happening::Arrives(exchange));
        let silent = Input::Ended(exchange, Ended::Silent);
        self.wake(index, self.now + timeout, silent);
    }

    /// A command arrives at its member, unless the proxy has closed the connection meanwhile.
    pub(super) fn command_arrives(&mut self, id: u64) {
        if let Some((index, starts, command)) = self.given_up.remove(&id) {
            return self.late_command_arrives(index, starts, command);
        }
        let Some(exchange) = self.exchanges.get_mut(&id) else {
            return;
        };
        let (index, command) = (exchange.member, exchange.command);
        let member = &mut self.members[index];
        let connects = matches!(command, member::Command::Connect);
        if connects {
            exchange.member_starts = member.starts;
        }
        let outlived = exchange.member_starts != member.starts;
        match member.process {
            member::Process::Dark => return,
            member::Process::Ended => return self.answer(id, Ended::Refused),
            member::Process::Running if outlived => return self.answer(id, Ended::Broken),
            member::Process::Running => {}
        }
        if connects && self.is_full(index) {
            return self.answer(id, Ended::Full);
        }
        let member = &mut self.members[index];
        let led = member.leads;
        let commits = matches!(
            command,
            member::Command::Write | member::Command::Commit(_, true)
        );
        if led && commits && self.plan.queued_commits {
            let at = self.now + self.random.random_range(0..150 * MS);
            return self.queue.push(at, Happening::Executes(id));
        }
        let reply = match command {
            member::Command::Demote(term)
                if self.plan.queued_commits && led && member.term < term =>
            {
                member.stop_with_queue();
                Some(member.reply(member::Code::Done))
            }
            command => member.execute(command),
        };
        if led != member.leads {
            self.note(|| format!("member-{} is demoted", index + 1));
            self.publish(index);
        }
        self.conclude(id, index, command, reply);
    }

    /// Returns whether a member refuses new connections.
    pub(super) fn is_full(&self, index: usize) -> bool {
        let until = self.full_until.get(&index);
        until.is_some_and(|until| self.now < *until)
    }

    /// A commit that has waited for a slot is executed.
    pub(super) fn execute_queued(&mut self, id: u64) {
        let Some(exchange) = self.exchanges.get(&id) else {
            return;
        };
        let (index, command, starts) = (exchange.member, exchange.command, exchange.member_starts);
        let member = &mut self.members[index];
        if !member.is_running() || member.starts != starts {
            return;
        }
        let reply = member.execute_queued(command);
        self.conclude(id, index, command, reply);
    }

    /// Answers a command that a member has executed, or lets its commit wait for a replica.
    fn conclude(
        &mut self,
        id: u64,
        index: usize,
        command: member::Command,
        reply: Option<member::Reply>,
    ) {
        match reply {
            Some(reply) => {
                if reply.code == member::Code::Done {
                    self.check_read(id, index, command);
                }
                self.answer(id, Ended::Answered(reply));
            }
            None => {
                let member = &mut self.members[index];
                let point = member.log.end();
                member.waiting.push(member::Waiting {
                    exchange: id,
                    point,
                });
                self.commits.insert(id, point);
                self.replicate(index, 0);
            }
        }
    }

    /// A command arrives that its proxy has given up. Its answer reaches nobody.
    fn late_command_arrives(&mut self, index: usize, starts: u32, command: member::Command) {
        let member = &mut self.members[index];
        if !member.is_running() || member.starts != starts {
            return;
        }
        let led = member.leads;
        member.execute(command);
        if led != member.leads {
            self.publish(index);
        }
        self.note(|| format!("member-{} executes late: {command:?}", index + 1));
    }

    /// Sends the end of an exchange back to its proxy.
    pub(super) fn answer(&mut self, id: u64, ended: Ended) {
        let Some(exchange) = self.exchanges.get(&id).copied() else {
            return;
        };
        let service = match exchange.command {
            member::Command::Read(..)
            | member::Command::ReadWithin(..)
            | member::Command::Status => self.random.random_range(MS..8 * MS),
            _ => self.random.random_range(0..MS),
        };
        let last = exchange.via.unwrap_or(exchange.proxy);
        let path = (Node::Member(exchange.member), Node::Proxy(last));
        let mut at = self.net.arrival(path.0, path.1, self.now, &mut self.random);
        if let Some(helper) = exchange.via {
            at = self.passed_on(helper, exchange.proxy, at);
        }
        let input = Input::Ended(id, ended);
        self.queue.push(
            at + service,
            Happening::Proxy(exchange.proxy, Some(exchange.proxy_starts), input),
        );
    }

    /// Ends an exchange at its proxy, unless that has given it up.
    pub(super) fn exchange_ended(&mut self, index: usize, id: u64, ended: Ended) {
        let Some(exchange) = self.exchanges.remove(&id) else {
            return;
        };
        if self.plan.late_commands && matches!(ended, Ended::Silent) {
            let command = (exchange.member, exchange.member_starts, exchange.command);
            self.given_up.insert(id, command);
        }
        let member = exchange.member_id;
        let status = match ended {
            Ended::Answered(reply) => Some(reply.status),
            _ => None,
        };
        match (exchange.purpose, exchange.conn) {
            (Purpose::Open, Some(conn)) => self.open_ended(index, conn, &exchange, ended),
            (Purpose::Probe(report), Some(conn)) => {
                self.probe_ended(index, conn, &exchange, report, ended);
            }
            (Purpose::Status(asked_at, purpose), Some(conn)) => {
                let (group, asked_at) = (proxy::GROUP, self.instant_at(asked_at));
                let conns = &self.proxies[index].conns;
                let opened_at = conns.get(&conn).map_or(self.now, |conn| conn.opened_at);
                let connected_at = self.instant_at(opened_at);
                let event = match purpose {
                    effect::StatusPurpose::Lease => event::Event::LeaseAnswered {
                        group,
                        member,
                        asked_at,
                        status,
                    },
                    effect::StatusPurpose::Comparison => event::Event::ComparisonAnswered {
                        group,
                        member,
                        asked_at,
                        answer: status
                            .map_or(event::StatusAnswer::Missing, event::StatusAnswer::Status),
                    },
                    effect::StatusPurpose::Receipt => event::Event::ReceiptAnswered {
                        group,
                        member,
                        asked_at,
                        connected_at,
                        status,
                    },
                };
                self.step(index, event);
                self.give_back(index, conn, status.is_some());
            }
            (Purpose::Command(command, false), _) if status.is_some() => {
                self.send_command(index, None, member, command);
            }
            (Purpose::Command(command, _), conn) => {
                if let Some(conn) = conn {
                    self.give_back(index, conn, status.is_some());
                }
                if !matches!(command, effect::MemberCommand::Status) {
                    self.note(|| {
                        format!(
                            "proxy-{index}: member-{} answers {command:?}: {status:?}",
                            exchange.member + 1
                        )
                    });
                }
                self.command_ended(index, member, exchange.sent_at, status);
            }
            (Purpose::Errand(errand, command, false), None) if status.is_some() => {
                self.send_errand(index, None, errand, command);
            }
            (Purpose::Errand(errand, command, _), conn) => {
                if let Some(conn) = conn {
                    self.give_back(index, conn, status.is_some());
                }
                self.errand_ended(errand, command, &exchange, status);
            }
            (Purpose::Job(request), Some(conn)) => {
                let commit = self.commits.remove(&id);
                self.job_ended(index, request, conn, &exchange, ended, commit);
            }
            _ => {}
        }
    }

    fn open_ended(&mut self, index: usize, conn: id::ConnId, exchange: &Exchange, ended: Ended) {
        let failure = match ended {
            Ended::Answered(_) => {
                self.proxies[index].conns.insert(
                    conn,
                    proxy::Conn {
                        member: exchange.member,
                        member_starts: exchange.member_starts,
                        opened_at: self.now,
                        busy: false,
                    },
                );
                return self.step(index, event::Event::Opened(conn));
            }
            Ended::Broken | Ended::Refused => event::OpenFailure::Refused,
            Ended::Full => event::OpenFailure::Full,
            Ended::Silent => event::OpenFailure::Silent,
        };
        self.step(index, event::Event::OpenFailed { conn, failure });
    }

    fn probe_ended(
        &mut self,
        index: usize,
        conn: id::ConnId,
        exchange: &Exchange,
        begun: Option<event::StatementReport>,
        ended: Ended,
    ) {
        let member = exchange.member_id;
        let (report, reusable) = match (begun, ended) {
            (Some(report), Ended::Answered(_)) => (report, true),
            (Some(report), _) => (report, false),
            (None, ended) => {
                let sent_at = self.instant_at(exchange.sent_at);
                let (answer, point) = match ended {
                    Ended::Answered(reply) => match reply.code {
                        member::Code::Done => (
                            event::Answer::Led {
                                sent_at,
                                commit: false,
                            },
                            Some(reply.point),
                        ),
                        _ => (event::Answer::NotLeading, Some(reply.point)),
                    },
                    Ended::Silent => (event::Answer::Silent { commit: false }, None),
                    Ended::Broken | Ended::Refused | Ended::Full => (event::Answer::Broken, None),
                };
                let report = event::StatementReport {
                    member,
                    answer,
                    point,
                    floor: None,
                    connected_at: None,
                    took: None,
                };
                if matches!(answer, event::Answer::Led { .. }) {
                    let purpose = Purpose::Probe(Some(report));
                    let rollback = member::Command::Rollback;
                    let timeout = PROBE_TIMEOUT;
                    return self.send(index, Some(conn), member, rollback, purpose, timeout);
                }
                (report, matches!(ended, Ended::Answered(_)))
            }
        };
        self.step(index, event::Event::ProbeEnded(report));
        self.give_back(index, conn, reusable);
    }

    /// Gives a connection back to the broker.
    pub(super) fn give_back(&mut self, index: usize, conn: id::ConnId, reusable: bool) {
        match self.proxies[index].conns.get_mut(&conn) {
            Some(known) if reusable => known.busy = false,
            _ => {
                self.proxies[index].conns.remove(&conn);
            }
        }
        self.step(index, event::Event::Returned { conn, reusable });
    }

    /// Lets a proxy that has just started, or whose store answers again, read the directory.
    pub(super) fn read_directory(&mut self, index: usize) {
        if self.store.refuses(index, self.now) {
            return;
        }
        let entries: Vec<_> = self.store.entries.values().cloned().collect();
        let revision = self.store.revision();
        for known in self.proxies[index].broker.listed_members() {
            if entries.iter().all(|entry| entry.id != known.id) {
                let name = known.name;
                self.step(index, event::Event::Unlisted { name, revision });
            }
        }
        for entry in entries {
            self.step(index, event::Event::Listed(entry));
        }
        let answered_at = Some(self.instant());
        self.step(index, event::Event::DirectoryRead { answered_at });
    }

    /// Returns the instant from before which a proxy that the store serves knows all changes of the directory.
    fn directory_known_at(&self, index: usize) -> Instant {
        self.instant_at(
            self.now
                .saturating_sub(world::FEED_DELAY_MAX + self.feed_lag[index]),
        )
    }

    /// Tells a proxy that the directory answers, unless the store has refused the proxy until just now.
    pub(super) fn confirm_directory(&mut self, index: usize) {
        let served_from = self.store.serves_from(index);
        if served_from.is_none_or(|from| self.now > from + world::DIRECTORY_BACK_MAX) {
            let answered_at = Some(self.directory_known_at(index));
            self.step(index, event::Event::DirectoryRead { answered_at });
        }
    }

    /// Starts a proxy, which learns of the members from the directory, or from the peer of this index.
    pub(super) fn start_proxy(&mut self, index: usize, reader: Option<usize>) {
        self.step(index, event::Event::Configured(proxy::topology()));
        // The proxies do not know each other, so each of them serves its callers itself.
        self.step(index, event::Event::PeersRead);
        match reader {
            Some(reader) => {
                for entry in self.proxies[reader].broker.listed_members() {
                    self.step(index, event::Event::Listed(entry));
                }
                if !self.store.refuses(reader, self.now) {
                    let answered_at = Some(self.directory_known_at(reader));
                    self.step(index, event::Event::DirectoryRead { answered_at });
                }
            }
            None => self.read_directory(index),
        }
        let at = self.now + self.random.random_range(0..100 * MS);
        self.wake(index, at, Input::Tick);
    }
}
