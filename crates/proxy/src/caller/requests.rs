//! Running a session's work on connections to members.

use std::time::{Duration, Instant};

use fulmarlift_core::{event, floor, id, request};
use fulmarlift_wire::{answer, frame};

use crate::caller::local;
use crate::caller::outcome;
use crate::caller::plan::{self, Plan};
use crate::caller::relay;
use crate::caller::session::{Error, Link, Session, Work};
use crate::caller::sessions::Target;
use crate::engine;

/// Time that a request may take at a service that is no longer configured.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// What became of one try at a piece of work.
enum Tried {
    /// The caller has its answer.
    Answered,
    /// What was taken for a read writes.
    IsWrite,
    /// It may have run, and may run again.
    MayRepeat,
}

/// What became of waiting for a connection.
enum Waited {
    /// There is one.
    Link(Link),
    /// The request did not run.
    NotRun(answer::Answer),
    /// An earlier try may have run, and no other could be made in time.
    MayHaveRun,
}

impl Session<'_> {
    /// Returns the time that a request of the session's service may take.
    pub(super) fn timeout(&self) -> Duration {
        let document = self.engine.document();
        let service = document.topology.services.get(self.identity.service);
        service.map_or(DEFAULT_TIMEOUT, |s| s.limits.request_timeout)
    }

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
            Ok(report) => match self.finish(&work, link, report, false).await? {
                Tried::Answered => Ok(()),
                _ => self.unconfirmed().await,
            },
            Err(failure) => {
                let unknown = plan::may_commit(work.classes(), true);
                self.give_up(link);
                self.fail_cut(&work, failure, unknown).await
            }
        }
    }

    pub(super) async fn run_alone(&mut self, work: Work, mut plan: Plan) -> Result<(), Error> {
        let deadline = Instant::now() + self.timeout();
        let mut may_have_run = false;
        loop {
            match self.try_once(&work, &plan, deadline, may_have_run).await? {
                Tried::Answered => return Ok(()),
                Tried::IsWrite => plan = plan.into_write(),
                Tried::MayRepeat => {
                    may_have_run = true;
                    log::info!(
                        "event=write_repeated service={}",
                        self.identity.service_name
                    );
                }
            }
        }
    }

    async fn try_once(
        &mut self,
        work: &Work,
        plan: &Plan,
        deadline: Instant,
        may_have_run: bool,
    ) -> Result<Tried, Error> {
        let submission = self.submission(work, plan, deadline);
        let kind = submission.kind;
        let (request, mut waiter) = self.engine.submit(submission);
        let mut stepped = false;
        loop {
            let mut link = match self.wait(request, waiter).await? {
                Waited::Link(link) => link,
                Waited::NotRun(answer) if !may_have_run => {
                    self.answer_error(work, answer).await?;
                    return Ok(Tried::Answered);
                }
                Waited::NotRun(_) | Waited::MayHaveRun => {
                    let answer = outcome::not_tried_again(kind.is_read());
                    self.answer_error(work, answer).await?;
                    return Ok(Tried::Answered);
                }
            };
            match self.apply_settings(&mut link).await {
                Ok(true) => {}
                Ok(false) => {
                    waiter = self.hand_back(link, event::Outcome::NotSent, false);
                    continue;
                }
                Err(answer) => {
                    drop(self.hand_back(link, event::Outcome::Answered, false));
                    self.answer_error(work, answer).await?;
                    return Ok(Tried::Answered);
                }
            }
            let hide = !self.is_read_only(work);
            match self.relay(work, &mut link, hide).await {
                Ok(report) if report.not_primary => {
                    let clean = report.is_idle();
                    if kind.is_read() {
                        drop(self.hand_back(link, event::Outcome::Answered, clean));
                        return Ok(Tried::IsWrite);
                    }
                    waiter = self.hand_back(link, event::Outcome::NotPrimary, clean);
                }
                Ok(report) => {
                    let may_repeat = is_repeatable(kind) && Instant::now() < deadline;
                    return self.finish(work, link, report, may_repeat).await;
                }
                Err(failure) if kind.is_read() && failure.may_retry() => {
                    // A connection out of step says nothing against the member, the first time.
                    let at_fault =
                        !failure.is_out_of_step() || std::mem::replace(&mut stepped, true);
                    let outcome = match at_fault {
                        true => event::Outcome::ReadFailed,
                        false => event::Outcome::NotSent,
                    };
                    waiter = self.hand_back(link, outcome, false);
                }
                Err(failure) => {
                    self.give_up(link);
                    let in_time = Instant::now() < deadline;
                    if is_repeatable(kind) && failure.may_retry() && in_time {
                        return Ok(Tried::MayRepeat);
                    }
                    let unknown = plan::may_commit(work.classes(), false);
                    self.fail_cut(work, failure, unknown).await?;
                    return Ok(Tried::Answered);
                }
            }
        }
    }

    /// Waits for a connection. A caller that cancels or leaves meanwhile gives up its place.
    async fn wait(
        &mut self,
        request: id::RequestId,
        mut waiter: engine::Waiter,
    ) -> Result<Waited, Error> {
        let cancelled = self.registration.set_waiting();
        let gone = tokio::select! {
            biased;
            Ok(()) = cancelled => false,
            notice = &mut waiter => return match notice {
                Ok(engine::Notice::Dispatch(dispatched)) => Ok(Waited::Link(self.link(dispatched))),
                Ok(engine::Notice::Refuse(refuse)) => {
                    let answer = outcome::refused(&self.identity.service_name, refuse);
                    Ok(Waited::NotRun(answer))
                }
                Ok(engine::Notice::Unconfirmed) => Ok(Waited::MayHaveRun),
                _ => Err(Error::Closed),
            },
            () = self.caller.closed() => true,
        };
        self.engine.abandon(request);
        // The connection may have come at the same moment; nothing was sent on it.
        if let Ok(engine::Notice::Dispatch(dispatched)) = waiter.try_recv() {
            let link = self.link(dispatched);
            drop(self.hand_back(link, event::Outcome::Answered, true));
        }
        match gone {
            true => Err(Error::Closed),
            false => Ok(Waited::NotRun(outcome::cancelled())),
        }
    }

    /// Returns whether the caller has asked for a transaction that must not write.
    fn is_read_only(&self, work: &Work) -> bool {
        let entries = self.tracked.entries().iter();
        plan::begins_read_only(work.classes())
            || entries
                .filter(|(name, _)| name.ends_with("transaction_read_only"))
                .any(|(_, value)| value.as_ref() != "off")
    }

    fn submission(&self, work: &Work, plan: &Plan, deadline: Instant) -> engine::Submission {
        let now = Instant::now();
        let document = self.engine.document();
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
            _ => {
                let service = document.document.service(&self.identity.service_name);
                let tables = service.map(|service| &service.limits.repeatable_tables[..]);
                let repeatable = plan::is_repeatable(work.classes(), tables.unwrap_or_default());
                (request::Kind::Write { repeatable }, None)
            }
        };
        engine::Submission {
            caller: self.identity.caller,
            service: self.identity.service,
            kind,
            floor,
            deadline,
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
            progress: self.timeout(),
            doubtful: false,
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
        may_repeat: bool,
    ) -> Result<Tried, Error> {
        link.doubtful |= work.classes().iter().any(|s| !s.parsed) || report.continued;
        self.note_settings(work, &mut link, &report).await;
        self.last_status = report.status;
        if !report.is_idle() && report.commit.is_none() {
            self.link = Some(link);
            self.complete(&report.held).await?;
            return Ok(Tried::Answered);
        }
        let outcome = match report.commit {
            Some(point) if report.is_idle() => event::Outcome::Committed(point),
            // A transaction follows the commit on the same connection, which cannot be confirmed apart.
            Some(_) => event::Outcome::Unknown,
            None => event::Outcome::Answered,
        };
        self.last_status = b'I';
        let clean = report.is_idle() && self.cleanse(&mut link).await;
        let waiter = self.hand_back(link, outcome, clean);
        match outcome {
            event::Outcome::Answered => self.complete(&report.held).await?,
            event::Outcome::Committed(_) => match waiter.await {
                Ok(engine::Notice::Acknowledge(group, point)) => {
                    self.local.floor.raise(group, point);
                    self.acknowledge(&report.held).await?;
                }
                _ if may_repeat && !report.passed => return Ok(Tried::MayRepeat),
                _ => self.unconfirmed().await?,
            },
            _ => self.unconfirmed().await?,
        }
        Ok(Tried::Answered)
    }

    async fn complete(&mut self, held: &[frame::Frame]) -> Result<(), Error> {
        for held in held {
            self.caller.feed(held);
        }
        self.caller.send(&local::ready_in(self.last_status)).await?;
        Ok(())
    }

    async fn acknowledge(&mut self, held: &[frame::Frame]) -> Result<(), Error> {
        for held in held {
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

    /// Gives a connection back. One that a cancel request was sent for is closed: the request may still be
    /// on its way and would hit whoever comes next.
    fn hand_back(&self, link: Link, outcome: event::Outcome, clean: bool) -> engine::Waiter {
        let cancelled = self.registration.take_target();
        let clean = clean && !cancelled && !link.doubtful;
        let returned = event::Returned {
            request: link.request,
            conn: link.conn,
            outcome,
            clean,
        };
        self.engine.give_back(returned, link.backend)
    }

    /// Closes a connection in doubt.
    pub(super) fn give_up(&mut self, link: Link) {
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

    /// Fails a piece of work; a caller that has the beginning of a message can be told nothing more.
    async fn fail_cut(
        &mut self,
        work: &Work,
        failure: relay::Failure,
        unknown: bool,
    ) -> Result<(), Error> {
        let cut = failure.cut;
        self.fail(work, failure.error, unknown || failure.continued)
            .await?;
        match cut {
            true => Err(Error::Closed),
            false => Ok(()),
        }
    }

    async fn fail(&mut self, work: &Work, error: relay::Error, unknown: bool) -> Result<(), Error> {
        let reason = error.to_string();
        log::info!(
            "event=request_failed service={} unknown={unknown} error={reason:?}",
            self.identity.service_name
        );
        if let relay::Error::CallerSilent = error {
            return self.end_idle().await;
        }
        if let relay::Error::Refused(refusal) = error {
            let answer = answer::Answer::unsupported(refusal.what, refusal.hint);
            return self.answer_error(work, answer).await;
        }
        if let relay::Error::Caller(error) = error {
            return Err(Error::Frame(error));
        }
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

fn is_repeatable(kind: request::Kind) -> bool {
    kind == request::Kind::Write { repeatable: true }
}
