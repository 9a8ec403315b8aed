//! The proxy beside a plain byte relay: rate, latency and memory.
//!
//! `cargo bench -p fulmarlift --bench proxy` prints a table. Rates and latencies of one run belong together: rounds of
//! the ways alternate, so that what else the machine does falls on all of them.

mod load;
mod memory;
mod relay;
mod target;

use std::net::SocketAddr;

/// Rounds of each way; the median of their results is printed.
const ROUNDS: usize = 5;

fn main() {
    // Test runners start benches with `--test`; there is nothing to test here.
    if std::env::args().any(|argument| argument == "--test") {
        return;
    }
    let load = tokio::runtime::Runtime::new().expect("a runtime starts");
    let member = load.block_on(target::start());
    let relay = relay::start(member);
    let proxy = relay::on_one_core(target::proxy(member));
    load.block_on(target::until_ready(proxy));
    let token = target::token();
    let ways: [(&str, SocketAddr, &str); 4] = [
        ("direct", member, ""),
        ("relay", relay, ""),
        ("proxy, token and read class", proxy, &token),
        ("proxy, neither", proxy, ""),
    ];
    let mut rates = vec![Vec::new(); ways.len()];
    let mut latencies = vec![Vec::new(); ways.len()];
    for _ in 0..ROUNDS {
        for (index, (_, address, setting)) in ways.iter().enumerate() {
            rates[index].push(load.block_on(load::rate(*address, setting)));
            latencies[index].push(load.block_on(load::median_us(*address, setting)));
        }
    }
    let rates: Vec<f64> = rates.into_iter().map(median).collect();
    let latencies: Vec<f64> = latencies.into_iter().map(median).collect();
    for (index, (name, _, _)) in ways.iter().enumerate() {
        println!(
            "{name}: {:.0} reads/s ({:.2} of the relay), median {:.0} us (added {:.0} us)",
            rates[index],
            rates[index] / rates[1],
            latencies[index],
            latencies[index] - latencies[0],
        );
    }
    load.block_on(memory::report(member));
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}
