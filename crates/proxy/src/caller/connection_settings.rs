//! Carries a session's settings from connection to connection, and resets connections that a session has changed in an
//! unknown way.

use std::time::Instant;

use fulmarlift_wire::{answer, backend, class};

use crate::caller::proxy_answers;
use crate::caller::relay;
use crate::caller::session::{ClientRequest, Lease, Session};
use crate::caller::session_settings::{self, SessionSettings};

impl Session<'_> {
    /// Applies the session's settings to a connection. Returns whether the connection is still usable.
    ///
    /// # Errors
    ///
    /// Returns the answer to the caller when the member refuses a setting.
    pub(super) async fn apply_settings(
        &mut self,
        lease: &mut Lease,
    ) -> Result<bool, answer::Answer> {
        if self.session_settings.entries() == lease.backend.applied_settings {
            return Ok(true);
        }
        let sql = self
            .session_settings
            .sql_to_replace(&lease.backend.applied_settings);
        let deadline = tokio::time::Instant::from_std(lease.first_byte_by);
        match backend::query(&mut lease.backend.connection, &sql, deadline).await {
            Ok(_) => {
                lease.backend.applied_settings = self.session_settings.entries().to_vec();
                Ok(true)
            }
            Err(backend::Error::Database(error)) => Err(answer::Answer::invalid_setting(&error)),
            Err(_) => Ok(false),
        }
    }

    /// Remembers the statements of a client request that change settings. Once their transaction has ended, records
    /// their effect on the session and on the connection, or forgets them if the transaction failed or was rolled back.
    pub(super) async fn record_settings(
        &mut self,
        client_request: &ClientRequest,
        lease: &mut Lease,
        report: &relay::Report,
    ) {
        let classes = client_request.classes();
        self.has_savepoint |= classes.iter().any(|s| s.kind == class::Kind::Savepoint);
        let changes = classes.iter().filter(|s| changes_session_settings(&s.kind));
        if !report.failed {
            self.pending_settings.extend(changes.cloned());
        }
        if !report.is_idle() {
            return;
        }
        let rolled_back = |s: &class::Statement| s.kind == class::Kind::Rollback;
        let kept = !report.failed && !report.rolled_back && !classes.iter().any(rolled_back);
        let pending = std::mem::take(&mut self.pending_settings);
        let had_savepoint = std::mem::take(&mut self.has_savepoint);
        if pending.is_empty() || !kept {
            return;
        }
        let mut applied = SessionSettings::new(std::mem::take(&mut lease.backend.applied_settings));
        for statement in &pending {
            self.session_settings.apply(&statement.kind);
            // The member has reset a setting to its default on the connection, not to its value from the session's
            // startup.
            applied.apply(&statement.kind);
            if statement.kind == class::Kind::DiscardAll {
                self.statements.clear();
                lease.backend.prepared_statements.clear();
            }
        }
        lease.backend.applied_settings = applied.entries().to_vec();
        if had_savepoint {
            self.reload_settings(&pending, lease).await;
        }
    }

    /// Queries the member for the values of settings that a rollback to a savepoint may have undone.
    async fn reload_settings(&mut self, pending: &[class::Statement], lease: &mut Lease) {
        let deadline = tokio::time::Instant::from_std(Instant::now() + lease.message_timeout);
        for statement in pending {
            let class::Kind::Set { name, .. } = &statement.kind else {
                continue;
            };
            let sql = session_settings::show_sql(name);
            let shown = backend::query(&mut lease.backend.connection, &sql, deadline).await;
            let shown = shown.ok().and_then(|mut rows| rows.pop()?.pop()?);
            match shown {
                Some(value) => {
                    self.session_settings.set(name, &value);
                    let applied = std::mem::take(&mut lease.backend.applied_settings);
                    let mut applied = SessionSettings::new(applied);
                    applied.set(name, &value);
                    lease.backend.applied_settings = applied.entries().to_vec();
                }
                None => lease.needs_reset = true,
            }
        }
    }

    /// Resets a connection if statements may have changed its state in a way that the proxy does not know. Returns
    /// whether the state is known now.
    pub(super) async fn reset_connection(&mut self, lease: &mut Lease) -> bool {
        if !lease.needs_reset {
            return true;
        }
        if lease.backend.is_unusable() {
            return false;
        }
        let deadline = tokio::time::Instant::from_std(Instant::now() + lease.message_timeout);
        let reset = backend::query(&mut lease.backend.connection, "DISCARD ALL", deadline).await;
        lease.backend.prepared_statements.clear();
        lease.backend.applied_settings.clear();
        lease.needs_reset = reset.is_err();
        reset.is_ok()
    }
}

fn changes_session_settings(kind: &class::Kind) -> bool {
    match kind {
        class::Kind::Set { name, local, .. } => {
            !local && !proxy_answers::ProxySettings::is_proxy_setting(name)
        }
        class::Kind::Reset { name, local } => {
            !local && !proxy_answers::ProxySettings::is_proxy_setting(name)
        }
        class::Kind::DiscardAll => true,
        _ => false,
    }
}
