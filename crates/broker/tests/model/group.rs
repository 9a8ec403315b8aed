//! Three members and the platform's duty of promotion.

use fulmarlift_broker::event;
use fulmarlift_core::floor;

pub const MEMBERS: usize = 3;

/// An entry of a log: the term in which it was written, and its number among all writes.
pub type Entry = (u8, u8);

/// A member.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Member {
    pub term: u8,
    pub leads: bool,
    /// Term up to which it has stopped receiving; 0 while it receives.
    pub held: u8,
    pub log: Vec<Entry>,
}

/// A group of members.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Group {
    pub members: [Member; MEMBERS],
    /// Entries that were acknowledged.
    pub acknowledged: Vec<Entry>,
    /// Highest token seen by the platform, and who sent it.
    pub token: (u64, usize),
    /// Orders that were accepted and have not taken effect, the oldest first.
    pub accepted: Vec<usize>,
    pub writes_left: u8,
    /// Whether the last step promoted a member.
    pub promoted: bool,
    pub violation: Option<&'static str>,
}

impl Group {
    /// Member 0 leads term 1; nothing is written.
    pub fn new(writes: u8) -> Self {
        let mut members: [Member; MEMBERS] = Default::default();
        for member in &mut members {
            member.term = 1;
        }
        members[0].leads = true;
        Self {
            members,
            acknowledged: Vec::new(),
            token: (0, usize::MAX),
            accepted: Vec::new(),
            writes_left: writes,
            promoted: false,
            violation: None,
        }
    }

    pub fn leader(&self) -> Option<usize> {
        self.members.iter().position(|member| member.leads)
    }

    pub fn status(&self, nth: usize) -> event::MemberStatus {
        let member = &self.members[nth];
        event::MemberStatus {
            leads: member.leads,
            term: member.term.into(),
            received: floor::Point::new(member.term.into(), member.log.len() as u64),
            held_term: member.held.into(),
        }
    }

    /// The leader writes an entry, which nobody else has yet.
    pub fn write(&mut self) -> bool {
        let Some(leader) = self.leader().filter(|_| self.writes_left > 0) else {
            return false;
        };
        let member = &mut self.members[leader];
        member.log.push((member.term, self.writes_left));
        self.writes_left -= 1;
        true
    }

    /// A replica that is not held receives what it lacks, one entry at a time, and drops what its leader does not have. The
    /// leader acknowledges what a replica has received.
    pub fn replicate(&mut self, replica: usize, ignores_holds: bool) -> bool {
        let Some(leader) = self.leader().filter(|leader| *leader != replica) else {
            return false;
        };
        let source = self.members[leader].clone();
        let member = &mut self.members[replica];
        if member.held > 0 && !ignores_holds {
            return false;
        }
        let before = member.clone();
        let pairs = member.log.iter().zip(&source.log);
        let common = pairs.take_while(|(own, other)| own == other).count();
        member.log.truncate(common);
        member.term = source.term;
        if let Some(entry) = source.log.get(common) {
            member.log.push(*entry);
            if !self.acknowledged.contains(entry) {
                self.acknowledged.push(*entry);
                self.acknowledged.sort_unstable();
            }
        }
        before != self.members[replica]
    }

    /// A member stops receiving, if the term is above the newest that it knows.
    pub fn hold(&mut self, nth: usize, term: u8) {
        let member = &mut self.members[nth];
        if !member.leads && term > member.term {
            member.held = member.held.max(term);
        }
    }

    pub fn release(&mut self, nth: usize) {
        self.members[nth].held = 0;
    }

    pub fn demote(&mut self, nth: usize, term: u8) {
        let member = &mut self.members[nth];
        if member.term < term {
            member.leads = false;
        }
    }

    /// Takes an order; returns whether it is accepted.
    pub fn order(&mut self, target: usize, token: u64, holder: usize, check: bool) -> bool {
        if token < self.token.0 && check {
            return false;
        }
        if token == self.token.0 && holder != self.token.1 {
            self.violation = Some("two holders of one token");
        }
        if token >= self.token.0 {
            self.token = (token, holder);
        }
        self.accepted.push(target);
        true
    }

    /// The oldest accepted order takes effect: the member leads the next term with what it has received.
    pub fn promote(&mut self) -> bool {
        if self.accepted.is_empty() {
            return false;
        }
        let target = self.accepted.remove(0);
        if self.members[target].leads {
            return true;
        }
        let newest = self.members.iter().map(|member| member.term).max();
        for member in &mut self.members {
            member.leads = false;
            member.held = 0;
        }
        let member = &mut self.members[target];
        member.leads = true;
        member.term = newest.unwrap_or_default() + 1;
        self.promoted = true;
        if self
            .acknowledged
            .iter()
            .any(|entry| !member.log.contains(entry))
        {
            self.violation = Some("an acknowledged write is lost");
        }
        true
    }
}
