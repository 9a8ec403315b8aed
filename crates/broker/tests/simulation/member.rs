//! A member of the group, as the contract describes it.

use fulmarlift_broker::event;
use fulmarlift_core::floor;
use fulmarlift_core::id;

use crate::simulation::checks;
use crate::simulation::log;

/// Whether a member's process runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Process {
    /// It runs.
    Running,
    /// It has ended; its address refuses connections.
    Ended,
    /// Its VM is gone; nothing answers.
    Dark,
}

/// What a proxy sends to a member on a connection.
#[derive(Clone, Copy, Debug)]
pub enum Command {
    /// Opens the connection.
    Connect,
    /// Begins a transaction that may write.
    Begin,
    /// Ends a transaction without effect.
    Rollback,
    /// Reads outside transactions, if the log has reached a point.
    Read(Option<floor::Point>, checks::Demand),
    /// Writes outside transactions.
    Write,
    /// Reads in a transaction that was begun in this term.
    ReadWithin(id::Term, checks::Demand),
    /// Commits a transaction that was begun in this term and may have written.
    Commit(id::Term, bool),
    /// Asks for the status.
    Status,
    /// Stops receiving from leaders of lower terms.
    Hold(id::Term),
    /// Receives again.
    Release,
    /// Stops leading in a lower term.
    Demote(id::Term),
}

/// A member's answer.
#[derive(Clone, Copy, Debug)]
pub struct Reply {
    /// How the command ended.
    pub code: Code,
    /// End of the member's log.
    pub point: floor::Point,
    /// The member's status.
    pub status: event::MemberStatus,
}

/// How a command ended at a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Code {
    /// It was executed.
    Done,
    /// It was refused: the member does not lead, or no longer in the term of the transaction.
    NotLeading,
    /// It was refused: the log lacks the point.
    Behind,
}

/// A commit that waits for a replica.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    /// Exchange that is answered then.
    pub exchange: u64,
    /// Entry that a replica must receive.
    pub point: floor::Point,
}

/// A member.
#[derive(Clone, Debug)]
pub struct Member {
    /// Whether the process runs.
    pub process: Process,
    /// Number of the member's starts.
    pub starts: u32,
    /// Whether the member leads.
    pub leads: bool,
    /// Newest term that the member knows.
    pub term: id::Term,
    /// What the member has received or written.
    pub log: log::Log,
    /// Term of the hold; 0 while not held.
    pub held_term: id::Term,
    /// Whether the member has heard of its successor and stops leading soon.
    pub steps_down: bool,
    /// Commits that wait for a replica.
    pub waiting: Vec<Waiting>,
    /// Whether the member says that it will stop.
    pub leaving: bool,
    /// Whether the member has been demoted, and still executes the commits that waited for a slot then.
    pub finishes: bool,
}

impl Member {
    /// Creates a replica that runs and has the log of another member.
    pub fn new(term: id::Term, log: log::Log) -> Self {
        Self {
            process: Process::Running,
            starts: 1,
            leads: false,
            term,
            log,
            held_term: 0,
            steps_down: false,
            waiting: Vec::new(),
            leaving: false,
            finishes: false,
        }
    }

    /// Returns whether the process runs.
    pub fn is_running(&self) -> bool {
        self.process == Process::Running
    }

    /// Returns the answer to a command that ended.
    pub fn reply(&self, code: Code) -> Reply {
        Reply {
            code,
            point: self.log.end(),
            status: event::MemberStatus {
                leads: self.leads,
                term: self.term,
                received: self.log.end(),
                held_term: self.held_term,
            },
        }
    }

    /// Executes a command. Returns `None` if the commit with the last entry of the log waits for a replica.
    pub fn execute(&mut self, command: Command) -> Option<Reply> {
        let code = match command {
            Command::Connect | Command::Rollback | Command::Status => Code::Done,
            Command::Begin => self.if_leading(self.leads),
            Command::Read(floor, _) => match floor.is_some_and(|floor| self.log.end() < floor) {
                true => Code::Behind,
                false => Code::Done,
            },
            Command::Write if self.leads => {
                self.log.append(self.term, 1);
                return None;
            }
            Command::Write => Code::NotLeading,
            Command::ReadWithin(term, _) => self.if_leading(self.leads && self.term == term),
            // The commit of a transaction that wrote nothing succeeds wherever it ends.
            Command::Commit(_, false) => Code::Done,
            Command::Commit(term, true) if self.leads && self.term == term => {
                self.log.append(self.term, 1);
                return None;
            }
            Command::Commit(_, true) => Code::NotLeading,
            Command::Hold(term) => {
                if !self.leads && term > self.term {
                    self.held_term = self.held_term.max(term);
                }
                Code::Done
            }
            Command::Release => {
                self.held_term = 0;
                Code::Done
            }
            Command::Demote(term) => {
                if self.leads && self.term < term {
                    self.stop_leading();
                }
                Code::Done
            }
        };
        Some(self.reply(code))
    }

    /// Executes a commit that has waited for a slot, also if the member was demoted meanwhile.
    pub fn execute_queued(&mut self, command: Command) -> Option<Reply> {
        let is_valid = match command {
            Command::Commit(term, _) => self.term == term,
            _ => true,
        };
        if self.finishes && is_valid {
            self.log.append(self.term, 1);
            return None;
        }
        self.execute(command)
    }

    fn if_leading(&self, leading: bool) -> Code {
        match leading {
            true => Code::Done,
            false => Code::NotLeading,
        }
    }

    /// Becomes a replica.
    pub fn stop_leading(&mut self) {
        self.leads = false;
        self.steps_down = false;
        self.finishes = false;
        self.waiting.clear();
    }

    /// Becomes a replica that executes the commits that wait for a slot.
    pub fn stop_with_queue(&mut self) {
        self.leads = false;
        self.finishes = true;
    }

    /// Receives the log of the leader of a term. Returns whether the member has it now.
    pub fn receive(&mut self, term: id::Term, log: &log::Log) -> bool {
        if !self.is_running() || self.leads || term < self.term || term < self.held_term {
            return false;
        }
        if term > self.term {
            self.finishes = false;
            self.waiting.clear();
            self.term = term;
            self.log = log.clone();
        } else if log.end() > self.log.end() {
            self.log = log.clone();
        }
        true
    }
}
