//! Control connections to members, on which the proxy asks for their status, fences them and promotes them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use fulmarlift_core::{id, sorted, topology};
use fulmarlift_wire::backend;
use tokio::sync::Semaphore;

/// Maximum number of control connections to one member. The reducer has at most seven questions to a member in flight:
/// four status questions that the member answers at once, one that it answers when its log reaches a position, one
/// fence and one promotion. Eight proxies with this many connections stay below the member's own limit of 64.
const CONNECTIONS_MAX: usize = 7;

/// Addresses of the configured members, and the control connections to them that no question uses.
#[derive(Debug, Default)]
pub struct ControlConnections {
    members: Mutex<sorted::Map<id::MemberId, MemberConnections>>,
}

#[derive(Debug)]
struct MemberConnections {
    address: SocketAddr,
    idle: Vec<backend::Connection>,
    permits: Arc<Semaphore>,
}

impl ControlConnections {
    fn with_members<T>(
        &self,
        run: impl FnOnce(&mut sorted::Map<id::MemberId, MemberConnections>) -> T,
    ) -> T {
        run(&mut self.members.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Applies a configuration: adds new members, and drops members that are gone or have another address, with their
    /// connections.
    pub fn configure(&self, topology: &topology::Topology) {
        let configured: sorted::Map<id::MemberId, SocketAddr> = topology
            .groups
            .values()
            .flat_map(|group| group.members.iter())
            .filter_map(|(id, member)| Some((id, member.address.parse().ok()?)))
            .collect();
        self.with_members(|members| {
            members.retain(|id, member| configured.get(id) == Some(&member.address));
            for (id, address) in configured.iter() {
                if !members.contains(id) {
                    let idle = Vec::new();
                    let address = *address;
                    let permits = Arc::new(Semaphore::new(CONNECTIONS_MAX));
                    let member = MemberConnections {
                        address,
                        idle,
                        permits,
                    };
                    members.insert(id, member);
                }
            }
        });
    }

    /// Returns the address of a member.
    pub fn address(&self, member: id::MemberId) -> Option<SocketAddr> {
        self.with_members(|members| members.get(member).map(|member| member.address))
    }

    /// Returns the semaphore that limits the control connections of a member. A question holds a permit while it uses a
    /// connection.
    pub fn permits(&self, member: id::MemberId) -> Option<Arc<Semaphore>> {
        self.with_members(|members| {
            members
                .get(member)
                .map(|member| Arc::clone(&member.permits))
        })
    }

    /// Removes and returns an idle control connection of a member, if there is one.
    pub fn take_idle(&self, member: id::MemberId) -> Option<backend::Connection> {
        self.with_members(|members| members.get_mut(member)?.idle.pop())
    }

    /// Keeps a control connection for later questions. The member must have answered all earlier messages on it.
    pub fn return_idle(&self, member: id::MemberId, connection: backend::Connection) {
        self.with_members(|members| {
            if let Some(member) = members.get_mut(member) {
                member.idle.push(connection);
            }
        });
    }
}
