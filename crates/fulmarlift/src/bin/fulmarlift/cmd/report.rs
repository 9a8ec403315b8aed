//! `report`: runs one policy experiment and writes a page and a plot of it.

use std::time::Duration;
use std::{fs, path};

use fulmarlift_lab::{experiment, report};

use crate::cmd::experiment::{faults, profile};
use crate::{error, flags, output};

pub fn run(flags: &flags::Report) -> Result<(), error::Error> {
    let profile = profile(&flags.profile)?;
    let default = experiment::Options::default();
    let length = flags.seconds.map_or(default.length, Duration::from_secs);
    let options = experiment::Options {
        seed: flags.seed.unwrap_or(default.seed),
        length,
        faults: faults(&flags.fault, length)?,
        ..default
    };
    let measured = experiment::run(&profile, &options);
    let plot = format!("{}.svg", profile.name);
    let svg = report::plot(&measured, &options.faults)?;
    write(&flags.out.join(&plot), &svg)?;
    let page = report::page(&measured, &options, &command(flags, &options), &plot);
    let page_path = flags.out.join(format!("{}.md", profile.name));
    write(&page_path, &page)?;
    output::print_text(&page_path.display().to_string())?;
    match measured.violations.is_empty() {
        true => Ok(()),
        false => Err(error::Error::ExperimentBroken),
    }
}

/// Returns the command line that produces the same report, for the page. Its folder is that of the published reports,
/// whatever `--out` says.
fn command(flags: &flags::Report, options: &experiment::Options) -> String {
    let faults = flags.fault.iter().map(|name| format!(" --fault {name}"));
    format!(
        "fulmarlift report {} --seed {} --seconds {}{} --out docs/reports",
        flags.profile,
        options.seed,
        options.length.as_secs(),
        faults.collect::<String>()
    )
}

fn write(path: &path::Path, text: &str) -> Result<(), error::Error> {
    fs::write(path, text).map_err(|cause| error::Error::File {
        path: path.into(),
        cause,
    })
}
