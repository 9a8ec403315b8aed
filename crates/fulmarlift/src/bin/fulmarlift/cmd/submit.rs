//! `submit`: checks a configuration and makes it the version in force.

use std::time;

use fulmarlift_config::{diff, finding, model};
use fulmarlift_store::{
    publish::{self, submit},
    retry,
};
use serde::Serialize;

use crate::{error, flags, output, settings};

/// Outcome of a submit, as JSON output. The variants are those of [`submit::Error`], and `Accepted`.
#[derive(Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
enum Report<'a> {
    Accepted {
        head: &'a publish::Head,
    },
    Findings {
        findings: &'a [finding::Finding],
    },
    RaceLost {
        base: model::Version,
        head: Option<&'a publish::Head>,
        changes: Option<&'a [diff::Change]>,
        same_document: bool,
    },
    NotDone {
        cause: String,
    },
    OutcomeUnknown {
        version: model::Version,
        nonce: &'a str,
        cause: String,
    },
}

pub async fn run(
    flags: &flags::Submit,
    platform: Option<&str>,
    json: bool,
) -> Result<(), error::Error> {
    let submission = submission(flags)?;
    let platform = settings::platform(platform)?;
    let result = submit::submit(&platform, &submission).await;
    if json {
        output::print_json(&report(&result))?;
    } else {
        output::print_text(&describe(&result))?;
    }
    result.map(drop).map_err(Into::into)
}

fn submission(flags: &flags::Submit) -> Result<submit::Submission, error::Error> {
    Ok(submit::Submission {
        document: super::read_document(&flags.file)?,
        base: flags.base,
        submitter: settings::submitter(flags.who.as_deref())?,
        submitted_at_ms: now_ms(),
        nonce: submit::random_nonce(),
        retry: retry::Retry::default(),
    })
}

/// Returns the Unix time of the system clock in milliseconds; 0 when the clock is set before 1970.
fn now_ms() -> u64 {
    let since_1970 = time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .unwrap_or_default();
    since_1970.as_millis().try_into().unwrap_or(u64::MAX)
}

fn report(result: &Result<publish::Head, submit::Error>) -> Report<'_> {
    match result {
        Ok(head) => Report::Accepted { head },
        Err(submit::Error::Findings(findings)) => Report::Findings {
            findings: &findings.0,
        },
        Err(submit::Error::RaceLost(lost)) => Report::RaceLost {
            base: lost.base,
            head: lost.head.as_ref(),
            changes: lost.changes.as_deref(),
            same_document: lost.same_document,
        },
        Err(submit::Error::NotDone(cause)) => Report::NotDone {
            cause: cause.to_string(),
        },
        Err(submit::Error::OutcomeUnknown {
            version,
            nonce,
            cause,
        }) => Report::OutcomeUnknown {
            version: *version,
            nonce,
            cause: cause.to_string(),
        },
    }
}

/// Returns the text for standard output; the error itself is logged to standard error.
fn describe(result: &Result<publish::Head, submit::Error>) -> String {
    match result {
        Ok(head) => format!(
            "accepted as version {}, digest {}",
            head.version, head.digest
        ),
        Err(submit::Error::RaceLost(lost)) => describe_race(lost),
        Err(submit::Error::OutcomeUnknown { .. }) => {
            "the outcome is unknown: look at `fulmarlift audit` before submitting again".to_owned()
        }
        Err(submit::Error::Findings(_) | submit::Error::NotDone(_)) => "not accepted".to_owned(),
    }
}

fn describe_race(lost: &submit::RaceLost) -> String {
    if lost.same_document {
        return "not accepted: the version in force is this very configuration already".to_owned();
    }
    match &lost.changes {
        None => "not accepted; what changed since the base can't be read".to_owned(),
        Some(changes) => {
            let lines: String = changes
                .iter()
                .map(|change| format!("\n  {change}"))
                .collect();
            format!("not accepted; changed since version {}:{lines}", lost.base)
        }
    }
}
