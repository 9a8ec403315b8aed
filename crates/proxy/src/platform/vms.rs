//! Polls the platform's list of VMs, the machines on which proxies and members run.

use std::sync::Arc;
use std::time::Duration;

use fulmarlift_core::{event, peer, topology};
use fulmarlift_store::platform::Platform;
use fulmarlift_store::{client, message};

use crate::engine;

/// Interval between two reads of the list.
const POLL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Reads the list and passes it to the reducer until the process ends.
pub async fn poll(engine: Arc<engine::Engine>, client: client::Client) {
    loop {
        match client.vms().await {
            Ok(vms) => engine.step(event::Event::VmsListed(vms.iter().map(peer_vm).collect())),
            Err(error) => log::debug!("event=vms_unavailable error={error}"),
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn peer_vm(vm: &message::Vm) -> peer::Vm {
    peer::Vm {
        name: vm.name.clone(),
        address: vm.address.to_string().into(),
        place: topology::Place {
            region: vm.region.clone(),
            domain: vm.domain.clone(),
        },
        state: match vm.state {
            message::VmState::Live => peer::VmState::Live,
            message::VmState::Leaving => peer::VmState::Leaving,
        },
    }
}
