//! Measures how the cost of a proxy grows with the size of a system and its load, and prints the measurements with
//! their linear fits. `docs/CAPACITY.md` takes its slopes from here.
//!
//! `cargo run --release -p fulmarlift-lab --example slopes -- reducer`

use fulmarlift_lab::slopes;

mod daemons;
mod documents;
mod memory;
mod reducer;
mod table;

// The macro generates items without documentation.
#[allow(missing_docs)]
mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Measures the cost of a proxy.
        cmd slopes {
            /// Measure a reducer on a virtual clock, by groups, peers and requests.
            cmd reducer {}
            /// Measure the memory of a reducer's state, each size in its own process.
            cmd memory {}
            /// Print the memory of one size of `memory`, measured in this process.
            cmd state {
                /// Number of database groups.
                required --groups groups: u32
                /// Number of other proxies.
                required --peers peers: u32
            }
            /// Measure configuration documents, by groups.
            cmd documents {
                /// Only print the memory of an accepted document with this number of groups, measured in this process.
                optional --memory groups: u32
            }
            /// Measure real daemons with simulated members and platform, by groups, daemons, requests and callers.
            cmd daemons {
                /// Path of the daemon's program.
                required --daemon path: PathBuf
            }
        }
    }
}

type Error = Box<dyn std::error::Error>;

fn main() -> Result<(), Error> {
    match flags::Slopes::from_env_or_exit().subcommand {
        flags::SlopesCmd::Reducer(_) => reducer::run(),
        flags::SlopesCmd::Memory(_) => memory::run()?,
        flags::SlopesCmd::State(state) => memory::print_one(state.groups, state.peers)?,
        flags::SlopesCmd::Documents(documents) => documents::run(documents.memory)?,
        flags::SlopesCmd::Daemons(daemons) => daemons::run(&daemons.daemon)?,
    }
    Ok(())
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> Result<f64, Error> {
    Ok(slopes::process_usage("self")?.resident_bytes as f64)
}
