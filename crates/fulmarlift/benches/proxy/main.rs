//! Compares the proxy with a plain byte relay in rate and latency, and measures the memory of the daemon.
//!
//! `cargo bench -p fulmarlift --bench proxy` prints a table. The rounds of the routes alternate, so that other load on
//! the machine affects all of them alike; compare figures of the same run only.

mod load;
mod memory;
mod relay;
mod target;

use std::net::SocketAddr;

/// Number of rounds for each route; the benchmark prints the median of their results.
const ROUNDS: usize = 5;

fn main() {
    // Test runners start benchmarks with `--test`; this benchmark has no tests.
    if std::env::args().any(|argument| argument == "--test") {
        return;
    }
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    let member = runtime.block_on(target::start_member());
    let relay = relay::start(member);
    let proxy = relay::serve_on_own_thread(target::start_proxy(member));
    runtime.block_on(target::wait_until_ready(proxy));
    let set_token = target::set_token_statement();
    // Name of each route, the address to which callers connect, and the statement that they run first.
    let routes: [(&str, SocketAddr, &str); 4] = [
        ("direct", member, ""),
        ("relay", relay, ""),
        ("proxy, token and read class", proxy, &set_token),
        ("proxy, neither", proxy, ""),
    ];
    let mut rates = vec![Vec::new(); routes.len()];
    let mut latencies = vec![Vec::new(); routes.len()];
    for _ in 0..ROUNDS {
        for (index, (_, address, set_statement)) in routes.iter().enumerate() {
            rates[index].push(runtime.block_on(load::rate(*address, set_statement)));
            latencies[index].push(runtime.block_on(load::median_us(*address, set_statement)));
        }
    }
    let rates: Vec<f64> = rates.into_iter().map(median).collect();
    let latencies: Vec<f64> = latencies.into_iter().map(median).collect();
    for (index, (name, _, _)) in routes.iter().enumerate() {
        println!(
            "{name}: {:.0} reads/s ({:.2} of the relay), median {:.0} us (added {:.0} us)",
            rates[index],
            rates[index] / rates[1],
            latencies[index],
            latencies[index] - latencies[0],
        );
    }
    runtime.block_on(memory::report(member));
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}
