//! Running a session's work on connections to members.

use std::time::{Duration, Instant};

use fulmarlift_core::{event, floor, request};
use fulmarlift_wire::{answer, backend, class};

use crate::caller::local;
use crate::caller::outcome;
use crate::caller::plan::Plan;
use crate::caller::relay;
use crate::caller::session::{Error, Link, Session, Work};
use crate::caller::sessions::Target;
use crate::engine;

/// Time that a request may take at a service that is no longer configured.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

impl Session<'_> {
    pub(super) async fn run_in_transaction(
        &mut self,
        work: Work,
        mut link: Link,
    ) -> Result<(), Error> {
        link.first_byte_by = Instant::now() + link.progress;
        self.engine.step(event::Event::Extended {
            request: link.request,
            deadline: link.first_byte_by,
        });
        if link.interrupted.try_recv().is_ok() {
            // The member was replaced between two statements; nothing of this one is sent.
            self.give_up(link);
            return self.fail(&work, relay::Error::Replaced, false).await;
        }
        match self.relay(&work, &mut link, false).await {
            Ok(report) => self.finish(&work, link, report).await,
            Err(failure) => {
                let commits = |s: &class::Statement| s.kind == class::Kind::Commit;
                let unknown = work.classes().iter().any(commits);
                self.give_up(link);
                self.fail(&work, failure.error, unknown).await
            }
        }
    }

    pub(super) async fn run_alone(&mut self, work: Work, plan: Plan) -> Result<(), Error> {
        let submission = self.submission(&plan);
        let is_read = submission.kind.is_read();
        let (_, mut waiter) = self.engine.submit(submission);
        loop {
            let mut link = match waiter.await {
                Ok(engine::Notice::Dispatch(dispatched)) => self.link(dispatched),
                Ok(engine::Notice::Refuse(refuse)) => {
                    let answer = outcome::refused(&self.identity.service_name, refuse);
                    return self.answer_error(&work, answer).await;
                }
                _ => return Err(Error::Closed),
            };
            if self.caller.is_closed() {
                drop(self.hand_back(link, event::Outcome::Answered, true));
                return Err(Error::Closed);
            }
            if !self.apply_settings(&mut link).await {
                waiter = self.hand_back(link, event::Outcome::NotSent, false);
                continue;
            }
            match self.relay(&work, &mut link, true).await {
                Ok(report) if report.not_primary => {
                    let clean = report.is_idle();
                    waiter = self.hand_back(link, event::Outcome::NotPrimary, clean);
                }
                Ok(report) => return self.finish(&work, link, report).await,
                Err(failure) if is_read && failure.may_retry() => {
                    waiter = self.hand_back(link, event::Outcome::ReadFailed, false);
                }
                Err(failure) => {
                    self.give_up(link);
                    return self.fail(&work, failure.error, !is_read).await;
                }
            }
        }
    }

    fn submission(&self, plan: &Plan) -> engine::Submission {
        let now = Instant::now();
        let document = self.engine.document();
        let service = document.topology.services.get(self.identity.service);
        let timeout = service.map_or(DEFAULT_TIMEOUT, |s| s.limits.request_timeout);
        let (kind, floor) = match plan {
            Plan::Read { tables } => {
                let class = self.local.read_class.as_deref();
                let age = document.max_age(&self.identity.service_name, class, tables);
                let fresh_since = age.and_then(|age| now.checked_sub(age));
                // A read without an allowed age needs a read index even when its session has a floor.
                let floor = self.local.carries_token && fresh_since.is_some();
                let kind = request::Kind::Read { fresh_since };
                (kind, floor.then(|| self.local.floor.clone()))
            }
            Plan::Settings => {
                let kind = request::Kind::Read { fresh_since: None };
                (kind, Some(floor::Floor::default()))
            }
            _ => (request::Kind::Write { repeatable: false }, None),
        };
        engine::Submission {
            caller: self.identity.caller,
            service: self.identity.service,
            kind,
            floor,
            deadline: now + timeout,
        }
    }

    fn link(&self, dispatched: engine::Dispatched) -> Link {
        let engine::Dispatched {
            dispatch,
            backend,
            interrupted,
        } = dispatched;
        let key = backend.connection.key.clone();
        let address = backend.address;
        self.registration
            .set_target(key.map(|key| Target { address, key }));
        Link {
            request: dispatch.request,
            conn: dispatch.conn,
            backend,
            interrupted,
            first_byte_by: dispatch.first_byte_by,
            progress: dispatch.deadline.saturating_duration_since(Instant::now()),
        }
    }

    /// Makes the session's settings on the connection; returns whether the connection took them.
    async fn apply_settings(&mut self, link: &mut Link) -> bool {
        if self.tracked.entries() == link.backend.applied {
            return true;
        }
        let sql = self.tracked.difference(&link.backend.applied);
        let deadline = tokio::time::Instant::from_std(link.first_byte_by);
        let applied = backend::query(&mut link.backend.connection, &sql, deadline).await;
        link.backend.applied = self.tracked.entries().to_vec();
        match applied {
            Ok(_) => true,
            // The member does not know the setting, as it would not on a connection of the caller's own.
            Err(backend::Error::Database(_)) => true,
            Err(_) => false,
        }
    }

    async fn relay(
        &mut self,
        work: &Work,
        link: &mut Link,
        hide_not_primary: bool,
    ) -> Result<relay::Report, relay::Failure> {
        let (caller, statements) = (&mut self.caller, &mut self.statements);
        let relay = relay::Relay::new(caller, statements, link, hide_not_primary);
        match work {
            Work::Simple(query, _) => relay.simple(query).await,
            Work::Batch(batch) => relay.batch(batch).await,
        }
    }

    /// Ends a piece of work whose answer is complete but for what is held.
    async fn finish(
        &mut self,
        work: &Work,
        mut link: Link,
        report: relay::Report,
    ) -> Result<(), Error> {
        self.note_settings(work, &mut link, &report);
        self.last_status = report.status;
        if !report.is_idle() && report.commit.is_none() {
            self.link = Some(link);
            return self.complete(report.held.as_ref()).await;
        }
        let outcome = match report.commit {
            Some(point) if report.is_idle() => event::Outcome::Committed(point),
            // A transaction follows the commit on the same connection, which cannot be confirmed apart.
            Some(_) => event::Outcome::Unknown,
            None => event::Outcome::Answered,
        };
        self.last_status = b'I';
        let waiter = self.hand_back(link, outcome, report.is_idle());
        match outcome {
            event::Outcome::Answered => self.complete(report.held.as_ref()).await,
            event::Outcome::Committed(_) => match waiter.await {
                Ok(engine::Notice::Acknowledge(group, point)) => {
                    self.local.floor.raise(group, point);
                    self.acknowledge(report.held.as_ref()).await
                }
                _ => self.unconfirmed().await,
            },
            _ => self.unconfirmed().await,
        }
    }

    async fn complete(
        &mut self,
        held: Option<&fulmarlift_wire::frame::Frame>,
    ) -> Result<(), Error> {
        if let Some(held) = held {
            self.caller.feed(held);
        }
        self.caller.send(&local::ready_in(self.last_status)).await?;
        Ok(())
    }

    async fn acknowledge(
        &mut self,
        held: Option<&fulmarlift_wire::frame::Frame>,
    ) -> Result<(), Error> {
        if let Some(held) = held {
            self.caller.feed(held);
        }
        self.caller.feed(&local::token_status(&self.local.floor));
        self.caller.send(&local::ready()).await?;
        Ok(())
    }

    async fn unconfirmed(&mut self) -> Result<(), Error> {
        metrics::counter!("fulmarlift_unknown_outcomes_total").increment(1);
        let reason = "a majority did not confirm it in time";
        self.caller
            .feed(&answer::Answer::outcome_unknown(reason).frame());
        self.caller.send(&local::ready()).await?;
        Ok(())
    }

    /// Keeps the settings that the work has made, once the transaction around them is over.
    fn note_settings(&mut self, work: &Work, link: &mut Link, report: &relay::Report) {
        let sets = work.classes().iter().filter(|s| is_tracked(&s.kind));
        if !report.failed {
            self.pending.extend(sets.cloned());
        }
        if !report.is_idle() {
            return;
        }
        let rolled_back = |s: &class::Statement| s.kind == class::Kind::Rollback;
        let kept = !report.failed && !work.classes().iter().any(rolled_back);
        let pending = std::mem::take(&mut self.pending);
        if pending.is_empty() || !kept {
            return;
        }
        for statement in &pending {
            self.track(&statement.kind);
        }
        link.backend.applied = self.tracked.entries().to_vec();
    }

    fn track(&mut self, kind: &class::Kind) {
        match kind {
            class::Kind::Set { name, value, .. } => self.tracked.set(name, value),
            class::Kind::Reset { name, .. } => self.tracked.reset(name),
            class::Kind::DiscardAll => {
                self.tracked.clear();
                self.statements.clear();
            }
            _ => {}
        }
    }

    fn hand_back(&self, link: Link, outcome: event::Outcome, clean: bool) -> engine::Waiter {
        self.registration.set_target(None);
        let returned = event::Returned {
            request: link.request,
            conn: link.conn,
            outcome,
            clean,
        };
        self.engine.give_back(returned, link.backend)
    }

    /// Closes a connection in doubt.
    fn give_up(&mut self, link: Link) {
        self.pending.clear();
        self.last_status = b'I';
        drop(self.hand_back(link, event::Outcome::Unknown, false));
    }

    /// Closes the connection of a transaction that the caller has left open.
    pub(super) fn drop_link(&mut self) {
        if let Some(link) = self.link.take() {
            self.give_up(link);
        }
    }

    async fn fail(&mut self, work: &Work, error: relay::Error, unknown: bool) -> Result<(), Error> {
        let reason = error.to_string();
        log::info!(
            "event=request_failed service={} unknown={unknown} error={reason:?}",
            self.identity.service_name
        );
        if error.is_callers() {
            return Err(Error::Closed);
        }
        let answer = match unknown {
            true => answer::Answer::outcome_unknown(&reason),
            false => answer::Answer::connection_lost(&reason),
        };
        self.answer_error(work, answer).await
    }
}

fn is_tracked(kind: &class::Kind) -> bool {
    match kind {
        class::Kind::Set { name, local, .. } => !local && !local::Local::owns(name),
        class::Kind::Reset { name, local } => !local && !local::Local::owns(name),
        class::Kind::DiscardAll => true,
        _ => false,
    }
}
