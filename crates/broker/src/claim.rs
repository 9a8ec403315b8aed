//! The claim row of a group, which lets one proxy at a time replace the group's leader.

use std::time::Duration;

use fulmarlift_core::floor;
use fulmarlift_core::id;
use serde::{Deserialize, Serialize};

use crate::revision;

/// Position of the era in a fencing token. The bits below count the claims of a group in that era.
const TOKEN_ERA_SHIFT: u32 = 20;
/// Highest era that counts in a token, so that tokens stay below 2^53 and pass through a floating-point number.
const TOKEN_ERA_MAX: revision::Era = (1 << 32) - 1;

/// Member that was ordered last to lead a group, as far as the claim row tells.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub enum LastOrdered {
    /// No order has been given.
    #[default]
    Nobody,
    /// The order for this member has been executed, or is about to be given, or its outcome is not known yet.
    Member {
        /// Name of the member.
        name: Box<str>,
        /// Newest term before the order. Once the order has been executed, the member leads a newer one.
        replaced_term: id::Term,
    },
    /// It is not known which orders have been executed.
    Unknown,
}

impl LastOrdered {
    /// Returns the name of the member, if one is known.
    pub fn member(&self) -> Option<&str> {
        match self {
            Self::Member { name, .. } => Some(name),
            Self::Nobody | Self::Unknown => None,
        }
    }

    /// Returns the newest term before the order; 0 if none is known.
    pub fn replaced_term(&self) -> id::Term {
        match self {
            Self::Member { replaced_term, .. } => *replaced_term,
            Self::Nobody | Self::Unknown => 0,
        }
    }
}

/// What a claim row tells about the member that is believed to lead.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// The member was ordered last, and no attempt to replace it has begun.
    Undisputed,
    /// An attempt to replace the member has begun, or may have.
    Disputed,
    /// Another member has been promoted since.
    Replaced,
    /// The row does not tell.
    Unknown,
}

/// Most members in the record of a choice.
const CHOICE_MEMBERS_MAX: usize = 8;
/// Most proxies in the record of a choice.
const CHOICE_PROXIES_MAX: usize = 4;
/// Longest name in the record of a choice, in bytes.
const CHOICE_NAME_BYTES_MAX: usize = 200;

/// Record of the choice of a leader, for the diagnostic logs of all proxies. No decision rests on it.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct ChoiceRecord {
    /// Fencing token of the claim under which the choice was made.
    pub token: u64,
    /// Name of the proxy that chose, including its incarnation.
    pub claimant: Box<str>,
    /// Name of the member that was chosen.
    pub target: Box<str>,
    /// Newest term that was known to have a leader. The target leads a newer one.
    pub replaced_term: id::Term,
    /// Whether the old leader handed over, rather than being taken over from.
    pub hands_over: bool,
    /// Whether the logs are those at the order, rather than at the earlier record of the choice.
    pub at_order: bool,
    /// Point up to which the claimant knew all commits to be acknowledged.
    pub acknowledged: Option<floor::Point>,
    /// Point up to which the target had received.
    pub target_had: Option<floor::Point>,
    /// Members that the claimant knew, and those that it had dropped.
    pub members: Vec<RecordedMember>,
    /// Names of the VMs whose proxies had told the claimant what they know of the group.
    pub told_by: Vec<Box<str>>,
}

/// A member in the record of a choice.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct RecordedMember {
    /// Name of the member.
    pub name: Box<str>,
    /// Point up to which the member had received; its last known point if it was dropped.
    pub received: Option<floor::Point>,
    /// Term of the hold in its answer; 0 if it was not held.
    pub held_term: id::Term,
    /// Whether the directory listed the member.
    pub listed: bool,
    /// Whether the member was leaving.
    pub leaving: bool,
    /// Whether the member had answered the attempt.
    pub answered: bool,
    /// Time since the claimant dropped the member, in milliseconds; `None` if it did not.
    pub dropped_for_ms: Option<u64>,
}

impl ChoiceRecord {
    /// Returns the record with at most 8 members, the target first, at most 4 proxies, and names of at most 200 bytes.
    pub fn bounded(mut self) -> Self {
        self.members
            .sort_by_key(|member| member.name != self.target);
        self.members.truncate(CHOICE_MEMBERS_MAX);
        self.told_by.truncate(CHOICE_PROXIES_MAX);
        for name in [&mut self.claimant, &mut self.target] {
            shorten(name);
        }
        for member in &mut self.members {
            shorten(&mut member.name);
        }
        for name in &mut self.told_by {
            shorten(name);
        }
        self
    }

    /// Returns whether `target_had` is the end of the log with which the target leads: a leader that hands over goes on after the first
    /// record of the choice.
    pub fn is_final(&self) -> bool {
        self.at_order || !self.hands_over
    }
}

fn shorten(name: &mut Box<str>) {
    if name.len() > CHOICE_NAME_BYTES_MAX {
        let is_end = |end: &usize| name.is_char_boundary(*end);
        let end = (0..=CHOICE_NAME_BYTES_MAX).rfind(is_end).unwrap_or(0);
        *name = name[..end].into();
    }
}

/// Contents of a group's claim row. Every change is conditional on the row's revision.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// Name of the proxy that claimed last, including its incarnation.
    pub holder: Box<str>,
    /// Fencing token; each claim takes the next higher one.
    pub token: u64,
    /// Name of the member for which a promotion order is about to be given, or has been given.
    pub target: Option<Box<str>>,
    /// Whether no promotion order for `target` can be executed any more: the order was executed or refused, or another
    /// one with a higher token followed it. True without a target.
    pub settled: bool,
    /// Time on the store's clock from which a proxy, this one included, may claim again, in milliseconds.
    pub until_ms: u64,
    /// Time on the store's clock from which an order for `target` can no longer be executed because of its age, in
    /// milliseconds. It counts only where orders are not fenced. Rows of earlier releases lack it, which reads as 0.
    #[serde(skip)]
    pub order_ends_ms: u64,
    /// Era of the store in which the proxy claimed. Rows of earlier releases lack it, which reads as 0.
    #[serde(skip)]
    pub era: revision::Era,
    /// Member that was ordered last. Rows of earlier releases lack it, which reads as [`LastOrdered::Unknown`].
    #[serde(skip)]
    pub last_ordered: LastOrdered,
    /// Term in which the member that was ordered last has confirmed that it leads; 0 if that is not known. Rows of earlier
    /// releases lack it, which reads as 0.
    #[serde(skip)]
    pub led_term: id::Term,
    /// The newest choice that was recorded. Rows of earlier releases lack it.
    #[serde(skip)]
    pub choice: Option<Box<ChoiceRecord>>,
}

/// A claim row as the store returns it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ClaimRow {
    /// Contents of the row; the default if the row does not exist.
    pub claim: Claim,
    /// Revision of the row, with version 0 if the row does not exist.
    pub revision: revision::Revision,
    /// Time on the store's clock at which the row was read, in milliseconds.
    pub now_ms: u64,
}

impl ClaimRow {
    /// Returns whether the store may have lost a newer claim than this one: it has changed its era since the claim was made.
    pub fn may_lack_newest_claim(&self) -> bool {
        self.claim.era < self.revision.era
    }

    /// Returns the term that the member that was ordered last leads at least; `None` if that is not known, or the order may not
    /// have been executed.
    pub fn promoted_term(&self) -> Option<id::Term> {
        match &self.claim.last_ordered {
            LastOrdered::Member { replaced_term, .. }
                if self.claim.pending_target().is_none() && !self.may_lack_newest_claim() =>
            {
                Some(self.claim.led_term.max(replaced_term.saturating_add(1)))
            }
            _ => None,
        }
    }

    /// Returns what the row tells about a member that is believed to lead and has led `led_term`.
    ///
    /// A member that starts again under another name still leads its term until another one is promoted. A term has one leader, so
    /// a member that has led the term of the member that was ordered last is that member.
    pub fn standing(&self, member: &str, led_term: id::Term) -> Standing {
        let pending = self.claim.pending_target().is_some();
        let pending_ended = pending && (1..=self.now_ms).contains(&self.claim.order_ends_ms);
        if self.may_lack_newest_claim() || pending_ended {
            return Standing::Unknown;
        }
        // Where a token ends orders, a claimant may still choose another member than the pending target, until that one has confirmed
        // that it leads. A settled target was promoted; its claim only keeps others from claiming.
        let may_change = pending && self.claim.order_ends_ms == 0 && self.claim.led_term == 0;
        let attempted =
            (self.claim.target.is_none() || may_change) && self.now_ms < self.claim.until_ms;
        let is_last_ordered =
            |name: &str| name == member || led_term > 0 && led_term == self.claim.led_term;
        match &self.claim.last_ordered {
            LastOrdered::Unknown => Standing::Unknown,
            // It leads by an order that the row does not tell.
            LastOrdered::Member { .. } if (1..led_term).contains(&self.claim.led_term) => {
                Standing::Unknown
            }
            LastOrdered::Member { name, .. } if !is_last_ordered(name) && !pending => {
                Standing::Replaced
            }
            _ if attempted => Standing::Disputed,
            LastOrdered::Nobody if pending => Standing::Disputed,
            LastOrdered::Nobody => Standing::Undisputed,
            // An order that may be executed again changes nothing once its member leads.
            LastOrdered::Member {
                name,
                replaced_term,
            } if is_last_ordered(name) => match led_term > *replaced_term {
                true => Standing::Undisputed,
                false => Standing::Disputed,
            },
            LastOrdered::Member { .. } => Standing::Disputed,
        }
    }

    /// Treats the row as claimed for at least `remaining`.
    pub fn extend_claim(&mut self, remaining: Duration) {
        let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX / 2);
        self.claim.until_ms = self
            .claim
            .until_ms
            .max(self.now_ms.saturating_add(remaining_ms));
    }
}

/// Error for row contents that are not an encoded claim.
#[derive(Debug, thiserror::Error)]
#[error("the claim row cannot be decoded: {0}")]
pub struct Malformed(#[from] postcard::Error);

impl Claim {
    /// Encodes the claim as the contents of a row.
    ///
    /// `order_ends_ms`, `era`, `last_ordered`, `led_term` and `choice` come last, so that earlier releases read the row without them.
    pub fn to_bytes(&self) -> Vec<u8> {
        let row = (
            self,
            self.order_ends_ms,
            self.era,
            &self.last_ordered,
            self.led_term,
            &self.choice,
        );
        postcard::to_stdvec(&row).expect("a claim of plain values always encodes")
    }

    /// Decodes the contents of a row.
    ///
    /// # Errors
    ///
    /// [`Malformed`] if [`Claim::to_bytes`] did not produce the bytes.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, Malformed> {
        let (mut claim, mut rest): (Self, &[u8]) = postcard::take_from_bytes(bytes)?;
        claim.last_ordered = LastOrdered::Unknown;
        if !rest.is_empty() {
            (claim.order_ends_ms, rest) = postcard::take_from_bytes(rest)?;
        }
        if !rest.is_empty() {
            (claim.era, rest) = postcard::take_from_bytes(rest)?;
        }
        if !rest.is_empty() {
            (claim.last_ordered, rest) = postcard::take_from_bytes(rest)?;
        }
        if !rest.is_empty() {
            (claim.led_term, rest) = postcard::take_from_bytes(rest)?;
        }
        if !rest.is_empty() {
            // A record that this release cannot read must not make the claim unreadable.
            let choice: Option<Option<ChoiceRecord>> = postcard::from_bytes(rest).ok();
            let choice = choice.flatten().map(ChoiceRecord::bounded);
            claim.choice = choice.map(Box::new);
        }
        Ok(claim)
    }

    /// Returns the fencing token of the next claim, made in the given era of the store. It is higher than all tokens of earlier
    /// eras, also of claims that the store has lost.
    pub fn next_token(&self, era: revision::Era) -> u64 {
        let first_of_era = (era.min(TOKEN_ERA_MAX) << TOKEN_ERA_SHIFT) + 1;
        first_of_era.max(self.token.saturating_add(1))
    }

    /// Returns the name of the member whose promotion order may still be executed.
    pub fn pending_target(&self) -> Option<&str> {
        self.target.as_deref().filter(|_| !self.settled)
    }
}
