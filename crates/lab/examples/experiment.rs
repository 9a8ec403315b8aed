//! Runs one policy experiment and prints its report as JSON.
//!
//! `cargo run --release -p fulmarlift-lab --example experiment -- petra --fault lag`

use std::time::Duration;

use fulmarlift_lab::experiment;

// The macro generates items without documentation.
#[allow(missing_docs)]
mod flags {
    xflags::xflags! {
        /// Runs one policy experiment.
        cmd experiment {
            /// Profile: petra or abyrgdarpostur.
            required profile: String
            /// Use the naive policy, which sends every request to the primary.
            optional --naive
            /// Load as a multiple of the load in the profile.
            optional --load load: f64
            /// Mean time until a replica applies a log entry, in milliseconds.
            optional --apply-ms apply_ms: u64
            /// Timeout of requests in milliseconds.
            optional --timeout-ms timeout_ms: u64
            /// Seed of the run's random numbers.
            optional --seed seed: u64
            /// Duration of the measurement in seconds.
            optional --seconds seconds: u64
            /// Number of proxies.
            optional --proxies proxies: usize
            /// Share of the load that arrives at the first proxy.
            optional --first-proxy-share share: f64
            /// Fault: lag, rush, kill-primary, kill-proxy, silence or leaving.
            optional --fault fault: String
            /// Leave the counts of each second out of the report.
            optional --short
        }
    }
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let flags = flags::Experiment::from_env_or_exit();
    let mut profile = experiment::Profile::named(&flags.profile).ok_or("no such profile")?;
    let mut options = experiment::Options::default();
    if flags.naive {
        options.policy = experiment::PolicyName::AlwaysPrimary;
    }
    if let Some(apply_ms) = flags.apply_ms {
        profile.apply_delay = Duration::from_millis(apply_ms);
    }
    if let Some(timeout_ms) = flags.timeout_ms {
        profile.request_timeout = Duration::from_millis(timeout_ms);
    }
    options.load = flags.load.unwrap_or(options.load);
    options.seed = flags.seed.unwrap_or(options.seed);
    options.proxies = flags.proxies.unwrap_or(options.proxies);
    options.first_proxy_share = flags.first_proxy_share.unwrap_or(0.0);
    options.length = flags.seconds.map_or(options.length, Duration::from_secs);
    if let Some(name) = &flags.fault {
        let fault = experiment::Fault::named(name, options.length).ok_or("no such fault")?;
        options.faults.push(fault);
    }
    let mut report = experiment::run(&profile, &options);
    if flags.short {
        report.seconds.clear();
    }
    println!("{}", serde_json::to_string_pretty(&report)?);
    Ok(())
}
