//! Model of three members, and of the platform that promotes them.

use fulmarlift_broker::event;
use fulmarlift_core::floor;

use crate::model::system::Bounds;

pub const MEMBERS: usize = 3;

/// Entry of a log: the term in which it was written, and a number that is unique among all writes.
pub type Entry = (u8, u8);

/// Violated guarantee.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Violation {
    /// A read at a leader lacks an acknowledged entry.
    StaleRead,
    /// A promoted member lacks an acknowledged entry.
    LostWrite,
    /// Two proxies hold one token.
    SharedToken,
}

/// Model of a member.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Member {
    pub term: u8,
    pub leads: bool,
    /// Term of the hold; 0 while the member receives.
    pub held: u8,
    pub log: Vec<Entry>,
    /// Whether the member does not run: it has not joined yet, or has ended.
    pub absent: bool,
    /// Whether the member has ended.
    pub ended: bool,
}

/// Model of a group.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Group {
    pub members: [Member; MEMBERS],
    /// Entries of whose success a caller has been told.
    pub acknowledged: Vec<Entry>,
    /// Entries that a leader has acknowledged, whose success has not been passed on.
    pub unconfirmed: Vec<Entry>,
    /// Whether a success is passed on only when that is known to be safe, rather than at once.
    successes_wait: bool,
    /// Whether this holds only for leaders that have been promoted: the first leader is trusted.
    first_leader_is_trusted: bool,
    /// Acknowledged entries that the log of the newest leader lacks: an older leader acknowledged them after the promotion.
    pub lacked: Vec<Entry>,
    /// Highest token that the platform has seen, and the proxy that sent it.
    pub token: (u64, usize),
    /// Targets of the accepted orders that are not yet executed, the oldest first.
    pub accepted: Vec<usize>,
    /// Whether a promotion ends the old leader's lead. Otherwise the old leader leads on until it is demoted or steps down.
    pub fenced: bool,
    /// Whether a member that has not heard of the newest leader may still receive from an older one.
    pub late_confirms: bool,
    pub writes_left: u8,
    /// Members that have led, with their terms.
    led: Vec<(usize, u8)>,
    /// Whether the last step promoted a member.
    pub promoted: bool,
    pub violation: Option<Violation>,
}

impl Group {
    /// Creates a group in which member 0 leads term 1 and all logs are empty. With `joins`, the last member joins later.
    pub fn new(bounds: &Bounds) -> Self {
        let mut members: [Member; MEMBERS] = Default::default();
        for member in &mut members {
            member.term = 1;
        }
        members[0].leads = true;
        if bounds.joins {
            members[MEMBERS - 1].term = 0;
            members[MEMBERS - 1].absent = true;
        }
        Self {
            members,
            acknowledged: Vec::new(),
            unconfirmed: Vec::new(),
            successes_wait: bounds.successes_need_lease
                || bounds.successes_need_trust
                || bounds.successes_need_counted,
            first_leader_is_trusted: bounds.successes_need_trust,
            lacked: Vec::new(),
            token: (0, usize::MAX),
            accepted: Vec::new(),
            fenced: bounds.fenced,
            late_confirms: bounds.late_confirms,
            writes_left: bounds.writes,
            led: vec![(0, 1)],
            promoted: false,
            violation: None,
        }
    }

    /// Returns the leader of the newest term.
    pub fn leader(&self) -> Option<usize> {
        let leaders = (0..MEMBERS).filter(|index| self.members[*index].leads);
        leaders.max_by_key(|index| self.members[*index].term)
    }

    /// Returns the members that lead, with their terms, and with `old` also those that have led.
    pub fn beliefs(&self, old: bool) -> Vec<(usize, u8)> {
        let leads = |(index, term): &(usize, u8)| {
            let member = &self.members[*index];
            old || (member.leads && member.term == *term)
        };
        self.led.iter().copied().filter(leads).collect()
    }

    /// Lets a replaced leader notice that it has been replaced.
    pub fn step_down(&mut self, index: usize) -> bool {
        let is_replaced = self.members[index].leads && self.leader() != Some(index);
        self.members[index].leads &= !is_replaced;
        is_replaced
    }

    /// Reads at a member that leads. Every acknowledged entry of the newest leader's log must be in its log.
    pub fn read(&mut self, index: usize) {
        let log = &self.members[index].log;
        let lacked = &self.lacked;
        let is_missing = |entry: &Entry| !log.contains(entry) && !lacked.contains(entry);
        if self.acknowledged.iter().any(is_missing) {
            self.violation = Some(Violation::StaleRead);
        }
    }

    pub fn status(&self, index: usize) -> event::MemberStatus {
        let member = &self.members[index];
        let last_term = member.log.last().map_or(0, |(term, _)| *term);
        event::MemberStatus {
            leads: member.leads,
            term: member.term.into(),
            received: floor::Point::new(last_term.into(), member.log.len() as u64),
            held_term: member.held.into(),
        }
    }

    /// Appends an entry to the log of a member that leads.
    pub fn write(&mut self, index: usize) -> bool {
        let member = &mut self.members[index];
        if !member.leads || self.writes_left == 0 {
            return false;
        }
        member.log.push((member.term, self.writes_left));
        self.writes_left -= 1;
        true
    }

    /// Lets a replica that is not held hear of a leader of a newer term than its own, and follow it.
    pub fn follow(&mut self, replica: usize, leader: usize, holds_ignored: bool) -> bool {
        let term = self.members[leader].term;
        let leads = self.members[leader].leads;
        let member = &mut self.members[replica];
        let follows = leads && !member.leads && !member.absent && term > member.term;
        if !follows || (member.held > 0 && !holds_ignored) {
            return false;
        }
        member.term = term;
        true
    }

    /// Lets a replica that is not held receive the next entry from the leader of its term, and drop entries that this leader
    /// does not have. The leader acknowledges the received entry.
    pub fn replicate(&mut self, replica: usize, holds_ignored: bool) -> bool {
        let member = &self.members[replica];
        let term = member.term;
        if member.leads || member.absent || (member.held > 0 && !holds_ignored) {
            return false;
        }
        let leads_term = |source: &&Member| source.leads && source.term == term;
        let Some(source) = self.members.iter().find(leads_term).cloned() else {
            return false;
        };
        let newest = self.leader().map(|leader| &self.members[leader]);
        let newest_log = newest
            .filter(|leader| leader.term > term)
            .map(|leader| leader.log.clone());
        if newest_log.is_some() && !self.late_confirms {
            return false;
        }
        let member = &mut self.members[replica];
        let before = member.clone();
        let pairs = member.log.iter().zip(&source.log);
        let common = pairs
            .take_while(|(entry, leader_entry)| entry == leader_entry)
            .count();
        member.log.truncate(common);
        if let Some(entry) = source.log.get(common) {
            member.log.push(*entry);
            let is_new = !self.acknowledged.contains(entry) && !self.unconfirmed.contains(entry);
            match is_new {
                true if self.successes_wait && !(self.first_leader_is_trusted && entry.0 == 1) => {
                    self.unconfirmed.push(*entry);
                    self.unconfirmed.sort_unstable();
                }
                true => self.acknowledge(*entry),
                false => {}
            }
        }
        before != self.members[replica]
    }

    /// Returns whether nothing can be written any more, and the success of all that any log has has been passed on.
    pub fn all_acknowledged(&self) -> bool {
        let mut logged = self.members.iter().flat_map(|member| &member.log);
        self.writes_left == 0
            && self.unconfirmed.is_empty()
            && logged.all(|entry| self.acknowledged.contains(entry))
    }

    /// Returns the member that has led a term.
    pub fn leader_of(&self, term: u8) -> Option<usize> {
        let led = self.led.iter().find(|(_, led)| *led == term);
        led.map(|(member, _)| *member)
    }

    /// Passes the success of an entry on to its caller.
    pub fn confirm(&mut self, entry: Entry) {
        self.unconfirmed.retain(|other| *other != entry);
        self.acknowledge(entry);
        if self.lacked.contains(&entry) {
            self.violation = Some(Violation::LostWrite);
        }
    }

    fn acknowledge(&mut self, entry: Entry) {
        self.acknowledged.push(entry);
        self.acknowledged.sort_unstable();
        let newest = self.leader().map(|leader| &self.members[leader]);
        if newest.is_some_and(|leader| leader.term > entry.0 && !leader.log.contains(&entry)) {
            self.lacked.push(entry);
            self.lacked.sort_unstable();
        }
    }

    /// Holds a replica if the term is above the newest term that it knows.
    pub fn hold(&mut self, index: usize, term: u8) {
        let member = &mut self.members[index];
        if !member.leads && term > member.term {
            member.held = member.held.max(term);
        }
    }

    pub fn release(&mut self, index: usize) {
        self.members[index].held = 0;
    }

    /// Restarts a replica, which forgets its hold and keeps its term and its log.
    pub fn restart(&mut self, index: usize) -> bool {
        let held = std::mem::take(&mut self.members[index].held);
        held > 0
    }

    /// Lets a member join with an empty log.
    pub fn join(&mut self, index: usize) -> bool {
        let member = &mut self.members[index];
        !member.ended && std::mem::take(&mut member.absent)
    }

    /// Returns whether a replica other than this one has an entry of the newest leader's log.
    pub fn is_kept_without(&self, index: usize, entry: Entry) -> bool {
        let mut others = (0..MEMBERS)
            .filter(|other| *other != index && self.leader_of(entry.0) != Some(*other))
            .map(|other| &self.members[other]);
        let leader = self.leader().map(|leader| &self.members[leader]);
        leader.is_some_and(|leader| !leader.log.contains(&entry))
            || others.any(|other| other.log.contains(&entry))
    }

    /// Ends a replica, whose log is gone with it.
    pub fn end(&mut self, index: usize) -> bool {
        let member = &mut self.members[index];
        let ends = !member.absent && !member.leads;
        if ends {
            *member = Member {
                absent: true,
                ended: true,
                ..Member::default()
            };
        }
        ends
    }

    pub fn demote(&mut self, index: usize, term: u8) {
        let member = &mut self.members[index];
        if member.term < term {
            member.leads = false;
        }
    }

    /// Applies a promotion order, and returns whether the platform accepts it.
    pub fn order(&mut self, target: usize, token: u64, holder: usize, check_token: bool) -> bool {
        if token < self.token.0 && check_token || self.members[target].ended {
            return false;
        }
        if token == self.token.0 && holder != self.token.1 {
            self.violation = Some(Violation::SharedToken);
        }
        if token >= self.token.0 {
            self.token = (token, holder);
        }
        self.accepted.push(target);
        true
    }

    /// Executes the oldest accepted order: the target leads the next term with the log that it has received. Holds end at once,
    /// unless their term is above the next one. A replica follows the new term only when it hears from the target.
    pub fn promote(&mut self) -> bool {
        if self.accepted.is_empty() {
            return false;
        }
        let target = self.accepted.remove(0);
        if self.members[target].leads || self.members[target].ended {
            return true;
        }
        let newest = self.members.iter().map(|member| member.term).max();
        let term = newest.unwrap_or_default() + 1;
        for member in &mut self.members {
            member.leads &= !self.fenced;
            member.held *= u8::from(member.held > term);
        }
        let member = &mut self.members[target];
        member.leads = true;
        member.term = term;
        self.led.push((target, term));
        self.promoted = true;
        let is_missing = |entry: &&Entry| !member.log.contains(entry);
        self.lacked = self
            .acknowledged
            .iter()
            .filter(is_missing)
            .copied()
            .collect();
        if !self.lacked.is_empty() {
            self.violation = Some(Violation::LostWrite);
        }
        true
    }
}
