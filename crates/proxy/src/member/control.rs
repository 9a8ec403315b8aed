//! Control connections, kept per member.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use fulmarlift_core::{id, sorted, topology};
use fulmarlift_wire::backend;

/// Addresses of members and idle control connections to them.
#[derive(Debug, Default)]
pub struct Control {
    members: Mutex<sorted::Map<id::MemberId, Member>>,
}

#[derive(Debug)]
struct Member {
    address: SocketAddr,
    idle: Vec<backend::Connection>,
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
                    members.insert(id, Member { address, idle });
                }
            }
        });
    }

    /// Returns the address of a member.
    pub fn address(&self, member: id::MemberId) -> Option<SocketAddr> {
        self.with(|members| members.get(member).map(|member| member.address))
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
