//! Runs a session's requests on connections to members.

use std::time::{Duration, Instant};

use fulmarlift_core::{event, floor, id, request};
use fulmarlift_wire::{answer, frame};

use crate::caller::plan::{self, Plan};
use crate::caller::proxy_answers;
use crate::caller::relay;
use crate::caller::request_errors;
use crate::caller::session::{ClientRequest, Error, Lease, Session};
use crate::caller::session_table::CancelTarget;
use crate::engine;

/// Request timeout of a service that is no longer configured.
const UNCONFIGURED_SERVICE_TIMEOUT: Duration = Duration::from_secs(10);

/// Result of one attempt to run a client request.
enum AttemptResult {
    /// The caller has its answer.
    Answered,
    /// The request was planned as a read, but the member refused it as a write.
    IsWrite,
    /// The request may have run, and may run again.
    MayRepeat,
}

/// Result of waiting for a connection.
enum WaitResult {
    /// The request has a connection.
    Lease(Lease),
    /// The request did not run; contains the answer to the caller.
    NotRun(answer::Answer),
    /// An earlier attempt may have run, and the request could not be retried in time.
    MayHaveRun,
}

impl Session<'_> {
    /// Returns the request timeout of the session's service.
    pub(super) fn timeout(&self) -> Duration {
        let document = self.engine.document();
        let service = document.topology.services.get(self.identity.service);
        service.map_or(UNCONFIGURED_SERVICE_TIMEOUT, |s| s.limits.request_timeout)
    }

    /// Runs a client request on the connection of the open transaction.
    pub(super) async fn run_in_transaction(
        &mut self,
        client_request: ClientRequest,
        mut lease: Lease,
    ) -> Result<(), Error> {
        lease.first_byte_by = Instant::now() + lease.message_timeout;
        self.engine.step(event::Event::StatementArrived {
            request: lease.request,
            deadline: lease.first_byte_by,
        });
        if lease.interrupted.try_recv().is_ok() {
            // The member was replaced between two statements; no part of the second one is sent.
            self.close_connection(lease);
            return self
                .send_failure(&client_request, relay::Error::Replaced, false)
                .await;
        }
        match self.relay(&client_request, &mut lease, false).await {
            Ok(report) => match self.finish(&client_request, lease, report, false).await? {
                AttemptResult::Answered => Ok(()),
                _ => self.send_unconfirmed().await,
            },
            Err(failure) => {
                let unknown = plan::may_commit(client_request.classes(), true);
                self.close_connection(lease);
                self.fail_relay(&client_request, failure, unknown).await
            }
        }
    }

    /// Runs a client request on a connection that the engine assigns. Sends it again if a read turns out to
    /// write, or if a write that may be repeated has an unknown outcome.
    pub(super) async fn run_outside_transaction(
        &mut self,
        client_request: ClientRequest,
        mut plan: Plan,
    ) -> Result<(), Error> {
        let deadline = Instant::now() + self.timeout();
        let mut may_have_run = false;
        loop {
            match self
                .attempt(&client_request, &plan, deadline, may_have_run)
                .await?
            {
                AttemptResult::Answered => return Ok(()),
                AttemptResult::IsWrite => plan = plan.into_write(),
                AttemptResult::MayRepeat => {
                    may_have_run = true;
                    log::info!(
                        "event=write_repeated service={}",
                        self.identity.service_name
                    );
                }
            }
        }
    }

    /// Submits a client request and runs it. `may_have_run` is whether an earlier attempt may have run.
    async fn attempt(
        &mut self,
        client_request: &ClientRequest,
        plan: &Plan,
        deadline: Instant,
        may_have_run: bool,
    ) -> Result<AttemptResult, Error> {
        let submission = self.submission(client_request, plan, deadline);
        let kind = submission.kind;
        let (request, mut decision_receiver) = self.engine.submit(submission);
        let mut was_out_of_step = false;
        loop {
            let mut lease = match self.wait_for_lease(request, decision_receiver).await? {
                WaitResult::Lease(lease) => lease,
                WaitResult::NotRun(answer) if !may_have_run => {
                    self.send_error(client_request, answer).await?;
                    return Ok(AttemptResult::Answered);
                }
                WaitResult::NotRun(_) | WaitResult::MayHaveRun => {
                    let answer = request_errors::retry_impossible(kind.is_read());
                    self.send_error(client_request, answer).await?;
                    return Ok(AttemptResult::Answered);
                }
            };
            match self.apply_settings(&mut lease).await {
                Ok(true) => {}
                Ok(false) => {
                    // With `NotSent` the engine assigns another connection to the request.
                    decision_receiver =
                        self.return_connection(lease, event::Outcome::NotSent, false);
                    continue;
                }
                Err(answer) => {
                    // With `Answered` the engine drops the request.
                    drop(self.return_connection(lease, event::Outcome::Answered, false));
                    self.send_error(client_request, answer).await?;
                    return Ok(AttemptResult::Answered);
                }
            }
            // In a read-only transaction every member refuses writes, so the refusal of a write does not show that the member
            // is not the primary.
            let hide_not_primary = !self.is_read_only(client_request);
            match self
                .relay(client_request, &mut lease, hide_not_primary)
                .await
            {
                Ok(report) if report.not_primary => {
                    let clean = report.is_idle();
                    if kind.is_read() {
                        drop(self.return_connection(lease, event::Outcome::Answered, clean));
                        return Ok(AttemptResult::IsWrite);
                    }
                    decision_receiver =
                        self.return_connection(lease, event::Outcome::NotPrimary, clean);
                }
                Ok(report) => {
                    let may_repeat = is_repeatable(kind) && Instant::now() < deadline;
                    return self.finish(client_request, lease, report, may_repeat).await;
                }
                Err(failure) if kind.is_read() && failure.may_retry() => {
                    // The first connection that is out of step (its responses do not match the messages sent) does
                    // not count as a failure of the member: with `NotSent` the engine only assigns another
                    // connection.
                    let at_fault =
                        !failure.is_out_of_step() || std::mem::replace(&mut was_out_of_step, true);
                    let outcome = match at_fault {
                        true => event::Outcome::ReadFailed,
                        false => event::Outcome::NotSent,
                    };
                    decision_receiver = self.return_connection(lease, outcome, false);
                }
                Err(failure) => {
                    self.close_connection(lease);
                    let in_time = Instant::now() < deadline;
                    if is_repeatable(kind) && failure.may_retry() && in_time {
                        return Ok(AttemptResult::MayRepeat);
                    }
                    let unknown = plan::may_commit(client_request.classes(), false);
                    self.fail_relay(client_request, failure, unknown).await?;
                    return Ok(AttemptResult::Answered);
                }
            }
        }
    }

    /// Waits for a connection. If the caller cancels the request or disconnects meanwhile, withdraws the request.
    async fn wait_for_lease(
        &mut self,
        request: id::RequestId,
        mut decision_receiver: engine::DecisionReceiver,
    ) -> Result<WaitResult, Error> {
        let cancelled = self.registration.set_waiting();
        let caller_gone = tokio::select! {
            biased;
            Ok(()) = cancelled => false,
            decision = &mut decision_receiver => return match decision {
                Ok(engine::Decision::Dispatch(dispatched)) => Ok(WaitResult::Lease(self.start_lease(dispatched))),
                Ok(engine::Decision::Refuse(refuse)) => {
                    let answer = request_errors::refused(&self.identity.service_name, refuse);
                    Ok(WaitResult::NotRun(answer))
                }
                // Nothing was sent in this attempt, but an earlier one may have run.
                Ok(engine::Decision::Unconfirmed) => Ok(WaitResult::MayHaveRun),
                _ => Err(Error::Closed),
            },
            () = self.caller.closed() => true,
        };
        self.engine.abandon(request);
        // The engine may have dispatched the request at the same moment; nothing was sent on the
        // connection, and with `Answered` the engine drops the request.
        if let Ok(engine::Decision::Dispatch(dispatched)) = decision_receiver.try_recv() {
            let lease = self.start_lease(dispatched);
            drop(self.return_connection(lease, event::Outcome::Answered, true));
        }
        match caller_gone {
            true => Err(Error::Closed),
            false => Ok(WaitResult::NotRun(request_errors::cancelled())),
        }
    }

    /// Returns whether the caller has asked for a read-only transaction, by a statement or a setting.
    fn is_read_only(&self, client_request: &ClientRequest) -> bool {
        let entries = self.session_settings.entries().iter();
        plan::begins_read_only(client_request.classes())
            || entries
                .filter(|(name, _)| name.ends_with("transaction_read_only"))
                .any(|(_, value)| value.as_ref() != "off")
    }

    fn submission(
        &self,
        client_request: &ClientRequest,
        plan: &Plan,
        deadline: Instant,
    ) -> engine::Submission {
        let now = Instant::now();
        let document = self.engine.document();
        let (kind, floor) = match plan {
            Plan::Read { tables } => {
                let class = self.proxy_settings.read_class.as_deref();
                let age = document.max_age(&self.identity.service_name, class, tables);
                let fresh_since = age.and_then(|age| now.checked_sub(age));
                // A read without a maximum age needs a read index, even if its session has a floor.
                let floor = self.proxy_settings.carries_token && fresh_since.is_some();
                let kind = request::Kind::Read { fresh_since };
                (kind, floor.then(|| self.proxy_settings.floor.clone()))
            }
            Plan::Settings => {
                // The empty floor spares the read index, so that any member can serve the request.
                let kind = request::Kind::Read { fresh_since: None };
                (kind, Some(floor::Floor::default()))
            }
            _ => {
                let service = document.service(&self.identity.service_name);
                let tables = service.map(|service| &service.limits.repeatable_tables[..]);
                let repeatable =
                    plan::is_repeatable(client_request.classes(), tables.unwrap_or_default());
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

    fn start_lease(&self, dispatched: engine::Dispatched) -> Lease {
        let engine::Dispatched {
            dispatch,
            backend,
            interrupted,
        } = dispatched;
        let key = backend.connection.key.clone();
        let address = backend.address;
        self.registration
            .set_target(key.map(|key| CancelTarget { address, key }));
        Lease {
            request: dispatch.request,
            conn: dispatch.conn,
            backend,
            interrupted,
            first_byte_by: dispatch.first_byte_by,
            message_timeout: self.timeout(),
            needs_reset: false,
        }
    }

    async fn relay(
        &mut self,
        client_request: &ClientRequest,
        lease: &mut Lease,
        hide_not_primary: bool,
    ) -> Result<relay::Report, relay::Failure> {
        let (caller, statements) = (&mut self.caller, &mut self.statements);
        let relay = relay::Relay::new(caller, statements, lease, hide_not_primary);
        match client_request {
            ClientRequest::Simple(query, _) => relay.run_simple_query(query).await,
            ClientRequest::Batch(batch) => relay.run_batch(batch).await,
        }
    }

    /// Completes a client request whose answer has arrived. Returns the connection unless a transaction is open, and
    /// sends the messages that the relay has held back; after a commit, waits for its confirmation first.
    async fn finish(
        &mut self,
        client_request: &ClientRequest,
        mut lease: Lease,
        report: relay::Report,
        may_repeat: bool,
    ) -> Result<AttemptResult, Error> {
        lease.needs_reset |=
            client_request.classes().iter().any(|s| !s.parsed) || report.batch_continued;
        self.record_settings(client_request, &mut lease, &report)
            .await;
        self.transaction_status = report.transaction_status;
        if !report.is_idle() && report.commit_point.is_none() {
            self.lease = Some(lease);
            self.send_held(&report.held_frames).await?;
            return Ok(AttemptResult::Answered);
        }
        let outcome = match report.commit_point {
            Some(point) if report.is_idle() => event::Outcome::Committed(point),
            // The connection is in a transaction that follows the commit, so the commit cannot be confirmed separately.
            Some(_) => event::Outcome::Unknown,
            None => event::Outcome::Answered,
        };
        self.transaction_status = b'I';
        let clean = report.is_idle() && self.reset_connection(&mut lease).await;
        let decision_receiver = self.return_connection(lease, outcome, clean);
        match outcome {
            event::Outcome::Answered => self.send_held(&report.held_frames).await?,
            event::Outcome::Committed(_) => match decision_receiver.await {
                Ok(engine::Decision::Acknowledge(group, point)) => {
                    self.proxy_settings.floor.raise(group, point);
                    self.send_acknowledgement(&report.held_frames).await?;
                }
                _ if may_repeat && !report.sent_to_caller => return Ok(AttemptResult::MayRepeat),
                _ => self.send_unconfirmed().await?,
            },
            _ => self.send_unconfirmed().await?,
        }
        Ok(AttemptResult::Answered)
    }

    async fn send_held(&mut self, held: &[frame::Frame]) -> Result<(), Error> {
        for held in held {
            self.caller.feed(held);
        }
        self.caller
            .send(&proxy_answers::ready_for_query(self.transaction_status))
            .await?;
        Ok(())
    }

    async fn send_acknowledgement(&mut self, held: &[frame::Frame]) -> Result<(), Error> {
        for held in held {
            self.caller.feed(held);
        }
        self.caller
            .feed(&proxy_answers::token_status(&self.proxy_settings.floor));
        self.caller
            .send(&proxy_answers::idle_ready_for_query())
            .await?;
        Ok(())
    }

    async fn send_unconfirmed(&mut self) -> Result<(), Error> {
        metrics::counter!("fulmarlift_unknown_outcomes_total").increment(1);
        // Also sent for a commit that cannot be confirmed separately, because a transaction follows it.
        let reason = "a majority did not confirm it in time";
        self.caller
            .feed(&answer::Answer::outcome_unknown(reason).frame());
        self.caller
            .send(&proxy_answers::idle_ready_for_query())
            .await?;
        Ok(())
    }

    /// Returns a connection to the engine. Closes a connection that a cancel request was sent for, because the cancel
    /// request may arrive late and would then hit the next request on the connection.
    fn return_connection(
        &self,
        lease: Lease,
        outcome: event::Outcome,
        clean: bool,
    ) -> engine::DecisionReceiver {
        let cancelled = self.registration.take_target();
        let clean = clean && !cancelled && !lease.needs_reset;
        let returned = event::Returned {
            request: lease.request,
            conn: lease.conn,
            outcome,
            clean,
        };
        self.engine.return_connection(returned, lease.backend)
    }

    /// Closes the connection of a request whose outcome may be unknown.
    pub(super) fn close_connection(&mut self, lease: Lease) {
        self.pending_settings.clear();
        self.transaction_status = b'I';
        drop(self.return_connection(lease, event::Outcome::Unknown, false));
    }

    /// Closes the connection of the open transaction, if there is one.
    pub(super) fn close_open_transaction(&mut self) {
        if let Some(lease) = self.lease.take() {
            self.close_connection(lease);
        }
    }

    /// Answers a client request whose relay failed. Ends the session if the last message to the caller is incomplete.
    async fn fail_relay(
        &mut self,
        client_request: &ClientRequest,
        failure: relay::Failure,
        unknown: bool,
    ) -> Result<(), Error> {
        let cut = failure.message_cut;
        self.send_failure(
            client_request,
            failure.error,
            unknown || failure.batch_continued,
        )
        .await?;
        match cut {
            true => Err(Error::Closed),
            false => Ok(()),
        }
    }

    async fn send_failure(
        &mut self,
        client_request: &ClientRequest,
        error: relay::Error,
        unknown: bool,
    ) -> Result<(), Error> {
        let reason = error.to_string();
        log::info!(
            "event=request_failed service={} unknown={unknown} error={reason:?}",
            self.identity.service_name
        );
        if let relay::Error::CallerSilent = error {
            return self.end_idle_transaction().await;
        }
        if let relay::Error::Refused(refusal) = error {
            let answer = answer::Answer::unsupported(refusal.feature, refusal.hint);
            return self.send_error(client_request, answer).await;
        }
        if let relay::Error::Caller(error) = error {
            return Err(Error::Frame(error));
        }
        if error.is_caller_failure() {
            return Err(Error::Closed);
        }
        let answer = match unknown {
            true => answer::Answer::outcome_unknown(&reason),
            false => answer::Answer::connection_lost(&reason),
        };
        self.send_error(client_request, answer).await
    }
}

fn is_repeatable(kind: request::Kind) -> bool {
    kind == request::Kind::Write { repeatable: true }
}
