//! A simulated proxy.

use fulmarlift_core::{State, id, route, sorted};

use crate::experiment::caller;

/// A simulated proxy process: its reducer, and the state that its shell keeps.
#[derive(Debug)]
pub struct Proxy<P> {
    /// Reducer of the proxy.
    pub state: State<P>,
    /// Index of the proxy's failure domain.
    pub domain: usize,
    /// Address at which the proxy receives heartbeats of its peers.
    pub address: Box<str>,
    /// Whether the proxy runs.
    pub alive: bool,
    /// Index of the member that each connection leads to.
    pub conn_members: sorted::Map<id::ConnId, usize>,
    /// Request that runs on each connection in use.
    pub running: sorted::Map<id::ConnId, id::RequestId>,
    /// Requests that the proxy has not answered yet.
    pub pending: sorted::Map<id::RequestId, caller::PendingRequest>,
    /// Identifier of the newest request; identifiers count up from 1.
    pub newest_request: id::RequestId,
    /// Heartbeats sent to and received from peers, in bytes with headers.
    pub peer_bytes: u64,
    /// All control messages sent and received, heartbeats included, in bytes with headers.
    pub control_bytes: u64,
}

impl<P: route::Policy> Proxy<P> {
    /// Creates a proxy with this reducer.
    pub fn new(state: State<P>, domain: usize, address: Box<str>) -> Self {
        Self {
            state,
            domain,
            address,
            alive: true,
            conn_members: sorted::Map::default(),
            running: sorted::Map::default(),
            pending: sorted::Map::default(),
            newest_request: 0,
            peer_bytes: 0,
            control_bytes: 0,
        }
    }
}
