//! Connections on which no startup message has arrived yet. Their number is bounded, so that they do not use up the file
//! descriptors of the process: beyond the limit the oldest one is closed.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use tokio::sync::Notify;

/// Most connections without a startup message. A client sends it as soon as it has connected.
const NEWCOMERS_MAX: usize = 256;

/// Number of a connection, in the order in which they were accepted.
type ConnectionNumber = u64;

/// The connections without a startup message.
#[derive(Debug, Default)]
pub struct Newcomers {
    /// Sorted by number.
    entries: RefCell<VecDeque<(ConnectionNumber, Rc<Notify>)>>,
    accepted: Cell<ConnectionNumber>,
}

impl Newcomers {
    /// Adds a connection until the returned value is dropped. Displaces the oldest one if there are too many.
    pub fn add(self: &Rc<Self>) -> Newcomer {
        let number = self.accepted.get();
        self.accepted.set(number + 1);
        let displaced = Rc::new(Notify::new());
        let mut entries = self.entries.borrow_mut();
        entries.push_back((number, Rc::clone(&displaced)));
        if entries.len() > NEWCOMERS_MAX
            && let Some((_, oldest)) = entries.pop_front()
        {
            oldest.notify_one();
        }
        Newcomer {
            newcomers: Rc::clone(self),
            number,
            displaced,
        }
    }
}

/// A connection without a startup message.
#[derive(Debug)]
pub struct Newcomer {
    newcomers: Rc<Newcomers>,
    number: ConnectionNumber,
    displaced: Rc<Notify>,
}

impl Newcomer {
    /// Waits until the connection must be closed in favour of newer ones.
    pub async fn displaced(&self) {
        self.displaced.notified().await;
    }
}

impl Drop for Newcomer {
    fn drop(&mut self) {
        let mut entries = self.newcomers.entries.borrow_mut();
        if let Ok(index) = entries.binary_search_by_key(&self.number, |(number, _)| *number) {
            entries.remove(index);
        }
    }
}
