//! Session values and prepared statements: those of a caller's session, and those that a connection to a member has.
//!
//! A session's statements run on changing connections. Before each one the proxy brings the connection to the state of
//! the session.

use bytes::Bytes;

use crate::protocol::member;

/// Session values that a caller has set, and statements that it has prepared, by name.
#[derive(Clone, Debug, Default)]
pub struct SessionState {
    values: Vec<(Box<str>, Bytes)>,
    prepared: Vec<(Box<str>, member::Prepared)>,
}

impl SessionState {
    /// Sets a session value.
    pub fn set(&mut self, name: &str, value: Bytes) {
        put(&mut self.values, name, value);
    }

    /// Returns the session values, sorted by name.
    pub fn values(&self) -> &[(Box<str>, Bytes)] {
        &self.values
    }

    /// Stores a prepared statement under a name, and replaces an older one of that name.
    pub fn prepare(&mut self, name: &str, prepared: member::Prepared) {
        put(&mut self.prepared, name, prepared);
    }

    /// Returns the prepared statement of a name.
    pub fn prepared(&self, name: &str) -> Option<&member::Prepared> {
        let index = find(&self.prepared, name).ok()?;
        Some(&self.prepared[index].1)
    }

    /// Removes a prepared statement; returns whether the name existed.
    pub fn deallocate(&mut self, name: &str) -> bool {
        let found = find(&self.prepared, name);
        if let Ok(index) = found {
            self.prepared.remove(index);
        }
        found.is_ok()
    }
}

/// Session values and prepared statements that a connection to a member has.
#[derive(Clone, Debug, Default)]
pub struct ConnectionState {
    values: Vec<(Box<str>, Bytes)>,
    prepared: Vec<member::Prepared>,
    uncertain: bool,
}

/// Changes that bring a connection to the state of a session.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StateDiff {
    /// Whether the member must first clear all session values and prepared statements.
    pub reset: bool,
    /// Session values to set.
    pub values: Vec<(Box<str>, Bytes)>,
    /// Statement to prepare.
    pub prepare: Option<member::Prepared>,
}

impl StateDiff {
    /// Returns the commands that make the changes, in the order in which the member must run them.
    pub fn commands(&self) -> impl Iterator<Item = member::Command<'_>> {
        let reset = self.reset.then_some(member::Command::Reset);
        let set = self
            .values
            .iter()
            .map(|(name, value)| member::Command::Set { name, value });
        let prepare = self.prepare.as_ref().map(member::Command::Prepare);
        reset.into_iter().chain(set).chain(prepare)
    }
}

impl ConnectionState {
    /// Returns the changes that the connection needs for a session's next statement, and records them as sent.
    ///
    /// A member can set single values but only clear all of them, and a reset also removes the prepared statements.
    pub fn sync_with(
        &mut self,
        session: &SessionState,
        prepared: Option<&member::Prepared>,
    ) -> StateDiff {
        let has_extra_values = self
            .values
            .iter()
            .any(|(name, _)| find(&session.values, name).is_err());
        let mut diff = StateDiff {
            reset: self.uncertain || has_extra_values,
            ..StateDiff::default()
        };
        if diff.reset {
            *self = Self::default();
        }
        for (name, value) in &session.values {
            let is_set = find(&self.values, name).is_ok_and(|index| self.values[index].1 == value);
            if !is_set {
                diff.values.push((name.clone(), value.clone()));
                put(&mut self.values, name, value.clone());
            }
        }
        if let Some(prepared) = prepared
            && let Err(index) = self.prepared.binary_search(prepared)
        {
            self.prepared.insert(index, prepared.clone());
            diff.prepare = Some(prepared.clone());
        }
        diff
    }

    /// Records that the member may have other values or prepared statements for the connection than those sent, for example
    /// after the rollback of a transaction that set some. The next [`Self::sync_with`] resets them.
    pub fn mark_uncertain(&mut self) {
        self.uncertain = true;
    }
}

fn find<V>(entries: &[(Box<str>, V)], name: &str) -> Result<usize, usize> {
    entries.binary_search_by(|(other, _)| other.as_ref().cmp(name))
}

fn put<V>(entries: &mut Vec<(Box<str>, V)>, name: &str, value: V) {
    match find(entries, name) {
        Ok(index) => entries[index].1 = value,
        Err(index) => entries.insert(index, (name.into(), value)),
    }
}
