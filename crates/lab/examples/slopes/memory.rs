//! Measurements of the memory of a reducer's state.

use std::process::Command;

use fulmarlift_lab::slopes;

use crate::{Error, resident_bytes, table};

const GROUPS: [u32; 4] = [100, 400, 1_600, 6_400];
const PEERS: [u32; 3] = [70, 280, 1_120];
/// Virtual time in seconds before the measurement, in which the state's buffers grow to their size.
const WARM_UP_SECONDS: u32 = 1;

/// Measures all sizes and prints the results. Each size runs in its own process, since in one process a later size would
/// reuse the freed memory of an earlier one.
pub fn run() -> Result<(), Error> {
    let results = GROUPS.map(|groups| (f64::from(groups), run_child(groups, 0)));
    table::print("state, no peers", "group", "bytes", &points(results)?);
    let results = PEERS.map(|peers| (f64::from(peers), run_child(20, peers)));
    table::print("state, 20 groups", "peer", "bytes", &points(results)?);
    Ok(())
}

/// Returns the points of the results, or the first error.
fn points<const N: usize>(
    results: [(f64, Result<f64, Error>); N],
) -> Result<Vec<(f64, f64)>, Error> {
    results
        .into_iter()
        .map(|(size, bytes)| Ok((size, bytes?)))
        .collect()
}

/// Measures one size in a child process and returns the memory in bytes.
fn run_child(groups: u32, peers: u32) -> Result<f64, Error> {
    let (groups, peers) = (groups.to_string(), peers.to_string());
    let flags = ["state", "--groups", &groups, "--peers", &peers];
    let output = Command::new(std::env::current_exe()?)
        .args(flags)
        .output()?;
    Ok(String::from_utf8(output.stdout)?.trim().parse()?)
}

/// Prints the resident memory in bytes that one reducer's state adds to this process.
pub fn print_one(groups: u32, peers: u32) -> Result<(), Error> {
    let before = resident_bytes()?;
    let setup = slopes::Setup {
        groups,
        peers,
        requests_per_second: 0,
        write_every: 0,
        statement_ms: 1,
        seconds: WARM_UP_SECONDS,
    };
    let driver = slopes::run_driver(&setup);
    let after = resident_bytes()?;
    println!("{}", after - before);
    drop(driver);
    Ok(())
}
