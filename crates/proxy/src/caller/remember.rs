//! Keeping a session's settings over the connections that it uses, and connections free of what one has left.

use std::time::Instant;

use fulmarlift_wire::{answer, backend, class};

use crate::caller::local;
use crate::caller::relay;
use crate::caller::session::{Link, Session, Work};
use crate::caller::tracked::{self, Tracked};

impl Session<'_> {
    /// Makes the session's settings on the connection; returns whether the connection took them.
    ///
    /// # Errors
    ///
    /// Returns the answer to the caller when the member refuses a setting.
    pub(super) async fn apply_settings(&mut self, link: &mut Link) -> Result<bool, answer::Answer> {
        if self.tracked.entries() == link.backend.applied {
            return Ok(true);
        }
        let sql = self.tracked.difference(&link.backend.applied);
        let deadline = tokio::time::Instant::from_std(link.first_byte_by);
        match backend::query(&mut link.backend.connection, &sql, deadline).await {
            Ok(_) => {
                link.backend.applied = self.tracked.entries().to_vec();
                Ok(true)
            }
            Err(backend::Error::Database(error)) => Err(answer::Answer::invalid_setting(&error)),
            Err(_) => Ok(false),
        }
    }

    /// Keeps the settings that the work has made, once the transaction around them is over.
    pub(super) async fn note_settings(
        &mut self,
        work: &Work,
        link: &mut Link,
        report: &relay::Report,
    ) {
        let classes = work.classes();
        self.savepoint |= classes.iter().any(|s| s.kind == class::Kind::Savepoint);
        let sets = classes.iter().filter(|s| is_tracked(&s.kind));
        if !report.failed {
            self.pending.extend(sets.cloned());
        }
        if !report.is_idle() {
            return;
        }
        let rolled_back = |s: &class::Statement| s.kind == class::Kind::Rollback;
        let kept = !report.failed && !report.rolled_back && !classes.iter().any(rolled_back);
        let pending = std::mem::take(&mut self.pending);
        let savepoint = std::mem::take(&mut self.savepoint);
        if pending.is_empty() || !kept {
            return;
        }
        let mut applied = Tracked::new(std::mem::take(&mut link.backend.applied));
        for statement in &pending {
            self.tracked.take(&statement.kind);
            // A reset at the member goes back to the connection's values, not to those of the session's start.
            applied.take(&statement.kind);
            if statement.kind == class::Kind::DiscardAll {
                self.statements.clear();
                link.backend.prepared.clear();
            }
        }
        link.backend.applied = applied.entries().to_vec();
        if savepoint {
            self.ask_settings(&pending, link).await;
        }
    }

    /// Asks the member for settings that a rollback to a savepoint may have undone.
    async fn ask_settings(&mut self, pending: &[class::Statement], link: &mut Link) {
        let deadline = tokio::time::Instant::from_std(Instant::now() + link.progress);
        for statement in pending {
            let class::Kind::Set { name, .. } = &statement.kind else {
                continue;
            };
            let sql = tracked::show(name);
            let shown = backend::query(&mut link.backend.connection, &sql, deadline).await;
            let shown = shown.ok().and_then(|mut rows| rows.pop()?.pop()?);
            match shown {
                Some(value) => {
                    self.tracked.set(name, &value);
                    let applied = std::mem::take(&mut link.backend.applied);
                    let mut applied = Tracked::new(applied);
                    applied.set(name, &value);
                    link.backend.applied = applied.entries().to_vec();
                }
                None => link.doubtful = true,
            }
        }
    }

    /// Returns whether the connection is free of what statements may have left that could not be parsed.
    pub(super) async fn cleanse(&mut self, link: &mut Link) -> bool {
        if !link.doubtful {
            return true;
        }
        if link.backend.is_closed() {
            return false;
        }
        let deadline = tokio::time::Instant::from_std(Instant::now() + link.progress);
        let reset = backend::query(&mut link.backend.connection, "DISCARD ALL", deadline).await;
        link.backend.prepared.clear();
        link.backend.applied.clear();
        link.doubtful = reset.is_err();
        reset.is_ok()
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
