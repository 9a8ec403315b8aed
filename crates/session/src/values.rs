//! Session values and prepared statements: those of a caller's session, and those that a connection to a member has.
//!
//! A session's statements run on changing connections. Before each one the proxy brings the connection to the state of
//! the session.

use bytes::Bytes;

use crate::protocol::member;

/// Most prepared statements of a connection. The shapes are the callers' choice, and members keep them in memory.
const PREPARED_MAX: usize = 1_024;
/// Most bytes of the shapes of a connection's prepared statements, unless a single one is longer.
const SHAPE_BYTES_MAX: usize = 1 << 20;

/// Most session values, and most prepared statements, of a session.
const ENTRIES_MAX: usize = 1_024;
/// Most bytes of the session values of a session, and of its prepared statements, unless a single one is longer.
const ENTRIES_BYTES_MAX: usize = 256 << 10;
/// Bytes that an entry takes in memory beside its name and its value.
const ENTRY_OVERHEAD_BYTES: usize = 128;

/// Session values that a caller has set, and statements that it has prepared, by name.
#[derive(Clone, Debug, Default)]
pub struct SessionState {
    values: Vec<(Box<str>, Bytes)>,
    prepared: Vec<(Box<str>, member::Prepared)>,
}

impl SessionState {
    /// Sets a session value. Keeps a copy, since `value` may be part of a much larger buffer.
    pub fn set(&mut self, name: &str, value: Bytes) {
        put(&mut self.values, name, Bytes::copy_from_slice(&value));
    }

    /// Returns whether a session value of this size can be set within the limits of a session.
    pub fn has_room_for_value(&self, name: &str, value_bytes: usize) -> bool {
        has_room(&self.values, name, value_bytes, Bytes::len)
    }

    /// Returns whether a statement with a shape of this size can be prepared within the limits of a session.
    pub fn has_room_for_prepared(&self, name: &str, shape_bytes: usize) -> bool {
        has_room(&self.prepared, name, shape_bytes, |prepared| {
            prepared.shape.len()
        })
    }

    /// Returns the memory that all session values and prepared statements take. Shapes count twice, since a statement that executes one has
    /// a copy of it.
    pub fn size_bytes(&self) -> usize {
        let values = self.values.iter();
        let values = values.map(|(name, value)| entry_bytes(name, value.len()));
        let prepared = self.prepared.iter();
        let prepared = prepared.map(|(name, prepared)| entry_bytes(name, 2 * prepared.shape.len()));
        values.chain(prepared).sum()
    }

    /// Returns [`Self::size_bytes`] as it is after a session value has been set.
    pub fn bytes_with_value(&self, name: &str, value_bytes: usize) -> usize {
        let old = find(&self.values, name).map(|index| self.values[index].1.len());
        let old_bytes = old.map_or(0, |bytes| entry_bytes(name, bytes));
        self.size_bytes() - old_bytes + entry_bytes(name, value_bytes)
    }

    /// Returns [`Self::size_bytes`] as it is after a statement has been prepared.
    pub fn bytes_with_prepared(&self, name: &str, shape_bytes: usize) -> usize {
        let old = self.prepared(name).map(|prepared| prepared.shape.len());
        let old_bytes = old.map_or(0, |bytes| entry_bytes(name, 2 * bytes));
        self.size_bytes() - old_bytes + entry_bytes(name, 2 * shape_bytes)
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
    prepared: Vec<PreparedEntry>,
    /// Ids and names of the statements that the newest changes remove, until the removal is encoded.
    removed: Vec<(member::PreparedId, Box<[u8]>)>,
    /// Bytes of all shapes in `prepared`.
    shape_bytes: usize,
    /// Id of the statement that is prepared next.
    next_prepared_id: member::PreparedId,
    /// Number of statements that have used a prepared one.
    uses: u64,
    uncertain: bool,
}

/// A prepared statement of a connection.
#[derive(Clone, Debug)]
struct PreparedEntry {
    prepared: member::Prepared,
    id: member::PreparedId,
    /// Name that the member has read; empty until the statement is encoded.
    name: Box<[u8]>,
    /// Count in [`ConnectionState::uses`] of the newest use.
    last_use: u64,
}

/// Changes that bring a connection to the state of a session.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StateDiff {
    /// Whether the member must first clear all session values and prepared statements.
    pub reset: bool,
    /// Session values to set.
    pub values: Vec<(Box<str>, Bytes)>,
    /// Prepared statements to remove.
    pub deallocate: Vec<member::PreparedId>,
    /// Statement to prepare, with its id.
    pub prepare: Option<(member::PreparedId, member::Prepared)>,
}

impl StateDiff {
    /// Returns the commands that make the changes, in the order in which the member must run them.
    pub fn commands(&self) -> impl Iterator<Item = member::Command<'_>> {
        let reset = self.reset.then_some(member::Command::Reset);
        let set = self
            .values
            .iter()
            .map(|(name, value)| member::Command::Set { name, value });
        let deallocate = self.deallocate.iter().copied();
        let prepare =
            self.prepare
                .as_ref()
                .map(|(prepared_id, prepared)| member::Command::Prepare {
                    prepared_id: *prepared_id,
                    prepared,
                });
        reset
            .into_iter()
            .chain(set)
            .chain(deallocate.map(member::Command::Deallocate))
            .chain(prepare)
    }
}

impl ConnectionState {
    /// Returns the changes that the connection needs for a session's next statement, and records them as sent.
    ///
    /// A member can set single values but only clear all of them, and a reset also removes the prepared statements. Beyond
    /// [`PREPARED_MAX`] statements or [`SHAPE_BYTES_MAX`], the least recently used ones are removed.
    pub fn sync_with(
        &mut self,
        session: &SessionState,
        prepared: Option<&member::Prepared>,
    ) -> StateDiff {
        let has_extra_values = self
            .values
            .iter()
            .any(|(name, _)| find(&session.values, name).is_err());
        self.removed.clear();
        let mut diff = StateDiff {
            reset: self.uncertain || has_extra_values,
            ..StateDiff::default()
        };
        if diff.reset {
            *self = Self {
                next_prepared_id: self.next_prepared_id,
                ..Self::default()
            };
        }
        for (name, value) in &session.values {
            let is_set = find(&self.values, name).is_ok_and(|index| self.values[index].1 == value);
            if !is_set {
                diff.values.push((name.clone(), value.clone()));
                put(&mut self.values, name, value.clone());
            }
        }
        if let Some(prepared) = prepared {
            self.use_prepared(prepared, &mut diff);
        }
        diff
    }

    /// Returns the id of a prepared statement on this connection; none if the connection does not have it.
    pub fn prepared_id(&self, prepared: &member::Prepared) -> Option<member::PreparedId> {
        let index = self.find_prepared(prepared).ok()?;
        Some(self.prepared[index].id)
    }

    /// Records the name under which a member reads a prepared statement; returns whether the connection has the statement and
    /// no other one of this name.
    pub(crate) fn record_name(&mut self, prepared: &member::Prepared, name: &[u8]) -> bool {
        let Ok(index) = self.find_prepared(prepared) else {
            return false;
        };
        let is_free = !self.prepared.iter().any(|entry| *entry.name == *name);
        if is_free {
            self.prepared[index].name = name.into();
        }
        is_free
    }

    /// Returns whether a prepared statement has this name on the connection.
    pub(crate) fn has_name(&self, prepared: &member::Prepared, name: &[u8]) -> bool {
        let found = self.find_prepared(prepared);
        found.is_ok_and(|index| *self.prepared[index].name == *name)
    }

    /// Forgets a removed statement that a member reads under this name; returns whether it had this id and name.
    pub(crate) fn forget_name(&mut self, prepared_id: member::PreparedId, name: &[u8]) -> bool {
        let mut removed = self.removed.iter();
        let found = removed.position(|(id, other)| (*id, &**other) == (prepared_id, name));
        if let Some(index) = found {
            self.removed.swap_remove(index);
        }
        found.is_some()
    }

    fn find_prepared(&self, prepared: &member::Prepared) -> Result<usize, usize> {
        self.prepared
            .binary_search_by(|entry| entry.prepared.cmp(prepared))
    }

    /// Records the use of a prepared statement; prepares it, and removes others for it, if the connection does not have it.
    fn use_prepared(&mut self, prepared: &member::Prepared, diff: &mut StateDiff) {
        self.uses += 1;
        if let Ok(index) = self.find_prepared(prepared) {
            self.prepared[index].last_use = self.uses;
            return;
        }
        self.shape_bytes += prepared.shape.len();
        while self.prepared.len() >= PREPARED_MAX || self.shape_bytes > SHAPE_BYTES_MAX {
            let entries = self.prepared.iter().enumerate();
            let oldest = entries.min_by_key(|(_, entry)| entry.last_use);
            let Some((index, _)) = oldest else {
                break;
            };
            let removed = self.prepared.remove(index);
            self.shape_bytes -= removed.prepared.shape.len();
            diff.deallocate.push(removed.id);
            self.removed.push((removed.id, removed.name));
        }
        let id = self.next_prepared_id;
        self.next_prepared_id += 1;
        let entry = PreparedEntry {
            prepared: prepared.clone(),
            id,
            name: Box::default(),
            last_use: self.uses,
        };
        let (Ok(index) | Err(index)) = self.find_prepared(prepared);
        self.prepared.insert(index, entry);
        diff.prepare = Some((id, prepared.clone()));
    }

    /// Records that the member may have other values or prepared statements for the connection than those sent, for example
    /// after the rollback of a transaction that set some. The next [`Self::sync_with`] resets them.
    pub fn mark_uncertain(&mut self) {
        self.uncertain = true;
    }
}

/// Returns whether an entry can be added, in place of one of the same name.
fn has_room<V>(
    entries: &[(Box<str>, V)],
    name: &str,
    added_bytes: usize,
    size_bytes: impl Fn(&V) -> usize,
) -> bool {
    let kept = entries.iter().filter(|(other, _)| other.as_ref() != name);
    let (kept, kept_bytes) = kept.fold((0, 0), |(kept, bytes), (other, value)| {
        (kept + 1, bytes + other.len() + size_bytes(value))
    });
    kept == 0 || (kept < ENTRIES_MAX && kept_bytes + name.len() + added_bytes <= ENTRIES_BYTES_MAX)
}

fn entry_bytes(name: &str, size_bytes: usize) -> usize {
    ENTRY_OVERHEAD_BYTES + name.len() + size_bytes
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
