//! `check`: prints all findings of a configuration, or the JSON Schema of configurations.

use std::path;

use fulmarlift_config::{check, finding, model, schema};
use serde::Serialize;

use crate::{error, flags, output};

/// JSON output of `check`.
#[derive(Serialize)]
struct Report<'a> {
    findings: &'a [finding::Finding],
}

pub fn run(flags: &flags::Check, json: bool) -> Result<(), error::Error> {
    match (&flags.file, flags.schema) {
        (None, true) => output::print_text(&schema::to_json()),
        (Some(file), false) => check_file(file, json),
        _ => Err(error::Error::Usage(
            "check takes either a file or --schema".into(),
        )),
    }
}

fn check_file(file: &path::Path, json: bool) -> Result<(), error::Error> {
    let document = super::read_document(file)?;
    let findings = check::check(&document).err().unwrap_or_default();
    if json {
        output::print_json(&Report {
            findings: &findings.0,
        })?;
    } else {
        output::print_text(&describe(file, &document, &findings))?;
    }
    match findings.0.len() {
        0 => Ok(()),
        count => Err(error::Error::Findings {
            path: file.into(),
            count,
        }),
    }
}

fn describe(file: &path::Path, document: &model::Document, findings: &finding::Findings) -> String {
    if findings.is_empty() {
        return format!(
            "{}: no findings, digest {}",
            file.display(),
            document.digest()
        );
    }
    findings
        .0
        .iter()
        .map(|finding| format!("{finding}\n"))
        .collect()
}
