//! Program that runs a stand-in for the platform.

use std::net::SocketAddr;

use fulmarlift_standin::platform;

mod flags {
    use super::SocketAddr;

    xflags::xflags! {
        /// Runs a stand-in for the platform.
        cmd fulmarlift-platform {
            /// Address to listen on, IP:PORT (127.0.0.1:0 when not given).
            optional --listen address: SocketAddr
            /// Delay before answers show a change of the VM list, in milliseconds.
            optional --vms-lag-ms lag_ms: u64
            /// Delay of each call, in milliseconds.
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
