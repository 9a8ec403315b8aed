//! Exclusive use of a connection by a request or transaction.

use std::rc::Rc;
use std::time::{Duration, Instant};

use fulmarlift_broker::effect;
use fulmarlift_broker::event;
use fulmarlift_core::floor;
use fulmarlift_core::id;

use crate::clock;
use crate::deployment::Deployment;
use crate::link;
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
        log::warn!(
            "event=statement_withheld request={request} member={} reason={}",
            self.shell.member_name(self.member),
            reason.name(),
        );
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
            link::LinkError::Broken(_) | link::LinkError::Wire(_) => event::Answer::Broken,
            link::LinkError::Withheld(_) => event::Answer::Unfinished,
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

    /// Gives a connection without a transaction back to the idle connections.
    pub fn give_back(mut self) {
        self.report(event::Answer::Unfinished, None);
        if let Some(upstream) = self.upstream.take() {
            let mut inner = self.shell.inner.borrow_mut();
            inner.idle.insert(self.conn, upstream);
        }
        self.shell.handle(event::Event::Returned {
            conn: self.conn,
            reusable: true,
        });
    }

    /// Rolls an abandoned transaction back in the background, then gives the connection back.
    pub fn roll_back(mut self)
    where
        D: Deployment,
    {
        const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(1_000);
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
