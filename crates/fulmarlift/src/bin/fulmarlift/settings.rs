//! Settings given by a flag or an environment variable. The flag takes precedence.

use std::env;

use fulmarlift_store::{admin, client};

use crate::error;

const PLATFORM_VARIABLE: &str = "FULMARLIFT_PLATFORM";
const PROXY_VARIABLE: &str = "FULMARLIFT_PROXY";
const SUBMITTER_VARIABLE: &str = "FULMARLIFT_WHO";
const USER_VARIABLE: &str = "USER";

/// Returns a client for the platform that the flag or the environment names.
pub fn platform(flag: Option<&str>) -> Result<client::Client, error::Error> {
    let url = required(flag, "--platform", PLATFORM_VARIABLE)?;
    client::Client::new(&url).map_err(|cause| error::Error::Platform {
        action: "--platform",
        cause,
    })
}

/// Returns a client for the admin port of the proxy that the flag or the environment names.
pub fn proxy(flag: Option<&str>) -> Result<admin::Client, error::Error> {
    let url = required(flag, "--proxy", PROXY_VARIABLE)?;
    Ok(admin::Client::new(&url)?)
}

/// Returns the name that the audit trail records for a submit: `--who`, else FULMARLIFT_WHO, else USER.
pub fn submitter(flag: Option<&str>) -> Result<Box<str>, error::Error> {
    match (flag, variable(SUBMITTER_VARIABLE), variable(USER_VARIABLE)) {
        (None, None, Some(user)) => Ok(user),
        _ => required(flag, "--who", SUBMITTER_VARIABLE),
    }
}

fn required(
    value: Option<&str>,
    flag: &'static str,
    variable_name: &'static str,
) -> Result<Box<str>, error::Error> {
    let value = value.map(Into::into).or_else(|| variable(variable_name));
    value.ok_or(error::Error::MissingSetting {
        flag,
        variable: variable_name,
    })
}

/// Returns the value of an environment variable; `None` when it is unset or empty.
fn variable(name: &str) -> Option<Box<str>> {
    env::var(name)
        .ok()
        .filter(|value| !value.is_empty())
        .map(Into::into)
}
