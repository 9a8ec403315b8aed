//! Transactions of a session, each on a connection of its own from its first statement to its end.

use std::time::{Duration, Instant};

use fulmarlift_broker::event;
use fulmarlift_core::id;

use crate::clock;
use crate::deployment::Deployment;
use crate::link;
use crate::protocol;
use crate::protocol::caller;
use crate::protocol::caller::Codec;
use crate::protocol::member;
use crate::session;
use crate::session::attempt::{self, classify_code};
use crate::session::scope;
use crate::session::single;
use crate::session::statement;
use crate::shell;

/// Delay before a statement is sent again that the member refused for lack of a slot: about the mean time of a statement.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Most attempts to begin a transaction, each on a newly granted connection.
const ATTEMPTS_MAX: u32 = 6;

/// Text of the answer to a statement after which a write of the transaction may be kept.
const WRITE_IN_DOUBT: &str = "a write may have run outside the transaction";

/// A session's transaction.
pub enum Transaction<D: Deployment> {
    /// The session is not in a transaction.
    None,
    /// The caller has begun the transaction, but no member has yet: the first statement opens it there.
    Pending {
        /// Statement of the caller that began the transaction.
        begin: statement::MemberStatement,
        /// Route and workspace of the transaction's statements.
        scope: scope::Scope,
    },
    /// The transaction is open on a connection.
    Open {
        /// Connection that the transaction uses.
        lease: Box<shell::Lease<D>>,
        /// Route and workspace of the transaction's statements.
        scope: scope::Scope,
        /// Whether a write was sent.
        wrote: bool,
        /// Whether a write succeeded, so that a commit has an effect.
        has_changes: bool,
    },
    /// The transaction was rolled back, but the caller has not ended it yet.
    Failed {
        /// Whether an answer has told the caller of the rollback.
        reported: bool,
        /// Whether a write may have run outside the transaction, or its home does not know its outcome.
        in_doubt: bool,
    },
}

impl<D: Deployment> Transaction<D> {
    /// Creates a transaction that no member has begun yet.
    pub(super) fn pending(
        mode: protocol::Mode,
        query: &caller::Query,
        scope: scope::Scope,
    ) -> Self {
        let begin = statement::MemberStatement::direct(query, member::Verb::Begin(mode));
        Self::Pending { begin, scope }
    }

    pub(super) fn state(&self) -> protocol::TransactionState {
        match self {
            Self::None => protocol::TransactionState::Idle,
            Self::Pending { .. } | Self::Open { .. } => protocol::TransactionState::Transaction,
            Self::Failed { .. } => protocol::TransactionState::Failed,
        }
    }

    pub(super) fn holds_connection(&self) -> bool {
        matches!(self, Self::Open { .. })
    }

    /// Returns the workspace on whose behalf the transaction runs.
    pub(super) fn workspace(&self) -> Option<id::WorkspaceId> {
        match self {
            Self::Pending { scope, .. } | Self::Open { scope, .. } => scope.workspace,
            Self::None | Self::Failed { .. } => None,
        }
    }

    /// Marks the state of the transaction's connection as uncertain after the session's values changed: a rollback may or may
    /// not undo the change at the member.
    pub(super) fn mark_state_uncertain(&mut self) {
        if let Self::Open { lease, .. } = self {
            lease.upstream().connection_state().mark_uncertain();
        }
    }

    /// Applies the remaining time that a forwarding proxy sent with the next statement.
    pub(super) fn set_options(&mut self, options: &caller::StatementOptions) {
        if let Self::Pending { scope, .. } | Self::Open { scope, .. } = self {
            let route = &mut scope.route;
            route.statement_timeout_ms = options.timeout_ms;
            route.objective_ms = options.objective_ms;
        }
    }

    /// Ends the transaction and rolls it back at the member, in the background.
    pub(super) fn abandon(&mut self) {
        if let Self::Open { lease, .. } = std::mem::replace(self, Self::None) {
            lease.roll_back();
        }
    }

    /// Rolls the transaction back. The caller must still end it with a commit or rollback.
    pub(super) fn fail(&mut self, reported: bool) {
        self.abandon();
        let in_doubt = false;
        *self = Self::Failed { reported, in_doubt };
    }

    /// Ends the transaction after a statement whose answer does not show whether a write has run outside the transaction.
    fn fail_in_doubt(&mut self) {
        self.abandon();
        let (reported, in_doubt) = (true, true);
        *self = Self::Failed { reported, in_doubt };
    }

    /// Returns whether the transaction was rolled back without an answer to the caller yet, and marks it as reported.
    pub(super) fn take_unreported_failure(&mut self) -> bool {
        match self {
            Self::Failed { reported, .. } => !std::mem::replace(reported, true),
            _ => false,
        }
    }
}

impl<D: Deployment, C: Codec> session::Session<D, C> {
    /// Runs a statement in the session's transaction and answers the caller.
    pub(super) async fn execute_in_transaction(&mut self, statement: statement::MemberStatement) {
        if let Err(failure) = self.open_transaction().await {
            return self.fail_transaction(&statement, &failure);
        }
        let session_state = std::rc::Rc::clone(&self.session_state);
        let Transaction::Open {
            lease,
            scope,
            wrote,
            has_changes,
            ..
        } = &mut self.transaction
        else {
            return self.answer_error(&protocol::Code::Aborted, "the transaction has ended");
        };
        let timing = single::Timing::new(&scope.route);
        *wrote |= statement.mode == protocol::Mode::Write;
        lease.set_request(&statement.id);
        lease.start_statement();
        let believed = protocol::TransactionState::Transaction;
        let synchronized =
            attempt::synchronize(lease, &session_state, &statement, believed, timing.deadline)
                .await;
        let answered = match synchronized {
            Ok(()) => exchange(lease, &statement, timing.deadline, timing.options(scope)).await,
            Err(error) => Err(error),
        };
        match answered {
            Ok(answer) => {
                let classified = answer.error().map_or(event::Answer::Served, classify_code);
                lease.report(classified, answer.point);
                if answer.error() == Some(&protocol::Code::NoStatement) {
                    lease.upstream().connection_state().mark_uncertain();
                }
                *has_changes |= statement.mode == protocol::Mode::Write && answer.error().is_none();
                if answer.state != protocol::TransactionState::Transaction {
                    log::info!(
                        "event=transaction_failed request={} state={:?} end={:?}",
                        statement.id_text(),
                        answer.state,
                        answer.end
                    );
                    if *wrote && leaves_doubt(&answer) {
                        self.transaction.fail_in_doubt();
                        return self.answer_error(&protocol::Code::InDoubt, WRITE_IN_DOUBT);
                    }
                    self.transaction.fail(true);
                }
                self.relay_answer(&answer);
            }
            Err(error) => {
                lease.report_failure(&error, false);
                // A write that ran outside the transaction, as the state in its answer shows, is kept.
                let in_doubt = *wrote && ended_transaction(&error);
                let failure = single::Failure {
                    code: match in_doubt {
                        true => protocol::Code::InDoubt,
                        false => protocol::Code::Aborted,
                    },
                    text: error.to_string(),
                    attempts: None,
                };
                // The member rolls the transaction back: on command if the connection is usable, otherwise when it is closed.
                match error {
                    link::LinkError::Withheld(_) | link::LinkError::Refused(_) => {
                        self.transaction.fail(true)
                    }
                    _ if in_doubt => self.transaction.fail_in_doubt(),
                    _ => {
                        let reported = true;
                        self.transaction = Transaction::Failed { reported, in_doubt };
                    }
                }
                self.log_failure(&statement, &failure);
                self.answer_error(&failure.code, &failure.text);
            }
        }
    }

    fn fail_transaction(
        &mut self,
        statement: &statement::MemberStatement,
        failure: &single::Failure,
    ) {
        self.log_failure(statement, failure);
        let (reported, in_doubt) = (true, false);
        self.transaction = Transaction::Failed { reported, in_doubt };
        self.answer_error(&failure.code, &failure.text);
    }

    fn log_failure(&self, statement: &statement::MemberStatement, failure: &single::Failure) {
        log::info!(
            "event=failed request={} database={} in_transaction=true code={:?} text=\"{}\"{}",
            statement.id_text(),
            self.database_field(),
            failure.code,
            failure.text,
            failure.attempts_text(&self.shell)
        );
    }

    /// Opens the transaction if it is pending, and charges it to its workspace unless it is not begun.
    async fn open_transaction(&mut self) -> Result<(), single::Failure> {
        let Transaction::Pending { begin, scope } = &self.transaction else {
            return Ok(());
        };
        let (begin, scope) = (begin.clone(), scope.clone());
        let timing = single::Timing::new(&scope.route);
        let charge = self.charge(&scope, timing).await?;
        // The key may have been removed while the operation waited for its token.
        if !self.is_key_valid() {
            charge.put_back();
            let denied = scope::Denied::Unauthorized;
            return Err(single::Failure::denied(denied));
        }
        let opened = self.begin_transaction_at_member(begin, scope, timing).await;
        // A `BEGIN` whose answer was lost may have run.
        let is_unsent = |failure: &single::Failure| failure.attempts.is_none();
        if opened.as_ref().is_err_and(is_unsent) {
            charge.put_back();
        }
        opened
    }

    /// Requests a connection and begins the transaction at the member.
    async fn begin_transaction_at_member(
        &mut self,
        begin: statement::MemberStatement,
        scope: scope::Scope,
        timing: single::Timing,
    ) -> Result<(), single::Failure> {
        let route = &scope.route;
        let mut avoid = None;
        let mut earlier: Option<single::Earlier> = None;
        let mut attempts = 0;
        for attempt in 1..=ATTEMPTS_MAX {
            if clock::now() >= timing.deadline {
                break;
            }
            attempts = attempt;
            let requirement =
                single::requirement(route, begin.mode, self.session_commits.point(route.group));
            let admission = single::request_connection(
                &self.shell,
                &scope,
                requirement,
                timing,
                avoid,
                false,
                self.is_forwarded(),
            )
            .await;
            let (mut lease, grant) = match admission {
                shell::Admission::Granted { lease, grant } => (lease, grant),
                shell::Admission::Refused(refusal) => {
                    return Err(single::Failure::refused(&refusal).after(attempt - 1, earlier));
                }
            };
            avoid = Some(grant.member);
            lease.set_request(&begin.id);
            if let Some(earlier) = &earlier {
                earlier.log_repetition(&self.shell, &begin, grant.member);
            }
            if let Some(belief) = &grant.new_belief {
                lease.log_belief(&grant, belief, &begin.id_text());
            }
            // A `BEGIN` is a statement, too: it runs with its session's values.
            let session_state = std::rc::Rc::clone(&self.session_state);
            let believed = protocol::TransactionState::Idle;
            let synchronized = attempt::synchronize(
                &mut lease,
                &session_state,
                &begin,
                believed,
                timing.deadline,
            )
            .await;
            if let Err(error) = synchronized {
                lease.report_failure(&error, false);
                match &error {
                    link::LinkError::Withheld(reason) if !reason.concerns_connection() => {
                        lease.give_back();
                        return Err(single::Failure::withheld(*reason));
                    }
                    link::LinkError::Refused(_) => lease.give_back(),
                    _ => {}
                }
                let reason = attempt::Unrun::from(error);
                let refused =
                    single::Earlier::new(grant.member, reason.cause(), reason.to_string());
                refused.log_failure(&self.shell, &begin);
                earlier = Some(refused);
                continue;
            }
            let mut floor = grant.floor;
            if grant.verify {
                match attempt::verify_leader(&mut lease, timing.deadline).await {
                    Ok(point) => floor = floor.max(point),
                    Err(reason) => {
                        if matches!(reason, attempt::Unrun::Refused(_)) {
                            lease.give_back();
                        }
                        let refused =
                            single::Earlier::new(grant.member, reason.cause(), reason.to_string());
                        refused.log_failure(&self.shell, &begin);
                        earlier = Some(refused);
                        continue;
                    }
                }
            }
            let refused = match self
                .begin_on(&mut lease, &begin, &scope, floor, grant.verify, timing)
                .await
            {
                Ok(Begun::Yes) => {
                    self.transaction = Transaction::Open {
                        lease,
                        scope,
                        wrote: false,
                        has_changes: false,
                    };
                    return Ok(());
                }
                Ok(Begun::No { cause, text }) => single::Earlier::new(grant.member, cause, text),
                Err(reason) if reason.concerns_connection() => {
                    let cause = format!("code={}", reason.name());
                    single::Earlier::new(grant.member, cause, reason.to_string())
                }
                Err(reason) => {
                    lease.give_back();
                    return Err(single::Failure::withheld(reason));
                }
            };
            refused.log_failure(&self.shell, &begin);
            earlier = Some(refused);
        }
        let in_time = clock::now() < timing.deadline;
        let what = "the transaction was not begun";
        let failure = single::Failure {
            code: protocol::Code::Busy,
            text: single::exhausted_text(what, in_time, attempts, earlier.as_ref()),
            attempts: None,
        };
        Err(failure.after(attempts, earlier))
    }

    /// Begins a transaction on a granted connection, if the member accepts it. `verified` tells that the answer
    /// to the rollback by [`attempt::verify_leader`] comes first.
    ///
    /// # Errors
    ///
    /// [`protocol::Withheld`] if the statement must not be sent; the connection is usable unless the reason concerns it.
    async fn begin_on(
        &self,
        lease: &mut shell::Lease<D>,
        begin: &statement::MemberStatement,
        scope: &scope::Scope,
        floor: Option<fulmarlift_core::floor::Point>,
        verified: bool,
        timing: single::Timing,
    ) -> Result<Begun, protocol::Withheld> {
        let sent_at = clock::now();
        lease.set_floor(floor);
        let believed = protocol::TransactionState::Idle;
        let pushed = begin.push(lease, believed, floor, timing.options(scope));
        if let Err(reason) = pushed
            && reason.concerns_connection()
        {
            return Err(reason);
        }
        if verified && let Err(error) = attempt::end_verification(lease, timing.deadline).await {
            return Ok(Begun::failed(&error));
        }
        pushed?;
        match lease.exchange(timing.deadline).await {
            Ok(answer) => {
                let begun = answer.error().is_none()
                    && answer.state == protocol::TransactionState::Transaction;
                let success = match begin.mode {
                    protocol::Mode::Write if !lease.is_home() => event::Answer::Led {
                        sent_at,
                        commit: false,
                    },
                    _ => event::Answer::Served,
                };
                lease.report(answer.error().map_or(success, classify_code), answer.point);
                Ok(match (begun, answer.error()) {
                    (true, _) => Begun::Yes,
                    (false, Some(code)) => Begun::No {
                        cause: format!("code={code:?}"),
                        text: format!("refused with {code:?}"),
                    },
                    (false, None) => Begun::No {
                        cause: format!("state={:?}", answer.state),
                        text: format!("in state {:?} after it", answer.state),
                    },
                })
            }
            Err(error) => {
                lease.report_failure(&error, false);
                Ok(Begun::failed(&error))
            }
        }
    }

    /// Commits the session's transaction and answers the caller. A transaction without statements is first opened at a
    /// member.
    pub(super) async fn commit(&mut self, query: &caller::Query) {
        match self.transaction.state() {
            protocol::TransactionState::Idle => {
                return self.answer_error(&protocol::Code::Malformed, "not in a transaction");
            }
            protocol::TransactionState::Failed => {
                let ended = std::mem::replace(&mut self.transaction, Transaction::None);
                return match ended {
                    Transaction::Failed { in_doubt: true, .. } => {
                        self.answer_error(&protocol::Code::InDoubt, WRITE_IN_DOUBT)
                    }
                    _ => self
                        .answer_error(&protocol::Code::Aborted, "the transaction was rolled back"),
                };
            }
            protocol::TransactionState::Transaction => {}
        }
        let statement = statement::MemberStatement::direct(query, member::Verb::Commit);
        if let Err(failure) = self.open_transaction().await {
            self.transaction = Transaction::None;
            log::info!(
                "event=failed request={} commit=true code={:?} text=\"{}\"{}",
                statement.id_text(),
                failure.code,
                failure.text,
                failure.attempts_text(&self.shell)
            );
            return self.answer_error(&failure.code, &failure.text);
        }
        let ended = std::mem::replace(&mut self.transaction, Transaction::None);
        let Transaction::Open {
            mut lease,
            scope,
            wrote,
            has_changes,
        } = ended
        else {
            return self.answer_error(&protocol::Code::Aborted, "the transaction has ended");
        };
        let group = scope.route.group;
        let timing = single::Timing::new(&scope.route);
        lease.set_request(&statement.id);
        lease.start_statement();
        // A transaction without statements was begun on a connection that may have the values of another session.
        let session_state = std::rc::Rc::clone(&self.session_state);
        let believed = protocol::TransactionState::Transaction;
        let synchronized = attempt::synchronize(
            &mut lease,
            &session_state,
            &statement,
            believed,
            timing.deadline,
        )
        .await;
        if let Err(error) = synchronized {
            lease.report_failure(&error, false);
            let code = match wrote && ended_transaction(&error) {
                true => protocol::Code::InDoubt,
                false => protocol::Code::Aborted,
            };
            log::info!(
                "event=failed request={} commit=true code={code:?} text=\"{error}\"",
                statement.id_text()
            );
            // The member rolls the transaction back: on command if the connection is usable, otherwise when it is closed.
            let is_usable = match &error {
                link::LinkError::Withheld(reason) => !reason.concerns_connection(),
                link::LinkError::Refused(_) => true,
                _ => false,
            };
            if is_usable {
                lease.roll_back();
            }
            return self.answer_error(&code, &error.to_string());
        }
        let sent_at = clock::now();
        let seen_before = self.shell.newest_log_end(group);
        match exchange(
            &mut lease,
            &statement,
            timing.deadline,
            timing.options(&scope),
        )
        .await
        {
            Ok(answer) => {
                // A member that has lost the lead still commits a transaction that wrote nothing.
                let success = if has_changes && !lease.is_home() {
                    let commit = true;
                    event::Answer::Led { sent_at, commit }
                } else {
                    event::Answer::Served
                };
                lease.report(answer.error().map_or(success, classify_code), answer.point);
                if answer.error().is_none()
                    && wrote
                    && let Some(point) = answer.point
                {
                    self.session_commits.raise(group, point);
                }
                if let Some(code) = answer.error() {
                    log::info!(
                        "event=commit_failed request={} code={code:?}",
                        statement.id_text()
                    );
                }
                let tells_commit = has_changes && answer.error().is_none();
                let needs_confirmation = tells_commit && !lease.is_home();
                match answer.state {
                    protocol::TransactionState::Idle => lease.give_back(),
                    protocol::TransactionState::Transaction
                    | protocol::TransactionState::Failed => lease.roll_back(),
                }
                let shell = std::rc::Rc::clone(&self.shell);
                if needs_confirmation
                    && !shell
                        .confirm_commit(group, answer.point, timing.deadline)
                        .await
                {
                    let failure = single::unconfirmed_failure();
                    log::info!(
                        "event=failed request={} commit=true code={:?} text=\"{}\"",
                        statement.id_text(),
                        failure.code,
                        failure.text
                    );
                    return self.answer_error(&failure.code, &failure.text);
                }
                if tells_commit {
                    let request = statement.id_text();
                    shell.record_told_commit(group, request, answer.point, seen_before);
                }
                self.relay_answer(&answer);
            }
            Err(error) => {
                lease.report_failure(&error, wrote);
                // A transaction without writes has no effect, whether the member committed it or not.
                let was_sent = !matches!(error, link::LinkError::Withheld(_));
                let code = if wrote && was_sent {
                    protocol::Code::InDoubt
                } else {
                    protocol::Code::Aborted
                };
                log::info!(
                    "event=failed request={} commit=true code={code:?} error=\"{error}\"",
                    statement.id_text()
                );
                self.answer_error(&code, &error.to_string());
            }
        }
    }
}

/// Result of an attempt to begin a transaction.
enum Begun {
    Yes,
    /// The member has not begun it, or the connection is unusable; `cause` is a log key with its value.
    No {
        cause: String,
        text: String,
    },
}

impl Begun {
    fn failed(error: &link::LinkError) -> Self {
        Self::No {
            cause: format!("error=\"{error}\""),
            text: error.to_string(),
        }
    }
}

/// Returns whether an answer that ends the transaction leaves open what became of its writes: the member has ended the transaction,
/// and the statement may have run outside of it, or a home does not know the outcome.
fn leaves_doubt(answer: &member::Answer) -> bool {
    match answer.error() {
        Some(protocol::Code::InDoubt) => true,
        Some(code) if code.means_not_run() || *code == protocol::Code::Aborted => false,
        _ => answer.state == protocol::TransactionState::Idle,
    }
}

/// Returns whether an error shows that the other end is outside the transaction after a statement that succeeded.
fn ended_transaction(error: &link::LinkError) -> bool {
    let told = protocol::TransactionState::Idle;
    matches!(error, link::LinkError::State { told: state, .. } if *state == told)
}

/// Sends a statement of a transaction; retries until the deadline while the member has no slot for it.
async fn exchange<D: Deployment>(
    lease: &mut shell::Lease<D>,
    statement: &statement::MemberStatement,
    deadline: Instant,
    options: caller::StatementOptions,
) -> Result<member::Answer, link::LinkError> {
    let believed = protocol::TransactionState::Transaction;
    let mut refusals = 0;
    loop {
        statement.push(lease, believed, None, options)?;
        let answer = lease.exchange(deadline).await?;
        let busy = answer.error() == Some(&protocol::Code::Busy)
            && answer.state == protocol::TransactionState::Transaction;
        if !busy || clock::now() + BUSY_RETRY_DELAY >= deadline {
            if refusals > 0 {
                lease.log_refusals(refusals);
            }
            return Ok(answer);
        }
        refusals += 1;
        tokio::time::sleep(BUSY_RETRY_DELAY).await;
    }
}
