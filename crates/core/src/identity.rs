//! Who and where a proxy is.

use crate::id;
use crate::topology;

/// A proxy's name and place, from its settings.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Identifier of this incarnation.
    pub proxy: id::ProxyId,
    /// Where it runs.
    pub place: topology::Place,
    /// Address for peers, as `ip:port`.
    pub address: Box<str>,
}

impl Identity {
    /// Creates an identity. `name` must differ between incarnations.
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
