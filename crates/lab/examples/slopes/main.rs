//! Measures the slopes of `docs/CAPACITY.md` and prints them with their fits.
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
        /// Measures what a daemon costs.
        cmd slopes {
            /// The reducer on a virtual clock: groups, peers, requests.
            cmd reducer {}
            /// Memory of a reducer's state, each size in a process of its own.
            cmd memory {}
            /// One size of `memory`, in this process.
            cmd state {
                /// Database groups.
                required --groups groups: u32
                /// Other proxies.
                required --peers peers: u32
            }
            /// Configuration documents.
            cmd documents {
                /// Also print the memory of one size, in this process.
                optional --memory groups: u32
            }
            /// Real daemons before stand-ins: groups, peers, callers.
            cmd daemons {
                /// The daemon's program.
                required --daemon path: PathBuf
            }
        }
    }
}

type Failure = Box<dyn std::error::Error>;

fn main() -> Result<(), Failure> {
    match flags::Slopes::from_env_or_exit().subcommand {
        flags::SlopesCmd::Reducer(_) => reducer::run(),
        flags::SlopesCmd::Memory(_) => memory::run()?,
        flags::SlopesCmd::State(state) => memory::one(state.groups, state.peers)?,
        flags::SlopesCmd::Documents(documents) => documents::run(documents.memory)?,
        flags::SlopesCmd::Daemons(daemons) => daemons::run(&daemons.daemon)?,
    }
    Ok(())
}

/// Resident memory of this process.
fn resident_bytes() -> Result<f64, Failure> {
    Ok(slopes::process_usage("self")?.resident_bytes as f64)
}
