//! `experiment`: runs one policy experiment and prints its figures.

use std::time::Duration;

use fulmarlift_lab::experiment;

use crate::{error, flags, output};

pub fn run(flags: &flags::Experiment) -> Result<(), error::Error> {
    let profile = profile(&flags.profile)?;
    let default = experiment::Options::default();
    let length = flags.seconds.map_or(default.length, Duration::from_secs);
    let options = experiment::Options {
        policy: match flags.naive {
            true => experiment::PolicyName::AlwaysPrimary,
            false => experiment::PolicyName::Nearest,
        },
        seed: flags.seed.unwrap_or(default.seed),
        length,
        load: flags.load.unwrap_or(default.load),
        proxies: flags.proxies.unwrap_or(default.proxies),
        faults: faults(&flags.fault, length)?,
        ..default
    };
    let report = experiment::run(&profile, &options);
    output::print_json(&report)?;
    match report.violations.is_empty() {
        true => Ok(()),
        false => Err(error::Error::ExperimentBroken),
    }
}

/// Returns the profile with this name.
pub fn profile(name: &str) -> Result<experiment::Profile, error::Error> {
    let unknown = || error::Error::Usage(format!("there is no profile {name:?}").into());
    experiment::Profile::named(name).ok_or_else(unknown)
}

/// Returns the faults with these names, timed for a run of this length.
pub fn faults(names: &[String], length: Duration) -> Result<Vec<experiment::Fault>, error::Error> {
    let fault = |name: &String| {
        let unknown = || error::Error::Usage(format!("there is no fault {name:?}").into());
        experiment::Fault::named(name, length).ok_or_else(unknown)
    };
    names.iter().map(fault).collect()
}
