//! The operators' command.

use std::process;

mod cmd;
mod error;
mod flags;
mod output;
mod settings;

/// Log lines at or above this level are written when the variable [`LOG_VARIABLE`] doesn't say otherwise.
const DEFAULT_LOG_FILTER: &str = "warn";

const LOG_VARIABLE: &str = "FULMARLIFT_LOG";

fn main() -> process::ExitCode {
    let flags = flags::Fulmarlift::from_env_or_exit();
    env_logger::Builder::from_env(
        env_logger::Env::new().filter_or(LOG_VARIABLE, DEFAULT_LOG_FILTER),
    )
    .init();
    match cmd::run(flags) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            process::ExitCode::from(error.exit_status())
        }
    }
}
