//! Runs statements outside transactions, with retries, and hedges slow reads.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fulmarlift_broker::effect;
use fulmarlift_broker::request;
use fulmarlift_broker::topology;
use fulmarlift_core::id;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::sync::watch;

use crate::clock;
use crate::deployment::Deployment;
use crate::link;
use crate::protocol;
use crate::protocol::caller;
use crate::protocol::caller::Codec;
use crate::protocol::member;
use crate::quota;
use crate::session;
use crate::session::attempt;
use crate::session::scope;
use crate::session::statement;
use crate::shell;
use crate::values;

/// Part of a statement's timeout that the proxy reserves for sending the answer to the caller.
const ANSWER_MARGIN: Duration = Duration::from_millis(40);
/// Most attempts of one statement, hedges included: enough to try each member of a group of three twice.
const ATTEMPTS_MAX: u32 = 6;

/// Part of the objective for which an operation waits for a token of its workspace. One that waits longer would then be refused for lack of
/// time to be answered; its caller does better to come back later.
const TOKEN_WAIT_PART: u32 = 4;

/// Pause before a read whose answer was lost or malformed twice is sent again. Each further time doubles the pause.
const REPEAT_PAUSE_MIN: Duration = Duration::from_millis(10);

/// Arrival time, deadlines and hedge time of one statement.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Arrival of the statement.
    pub arrived_at: Instant,
    /// Time by which the statement should be answered.
    pub objective_at: Instant,
    /// Time by which a member must have answered.
    pub deadline: Instant,
    /// Time at which a read starts at a second member if the first has not answered.
    pub hedge_at: Instant,
}

impl Timing {
    /// Derives the timing of a statement that arrives now.
    pub fn new(route: &topology::Route) -> Self {
        let arrived_at = clock::now();
        let objective = Duration::from_millis(u64::from(route.objective_ms));
        let timeout = Duration::from_millis(u64::from(route.statement_timeout_ms));
        Self {
            arrived_at,
            objective_at: arrived_at + objective,
            deadline: arrived_at + timeout.saturating_sub(ANSWER_MARGIN),
            hedge_at: arrived_at + objective.min(timeout) / 2,
        }
    }

    /// Delays the hedge of a statement that this proxy forwards, so that the home hedges first.
    fn delay_hedge(&mut self) {
        let wait = self.hedge_at.saturating_duration_since(self.arrived_at);
        self.hedge_at += wait / 2;
    }

    /// Returns the options for a home, with the remaining time.
    pub fn options(&self, scope: &scope::Scope) -> caller::StatementOptions {
        let remaining_ms = |deadline: Instant| {
            let remaining = deadline.saturating_duration_since(clock::now());
            u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX)
        };
        caller::StatementOptions {
            consistency: scope.route.consistency,
            timeout_ms: remaining_ms(self.deadline),
            objective_ms: remaining_ms(self.objective_at),
            priority: scope.route.priority,
            workspace: scope.workspace,
        }
    }
}

/// Returns the requirement of a read, or of a transaction that reads and may write, on its member.
pub fn requirement(
    route: &topology::Route,
    mode: protocol::Mode,
    session_commit: Option<fulmarlift_core::floor::Point>,
) -> request::Requirement {
    let age_ms = route.consistency.max_staleness_ms().unwrap_or(0);
    let now = clock::now();
    let acknowledged_before = now
        .checked_sub(Duration::from_millis(u64::from(age_ms)))
        .unwrap_or(now);
    match (mode, route.consistency) {
        (protocol::Mode::Write, _) => request::Requirement::LeaderForReads {
            acknowledged_before,
        },
        (protocol::Mode::Read, topology::Consistency::Leader) => {
            request::Requirement::VerifiedLeader {
                acknowledged_before,
            }
        }
        (protocol::Mode::Read, consistency) => request::Requirement::Recent {
            acknowledged_before,
            session_commit: session_commit
                .filter(|_| matches!(consistency, topology::Consistency::OwnWrites { .. })),
        },
    }
}

/// Error that the proxy sends to the caller and logs when a statement fails and there is no answer of a member to relay.
#[derive(Debug)]
pub struct Failure {
    /// Error code for the caller.
    pub code: protocol::Code,
    /// Text for the caller and the log.
    pub text: String,
    /// Attempts that were made, and the last one that ended; none if the log is not to tell them.
    pub(super) attempts: Option<(u32, Earlier)>,
}

impl Failure {
    /// Converts a refusal of the broker; the text says when the caller may retry.
    pub fn refused(refusal: &effect::Refusal) -> Self {
        let wait = refusal.retry_at.saturating_duration_since(clock::now());
        Self {
            code: protocol::Code::Busy,
            text: format!("{}, retry after {} ms", refusal.reason, wait.as_millis()),
            attempts: None,
        }
    }

    /// Returns the failure of a statement that must not run.
    pub(super) fn denied(denied: scope::Denied) -> Self {
        Self {
            code: denied.code(),
            text: denied.to_string(),
            attempts: None,
        }
    }

    /// Returns the failure of a statement that no member got, and that none would.
    pub fn withheld(reason: protocol::Withheld) -> Self {
        Self {
            code: protocol::Code::Aborted,
            text: reason.to_string(),
            attempts: None,
        }
    }

    /// Adds the attempts that were made, for the log.
    pub(super) fn after(mut self, attempts: u32, last: Option<Earlier>) -> Self {
        self.attempts = last.map(|last| (attempts, last));
        self
    }

    /// Returns the attempts as fields of a line, each with a space before it.
    pub(super) fn attempts_text<D: Deployment>(&self, shell: &shell::Shell<D>) -> String {
        match &self.attempts {
            Some((attempts, last)) => {
                let member = shell.member_name(last.member);
                format!(
                    " attempts={attempts} last_member={member} last_{}",
                    last.cause
                )
            }
            None => String::new(),
        }
    }
}

impl<D: Deployment, C: Codec> session::Session<D, C> {
    /// Runs a statement outside transactions and answers the caller.
    pub(super) async fn execute_single(&mut self, statement: statement::MemberStatement) {
        let scope = match self.scope() {
            Ok(scope) => scope,
            Err(denied) => return self.answer_error(&denied.code(), &denied.to_string()),
        };
        let route = &scope.route;
        let mut timing = Timing::new(route);
        let forwarded = self.is_forwarded();
        if !forwarded
            && self
                .shell
                .with_broker(|broker| broker.forwards_requests(route.group))
        {
            timing.delay_hedge();
        }
        let charge = match self.charge(&scope, timing).await {
            Ok(charge) => charge,
            Err(failure) => {
                self.log_failed(&statement, &failure, timing);
                return self.answer_error(&failure.code, &failure.text);
            }
        };
        // The key may have been removed while the operation waited for its token.
        if !self.is_key_valid() {
            charge.put_back();
            let denied = scope::Denied::Unauthorized;
            return self.answer_error(&denied.code(), &denied.to_string());
        }
        let session_commit = self.session_commits.point(route.group);
        let session_state = Rc::clone(&self.session_state);
        let statement = Rc::new(statement);
        let requirement = requirement(route, statement.mode, session_commit);
        let (ended, may_have_run) = match statement.mode {
            protocol::Mode::Read => {
                let job = ReadJob {
                    shell: Rc::clone(&self.shell),
                    statement: Rc::clone(&statement),
                    session_state,
                    scope: scope.clone(),
                    requirement,
                    timing,
                    forwarded,
                    current_member: Cell::new(None),
                    ended: watch::Sender::new(false),
                };
                read(Rc::new(job)).await
            }
            protocol::Mode::Write => {
                let ended = write(
                    &self.shell,
                    &statement,
                    &session_state,
                    &scope,
                    timing,
                    forwarded,
                )
                .await;
                let may_have_run = !is_refusal(&ended);
                (ended, may_have_run)
            }
        };
        if !may_have_run {
            charge.put_back();
        }
        match ended {
            Ok(answer) => {
                if statement.mode == protocol::Mode::Write
                    && answer.error().is_none()
                    && let Some(point) = answer.point
                {
                    self.session_commits.raise(route.group, point);
                }
                record_metrics(&statement, &timing, "served");
                self.relay_answer(&answer);
            }
            Err(failure) => {
                self.log_failed(&statement, &failure, timing);
                self.answer_error(&failure.code, &failure.text);
            }
        }
    }

    /// Charges an operation to its workspace. A statement that another proxy forwards was charged there.
    pub(super) async fn charge(
        &self,
        scope: &scope::Scope,
        timing: Timing,
    ) -> Result<quota::Charge<D>, Failure> {
        if self.is_forwarded() {
            return Ok(quota::Charge::free());
        }
        let objective = timing
            .objective_at
            .saturating_duration_since(timing.arrived_at);
        let deadline = timing
            .deadline
            .min(timing.arrived_at + objective / TOKEN_WAIT_PART);
        let charged = self.shell.charge_operation(scope.workspace, deadline);
        charged.await.map_err(|retry_after| Failure {
            code: protocol::Code::Busy,
            text: format!(
                "quota of the workspace, retry after {} ms",
                retry_after.as_millis()
            ),
            attempts: None,
        })
    }

    fn log_failed(
        &self,
        statement: &statement::MemberStatement,
        failure: &Failure,
        timing: Timing,
    ) {
        record_metrics(statement, &timing, "failed");
        let waited = clock::now().saturating_duration_since(timing.arrived_at);
        log::info!(
            "event=failed request={} database={} mode={:?} code={:?} text=\"{}\" after_ms={}{}",
            statement.id_text(),
            self.database_field(),
            statement.mode,
            failure.code,
            failure.text,
            waited.as_millis(),
            failure.attempts_text(&self.shell)
        );
    }
}

/// Returns whether the last attempt was refused, or never made.
fn is_refusal(ended: &Result<member::Answer, Failure>) -> bool {
    match ended {
        Ok(answer) => answer.error().is_some_and(protocol::Code::means_not_run),
        Err(failure) => matches!(failure.code, protocol::Code::Busy | protocol::Code::Aborted),
    }
}

fn record_metrics(statement: &statement::MemberStatement, timing: &Timing, outcome: &'static str) {
    let mode = match statement.mode {
        protocol::Mode::Read => "read",
        protocol::Mode::Write => "write",
    };
    metrics::counter!("fulmarlift_statements_total", "mode" => mode, "outcome" => outcome)
        .increment(1);
    metrics::histogram!("fulmarlift_statement_seconds", "mode" => mode)
        .record(clock::now().saturating_duration_since(timing.arrived_at));
}

/// Requests a connection from the broker for one attempt.
pub(super) async fn request_connection<D: Deployment>(
    shell: &Rc<shell::Shell<D>>,
    scope: &scope::Scope,
    requirement: request::Requirement,
    timing: Timing,
    avoid: Option<id::MemberId>,
    hedge: bool,
    forwarded: bool,
) -> shell::Admission<D> {
    shell
        .admit(request::Request {
            id: shell.next_request(),
            group: scope.route.group,
            requirement,
            priority: scope.route.priority,
            objective_at: timing.objective_at,
            deadline: timing.deadline,
            avoid,
            hedge,
            forwarded,
            workspace: scope.workspace,
        })
        .await
}

/// A read, with the data that its attempts share.
struct ReadJob<D: Deployment> {
    shell: Rc<shell::Shell<D>>,
    statement: Rc<statement::MemberStatement>,
    session_state: Rc<values::SessionState>,
    scope: scope::Scope,
    requirement: request::Requirement,
    timing: Timing,
    forwarded: bool,
    /// Member or home of the newest attempt; none while the attempt waits for a connection.
    current_member: Cell<Option<id::MemberId>>,
    /// Whether the read has ended, so that attempts that are not sent yet need not be sent.
    ended: watch::Sender<bool>,
}

/// End of an attempt at a read.
enum ReadAttempt {
    /// The member, or the home, ran the attempt.
    Ran(id::MemberId, attempt::Outcome),
    /// The broker refused a connection.
    Refused(effect::Refusal),
    /// The read had ended before the attempt was sent.
    Abandoned,
}

/// Attempts a read once, unless it ends before the attempt is sent. `earlier` is the attempt that it repeats.
async fn attempt_read<D: Deployment>(
    job: Rc<ReadJob<D>>,
    avoid: Option<id::MemberId>,
    earlier: Option<Earlier>,
    hedge: bool,
    starts_at: Instant,
) -> ReadAttempt {
    let mut ended = job.ended.subscribe();
    let admission = async {
        if starts_at > clock::now() {
            let starts_at = starts_at.min(job.timing.deadline);
            tokio::time::sleep_until(clock::tokio_deadline(starts_at)).await;
        }
        request_connection(
            &job.shell,
            &job.scope,
            job.requirement,
            job.timing,
            avoid,
            hedge,
            job.forwarded,
        )
        .await
    };
    let admission = tokio::select! {
        biased;
        admission = admission => admission,
        _ = ended.wait_for(|ended| *ended) => return ReadAttempt::Abandoned,
    };
    match admission {
        shell::Admission::Refused(refusal) => ReadAttempt::Refused(refusal),
        shell::Admission::Granted { lease, .. } if *job.ended.borrow() => {
            lease.give_back();
            ReadAttempt::Abandoned
        }
        shell::Admission::Granted { lease, grant } => {
            job.current_member.set(Some(grant.member));
            if let Some(earlier) = &earlier {
                earlier.log_repetition(&job.shell, &job.statement, grant.member);
            }
            let outcome = attempt::run(
                lease,
                grant,
                &job.statement,
                &job.session_state,
                &job.scope,
                job.timing,
            )
            .await;
            ReadAttempt::Ran(grant.member, outcome)
        }
    }
}

/// Runs a read, and hedges it at a second member when the first is slow. Retries it after a failure: if the
/// member has not run it or its answer is missing, preferably at another member; if the statement itself failed, at any. Returns also
/// whether a member may have run it.
async fn read<D: Deployment>(job: Rc<ReadJob<D>>) -> (Result<member::Answer, Failure>, bool) {
    let (statement, timing) = (&job.statement, job.timing);
    let start_attempt =
        |avoid, earlier, hedge, at| attempt_read(Rc::clone(&job), avoid, earlier, hedge, at);
    job.shell.earn_retry();
    let mut running = FuturesUnordered::new();
    running.push(start_attempt(None, None, false, timing.arrived_at));
    let mut attempts = 1;
    let mut hedge_decided = false;
    let mut was_sent = false;
    let mut lost = 0;
    let mut last = None;
    let hedge_timer = tokio::time::sleep_until(clock::tokio_deadline(timing.hedge_at));
    tokio::pin!(hedge_timer);
    let ended = loop {
        let next = tokio::select! {
            next = running.next() => next,
            () = &mut hedge_timer, if !hedge_decided => {
                hedge_decided = true;
                // A read that still waits for a connection would only wait in the queue a second time.
                if let Some(first) = job.current_member.get()
                    && attempts < ATTEMPTS_MAX
                    && job.shell.spend_retry()
                {
                    attempts += 1;
                    let earlier = Earlier::new(first, "reason=Hedge", "no answer yet");
                    running.push(start_attempt(Some(first), Some(earlier), true, clock::now()));
                    metrics::counter!("fulmarlift_hedges_total").increment(1);
                }
                continue;
            }
        };
        let (avoid, earlier) = match next {
            Some(ReadAttempt::Ran(home, attempt::Outcome::AnsweredByHome(answer)))
                if attempts == 1 && is_busy_answer(&answer) && job.shell.spend_retry() =>
            {
                let earlier = Earlier::refused(home, &protocol::Code::Busy);
                earlier.log_failure(&job.shell, statement);
                (Some(home), earlier)
            }
            // The home has repeated a statement that failed.
            Some(ReadAttempt::Ran(_, attempt::Outcome::AnsweredByHome(answer))) => {
                break Ok(answer);
            }
            Some(ReadAttempt::Ran(member, attempt::Outcome::Answered(answer))) => {
                let failed = answer.error() == Some(&protocol::Code::Failed);
                if !failed || attempts >= ATTEMPTS_MAX || !running.is_empty() {
                    break Ok(answer);
                }
                was_sent = true;
                (None, Earlier::refused(member, &protocol::Code::Failed))
            }
            Some(ReadAttempt::Ran(member, attempt::Outcome::NotRun(reason))) => {
                let earlier = Earlier::new(member, reason.cause(), reason.to_string());
                earlier.log_failure(&job.shell, statement);
                (Some(member), earlier)
            }
            Some(ReadAttempt::Ran(_, attempt::Outcome::Withheld(reason))) => {
                break Err(Failure::withheld(reason));
            }
            Some(ReadAttempt::Ran(member, attempt::Outcome::Lost(error))) => {
                was_sent = true;
                lost += 1;
                let earlier = Earlier::lost(member, &error);
                earlier.log_failure(&job.shell, statement);
                (Some(member), earlier)
            }
            Some(ReadAttempt::Refused(refusal)) if running.is_empty() => {
                break Err(refusal_failure(&refusal, was_sent).after(attempts - 1, last));
            }
            Some(ReadAttempt::Refused(_) | ReadAttempt::Abandoned) => continue,
            None => break Err(exhausted_failure(timing.deadline, was_sent, attempts, last)),
        };
        last = Some(earlier.clone());
        if attempts < ATTEMPTS_MAX && clock::now() < timing.deadline {
            attempts += 1;
            job.current_member.set(None);
            let starts_at = clock::now() + repeat_pause(lost);
            running.push(start_attempt(avoid, Some(earlier), false, starts_at));
        } else if running.is_empty() {
            break Err(exhausted_failure(timing.deadline, was_sent, attempts, last));
        }
    };
    job.ended.send_replace(true);
    let may_have_run = was_sent || !running.is_empty() || !is_refusal(&ended);
    if !running.is_empty() {
        // A slower attempt that was sent runs to its end, so that it gives its connection back and reports the member's answer.
        tokio::task::spawn_local(async move { while running.next().await.is_some() {} });
    }
    (ended, may_have_run)
}

/// Returns the pause before a read is repeated that has lost this many answers: none after the first, since another member may answer.
fn repeat_pause(lost: u32) -> Duration {
    match lost {
        0 | 1 => Duration::ZERO,
        _ => REPEAT_PAUSE_MIN * (1 << (lost - 2).min(ATTEMPTS_MAX)),
    }
}

/// An attempt that another one repeats.
#[derive(Clone, Debug)]
pub(super) struct Earlier {
    member: id::MemberId,
    /// Reason of the repetition: a log key with its value.
    cause: Box<str>,
    /// What became of the attempt, for the caller.
    text: Box<str>,
}

impl Earlier {
    /// Creates an attempt at a member or home. `cause` is a log key with its value, `text` tells callers what became of it.
    pub(super) fn new(
        member: id::MemberId,
        cause: impl Into<Box<str>>,
        text: impl Into<Box<str>>,
    ) -> Self {
        let (cause, text) = (cause.into(), text.into());
        Self {
            member,
            cause,
            text,
        }
    }

    /// Creates an attempt that was answered with an error.
    pub(super) fn refused(member: id::MemberId, code: &protocol::Code) -> Self {
        Self::new(
            member,
            format!("code={code:?}"),
            format!("answered with {code:?}"),
        )
    }

    /// Creates an attempt whose answer is missing.
    pub(super) fn lost(member: id::MemberId, error: &link::LinkError) -> Self {
        Self::new(member, format!("error=\"{error}\""), error.to_string())
    }

    /// Logs that the attempt failed and the statement is to be repeated.
    pub(super) fn log_failure<D: Deployment>(
        &self,
        shell: &shell::Shell<D>,
        statement: &statement::MemberStatement,
    ) {
        log::info!(
            "event=retried request={} member={} {}",
            statement.id_text(),
            shell.member_name(self.member),
            self.cause
        );
    }

    /// Logs that the statement is sent once more, to this member or home.
    pub(super) fn log_repetition<D: Deployment>(
        &self,
        shell: &shell::Shell<D>,
        statement: &statement::MemberStatement,
        second: id::MemberId,
    ) {
        metrics::counter!("fulmarlift_statements_sent_again_total").increment(1);
        log::info!(
            "event=sent_again request={} first={} second={} {}",
            statement.id_text(),
            shell.member_name(self.member),
            shell.member_name(second),
            self.cause
        );
    }
}

/// Returns whether a home's answer is its refusal for lack of capacity; another home may have some.
fn is_busy_answer(answer: &member::Answer) -> bool {
    answer.error() == Some(&protocol::Code::Busy)
}

/// Returns the failure of a read that the broker refused. If an earlier attempt was sent, the code must not say that the
/// statement has not run.
fn refusal_failure(refusal: &effect::Refusal, was_sent: bool) -> Failure {
    let mut failure = Failure::refused(refusal);
    if was_sent {
        failure.code = protocol::Code::Failed;
    }
    failure
}

/// Returns the failure of a read whose time or attempts are used up: it failed if it was sent and answers came that are of no use, and it
/// timed out only if the time is up. `last` is the last attempt that has ended.
fn exhausted_failure(
    deadline: Instant,
    was_sent: bool,
    attempts: u32,
    last: Option<Earlier>,
) -> Failure {
    let in_time = clock::now() < deadline;
    let code = match (was_sent, in_time) {
        (false, _) => protocol::Code::Busy,
        (true, true) => protocol::Code::Failed,
        (true, false) => protocol::Code::Timeout,
    };
    let what = match was_sent {
        true => "no usable answer",
        false => "not run",
    };
    let text = exhausted_text(what, in_time, attempts, last.as_ref());
    let failure = Failure {
        code,
        text,
        attempts: None,
    };
    failure.after(attempts, last)
}

/// Returns the text of a statement whose time or attempts are used up.
pub(super) fn exhausted_text(
    what: &str,
    in_time: bool,
    attempts: u32,
    last: Option<&Earlier>,
) -> String {
    let last = last.map_or_else(String::new, |last| format!(", last: {}", last.text));
    match in_time {
        true => format!("{what} in {attempts} attempts{last}"),
        false => format!("{what} in time{last}"),
    }
}

/// Returns the failure of a write or commit whose success cannot be passed on: its leader may have been replaced before it
/// acknowledged the commit.
pub(super) fn unconfirmed_failure() -> Failure {
    metrics::counter!("fulmarlift_commits_unconfirmed_total").increment(1);
    Failure {
        code: protocol::Code::InDoubt,
        text: "the leader may have been replaced".to_owned(),
        attempts: None,
    }
}

/// Runs a write. Once the write is sent, the proxy retries it only if the member answers that it has not run, or a home
/// that it has no capacity.
async fn write<D: Deployment>(
    shell: &Rc<shell::Shell<D>>,
    statement: &statement::MemberStatement,
    session_state: &values::SessionState,
    scope: &scope::Scope,
    timing: Timing,
    forwarded: bool,
) -> Result<member::Answer, Failure> {
    shell.earn_retry();
    let mut avoid = None;
    let mut earlier: Option<Earlier> = None;
    let mut attempts = 0;
    for attempt in 1..=ATTEMPTS_MAX {
        if clock::now() >= timing.deadline {
            break;
        }
        attempts = attempt;
        let admission = request_connection(
            shell,
            scope,
            request::Requirement::Leader,
            timing,
            avoid,
            false,
            forwarded,
        )
        .await;
        let (lease, grant) = match admission {
            shell::Admission::Granted { lease, grant } => (lease, grant),
            shell::Admission::Refused(refusal) => {
                return Err(Failure::refused(&refusal).after(attempt - 1, earlier));
            }
        };
        let (member, is_home) = (grant.member, lease.is_home());
        if let Some(earlier) = &earlier {
            earlier.log_repetition(shell, statement, member);
        }
        let seen_before = shell.newest_log_end(scope.route.group);
        match attempt::run(lease, grant, statement, session_state, scope, timing).await {
            attempt::Outcome::AnsweredByHome(answer)
                if attempt == 1 && is_busy_answer(&answer) && shell.spend_retry() =>
            {
                let refused = Earlier::refused(member, &protocol::Code::Busy);
                refused.log_failure(shell, statement);
                earlier = Some(refused);
                avoid = Some(member);
            }
            attempt::Outcome::Answered(answer) | attempt::Outcome::AnsweredByHome(answer) => {
                let is_confirmed = answer.error().is_some()
                    || is_home
                    || shell
                        .confirm_commit(scope.route.group, answer.point, timing.deadline)
                        .await;
                if is_confirmed && answer.error().is_none() {
                    let request = statement.id_text();
                    shell.record_told_commit(scope.route.group, request, answer.point, seen_before);
                }
                return match is_confirmed {
                    true => Ok(answer),
                    false => Err(unconfirmed_failure()),
                };
            }
            attempt::Outcome::NotRun(reason) => {
                let refused = Earlier::new(member, reason.cause(), reason.to_string());
                refused.log_failure(shell, statement);
                earlier = Some(refused);
            }
            attempt::Outcome::Withheld(reason) => return Err(Failure::withheld(reason)),
            attempt::Outcome::Lost(error) => {
                let lost = Earlier::lost(member, &error);
                let failure = Failure {
                    code: protocol::Code::InDoubt,
                    text: error.to_string(),
                    attempts: None,
                };
                return Err(failure.after(attempt, Some(lost)));
            }
        }
    }
    let was_sent = false;
    Err(exhausted_failure(
        timing.deadline,
        was_sent,
        attempts,
        earlier,
    ))
}
