//! One proxy: its reducer and what its shell keeps.

use fulmarlift_core::{State, id, route, sorted};

use crate::experiment::caller;

/// A proxy.
#[derive(Debug)]
pub struct Node<P> {
    /// The reducer.
    pub state: State<P>,
    /// Index of the failure domain it runs in.
    pub domain: usize,
    /// Address for peers.
    pub address: Box<str>,
    /// Whether it runs.
    pub alive: bool,
    /// Index of the member to which a connection leads.
    pub conns: sorted::Map<id::ConnId, usize>,
    /// Request that a connection carries.
    pub running: sorted::Map<id::ConnId, id::RequestId>,
    /// Requests that are not answered.
    pub pending: sorted::Map<id::RequestId, caller::Pending>,
    /// Number of the newest request.
    pub newest: id::RequestId,
    /// Bytes of heartbeats between proxies sent and received.
    pub peer_bytes: u64,
    /// Bytes of control traffic sent and received.
    pub control_bytes: u64,
}

impl<P: route::Policy> Node<P> {
    /// Creates a proxy around its reducer.
    pub fn new(state: State<P>, domain: usize, address: Box<str>) -> Self {
        Self {
            state,
            domain,
            address,
            alive: true,
            conns: sorted::Map::default(),
            running: sorted::Map::default(),
            pending: sorted::Map::default(),
            newest: 0,
            peer_bytes: 0,
            control_bytes: 0,
        }
    }
}
