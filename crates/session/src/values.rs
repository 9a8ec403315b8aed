//! Session values and prepared statements: what a caller was promised, and what a member's connection holds.

use bytes::Bytes;

use crate::protocol::member;

/// A caller's values and names.
#[derive(Clone, Debug, Default)]
pub struct Held {
    values: Vec<(Box<str>, Bytes)>,
    names: Vec<(Box<str>, member::Prepared)>,
}

impl Held {
    /// Sets a value.
    pub fn set(&mut self, name: &str, value: Bytes) {
        put(&mut self.values, name, value);
    }

    /// Returns the values, sorted by name.
    pub fn values(&self) -> &[(Box<str>, Bytes)] {
        &self.values
    }

    /// Names a statement; a name that is taken gets the new meaning.
    pub fn prepare(&mut self, name: &str, prepared: member::Prepared) {
        put(&mut self.names, name, prepared);
    }

    /// Returns the statement of a name.
    pub fn prepared(&self, name: &str) -> Option<&member::Prepared> {
        let index = find(&self.names, name).ok()?;
        Some(&self.names[index].1)
    }

    /// Forgets a name; returns whether it was known.
    pub fn deallocate(&mut self, name: &str) -> bool {
        let found = find(&self.names, name);
        if let Ok(index) = found {
            self.names.remove(index);
        }
        found.is_ok()
    }
}

/// What a connection to a member holds.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    values: Vec<(Box<str>, Bytes)>,
    prepared: Vec<member::Prepared>,
    uncertain: bool,
}

/// What has to be sent before a session's statement may run on a connection.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Gap {
    /// Whether values and names have to be cleared first.
    pub reset: bool,
    /// Values to be set.
    pub values: Vec<(Box<str>, Bytes)>,
    /// Statement to be prepared.
    pub prepare: Option<member::Prepared>,
}

impl Mirror {
    /// Returns what a connection lacks for a session, and counts it as sent.
    ///
    /// Values can be set one by one but only be cleared all together, and clearing takes the names along.
    pub fn close_gap(&mut self, held: &Held, prepared: Option<&member::Prepared>) -> Gap {
        let superfluous = self
            .values
            .iter()
            .any(|(name, _)| find(&held.values, name).is_err());
        let mut gap = Gap {
            reset: self.uncertain || superfluous,
            ..Gap::default()
        };
        if gap.reset {
            *self = Self::default();
        }
        for (name, value) in &held.values {
            let same = find(&self.values, name).is_ok_and(|index| self.values[index].1 == value);
            if !same {
                gap.values.push((name.clone(), value.clone()));
                put(&mut self.values, name, value.clone());
            }
        }
        if let Some(prepared) = prepared
            && let Err(index) = self.prepared.binary_search(prepared)
        {
            self.prepared.insert(index, prepared.clone());
            gap.prepare = Some(prepared.clone());
        }
        gap
    }

    /// Notes that the connection may hold other values than those sent, such as after a rollback of a transaction in
    /// which some were set.
    pub fn doubt(&mut self) {
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
