//! The platform's list of VMs.

use std::sync::Arc;
use std::time::Duration;

use fulmarlift_core::{event, peer, topology};
use fulmarlift_store::platform::Platform;
use fulmarlift_store::{client, message};

use crate::engine;

/// Time between two reads of the list.
const INTERVAL: Duration = Duration::from_millis(1_000);

/// Reads the list for as long as the process runs.
pub async fn follow(engine: Arc<engine::Engine>, client: client::Client) {
    loop {
        match client.vms().await {
            Ok(vms) => engine.step(event::Event::VmsListed(vms.iter().map(vm).collect())),
            Err(error) => log::debug!("event=vms_unavailable error={error}"),
        }
        tokio::time::sleep(INTERVAL).await;
    }
}

fn vm(vm: &message::Vm) -> peer::Vm {
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
