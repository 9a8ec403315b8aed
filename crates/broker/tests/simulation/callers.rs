//! Callers' requests and their statements, sent and reported as the sessions of the product do it.

use std::time::Duration;

use fulmarlift_broker::effect;
use fulmarlift_broker::event;
use fulmarlift_broker::request;
use fulmarlift_core::floor;
use fulmarlift_core::id;
use rand::RngExt;

use crate::simulation::checks;
use crate::simulation::clock::{MS, Micros, S};
use crate::simulation::member;
use crate::simulation::proxy::{self, Ended, Exchange, Job, Kind, Purpose, Stage};
use crate::simulation::world::{Happening, Input, World};

/// Mean time between two requests at a proxy.
const CALL_INTERVAL: Micros = 24 * MS;
/// Objective of a request, counted from its arrival.
const OBJECTIVE: Duration = Duration::from_millis(300);
/// Part of a statement's timeout that is reserved for the answer to the caller.
const ANSWER_MARGIN: Micros = 40 * MS;
/// Longest time for which the success of a commit waits for a lease.
const COMMIT_CONFIRM_TIMEOUT: Micros = S;
/// Interval at which a success that waits looks for evidence.
const COMMIT_CONFIRM_INTERVAL: Micros = 10 * MS;
/// Most attempts of a request.
const ATTEMPTS_MAX: u32 = 6;

impl World {
    /// Adds all calls of a proxy to the queue.
    pub(super) fn plan_calls(&mut self, index: usize) {
        let mut at = 300 * MS;
        while at < self.plan.end {
            at += self.random.random_range(1..2 * CALL_INTERVAL);
            let age = *[300 * MS, 1_500 * MS, 2_500 * MS]
                .get(self.random.random_range(0..3))
                .expect("three values");
            let kind = match self.random.random_range(0..100) {
                0..45 => Kind::Newest,
                45..65 => Kind::Write,
                65..85 => Kind::Transaction {
                    reads: self.random.random_range(0..4),
                    writes: self.random.random_bool(0.4),
                    pause: match self.random.random_bool(0.3) {
                        true => self.random.random_range(0..1_500 * MS),
                        false => self.random.random_range(0..40 * MS),
                    },
                },
                85..95 => Kind::Recent(age),
                _ => Kind::Own(age),
            };
            let input = Input::Call(kind, at);
            self.queue
                .push(at + 300, Happening::Proxy(index, None, input));
        }
    }

    /// A caller's request arrives at a proxy.
    pub(super) fn begin_job(&mut self, index: usize, kind: Kind, sent_at: Micros) {
        let writes = matches!(kind, Kind::Write | Kind::Transaction { writes: true, .. });
        if writes && self.now < self.idle_until[index] {
            return;
        }
        let reads_left = match kind {
            Kind::Transaction { reads, .. } => reads,
            _ => 0,
        };
        let own = match kind {
            Kind::Own(_) => self.proxies[index].newest_commit,
            _ => None,
        };
        let job = Job {
            kind,
            first_byte: sent_at,
            arrived: self.now,
            deadline: self.now + self.statement_timeout - ANSWER_MARGIN,
            attempts: 0,
            stage: Stage::Queued,
            conn: 0,
            member: 0,
            floor: None,
            own,
            running_since: 0,
            begun_term: 0,
            reads_left,
        };
        self.attempt(index, job, None);
    }

    /// Queues a request at the broker, unless it has been tried often enough.
    fn attempt(&mut self, index: usize, mut job: Job, avoid: Option<id::MemberId>) {
        job.attempts += 1;
        job.stage = Stage::Queued;
        if job.attempts > ATTEMPTS_MAX || self.now >= job.deadline {
            return;
        }
        let before = |age: Micros| self.instant_at(job.arrived) - Duration::from_micros(age);
        let requirement = match job.kind {
            Kind::Newest => request::Requirement::VerifiedLeader {
                acknowledged_before: before(0),
            },
            Kind::Write | Kind::Transaction { .. } => request::Requirement::LeaderForReads {
                acknowledged_before: self.instant(),
            },
            Kind::Recent(age) | Kind::Own(age) => request::Requirement::Recent {
                acknowledged_before: before(age),
                session_commit: job.own,
            },
        };
        let arrived_at = self.instant_at(job.arrived);
        let deadline = self.instant_at(job.deadline);
        let proxy = &mut self.proxies[index];
        proxy.next_request += 1;
        let id = proxy.next_request;
        proxy.jobs.insert(id, job);
        self.step(
            index,
            event::Event::Arrived(request::Request {
                id,
                group: proxy::GROUP,
                requirement,
                priority: 1,
                objective_at: arrived_at + OBJECTIVE,
                deadline,
                avoid,
                hedge: false,
                forwarded: false,
                workspace: None,
            }),
        );
    }

    /// A request may use a connection.
    pub(super) fn granted(&mut self, index: usize, grant: effect::Grant) {
        let now = self.now;
        let proxy = &mut self.proxies[index];
        if let Some(conn) = proxy.conns.get_mut(&grant.conn) {
            conn.busy = true;
        }
        let Some(job) = proxy.jobs.get_mut(&grant.request) else {
            return;
        };
        job.conn = grant.conn;
        job.member = grant.member;
        job.floor = grant.floor;
        job.running_since = now;
        let begins = grant.verify || matches!(job.kind, Kind::Transaction { .. });
        job.stage = match begins {
            true => Stage::Verifying,
            false => Stage::Running,
        };
        let command = match job.kind {
            _ if begins => member::Command::Begin,
            Kind::Write => member::Command::Write,
            _ => member::Command::Read(job.floor, demand(job)),
        };
        self.send_statement(index, grant.request, command);
    }

    fn send_statement(&mut self, index: usize, request: id::RequestId, command: member::Command) {
        let Some(job) = self.proxies[index].jobs.get(&request) else {
            return;
        };
        let (conn, member) = (job.conn, job.member);
        let timeout = match job.kind {
            Kind::Transaction { .. } => self.statement_timeout - ANSWER_MARGIN,
            _ => job.deadline.saturating_sub(self.now),
        };
        let purpose = Purpose::Job(request);
        self.send(index, Some(conn), member, command, purpose, timeout);
    }

    /// The caller of a transaction sends its next statement.
    pub(super) fn continue_transaction(&mut self, index: usize, request: id::RequestId) {
        let now = self.now;
        let Some(job) = self.proxies[index].jobs.get_mut(&request) else {
            return;
        };
        let Kind::Transaction { writes, .. } = job.kind else {
            return;
        };
        job.stage = Stage::Running;
        job.running_since = now;
        let command = match job.reads_left {
            0 => member::Command::Commit(job.begun_term, writes),
            _ => member::Command::ReadWithin(job.begun_term, demand(job)),
        };
        let member = job.member;
        self.step(index, event::Event::NextStatementStarted(member));
        self.send_statement(index, request, command);
    }

    /// A statement of a request ended.
    pub(super) fn job_ended(
        &mut self,
        index: usize,
        request: id::RequestId,
        conn: id::ConnId,
        exchange: &Exchange,
        ended: Ended,
        commit: Option<floor::Point>,
    ) {
        let Some(job) = self.proxies[index].jobs.remove(&request) else {
            return self.give_back(index, conn, false);
        };
        let commits = match exchange.command {
            member::Command::Write => true,
            member::Command::Commit(_, writes) => writes,
            _ => false,
        };
        let sent_at = self.instant_at(exchange.sent_at);
        let reply = match ended {
            Ended::Answered(reply) => reply,
            Ended::Silent | Ended::Broken | Ended::Refused | Ended::Full => {
                let answer = match ended {
                    Ended::Silent => event::Answer::Silent { commit: commits },
                    _ => event::Answer::Broken,
                };
                self.report(index, &job, answer, None);
                self.give_back(index, conn, false);
                if !commits && !matches!(job.kind, Kind::Transaction { .. }) {
                    let avoid = Some(job.member);
                    self.attempt(index, job, avoid);
                }
                return;
            }
        };
        let point = Some(reply.point);
        match reply.code {
            member::Code::NotLeading | member::Code::Behind => {
                let answer = match reply.code {
                    member::Code::Behind => event::Answer::Behind,
                    _ => event::Answer::NotLeading,
                };
                self.report(index, &job, answer, point);
                self.give_back(index, conn, true);
                let begun = job.begun_term > 0;
                if !begun {
                    let avoid = Some(job.member);
                    self.attempt(index, job, avoid);
                }
            }
            member::Code::Done => {
                let led = event::Answer::Led {
                    sent_at,
                    commit: commits,
                };
                let answer = match exchange.command {
                    member::Command::Read(..) | member::Command::ReadWithin(..) => {
                        event::Answer::Served
                    }
                    member::Command::Commit(..) if !commits => event::Answer::Served,
                    _ => led,
                };
                if let Some(commit) = commit {
                    self.proxies[index].successes.push(Success {
                        commit,
                        point,
                        arrived_at: self.now,
                    });
                }
                self.report(index, &job, answer, point);
                if commit.is_some() {
                    self.seek_confirmation(index);
                }
                self.go_on(index, request, job, reply, exchange.command);
            }
        }
    }

    /// Looks for evidence for the successes that wait, and again after an interval.
    pub(super) fn seek_confirmation(&mut self, index: usize) {
        self.settle_successes(index);
        if let Some(newest) = self.proxies[index].successes.last() {
            let (point, arrived_at) = (newest.point, self.instant_at(newest.arrived_at));
            let group = proxy::GROUP;
            self.step(
                index,
                event::Event::ConfirmationNeeded {
                    group,
                    point,
                    arrived_at,
                },
            );
            let at = self.now + COMMIT_CONFIRM_INTERVAL;
            self.wake(index, at, Input::SeekConfirmation);
        }
    }

    /// Passes on the successes of commits that the proxy's broker confirms, and drops those that it denies or does not know in time.
    pub(super) fn settle_successes(&mut self, index: usize) {
        let waiting = std::mem::take(&mut self.proxies[index].successes);
        for success in waiting {
            let confirmed = self.proxies[index].broker.confirms_commit(
                proxy::GROUP,
                success.point,
                self.instant_at(success.arrived_at),
            );
            match confirmed {
                Some(true) => self.confirm(index, success),
                None if self.now < success.arrived_at + COMMIT_CONFIRM_TIMEOUT => {
                    self.proxies[index].successes.push(success);
                }
                Some(false) | None => self.outcome.unknown += 1,
            }
        }
    }

    fn confirm(&mut self, index: usize, success: Success) {
        let commit = success.commit;
        self.acknowledged.record(self.now, commit);
        self.outcome.commits += 1;
        self.proxies[index].newest_commit = success.point;
        if let Some(point) = success.point {
            let commit = event::ToldCommit {
                request: Box::default(),
                point,
                seen_before: None,
            };
            let group = proxy::GROUP;
            self.step(index, event::Event::CommitTold { group, commit });
        }
        let newest = &self.members[self.newest_leader];
        if newest.term > commit.term && !newest.log.contains(commit) {
            self.outcome.lost += 1;
            self.note(|| format!("LOST: proxy-{index} passes on the success of {commit:?}"));
        }
    }

    /// Sends the next statement of a request, or ends it.
    fn go_on(
        &mut self,
        index: usize,
        request: id::RequestId,
        mut job: Job,
        reply: member::Reply,
        command: member::Command,
    ) {
        let conn = job.conn;
        match (job.kind, job.stage) {
            (Kind::Transaction { pause, .. }, Stage::Verifying) => {
                job.begun_term = reply.status.term;
                job.stage = Stage::Paused;
                self.proxies[index].jobs.insert(request, job);
                self.wake(index, self.now + pause / 8, Input::Continue(request));
            }
            (Kind::Transaction { pause, .. }, _)
                if matches!(command, member::Command::ReadWithin(..)) =>
            {
                job.reads_left -= 1;
                job.stage = Stage::Paused;
                self.proxies[index].jobs.insert(request, job);
                self.wake(index, self.now + pause, Input::Continue(request));
            }
            (_, Stage::Verifying) => {
                job.stage = Stage::Running;
                job.floor = job.floor.max(Some(reply.point));
                job.running_since = self.now;
                let command = member::Command::Read(job.floor, demand(&job));
                let member = job.member;
                self.proxies[index].jobs.insert(request, job);
                self.step(index, event::Event::NextStatementStarted(member));
                self.send_statement(index, request, command);
            }
            _ => self.give_back(index, conn, true),
        }
    }

    fn report(
        &mut self,
        index: usize,
        job: &Job,
        answer: event::Answer,
        point: Option<floor::Point>,
    ) {
        let took = Duration::from_micros(self.now - job.running_since);
        let conn = self.proxies[index].conns.get(&job.conn);
        let connected_at = conn.map(|conn| self.instant_at(conn.opened_at));
        self.step(
            index,
            event::Event::StatementEnded(event::StatementReport {
                member: job.member,
                answer,
                point,
                floor: job.floor,
                connected_at,
                took: Some(took),
            }),
        );
    }

    /// Checks a read that runs at a member now.
    pub(super) fn check_read(&mut self, exchange: u64, member: usize, command: member::Command) {
        let demand = match command {
            member::Command::Read(_, demand) | member::Command::ReadWithin(_, demand) => demand,
            _ => return,
        };
        self.outcome.reads += 1;
        let log = &self.members[member].log;
        let newest = &self.members[self.newest_leader].log;
        let own = demand
            .own
            .filter(|own| newest.contains(*own) && !log.contains(*own));
        let missing = self
            .acknowledged
            .missing(demand.acknowledged_before, log, newest);
        let Some(missing) = missing.or(own) else {
            return;
        };
        let Some(exchange) = self.exchanges.get(&exchange) else {
            return;
        };
        let index = exchange.proxy;
        let leader = self.current_id(self.newest_leader);
        let knows_leader = self.proxies[index].broker.member(leader).is_some();
        let reaches_store = !self.store.refuses(index, self.now);
        let text = format!(
            "STALE: {command:?} of proxy-{index} ran at member-{}, whose log ends at {:?} and lacks {missing:?}; \
             knows the leader: {knows_leader}, reaches the store: {reaches_store}",
            member + 1,
            log.end(),
        );
        self.note(|| text);
        self.outcome.stale.push(checks::Stale {
            newest: demand.newest,
            knows_leader,
            reaches_store,
        });
    }
}

/// A commit that a leader has acknowledged and whose success has not been passed on.
#[derive(Clone, Copy)]
pub struct Success {
    commit: floor::Point,
    /// End of the leader's log in its answer.
    point: Option<floor::Point>,
    arrived_at: Micros,
}

/// Returns what a read of a request must show.
fn demand(job: &Job) -> checks::Demand {
    let (age, newest) = match job.kind {
        Kind::Recent(age) | Kind::Own(age) => (age, false),
        _ => (0, true),
    };
    checks::Demand {
        acknowledged_before: job.first_byte.saturating_sub(age),
        own: job.own,
        newest,
    }
}
