//! Without a subcommand: the version, or how to use the command.

use crate::{error, flags, output};

pub fn run(about: &flags::About) -> Result<(), error::Error> {
    if about.version {
        return output::text(concat!("fulmarlift ", env!("CARGO_PKG_VERSION")));
    }
    Err(error::Error::Usage("a subcommand is expected".into()))
}
