//! What a waiting request is told.

use fulmarlift_core::{effect, floor, id};

use tokio::sync::oneshot;

use crate::member;

/// A request and the connection it runs on.
#[derive(Debug)]
pub struct Dispatched {
    /// What was decided.
    pub dispatch: effect::Dispatch,
    /// The connection.
    pub backend: Box<member::Backend>,
    /// Is told when the request is to be given up.
    pub interrupted: oneshot::Receiver<()>,
}

/// The next thing that happens to a request.
#[derive(Debug)]
pub enum Decision {
    /// It runs on a connection.
    Dispatch(Dispatched),
    /// It did not run.
    Refuse(effect::Refuse),
    /// Its commit is safe.
    Acknowledge(id::GroupId, floor::Point),
    /// It may or may not have committed.
    Unconfirmed,
}
