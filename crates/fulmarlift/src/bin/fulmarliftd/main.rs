//! The proxy daemon, of which one runs on each VM that accepts callers.

mod flags;
mod logging;
mod run;

use std::process::ExitCode;

/// Exit status for an invalid command line or invalid settings.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let flags = flags::Fulmarliftd::from_env_or_exit();
    if flags.version {
        println!("fulmarliftd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let settings = match fulmarlift_proxy::settings::Settings::check(&flags.raw()) {
        Ok(settings) => settings,
        Err(invalid) => {
            eprintln!("fulmarliftd: {invalid}");
            for finding in &invalid.findings {
                eprintln!("  {finding}");
            }
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if flags.check {
        println!("settings can be used");
        return ExitCode::SUCCESS;
    }
    logging::init(settings.log_format);
    match run::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("event=failed error={error:?}");
            eprintln!("fulmarliftd: {error}");
            ExitCode::FAILURE
        }
    }
}
