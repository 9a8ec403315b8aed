//! Conditional writes of the claim row that get no answer: the row is read again to see whether the write was made.
//!
//! A write without an answer may still be made later if the row has the revision that it expects. So a row at that revision is written
//! again, with the same contents and the same condition: only one of the two writes is made, and it does not matter which.

use std::time::{Duration, Instant};

use crate::claim;
use crate::effect;
use crate::failover;

/// Delay before the row is read once more while a read has not been answered.
const SECOND_READ_DELAY: Duration = failover::STORE_RETRY_DELAY.saturating_mul(2);

/// A conditional write of the claim row.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) enum Write {
    /// The claim of the attempt.
    Claim,
    /// The record of the chosen target.
    Choice,
}

/// A write whose answer is missing.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct Verification {
    pub(super) write: Write,
    /// Instant at which the write ended without an answer. Reads that were sent before it do not count.
    since: Instant,
    /// Instant at which the row is read again.
    read_at: Instant,
    /// Instant at which the attempt is given up.
    until: Instant,
}

impl failover::Attempt {
    /// Begins to find out whether a write was made.
    pub(super) fn start_verification(
        &mut self,
        now: Instant,
        write: Write,
        out: &mut Vec<effect::Effect>,
    ) -> failover::Progress {
        self.repeats_write = true;
        self.read_row(
            now,
            Verification {
                write,
                since: now,
                read_at: now,
                until: self.gives_up_at().max(now + SECOND_READ_DELAY),
            },
            out,
        );
        failover::Progress::Ongoing
    }

    /// Reads the row again if that is due. Gives up if the row could not be read in time.
    pub(super) fn continue_verification(
        &mut self,
        now: Instant,
        verification: Verification,
        out: &mut Vec<effect::Effect>,
    ) -> failover::Progress {
        if now >= verification.until {
            return self.give_up_write(now, verification.write, out);
        }
        if now >= verification.read_at {
            self.read_row(now, verification, out);
        }
        failover::Progress::Ongoing
    }

    fn read_row(
        &mut self,
        now: Instant,
        verification: Verification,
        out: &mut Vec<effect::Effect>,
    ) {
        self.step = failover::Step::Verifying(Verification {
            read_at: now + SECOND_READ_DELAY,
            ..verification
        });
        out.push(effect::Effect::LoadClaim(self.group));
    }

    /// Continues after a read of the row that was sent at `asked_at`.
    pub(super) fn apply_verification(
        &mut self,
        now: Instant,
        asked_at: Instant,
        verification: Verification,
        stored: Option<claim::ClaimRow>,
        out: &mut Vec<effect::Effect>,
    ) -> failover::Progress {
        let write = verification.write;
        if asked_at < verification.since {
            return failover::Progress::Ongoing;
        }
        let Some(stored) = stored else {
            self.step = failover::Step::Verifying(Verification {
                read_at: now + failover::STORE_RETRY_DELAY,
                ..verification
            });
            return failover::Progress::Ongoing;
        };
        if stored.revision == self.revision {
            if now >= self.gives_up_at() {
                return self.give_up_write(now, write, out);
            }
            self.step = match write {
                Write::Claim => failover::Step::Claiming,
                Write::Choice => failover::Step::Recording,
            };
            self.store_claim(out);
            return failover::Progress::Ongoing;
        }
        if stored.revision.era != self.revision.era {
            return self.give_up_write(now, write, out);
        }
        if !self.has_written(&stored) {
            // Another proxy has claimed, and holds the members itself.
            return failover::Progress::GivenUp {
                retry_at: now + failover::STORE_RETRY_DELAY,
            };
        }
        if write == Write::Claim {
            // An earlier attempt of this proxy may have written it, with the same token and an earlier end.
            self.store_clock = (asked_at, stored.now_ms);
            self.claim.until_ms = stored.claim.until_ms;
        }
        self.revision = stored.revision;
        self.repeats_write = false;
        self.step = failover::Step::Written(write);
        failover::Progress::Ongoing
    }

    /// Continues after a write that was found to be made, or that was answered only when it was repeated.
    pub(super) fn continue_after_write(
        &mut self,
        now: Instant,
        write: Write,
        roster: &failover::roster::Roster,
        out: &mut Vec<effect::Effect>,
    ) -> failover::Progress {
        let (read_at, read_ms) = self.store_clock;
        let remaining_ms = self.claim.until_ms.saturating_sub(read_ms);
        // A time that the clock cannot represent proves nothing.
        let expires_at = read_at.checked_add(Duration::from_millis(remaining_ms));
        self.claim_expires_at = expires_at.unwrap_or(read_at);
        if now >= self.gives_up_at() {
            return self.give_up_write(now, write, out);
        }
        match write {
            Write::Claim => self.start_replacement(now, roster, out),
            Write::Choice if self.hands_over => {
                let is_in_time = self
                    .orders_end_at
                    .is_some_and(|end_at| now + failover::STOP_TIMEOUT < end_at);
                let target = self.target.zip(self.claim.target.clone());
                match target {
                    Some((member, name)) if !is_in_time => {
                        self.record_choice(now, member, &name, out);
                        failover::Progress::Ongoing
                    }
                    _ => self.continue_with_choice(now, roster, out),
                }
            }
            Write::Choice => {
                // A member may have joined or started again since the logs were read.
                self.read_directory(out);
                failover::Progress::Ongoing
            }
        }
    }

    /// Returns whether a row is newer than the one that this attempt has read, and was written by it.
    fn has_written(&self, stored: &claim::ClaimRow) -> bool {
        stored.revision > self.revision
            && stored.claim.holder == self.claim.holder
            && stored.claim.token == self.claim.token
            && stored.claim.target == self.claim.target
    }

    /// Gives up because it is not known whether the write was made.
    pub(super) fn give_up_write(
        &mut self,
        now: Instant,
        write: Write,
        out: &mut Vec<effect::Effect>,
    ) -> failover::Progress {
        match write {
            // Nothing has been held yet.
            Write::Claim => failover::Progress::GivenUp {
                retry_at: now + failover::STORE_RETRY_DELAY,
            },
            Write::Choice => self.give_up(now, out),
        }
    }
}
