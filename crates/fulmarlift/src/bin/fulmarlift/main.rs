//! Command-line tool for operators.

use std::process;

mod cmd;
mod error;
mod flags;
mod output;
mod settings;

/// Log level when the variable [`LOG_VARIABLE`] is not set.
const DEFAULT_LOG_FILTER: &str = "warn";

/// Environment variable that sets the log level.
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
