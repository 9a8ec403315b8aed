//! Handling of a query: session values, prepared statements, transactions and statements.

use std::rc::Rc;

use fulmarlift_core::id;

use crate::clock;
use crate::deployment::Deployment;
use crate::protocol;
use crate::protocol::caller;
use crate::protocol::caller::Codec;
use crate::protocol::member;
use crate::session;
use crate::session::SessionEnd;
use crate::session::scope;
use crate::session::statement;
use crate::session::transaction::Transaction;

impl<D: Deployment, C: Codec> session::Session<D, C> {
    /// Handles a query. If it takes longer than a graceful stop allows, answers that it has been given up, and ends the session.
    pub(super) async fn handle_query_until_stop(
        &mut self,
        query: caller::Query,
    ) -> Result<(), SessionEnd> {
        let code = self.code_of_given_up(&query.statement);
        let timeout = self.grace.statement_timeout;
        let mut stopping = self.stopping.clone();
        let given_up = async {
            let stop = stopping.wait_for(Option::is_some).await;
            // Fails only without a sender, which the shell holds.
            let stop = stop.ok().and_then(|stop| *stop).unwrap_or_else(clock::now);
            tokio::time::sleep_until(clock::tokio_deadline(stop + timeout)).await;
        };
        tokio::select! {
            biased;
            handled = self.handle_query(query) => return handled,
            () = given_up => {}
        }
        log::info!(
            "event=failed database={} code={code:?} reason=Stop",
            self.database_field()
        );
        self.end_with_error(&code, SessionEnd::Stopping).await
    }

    /// Returns the code that answers a statement whose outcome is not waited for. It has been sent or not.
    pub(super) fn code_of_given_up(&self, statement: &caller::Statement) -> protocol::Code {
        let in_transaction = self.transaction.state() != protocol::TransactionState::Idle;
        let reads = match statement {
            caller::Statement::Run(mode) => *mode == protocol::Mode::Read,
            caller::Statement::ExecutePrepared { prepared, .. } => {
                prepared.mode == protocol::Mode::Read
            }
            caller::Statement::Execute { name, .. } => {
                let prepared = self.session_state.prepared(name);
                prepared.is_some_and(|prepared| prepared.mode == protocol::Mode::Read)
            }
            _ => false,
        };
        match (in_transaction, reads) {
            _ if *statement == caller::Statement::Commit => protocol::Code::InDoubt,
            (true, _) => protocol::Code::Aborted,
            (false, true) => protocol::Code::Timeout,
            (false, false) => protocol::Code::InDoubt,
        }
    }

    pub(super) async fn handle_query(&mut self, query: caller::Query) -> Result<(), SessionEnd> {
        if !self.is_key_valid() {
            self.transaction.abandon();
            return self.end_denied(scope::Denied::Unauthorized).await;
        }
        if let Some(forwarded) = &query.forwarded {
            self.options = Some(forwarded.options);
            if let Some(session_commit) = forwarded.session_commit {
                self.session_commits
                    .raise(id::of(&self.database), session_commit);
            }
            self.transaction.set_options(&forwarded.options);
        }
        let ends_transaction = matches!(
            query.statement,
            caller::Statement::Commit | caller::Statement::Rollback
        );
        if self.transaction.state() == protocol::TransactionState::Failed && !ends_transaction {
            match self.transaction.take_unreported_failure() {
                true => {
                    self.answer_error(&protocol::Code::Aborted, "the transaction rested too long")
                }
                false => {
                    self.answer_error(&protocol::Code::Malformed, "the transaction has failed")
                }
            }
            return Ok(());
        }
        match &query.statement {
            caller::Statement::Invalid => {
                self.answer_error(&protocol::Code::Malformed, "unknown statement")
            }
            caller::Statement::Set { name, value }
                if !self.session_state.has_room_for_value(name, value.len()) =>
            {
                self.refuse_session_state();
            }
            caller::Statement::Prepare { name, shape, .. }
                if !self.session_state.has_room_for_prepared(name, shape.len()) =>
            {
                self.refuse_session_state();
            }
            caller::Statement::Set { name, value } if !self.count_value(name, value.len()) => {}
            caller::Statement::Prepare { name, shape, .. }
                if !self.count_prepared(name, shape.len()) => {}
            caller::Statement::Set { name, value } => {
                Rc::make_mut(&mut self.session_state).set(name, value.clone());
                self.transaction.mark_state_uncertain();
                self.answer_done();
            }
            caller::Statement::Prepare { name, mode, shape } => {
                let prepared = member::Prepared {
                    mode: *mode,
                    shape: shape.clone(),
                };
                Rc::make_mut(&mut self.session_state).prepare(name, prepared);
                self.answer_done();
            }
            caller::Statement::Deallocate { name } => {
                let existed = Rc::make_mut(&mut self.session_state).deallocate(name);
                self.count_state();
                match existed {
                    true => self.answer_done(),
                    false => self
                        .answer_error(&protocol::Code::NoStatement, "unknown prepared statement"),
                }
            }
            caller::Statement::Begin(mode) => self.begin_transaction(*mode, &query),
            caller::Statement::Rollback => {
                self.transaction.abandon();
                self.answer_done();
            }
            caller::Statement::Commit => self.commit(&query).await,
            caller::Statement::Run(mode) => {
                let statement =
                    statement::MemberStatement::direct(&query, member::Verb::Run(*mode));
                self.execute(statement).await;
            }
            caller::Statement::ExecutePrepared {
                prepared,
                arguments,
            } => {
                let statement = statement::MemberStatement::prepared(
                    &query,
                    prepared.clone(),
                    arguments.clone(),
                );
                self.execute(statement).await;
            }
            caller::Statement::Reset => {
                self.session_state = Rc::default();
                self.count_state();
                self.transaction.mark_state_uncertain();
                self.answer_done();
            }
            caller::Statement::Execute { name, arguments } => {
                match self.session_state.prepared(name) {
                    Some(prepared) => {
                        let statement = statement::MemberStatement::prepared(
                            &query,
                            prepared.clone(),
                            arguments.clone(),
                        );
                        self.execute(statement).await;
                    }
                    None => self
                        .answer_error(&protocol::Code::NoStatement, "unknown prepared statement"),
                }
            }
        }
        Ok(())
    }

    pub(super) fn begin_transaction(&mut self, mode: protocol::Mode, query: &caller::Query) {
        if self.transaction.state() != protocol::TransactionState::Idle {
            return self.answer_error(&protocol::Code::Malformed, "already in a transaction");
        }
        match self.scope() {
            Ok(scope) => {
                self.transaction = Transaction::pending(mode, query, scope);
                self.answer_done();
            }
            Err(denied) => self.answer_error(&denied.code(), &denied.to_string()),
        }
    }

    /// Runs a statement outside a transaction or in the session's transaction.
    pub(super) async fn execute(&mut self, statement: statement::MemberStatement) {
        match self.transaction.state() {
            protocol::TransactionState::Idle => self.execute_single(statement).await,
            protocol::TransactionState::Transaction | protocol::TransactionState::Failed => {
                self.execute_in_transaction(statement).await
            }
        }
    }

    pub(super) fn refuse_session_state(&mut self) {
        metrics::counter!("fulmarlift_session_states_full_total").increment(1);
        log::info!(
            "event=session_state_full database={}",
            self.database_field()
        );
        let text = "too many session values and prepared statements";
        self.answer_error(&protocol::Code::TooLarge, text);
    }

    pub(super) fn answer_done(&mut self) {
        self.reply(caller::Reply::Done);
        self.reply_ready();
    }

    pub(super) fn answer_error(&mut self, code: &protocol::Code, text: &str) {
        self.reply(caller::Reply::Error(code, text));
        self.reply_ready();
    }

    /// Returns whether each part of an answer is a single message to the caller.
    pub(super) fn can_relay(&self, answer: &member::Answer) -> bool {
        let mut rows = answer.rows.iter().map(caller::Reply::Row);
        let result = match &answer.end {
            member::End::Complete(signature) => Some(caller::Reply::Complete(signature)),
            member::End::Error(code, text) => Some(caller::Reply::Error(code, text)),
            member::End::Ready => None,
        };
        rows.all(|row| self.codec.can_encode(row))
            && result.is_none_or(|result| self.codec.can_encode(result))
    }

    /// Appends a member's answer to the replies for the caller.
    pub(super) fn relay_answer(&mut self, answer: &member::Answer) {
        if !self.can_relay(answer) {
            metrics::counter!("fulmarlift_answers_not_relayed_total").increment(1);
            log::warn!(
                "event=answer_not_relayed database={}",
                self.database_field()
            );
            self.point = self.point.max(answer.point);
            let text = "the answer cannot be passed on";
            return self.answer_error(&protocol::Code::InDoubt, text);
        }
        self.outbox.reserve(answer.size_bytes());
        for row in &answer.rows {
            self.reply(caller::Reply::Row(row));
        }
        match &answer.end {
            member::End::Complete(signature) => self.reply(caller::Reply::Complete(signature)),
            member::End::Error(code, text) => self.reply(caller::Reply::Error(code, text)),
            member::End::Ready => {
                self.reply(caller::Reply::Error(&protocol::Code::Failed, "no result"))
            }
        }
        self.point = self.point.max(answer.point);
        self.reply_ready();
    }

    pub(super) fn reply_ready(&mut self) {
        self.reply(caller::Reply::Ready(self.transaction.state(), self.point));
    }
}
