//! What each client makes the process keep, and which client to refuse or close once a bound is exceeded.

use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::limits::activity::Activity;
use crate::limits::bounds::PoolBounds;

/// Time without progress after which a client counts as stalled. Messages and answers of legal size take milliseconds.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of kinds of [`Resource`].
const RESOURCES: usize = 3;

/// Number of a connection, in the order in which they were accepted.
pub type ConnectionNumber = u64;

/// Something of which clients make the process keep bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Resource {
    /// Messages that are unfinished or wait for their answer.
    Messages = 0,
    /// Answers that have not been read.
    Answers = 1,
    /// Session values and prepared statements.
    State = 2,
}

/// Something that is short.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// Too many connections.
    Connections,
    /// Too many bytes.
    Bytes(Resource),
}

impl Cause {
    /// All causes, in the order of [`Self::index`].
    pub const ALL: [Self; 4] = [
        Self::Connections,
        Self::Bytes(Resource::Messages),
        Self::Bytes(Resource::Answers),
        Self::Bytes(Resource::State),
    ];

    /// Returns the name of the cause in the log and in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Bytes(Resource::Messages) => "messages",
            Self::Bytes(Resource::Answers) => "answers",
            Self::Bytes(Resource::State) => "state",
        }
    }

    /// Returns what there is too much of, for the client.
    pub fn text(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Bytes(Resource::Messages) => "bytes of messages",
            Self::Bytes(Resource::Answers) => "bytes of unread answers",
            Self::Bytes(Resource::State) => "bytes of session values and prepared statements",
        }
    }

    /// Returns the position of the cause in [`Self::ALL`].
    pub fn index(self) -> usize {
        match self {
            Self::Connections => 0,
            Self::Bytes(resource) => 1 + resource as usize,
        }
    }
}

/// Whether a client may keep what it asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It may; other clients may have to be closed for it.
    Allowed,
    /// It may not, and the ledger counts what it had before.
    Refused,
}

/// A client whose connection must be closed.
#[derive(Debug)]
pub struct Close {
    /// The client.
    pub activity: Rc<Activity>,
    /// What is short.
    pub cause: Cause,
}

#[derive(Debug)]
struct Entry {
    number: ConnectionNumber,
    activity: Rc<Activity>,
    used_bytes: [usize; RESOURCES],
    /// Instant since which the client has used each resource.
    used_since: [Instant; RESOURCES],
    /// Whether the client is being closed, so that it counts no more.
    is_closing: bool,
}

/// The clients of one kind.
#[derive(Debug)]
pub struct Ledger {
    bounds: PoolBounds,
    /// Sorted by number.
    entries: Vec<Entry>,
    used_bytes: [usize; RESOURCES],
    /// Number of entries that are not being closed.
    connections: usize,
    opened: ConnectionNumber,
}

impl Ledger {
    /// Creates a ledger without clients.
    pub fn new(bounds: PoolBounds) -> Self {
        Self {
            bounds,
            entries: Vec::new(),
            used_bytes: [0; RESOURCES],
            connections: 0,
            opened: 0,
        }
    }

    /// Changes the bounds. They take effect with the next change of a client.
    pub fn set_bounds(&mut self, bounds: PoolBounds) {
        self.bounds = bounds;
    }

    /// Returns the bytes that are counted for a resource.
    pub fn used_bytes(&self, resource: Resource) -> usize {
        self.used_bytes[resource as usize]
    }

    /// Returns the number of connections that are counted.
    pub fn connections(&self) -> usize {
        self.connections
    }

    /// Adds a connection. If there are too many, closes the one that has been quiet for the longest time and runs nothing; returns none if
    /// all of them run something.
    pub fn open(
        &mut self,
        now: Instant,
        activity: Rc<Activity>,
        closes: &mut Vec<Close>,
    ) -> Option<ConnectionNumber> {
        while self.connections >= self.bounds.connections {
            let closable = self.entries.iter().enumerate();
            let closable = closable.filter(|(_, entry)| entry.is_closable());
            let quietest = closable.min_by_key(|(_, entry)| entry.activity.quiet_since());
            let (index, _) = quietest?;
            self.close(index, Cause::Connections, closes);
        }
        self.opened += 1;
        self.connections += 1;
        self.entries.push(Entry {
            number: self.opened,
            activity,
            used_bytes: [0; RESOURCES],
            used_since: [now; RESOURCES],
            is_closing: false,
        });
        Some(self.opened)
    }

    /// Removes a connection.
    pub fn end(&mut self, number: ConnectionNumber) {
        if let Ok(index) = self.find(number) {
            let entry = self.entries.remove(index);
            if !entry.is_closing {
                self.release(&entry.used_bytes);
            }
        }
    }

    /// Records how many bytes of a resource a client keeps from now on. Beyond the bound, closes the client that uses most among those
    /// that are stalled, or else among all that run nothing, the asking one included: that is refused instead.
    pub fn set(
        &mut self,
        now: Instant,
        number: ConnectionNumber,
        resource: Resource,
        bytes: usize,
        closes: &mut Vec<Close>,
    ) -> Verdict {
        let Ok(asker) = self.find(number) else {
            return Verdict::Refused;
        };
        let kind = resource as usize;
        let before_bytes = self.entries[asker].used_bytes[kind];
        // A client that is being closed counts no more, and keeps nothing new.
        if self.entries[asker].is_closing {
            return match bytes > before_bytes {
                true => Verdict::Refused,
                false => Verdict::Allowed,
            };
        }
        if before_bytes == 0 {
            self.entries[asker].used_since[kind] = now;
        }
        self.put(asker, kind, bytes);
        while bytes > before_bytes && self.used_bytes[kind] > self.bounds.bytes(resource) {
            match self.most(now, resource, asker) {
                Some(index) if index != asker => {
                    self.close(index, Cause::Bytes(resource), closes);
                }
                _ => {
                    self.put(asker, kind, before_bytes);
                    return Verdict::Refused;
                }
            }
        }
        Verdict::Allowed
    }

    /// Returns the client that uses most of a resource: of those that are stalled, if there are any.
    fn most(&self, now: Instant, resource: Resource, asker: usize) -> Option<usize> {
        let kind = resource as usize;
        let users = self.entries.iter().enumerate().filter(|(index, entry)| {
            (*index == asker || entry.is_closable()) && entry.used_bytes[kind] > 0
        });
        let key = |index: usize, entry: &Entry| {
            let since = entry.activity.quiet_since().max(entry.used_since[kind]);
            // The asking client has just made progress.
            let is_stalled =
                index != asker && now.saturating_duration_since(since) >= STALL_TIMEOUT;
            (is_stalled, entry.used_bytes[kind])
        };
        let most = users.max_by_key(|(index, entry)| key(*index, entry));
        most.map(|(index, _)| index)
    }

    fn find(&self, number: ConnectionNumber) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&number, |entry| entry.number)
    }

    fn put(&mut self, index: usize, kind: usize, bytes: usize) {
        let used_bytes = &mut self.entries[index].used_bytes[kind];
        self.used_bytes[kind] = self.used_bytes[kind] - *used_bytes + bytes;
        *used_bytes = bytes;
    }

    fn close(&mut self, index: usize, cause: Cause, closes: &mut Vec<Close>) {
        let entry = &mut self.entries[index];
        entry.is_closing = true;
        let activity = Rc::clone(&entry.activity);
        let used_bytes = entry.used_bytes;
        self.release(&used_bytes);
        closes.push(Close { activity, cause });
    }

    fn release(&mut self, used_bytes: &[usize; RESOURCES]) {
        self.connections -= 1;
        for (total, used) in self.used_bytes.iter_mut().zip(used_bytes) {
            *total -= used;
        }
    }
}

impl Entry {
    fn is_closable(&self) -> bool {
        !self.is_closing && !self.activity.is_running()
    }
}

impl PoolBounds {
    /// Returns the most bytes of a resource.
    pub fn bytes(&self, resource: Resource) -> usize {
        match resource {
            Resource::Messages => self.message_bytes,
            Resource::Answers => self.answer_bytes,
            Resource::State => self.state_bytes,
        }
    }
}
