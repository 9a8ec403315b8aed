//! What a waiting request is told.

use fulmarlift_core::{effect, floor, id};

use crate::member;

/// The next thing that happens to a request.
#[derive(Debug)]
pub enum Notice {
    /// It runs on this connection.
    Dispatch(effect::Dispatch, Box<member::Backend>),
    /// It did not run.
    Refuse(effect::Refuse),
    /// Its commit is safe.
    Acknowledge(id::GroupId, floor::Point),
    /// It may or may not have committed.
    Unconfirmed,
}
