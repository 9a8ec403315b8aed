//! Runs without a subcommand: prints the version, or refuses the command line.

use crate::{error, flags, output};

pub fn run(about: &flags::About) -> Result<(), error::Error> {
    if about.version {
        return output::print_text(concat!("fulmarlift ", env!("CARGO_PKG_VERSION")));
    }
    Err(error::Error::Usage("a subcommand is expected".into()))
}
