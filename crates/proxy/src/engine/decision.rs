//! Decisions of the reducer on a request.

use fulmarlift_core::{effect, floor, id};

use tokio::sync::oneshot;

use crate::member;

/// A request with the connection that the reducer has assigned to it.
#[derive(Debug)]
pub struct Dispatched {
    /// Member, connection and deadlines of the request.
    pub dispatch: effect::Dispatch,
    /// Connection to the member.
    pub backend: Box<member::Backend>,
    /// Receives a message when the session must give up the request.
    pub interrupted: oneshot::Receiver<()>,
}

/// The reducer's next decision on a request.
#[derive(Debug)]
pub enum Decision {
    /// The request runs on this connection.
    Dispatch(Dispatched),
    /// The request did not run.
    Refuse(effect::Refuse),
    /// The request's commit at this point of the group is safe and can be acknowledged.
    Acknowledge(id::GroupId, floor::Point),
    /// The request may or may not have committed.
    Unconfirmed,
}
