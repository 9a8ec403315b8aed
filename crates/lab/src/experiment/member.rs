//! A simulated member of the database group: its term and log, its slots for statements and its connections.
//!
//! Replication is asynchronous: a replica's log is the last point that the replica has applied.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use fulmarlift_core::{event, floor, id};

/// A statement that a member runs or queues.
#[derive(Clone, Copy, Debug)]
pub struct Statement {
    /// Index of the proxy that sent the statement.
    pub proxy: usize,
    /// Connection on which the statement was sent.
    pub conn: id::ConnId,
    /// Request that the statement belongs to.
    pub request: id::RequestId,
    /// Whether the statement writes.
    pub write: bool,
}

/// A control request of a proxy that asks for the status. The member answers it when its log has reached a position.
#[derive(Clone, Copy, Debug)]
pub struct StatusQuestion {
    /// Index of the proxy that sent the question.
    pub proxy: usize,
    /// Identifier that the answer carries.
    pub control_request: id::ControlRequestId,
    /// Position that the member's log must have reached.
    pub min_position: id::Position,
    /// When the member answers even if its log has not reached the position.
    pub answer_by: Instant,
}

/// A simulated member.
#[derive(Clone, Debug)]
pub struct Member {
    /// Identifier of the member.
    pub id: id::MemberId,
    /// Status that the member reports to proxies.
    pub status: event::Status,
    /// Index of the proxy to which the member granted its term; `usize::MAX` for the first term.
    pub claimant: usize,
    /// Whether the member runs.
    pub alive: bool,
    /// Additional delay of each entry that the member applies.
    pub lag: Duration,
    /// Connections on which the member does not answer any more, each with the index of its proxy.
    pub silent_conns: Vec<(usize, id::ConnId)>,
    /// Open connections, each with the index of its proxy.
    pub open_conns: Vec<(usize, id::ConnId)>,
    /// Highest number of connections that were open at once.
    pub open_conns_peak: usize,
    /// Number of connections that the member refused because too many were open.
    pub refused_conns: u64,
    running_count: usize,
    queue: VecDeque<Statement>,
    pending_questions: Vec<StatusQuestion>,
}

impl Member {
    /// Creates a member of term 1 whose log has one entry.
    pub fn new(id: id::MemberId, primary: bool) -> Self {
        let status = event::Status {
            term: 1,
            primary,
            last: floor::Point::new(1, 1),
            term_start: 1,
            connections_used: 0,
            upstream_silence: Duration::ZERO,
        };
        Self {
            id,
            status,
            claimant: usize::MAX,
            alive: true,
            lag: Duration::ZERO,
            silent_conns: Vec::new(),
            open_conns: Vec::new(),
            open_conns_peak: 0,
            refused_conns: 0,
            running_count: 0,
            queue: VecDeque::new(),
            pending_questions: Vec::new(),
        }
    }

    /// Opens a connection unless `limit` connections are open, and returns whether it is open.
    pub fn open_conn(&mut self, proxy: usize, conn: id::ConnId, limit: u32) -> bool {
        if self.open_conns.len() >= limit as usize {
            self.refused_conns += 1;
            return false;
        }
        self.open_conns.push((proxy, conn));
        self.open_conns_peak = self.open_conns_peak.max(self.open_conns.len());
        self.status.connections_used = u32::try_from(self.open_conns.len()).unwrap_or(u32::MAX);
        true
    }

    /// Closes the connections for which the predicate returns true.
    pub fn close_conns(&mut self, should_close: impl Fn(usize, id::ConnId) -> bool) {
        self.open_conns
            .retain(|(proxy, conn)| !should_close(*proxy, *conn));
        self.status.connections_used = u32::try_from(self.open_conns.len()).unwrap_or(u32::MAX);
    }

    /// Takes a slot for a statement and returns the statement, or queues it and returns `None` if no slot is free.
    pub fn start_or_queue(&mut self, statement: Statement, slots: usize) -> Option<Statement> {
        if self.running_count >= slots {
            self.queue.push_back(statement);
            return None;
        }
        self.running_count += 1;
        Some(statement)
    }

    /// Frees the slot of a statement that has ended and returns the queued statement that takes it, if there is one.
    pub fn start_next(&mut self) -> Option<Statement> {
        let next = self.queue.pop_front();
        self.running_count -= usize::from(next.is_none());
        next
    }

    /// Appends an entry to the log of a primary and returns its point, or `None` if the member is not a primary.
    pub fn append_entry(&mut self) -> Option<floor::Point> {
        if !self.status.primary {
            return None;
        }
        let position = self.status.last.position + 1;
        self.status.last = floor::Point::new(self.status.term, position);
        Some(self.status.last)
    }

    /// Applies a primary's log up to a point, unless the member has granted a later term or its log is as recent.
    pub fn apply_log(&mut self, point: floor::Point) {
        if point.term < self.status.term || self.status.last >= point {
            return;
        }
        self.status.term = point.term;
        self.status.primary = false;
        self.status.last = point;
    }

    /// Grants a term to a claimant and returns true. Returns false if the member's term is higher, or is the same and was
    /// granted to another claimant. A member that grants a higher term is no longer the primary.
    pub fn fence(&mut self, term: id::Term, claimant: usize) -> bool {
        let granted =
            term > self.status.term || (term == self.status.term && claimant == self.claimant);
        if granted && term > self.status.term {
            self.status.term = term;
            self.status.primary = false;
            self.claimant = claimant;
        }
        granted
    }

    /// Makes the member the primary of a term and returns true. Returns false if the term is not the one that the member
    /// granted to this claimant. A new primary starts its term with a log entry.
    pub fn promote(&mut self, term: id::Term, claimant: usize) -> bool {
        let granted = term == self.status.term && claimant == self.claimant;
        if granted && !self.status.primary {
            self.status.primary = true;
            let position = self.status.last.position + 1;
            self.status.last = floor::Point::new(term, position);
            self.status.term_start = position;
        }
        granted
    }

    /// Adds a status question to those that wait for an answer.
    pub fn add_question(&mut self, question: StatusQuestion) {
        self.pending_questions.push(question);
    }

    /// Removes and returns the questions that the member answers now.
    pub fn take_answerable_questions(&mut self, now: Instant) -> Vec<StatusQuestion> {
        let position = self.status.last.position;
        let ready = |q: &mut StatusQuestion| q.min_position <= position || now >= q.answer_by;
        self.pending_questions.extract_if(.., ready).collect()
    }
}
