//! The identity of a proxy: its identifier, place and address.

use crate::id;
use crate::topology;

/// The identifier, place and address of a proxy, from its settings.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Identifier of this incarnation of the proxy.
    pub proxy: id::ProxyId,
    /// Region and failure domain that the proxy runs in.
    pub place: topology::Place,
    /// Address at which peers reach the proxy, as `ip:port`.
    pub address: Box<str>,
}

impl Identity {
    /// Creates an identity. Each incarnation of a proxy must have a `name` of its own.
    pub fn new(name: &str, region: &str, domain: &str, address: &str) -> Self {
        let place = topology::Place {
            region: region.into(),
            domain: domain.into(),
        };
        Self {
            proxy: id::of(name),
            place,
            address: address.into(),
        }
    }
}
