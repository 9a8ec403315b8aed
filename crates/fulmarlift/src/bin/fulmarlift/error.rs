//! Why a subcommand failed, and the exit status that tells it.

use std::{io, path};

use fulmarlift_config::model;
use fulmarlift_lab::{load, report};
use fulmarlift_store::{
    admin, platform,
    publish::{read, submit},
};

const EXIT_REFUSED: u8 = 1;
const EXIT_USAGE: u8 = 2;

/// Why a subcommand failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("{0}; see `fulmarlift --help`")]
    Usage(Box<str>),
    #[error("{flag} is not given, and neither is the variable {variable}")]
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
    #[error("output: {0}")]
    Output(io::Error),
    #[error("demo: {0}")]
    System(#[from] fulmarlift::demo::Error),
    #[error("demo: a statement failed: {0}")]
    Statement(#[from] tokio_postgres::Error),
    #[error("a check of the demo failed")]
    Demo,
    #[error("load: {0}")]
    Load(#[from] load::Error),
    #[error("a session of the load read what it must not, or missed its own write")]
    LoadBroken,
    #[error("a promise was broken in the experiment")]
    ExperimentBroken,
    #[error("report: {0}")]
    Plot(#[from] report::Error),
    #[error("tokio runtime: {0}")]
    Runtime(io::Error),
}

impl Error {
    /// 2 when the command line or a setting is wrong, else 1.
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
            _ => EXIT_REFUSED,
        }
    }
}
