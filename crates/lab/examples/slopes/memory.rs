//! Memory of a reducer's state.

use std::process::Command;

use fulmarlift_lab::slopes;

use crate::{Failure, resident_bytes, table};

const GROUPS: [u32; 4] = [100, 400, 1_600, 6_400];
const PEERS: [u32; 3] = [70, 280, 1_120];
/// Seconds of virtual time, so that buffers have grown.
const SECONDS: u32 = 1;

/// Measures all sizes, each in a process of its own, so that no freed memory is used again.
pub fn run() -> Result<(), Failure> {
    let sizes = GROUPS.map(|groups| (f64::from(groups), child(groups, 0)));
    table::print("state, no peers", "group", "bytes", &all(sizes)?);
    let sizes = PEERS.map(|peers| (f64::from(peers), child(20, peers)));
    table::print("state, 20 groups", "peer", "bytes", &all(sizes)?);
    Ok(())
}

fn all<const N: usize>(
    sizes: [(f64, Result<f64, Failure>); N],
) -> Result<Vec<(f64, f64)>, Failure> {
    sizes
        .into_iter()
        .map(|(at, bytes)| Ok((at, bytes?)))
        .collect()
}

fn child(groups: u32, peers: u32) -> Result<f64, Failure> {
    let (groups, peers) = (groups.to_string(), peers.to_string());
    let flags = ["state", "--groups", &groups, "--peers", &peers];
    let output = Command::new(std::env::current_exe()?)
        .args(flags)
        .output()?;
    Ok(String::from_utf8(output.stdout)?.trim().parse()?)
}

/// Prints the resident memory that one state adds.
pub fn one(groups: u32, peers: u32) -> Result<(), Failure> {
    let before = resident_bytes()?;
    let setup = slopes::Setup {
        groups,
        peers,
        requests_per_second: 0,
        write_every: 0,
        statement_ms: 1,
        seconds: SECONDS,
    };
    let kept = slopes::run_driver(&setup);
    let after = resident_bytes()?;
    println!("{}", after - before);
    drop(kept);
    Ok(())
}
