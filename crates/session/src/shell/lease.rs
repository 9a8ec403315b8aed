//! Exclusive use of a connection by a request or transaction.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fulmarlift_broker::effect;
use fulmarlift_broker::event;
use fulmarlift_core::floor;
use fulmarlift_core::id;

use crate::clock;
use crate::deployment::Deployment;
use crate::link;
use crate::logging;
use crate::protocol;
use crate::protocol::member;
use crate::shell;

/// Exclusive use of a connection. A lease that is dropped without [`Lease::give_back`] closes the connection.
pub struct Lease<D: Deployment> {
    shell: Rc<shell::Shell<D>>,
    conn: id::ConnId,
    /// The connection; none once it is given back.
    upstream: Option<shell::Upstream<D>>,
    member: id::MemberId,
    /// Time at which the current statement started; none once its answer is reported.
    running_since: Option<Instant>,
    /// Floor of the current statement.
    floor: Option<floor::Point>,
    /// Caller's id of the current statement, for the log.
    request: Bytes,
}

impl<D: Deployment> Lease<D> {
    /// Creates the lease of a granted connection. The broker counts a statement as running on it already.
    pub(super) fn new(
        shell: &Rc<shell::Shell<D>>,
        conn: id::ConnId,
        upstream: shell::Upstream<D>,
    ) -> Self {
        Self {
            shell: Rc::clone(shell),
            conn,
            member: upstream.member(),
            upstream: Some(upstream),
            running_since: Some(clock::now()),
            floor: None,
            request: Bytes::new(),
        }
    }

    /// Returns the member or home at the other end.
    pub fn member(&self) -> id::MemberId {
        self.member
    }

    /// Returns the leased connection.
    pub fn upstream(&mut self) -> &mut shell::Upstream<D> {
        self.upstream
            .as_mut()
            .expect("a lease has its connection until it is given back")
    }

    /// Returns whether a home of the group is at the other end, rather than a member.
    pub fn is_home(&self) -> bool {
        self.upstream.as_ref().is_some_and(shell::Upstream::is_home)
    }

    /// Logs a grant with the belief about the leader under which it was made. `request` is the caller's id of the statement.
    pub fn log_belief(&self, grant: &effect::Grant, belief: &effect::Belief, request: &str) {
        let lease_ends_in_ms = belief.lease_expires_at.map(|expires_at| {
            expires_at
                .saturating_duration_since(clock::now())
                .as_millis()
        });
        let leader = belief.leader.map(|leader| self.shell.member_name(leader));
        log::info!(
            "event=granted request={} member={} verify={} leader={} leader_term={} lease_term={} lease_ends_in_ms={}",
            request,
            self.shell.member_name(grant.member),
            grant.verify,
            leader.as_deref().unwrap_or("none"),
            belief.leader_term,
            belief.lease_term,
            lease_ends_in_ms.unwrap_or_default(),
        );
    }

    /// Logs and counts a statement that is not sent. `request` is the caller's id of the statement.
    pub fn log_withheld(&self, request: &str, reason: protocol::Withheld) {
        metrics::counter!(
            "fulmarlift_statements_withheld_total",
            "reason" => reason.name(),
        )
        .increment(1);
        let member = self.shell.member_name(self.member);
        let name = reason.name();
        match reason {
            protocol::Withheld::State { expected, believed } => log::warn!(
                "event=statement_withheld request={request} member={member} reason={name} expected={expected:?} believed={believed:?}"
            ),
            protocol::Withheld::OutOfStep {
                left_bytes,
                unanswered,
            } => log::warn!(
                "event=statement_withheld request={request} member={member} reason={name} left_bytes={left_bytes} unanswered={unanswered}"
            ),
            protocol::Withheld::TooLong
            | protocol::Withheld::Unprepared
            | protocol::Withheld::Changed
            | protocol::Withheld::Closed => {
                log::warn!(
                    "event=statement_withheld request={request} member={member} reason={name}"
                );
            }
        }
    }

    /// Sets the caller's id of the statement that the connection is used for, for the log.
    pub fn set_request(&mut self, request: &Bytes) {
        self.request = request.clone();
        self.upstream().set_request(request);
    }

    /// Logs and counts how often the current statement was sent again since the member had no slot for it.
    pub fn log_refusals(&self, refusals: u32) {
        metrics::counter!("fulmarlift_statements_sent_again_total").increment(refusals.into());
        let member = self.shell.member_name(self.member);
        log::info!(
            "event=sent_again request={} first={member} second={member} code=Busy times={refusals}",
            logging::request_text(&self.request),
        );
    }

    /// Logs and counts a session value or prepared statement that the other end refused.
    pub fn log_values_refused(&self, code: &protocol::Code) {
        metrics::counter!("fulmarlift_session_values_refused_total").increment(1);
        log::warn!(
            "event=values_refused request={} member={} code={code:?}",
            logging::request_text(&self.request),
            self.shell.member_name(self.member),
        );
    }

    /// Logs and counts an answer whose transaction state is another one than the command leads to.
    pub fn log_state(
        &self,
        expected: protocol::TransactionState,
        told: protocol::TransactionState,
    ) {
        metrics::counter!("fulmarlift_states_differ_total").increment(1);
        log::warn!(
            "event=state_differs request={} member={} expected={expected:?} told={told:?}",
            logging::request_text(&self.request),
            self.shell.member_name(self.member),
        );
    }

    /// Returns whether nothing is left over on the connection, which is outside a transaction. Logs and counts it otherwise.
    fn is_in_step(&mut self) -> bool {
        match self.upstream().check_idle() {
            // A closed connection is found when it is to be granted.
            Ok(()) | Err(protocol::Withheld::Closed) => true,
            Err(reason) => {
                self.shell
                    .log_out_of_step(self.member, &self.request, reason);
                false
            }
        }
    }

    /// Sets the point that the next statement requires, for the report of its answer.
    pub fn set_floor(&mut self, floor: Option<floor::Point>) {
        self.floor = floor;
    }

    /// Reports to the broker that a further statement is sent. Does not report the first one, which the grant has counted.
    pub fn start_statement(&mut self) {
        if self.running_since.is_none() {
            self.shell
                .handle(event::Event::NextStatementStarted(self.member));
        }
        self.running_since = Some(clock::now());
    }

    /// Reports the answer to the running statement. Only the first report after each start counts.
    pub fn report(&mut self, answer: event::Answer, point: Option<floor::Point>) {
        let Some(since) = self.running_since.take() else {
            return;
        };
        let took = clock::now().saturating_duration_since(since);
        self.shell
            .handle(event::Event::StatementEnded(event::StatementReport {
                member: self.member,
                answer,
                point,
                floor: self.floor,
                connected_at: self.upstream.as_ref().map(shell::Upstream::connected_at),
                took: Some(took),
            }));
    }

    /// Reports that the connection failed before the answer. `commit` tells whether the answer to a commit is missing.
    pub fn report_failure(&mut self, error: &link::LinkError, commit: bool) {
        let answer = match error {
            link::LinkError::Silent => event::Answer::Silent { commit },
            link::LinkError::Broken(error) if error.kind() == std::io::ErrorKind::TimedOut => {
                event::Answer::Silent { commit }
            }
            link::LinkError::Broken(_) => event::Answer::Broken,
            link::LinkError::Wire(_) => event::Answer::Malformed,
            link::LinkError::Refused(protocol::Code::Busy) => event::Answer::Busy,
            link::LinkError::Refused(_) => event::Answer::Failed,
            link::LinkError::Withheld(_) => event::Answer::Unfinished,
            link::LinkError::State { expected, told } => {
                self.log_state(*expected, *told);
                event::Answer::Unfinished
            }
        };
        self.report(answer, None);
    }

    /// Sends the appended commands and returns the answer to the oldest unanswered command.
    ///
    /// # Errors
    ///
    /// [`link::LinkError`] when the connection is unusable from now on.
    pub async fn exchange(&mut self, deadline: Instant) -> Result<member::Answer, link::LinkError> {
        self.upstream().exchange(deadline).await
    }

    /// Gives a connection without a transaction back to the idle connections; closes it if anything is left over on it.
    pub fn give_back(mut self) {
        self.report(event::Answer::Unfinished, None);
        if !self.is_in_step() {
            return;
        }
        if let Some(mut upstream) = self.upstream.take() {
            upstream.set_request(&Bytes::new());
            let mut inner = self.shell.inner.borrow_mut();
            inner.idle.insert(self.conn, upstream);
        }
        self.shell.handle(event::Event::Returned {
            conn: self.conn,
            reusable: true,
        });
    }

    /// Rolls an abandoned transaction back in the background, then gives the connection back. A connection on which a statement
    /// is unanswered is closed, which also rolls the transaction back.
    pub fn roll_back(mut self)
    where
        D: Deployment,
    {
        const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(1_000);
        // Outside the transaction, the newest answer may have been that to another command, so the connection is closed.
        if !matches!(
            self.upstream().check_idle(),
            Err(protocol::Withheld::State { .. })
        ) {
            return;
        }
        tokio::task::spawn_local(async move {
            let deadline = clock::now() + ROLLBACK_TIMEOUT;
            let rollback = member::Command::Rollback;
            match self.upstream().request(rollback, deadline).await {
                Ok(answer) if answer.state == crate::protocol::TransactionState::Idle => {
                    self.give_back()
                }
                // The dropped lease closes the connection, which also rolls the transaction back.
                _ => {}
            }
        });
    }
}

impl<D: Deployment> shell::Shell<D> {
    /// Logs and counts a connection that is closed since something is left over on it. `request` is the caller's id of the statement
    /// that it was last used for, empty if it was idle.
    pub(super) fn log_out_of_step(
        &self,
        member: id::MemberId,
        request: &Bytes,
        reason: protocol::Withheld,
    ) {
        let (left_bytes, unanswered, state) = match reason {
            protocol::Withheld::OutOfStep {
                left_bytes,
                unanswered,
            } => (left_bytes, unanswered, protocol::TransactionState::Idle),
            protocol::Withheld::State { expected, .. } => (0, 0, expected),
            protocol::Withheld::Closed
            | protocol::Withheld::TooLong
            | protocol::Withheld::Unprepared
            | protocol::Withheld::Changed => return,
        };
        metrics::counter!("fulmarlift_connections_out_of_step_total").increment(1);
        log::warn!(
            "event=connection_out_of_step request={} member={} left_bytes={left_bytes} unanswered={unanswered} state={state:?}",
            logging::request_text(request),
            self.member_name(member),
        );
    }
}

impl<D: Deployment> Drop for Lease<D> {
    fn drop(&mut self) {
        self.report(event::Answer::Unfinished, None);
        if let Some(upstream) = self.upstream.take() {
            upstream.close();
            self.shell.handle(event::Event::Returned {
                conn: self.conn,
                reusable: false,
            });
        }
    }
}
