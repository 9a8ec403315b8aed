//! Errors of the subcommands and their exit statuses.

use std::{io, path};

use fulmarlift_config::model;
use fulmarlift_lab::{load, report};
use fulmarlift_store::{
    admin, platform,
    publish::{read, submit},
};

/// Exit status when the command was refused or failed.
const EXIT_FAILED: u8 = 1;
/// Exit status when the command line or a setting is wrong, or a file cannot be read or written.
const EXIT_USAGE: u8 = 2;

/// Error that ends a subcommand.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("{0}; see `fulmarlift --help`")]
    Usage(Box<str>),
    #[error("neither the flag {flag} nor the environment variable {variable} is set")]
    MissingSetting {
        flag: &'static str,
        variable: &'static str,
    },
    #[error("{path}: {cause}", path = .path.display())]
    File {
        path: path::PathBuf,
        cause: io::Error,
    },
    #[error("{path}: {cause}", path = .path.display())]
    Document {
        path: path::PathBuf,
        cause: model::ParseError,
    },
    #[error("{path}: {count} finding(s)", path = .path.display())]
    Findings { path: path::PathBuf, count: usize },
    #[error("{action}: {cause}")]
    Platform {
        action: &'static str,
        cause: platform::Error,
    },
    #[error("{action}: {cause}")]
    Read {
        action: &'static str,
        cause: read::Error,
    },
    #[error("submit: {0}")]
    Submit(#[from] submit::Error),
    #[error(transparent)]
    Admin(#[from] admin::Error),
    #[error("no configuration was accepted yet")]
    NoConfiguration,
    #[error("version {0} was never accepted")]
    NoSuchVersion(model::Version),
    #[error("cannot write to standard output: {0}")]
    Output(io::Error),
    #[error("demo: {0}")]
    System(#[from] fulmarlift::demo::Error),
    #[error("demo: a statement failed: {0}")]
    Statement(#[from] tokio_postgres::Error),
    #[error("a check of the demo failed")]
    Demo,
    #[error("load: {0}")]
    Load(#[from] load::Error),
    #[error(
        "a session of the load missed its own acknowledged write, or read a write that was refused or never sent"
    )]
    LoadBroken,
    #[error("the experiment broke a consistency guarantee")]
    ExperimentBroken,
    #[error("report: {0}")]
    Plot(#[from] report::Error),
    #[error("cannot set up the tokio runtime or its signal handlers: {0}")]
    Runtime(io::Error),
}

impl Error {
    /// Returns the exit status: 2 when the command line or a setting is wrong, or a file cannot be read or written;
    /// else 1.
    pub fn exit_status(&self) -> u8 {
        match self {
            Self::Usage(_)
            | Self::MissingSetting { .. }
            | Self::File { .. }
            | Self::Load(load::Error::Options(_))
            | Self::Platform {
                cause: platform::Error::Address { .. },
                ..
            }
            | Self::Admin(admin::Error::Address { .. }) => EXIT_USAGE,
            _ => EXIT_FAILED,
        }
    }
}
