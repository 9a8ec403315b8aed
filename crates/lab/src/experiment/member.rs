//! A member of the database group: a log with asynchronous replication, terms, slots and connections.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use fulmarlift_core::{event, floor, id};

/// A statement on its way through a member.
#[derive(Clone, Copy, Debug)]
pub struct Statement {
    /// Index of the proxy that sent it.
    pub proxy: usize,
    /// Connection that carries it.
    pub conn: id::ConnId,
    /// Request that it serves.
    pub request: id::RequestId,
    /// Whether it writes.
    pub write: bool,
}

/// A status question that waits for a position.
#[derive(Clone, Copy, Debug)]
pub struct Question {
    /// Index of the proxy that asked.
    pub proxy: usize,
    /// The question.
    pub control_request: id::ControlRequestId,
    /// Position that is waited for.
    pub min_position: id::Position,
    /// When the answer is given in any case.
    pub answer_by: Instant,
}

/// One member.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its identifier.
    pub id: id::MemberId,
    /// What it reports.
    pub status: event::Status,
    /// Proxy to which it granted its term.
    pub claimant: usize,
    /// Whether it runs.
    pub alive: bool,
    /// Time added to its replication.
    pub lag: Duration,
    /// Connections that are open and have gone silent.
    pub silent: Vec<(usize, id::ConnId)>,
    /// Connections that are open.
    pub open: Vec<(usize, id::ConnId)>,
    /// Most connections open at once.
    pub open_peak: usize,
    /// Connections refused for being too many.
    pub refused: u64,
    running: usize,
    queue: VecDeque<Statement>,
    held: Vec<Question>,
}

impl Member {
    /// Creates a member that follows term 1; the primary's log has one entry.
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
            silent: Vec::new(),
            open: Vec::new(),
            open_peak: 0,
            refused: 0,
            running: 0,
            queue: VecDeque::new(),
            held: Vec::new(),
        }
    }

    /// Opens a connection unless `limit` are open.
    pub fn admit(&mut self, proxy: usize, conn: id::ConnId, limit: u32) -> bool {
        if self.open.len() >= limit as usize {
            self.refused += 1;
            return false;
        }
        self.open.push((proxy, conn));
        self.open_peak = self.open_peak.max(self.open.len());
        self.status.connections_used = u32::try_from(self.open.len()).unwrap_or(u32::MAX);
        true
    }

    /// Closes connections.
    pub fn close(&mut self, closed: impl Fn(usize, id::ConnId) -> bool) {
        self.open.retain(|(proxy, conn)| !closed(*proxy, *conn));
        self.status.connections_used = u32::try_from(self.open.len()).unwrap_or(u32::MAX);
    }

    /// Takes in a statement; returns it if a slot is free for it now.
    pub fn start(&mut self, statement: Statement, slots: usize) -> Option<Statement> {
        if self.running >= slots {
            self.queue.push_back(statement);
            return None;
        }
        self.running += 1;
        Some(statement)
    }

    /// Frees a slot; returns the statement that takes it.
    pub fn finish(&mut self) -> Option<Statement> {
        let next = self.queue.pop_front();
        self.running -= usize::from(next.is_none());
        next
    }

    /// Appends an entry as primary; a member that is not one refuses.
    pub fn append(&mut self) -> Option<floor::Point> {
        if !self.status.primary {
            return None;
        }
        let position = self.status.last.position + 1;
        self.status.last = floor::Point::new(self.status.term, position);
        Some(self.status.last)
    }

    /// Applies the log of a primary up to a point, unless the member was fenced at a later term.
    pub fn apply(&mut self, point: floor::Point) {
        if point.term < self.status.term || self.status.last >= point {
            return;
        }
        self.status.term = point.term;
        self.status.primary = false;
        self.status.last = point;
    }

    /// Grants a term to one claimant only.
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

    /// Becomes the primary of a term that it granted to the claimant.
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

    /// Keeps a status question until its position is reached.
    pub fn hold(&mut self, question: Question) {
        self.held.push(question);
    }

    /// Removes and returns the questions that are to be answered now.
    pub fn answerable(&mut self, now: Instant) -> Vec<Question> {
        let position = self.status.last.position;
        let ready = |q: &mut Question| q.min_position <= position || now >= q.answer_by;
        self.held.extract_if(.., ready).collect()
    }
}
