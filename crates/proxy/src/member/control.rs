//! Control connections, kept per member.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use fulmarlift_core::{id, sorted, topology};
use fulmarlift_wire::backend;
use tokio::sync::Semaphore;

/// Control connections that a proxy holds to a member: the reducer has at most four immediate questions, a held
/// one, a fence and a promotion under way. Eight proxies stay under the member's own limit of 64.
const CONNECTIONS: usize = 7;

/// Addresses of members and idle control connections to them.
#[derive(Debug, Default)]
pub struct Control {
    members: Mutex<sorted::Map<id::MemberId, Member>>,
}

#[derive(Debug)]
struct Member {
    address: SocketAddr,
    idle: Vec<backend::Connection>,
    permits: Arc<Semaphore>,
}

impl Control {
    fn with<T>(&self, run: impl FnOnce(&mut sorted::Map<id::MemberId, Member>) -> T) -> T {
        run(&mut self.members.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Keeps the members in step with the configuration.
    pub fn configure(&self, topology: &topology::Topology) {
        let configured: sorted::Map<id::MemberId, SocketAddr> = topology
            .groups
            .values()
            .flat_map(|group| group.members.iter())
            .filter_map(|(id, member)| Some((id, member.address.parse().ok()?)))
            .collect();
        self.with(|members| {
            members.retain(|id, member| configured.get(id) == Some(&member.address));
            for (id, address) in configured.iter() {
                if !members.contains(id) {
                    let idle = Vec::new();
                    let address = *address;
                    let permits = Arc::new(Semaphore::new(CONNECTIONS));
                    let member = Member {
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
        self.with(|members| members.get(member).map(|member| member.address))
    }

    /// Returns the permits of a member; a question holds one while it uses a connection.
    pub fn permits(&self, member: id::MemberId) -> Option<Arc<Semaphore>> {
        self.with(|members| {
            members
                .get(member)
                .map(|member| Arc::clone(&member.permits))
        })
    }

    /// Takes an idle control connection.
    pub fn take(&self, member: id::MemberId) -> Option<backend::Connection> {
        self.with(|members| members.get_mut(member)?.idle.pop())
    }

    /// Gives a control connection back that answered.
    pub fn put(&self, member: id::MemberId, connection: backend::Connection) {
        self.with(|members| {
            if let Some(member) = members.get_mut(member) {
                member.idle.push(connection);
            }
        });
    }
}
