//! Lease of a shard: when a proxy becomes the coordinator, renews its lease and stops.
//!
//! The lease is a row of the store. The store writes it only if its version is the expected one, but does not compare the era.
//! So a write that was meant for an older era may replace a row of a newer one; it gives no lease then, and the row tells that its
//! writer had read another era.

use std::time::{Duration, Instant};

use fulmarlift_core::id;
use serde::{Deserialize, Serialize};

use super::Term;
use crate::revision;

/// Time for which a lease is valid, from the instant before the write was sent.
pub const LEASE: Duration = Duration::from_millis(10_000);
/// Time for which another proxy must have seen the row unchanged before it takes over: the lease, and a twentieth of it for
/// clocks of different speed.
pub const TAKE_OVER_AFTER: Duration = Duration::from_millis(10_500);
/// Time after which a lease is renewed. Two renewals may fail before the lease ends.
pub const RENEW_AFTER: Duration = Duration::from_millis(3_000);
/// Time after a row was found missing until the first lease is written. Proxies that start together learn of each other meanwhile, and
/// the shards go to several of them.
const FIRST_LEASE_DELAY: Duration = Duration::from_millis(2_500);
/// Time for which each candidate waits longer than the one before, in which a take-over is written and read.
pub const RANK_DELAY: Duration = Duration::from_millis(1_000);
/// Number of candidates that read the row while they are not the coordinator; calls to the store are priced and limited.
pub const WATCHERS: usize = 3;
/// Time between two reads of a candidate. It adds to the time until a coordinator that has ended is replaced.
const WATCH_INTERVAL: Duration = Duration::from_millis(5_000);
/// Time after a call that the store refused, or whose outcome is not known, until the next one.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Position of the era in a term. The bits below count the changes of coordinator in that era.
const TERM_ERA_SHIFT: u32 = 20;
/// Highest era that counts in a term.
const TERM_ERA_MAX: revision::Era = (1 << 43) - 1;

/// Process that holds a lease.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct Holder {
    /// Name of the VM, which runs one process at a time.
    pub vm: Box<str>,
    /// Incarnation of the proxy.
    pub proxy: id::ProxyId,
}

/// Contents of the lease row.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Process that wrote the row.
    pub holder: Holder,
    /// Term of the holder.
    pub term: Term,
    /// Era of the store in which the holder had read the row that it replaced.
    pub era: revision::Era,
}

/// Error for row contents that are not an encoded lease.
#[derive(Debug, thiserror::Error)]
#[error("the lease row cannot be decoded: {0}")]
pub struct Malformed(#[from] postcard::Error);

impl Row {
    /// Encodes the lease as the contents of a row.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a row of plain values always encodes")
    }

    /// Decodes the contents of a row.
    ///
    /// # Errors
    ///
    /// [`Malformed`] if [`Row::to_bytes`] did not produce the bytes.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, Malformed> {
        Ok(postcard::from_bytes(bytes)?)
    }
}

/// Input of [`Lease::step`]. Each call to the store has exactly one of the first four.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Input {
    /// The store returned the row.
    RowRead {
        /// Contents; `None` if the row does not exist, or cannot be decoded.
        row: Option<Row>,
        /// Revision of the row in the era of the answer, with version 0 if the row does not exist.
        revision: revision::Revision,
    },
    /// The store wrote the row.
    RowWritten {
        /// Revision of the row in the era of the answer.
        revision: revision::Revision,
    },
    /// The store did not write the row, because its version was not the expected one.
    Conflict,
    /// The store refused the call, or did not answer in time: a write may still be executed, or may have been.
    Refused,
    /// Time has passed.
    Tick,
}

/// Effect of [`Lease::step`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Read the row.
    ReadRow,
    /// Write the row if it has this revision's version; 0 stands for a missing row.
    WriteRow {
        /// Contents of the row.
        row: Row,
        /// Revision that was read.
        condition: revision::Revision,
    },
    /// The proxy is the coordinator, with empty buckets.
    Acquired {
        /// Term of the lease.
        term: Term,
        /// End of the lease.
        until: Instant,
    },
    /// The lease was renewed.
    Renewed {
        /// End of the lease.
        until: Instant,
    },
    /// The proxy is no longer the coordinator.
    Stopped,
}

/// What a step needs to know besides the row.
#[derive(Clone, Copy, Debug)]
pub struct Context {
    /// Position of this proxy among the candidates, see [`super::candidates`].
    pub rank: usize,
    /// Newest era that the proxy knows, and the instant since which it is known to have lasted.
    pub era: Option<(revision::Era, Instant)>,
}

/// The row as it was read last.
#[derive(Clone, Debug)]
struct Seen {
    row: Option<Row>,
    revision: revision::Revision,
    /// Instant of the first answer with this revision.
    since: Instant,
}

/// A lease that this process holds.
#[derive(Clone, Copy, Debug)]
struct Held {
    term: Term,
    until: Instant,
    /// Revision of this process's last write.
    revision: revision::Revision,
    renew_at: Instant,
}

/// Call to the store that has not been answered.
#[derive(Clone, Copy, Debug)]
enum Call {
    Read,
    Write {
        term: Term,
        condition: revision::Revision,
        sent_at: Instant,
    },
}

/// Lease of one shard, as one process sees it.
#[derive(Clone, Debug)]
pub struct Lease {
    me: Holder,
    held: Option<Held>,
    seen: Option<Seen>,
    call: Option<Call>,
    /// Whether the row must be read before anything is written.
    must_read: bool,
    /// Instant before which no call is made.
    call_at: Instant,
    /// Instant of the next read of a candidate.
    watch_at: Instant,
    /// Newest era that an answer told, and the instant of the first one that did.
    era: (revision::Era, Instant),
}

impl Lease {
    /// Returns the lease of a process that has just started. It reads the row once, whatever its rank, because its predecessor on
    /// the VM may be the holder.
    pub fn new(now: Instant, me: Holder) -> Self {
        Self {
            me,
            held: None,
            seen: None,
            call: None,
            must_read: true,
            call_at: now,
            watch_at: now,
            era: (0, now),
        }
    }

    /// Returns the process that the row named when it was read last.
    pub fn holder(&self) -> Option<&Holder> {
        let seen = self.seen.as_ref()?;
        Some(&seen.row.as_ref()?.holder)
    }

    /// Returns whether this process holds the lease.
    pub fn is_held(&self, now: Instant) -> bool {
        self.held.is_some_and(|held| now < held.until)
    }

    /// Returns the instant of the next [`Input::Tick`] that may have an effect.
    pub fn next_tick(&self, context: &Context) -> Option<Instant> {
        let call_at = match (&self.held, self.must_read) {
            _ if self.call.is_some() => None,
            (_, true) => Some(self.call_at),
            (Some(held), false) => Some(held.renew_at),
            (None, false) => {
                let watch_at = (context.rank < WATCHERS).then_some(self.watch_at);
                let take_over_at = self.take_over_at(context);
                [watch_at, take_over_at].into_iter().flatten().min()
            }
        };
        let call_at = call_at.map(|at| at.max(self.call_at));
        let end = self.held.map(|held| held.until);
        [call_at, end].into_iter().flatten().min()
    }

    /// Takes one input and returns its effects.
    pub fn step(&mut self, now: Instant, input: Input, context: &Context) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.held.is_some_and(|held| held.until <= now) {
            self.stop(&mut effects);
        }
        match input {
            Input::Tick => {}
            Input::RowRead { row, revision } => {
                self.call = None;
                self.read(now, row, revision, &mut effects);
            }
            Input::RowWritten { revision } => self.written(now, revision, &mut effects),
            Input::Conflict => {
                self.call = None;
                self.must_read = true;
            }
            Input::Refused => {
                self.call = None;
                self.must_read = true;
                self.call_at = now + RETRY_AFTER;
            }
        }
        if self.call.is_none() && self.call_at <= now {
            self.call(now, context, &mut effects);
        }
        effects
    }

    fn stop(&mut self, effects: &mut Vec<Effect>) {
        self.held = None;
        self.must_read = true;
        effects.push(Effect::Stopped);
    }

    fn note_era(&mut self, now: Instant, era: revision::Era) {
        if era > self.era.0 {
            self.era = (era, now);
        }
    }

    fn read(
        &mut self,
        now: Instant,
        row: Option<Row>,
        revision: revision::Revision,
        effects: &mut Vec<Effect>,
    ) {
        self.note_era(now, revision.era);
        self.must_read = false;
        self.watch_at = now + WATCH_INTERVAL;
        let names_other = row.as_ref().is_some_and(|row| row.holder != self.me)
            || row.is_none() && revision.version > 0;
        if self
            .seen
            .as_ref()
            .is_none_or(|seen| seen.revision != revision)
        {
            let since = now;
            self.seen = Some(Seen {
                row,
                revision,
                since,
            });
        }
        match &mut self.held {
            Some(_) if names_other => {
                self.stop(effects);
                self.must_read = false;
            }
            Some(held) => held.revision = revision,
            None => {}
        }
    }

    fn written(&mut self, now: Instant, revision: revision::Revision, effects: &mut Vec<Effect>) {
        self.note_era(now, revision.era);
        let call = self.call.take();
        let Some(Call::Write {
            term,
            condition,
            sent_at,
        }) = call
        else {
            return;
        };
        let until = sent_at + LEASE;
        // In another era, the version that was expected stood for other contents.
        self.must_read = revision.era != condition.era || until <= now;
        if self.must_read {
            return;
        }
        effects.push(match self.held {
            Some(_) => Effect::Renewed { until },
            None => Effect::Acquired { term, until },
        });
        self.held = Some(Held {
            term,
            until,
            revision,
            renew_at: sent_at + RENEW_AFTER,
        });
        let row = Some(self.row(term, condition.era));
        self.seen = Some(Seen {
            row,
            revision,
            since: now,
        });
    }

    fn row(&self, term: Term, era: revision::Era) -> Row {
        Row {
            holder: self.me.clone(),
            term,
            era,
        }
    }

    fn call(&mut self, now: Instant, context: &Context, effects: &mut Vec<Effect>) {
        if self.must_read {
            self.call = Some(Call::Read);
            effects.push(Effect::ReadRow);
            return;
        }
        if let Some(held) = self.held {
            if held.renew_at <= now {
                self.write(now, held.term, held.revision, effects);
            }
            return;
        }
        let at = self.take_over_at(context);
        match &self.seen {
            Some(seen) if at.is_some_and(|at| at <= now) => {
                let term = seen.row.as_ref().map_or(0, |row| row.term);
                let era = seen.revision.era.min(TERM_ERA_MAX);
                // Higher than the terms of older eras, also of those that the store has lost.
                let term = ((era << TERM_ERA_SHIFT) + 1).max(term.saturating_add(1));
                let condition = seen.revision;
                self.write(now, term, condition, effects);
            }
            _ if context.rank < WATCHERS && self.watch_at <= now => {
                self.call = Some(Call::Read);
                effects.push(Effect::ReadRow);
            }
            _ => {}
        }
    }

    fn write(
        &mut self,
        now: Instant,
        term: Term,
        condition: revision::Revision,
        effects: &mut Vec<Effect>,
    ) {
        self.call = Some(Call::Write {
            term,
            condition,
            sent_at: now,
        });
        let row = self.row(term, condition.era);
        effects.push(Effect::WriteRow { row, condition });
    }

    /// Returns the instant from which this process may write itself into the row, if it remains as it was seen.
    fn take_over_at(&self, context: &Context) -> Option<Instant> {
        let seen = self.seen.as_ref()?;
        let is_on_vm = |row: &Row| row.holder.vm == self.me.vm && row.era == seen.revision.era;
        if seen.row.as_ref().is_some_and(is_on_vm) {
            // The process has ended, or is this one without a lease. The row replaced one of the same era, so none with a lease.
            return Some(seen.since);
        }
        if context.rank >= WATCHERS {
            return None;
        }
        let rank_delay = RANK_DELAY * u32::try_from(context.rank).unwrap_or(u32::MAX);
        let free_at = match seen.revision {
            revision::Revision { version: 0, era } => {
                let free_at = self.lost_leases_end_at(seen, era, context);
                free_at.max(seen.since + FIRST_LEASE_DELAY)
            }
            _ => seen.since + TAKE_OVER_AFTER,
        };
        Some(free_at + rank_delay)
    }

    /// Returns the instant from which no lease is valid that the store has lost. A store without eras loses nothing.
    fn lost_leases_end_at(&self, seen: &Seen, era: revision::Era, context: &Context) -> Instant {
        let lasts_since = match context.era {
            _ if era == 0 => return seen.since,
            Some((known, since)) if known == era => since,
            _ if self.era.0 == era => self.era.1,
            _ => seen.since,
        };
        (lasts_since + TAKE_OVER_AFTER).max(seen.since)
    }
}
