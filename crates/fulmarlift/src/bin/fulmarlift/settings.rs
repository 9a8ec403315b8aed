//! Settings that stand in a flag or an environment variable. The flag goes before the variable.

use std::env;

use fulmarlift_store::{admin, client};

use crate::error;

const PLATFORM_VARIABLE: &str = "FULMARLIFT_PLATFORM";
const PROXY_VARIABLE: &str = "FULMARLIFT_PROXY";
const WHO_VARIABLE: &str = "FULMARLIFT_WHO";
const USER_VARIABLE: &str = "USER";

/// The platform's client.
pub fn platform(flag: Option<&str>) -> Result<client::Client, error::Error> {
    let url = required(flag, "--platform", PLATFORM_VARIABLE)?;
    client::Client::new(&url).map_err(|cause| error::Error::Platform {
        action: "--platform",
        cause,
    })
}

/// The client of a proxy's admin port.
pub fn proxy(flag: Option<&str>) -> Result<admin::Client, error::Error> {
    let url = required(flag, "--proxy", PROXY_VARIABLE)?;
    Ok(admin::Client::new(&url)?)
}

/// Who runs the command.
pub fn who(flag: Option<&str>) -> Result<Box<str>, error::Error> {
    match (flag, variable(WHO_VARIABLE), variable(USER_VARIABLE)) {
        (None, None, Some(user)) => Ok(user),
        _ => required(flag, "--who", WHO_VARIABLE),
    }
}

fn required(
    value: Option<&str>,
    flag: &'static str,
    name: &'static str,
) -> Result<Box<str>, error::Error> {
    let value = value.map(Into::into).or_else(|| variable(name));
    value.ok_or(error::Error::MissingSetting {
        flag,
        variable: name,
    })
}

/// An empty variable counts as none.
fn variable(name: &str) -> Option<Box<str>> {
    env::var(name)
        .ok()
        .filter(|value| !value.is_empty())
        .map(Into::into)
}
