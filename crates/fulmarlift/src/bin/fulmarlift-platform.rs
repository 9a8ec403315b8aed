//! The stand-in for the platform, as a program.

use std::net::SocketAddr;

use fulmarlift_standin::platform;

mod flags {
    use super::SocketAddr;

    xflags::xflags! {
        /// Runs a stand-in for the platform.
        cmd fulmarlift-platform {
            /// Where to listen; 127.0.0.1:0 when missing.
            optional --listen address: SocketAddr
            /// How long a change of the VM list stays unseen, in ms.
            optional --vms-lag-ms lag_ms: u64
            /// The delay of each call, in ms.
            optional --delay-ms delay_ms: u64
        }
    }
}

#[tokio::main]
async fn main() -> Result<(), platform::StartError> {
    env_logger::init();
    let flags = flags::FulmarliftPlatform::from_env_or_exit();
    let defaults = platform::Config::default();
    let platform = platform::Platform::start(platform::Config {
        listen: flags.listen.unwrap_or(defaults.listen),
        vms_lag_ms: flags.vms_lag_ms.unwrap_or(defaults.vms_lag_ms),
        delay_ms: flags.delay_ms.unwrap_or(defaults.delay_ms),
        ..defaults
    })
    .await?;
    println!("ready {}", platform.address());
    tokio::signal::ctrl_c().await?;
    Ok(())
}
