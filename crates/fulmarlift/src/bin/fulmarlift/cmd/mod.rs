//! Subcommands, one module each.

use std::{fs, future::Future, path};

use fulmarlift_config::model;

use crate::{error, flags};

mod about;
mod audit;
mod check;
mod demo;
mod experiment;
mod explain;
mod load;
mod report;
mod show;
mod status;
mod submit;

/// Runs the subcommand given on the command line.
pub fn run(flags: flags::Fulmarlift) -> Result<(), error::Error> {
    let platform = flags.platform.as_deref();
    let json = flags.json;
    match flags.subcommand {
        flags::FulmarliftCmd::About(about) => about::run(&about),
        flags::FulmarliftCmd::Check(check) => check::run(&check, json),
        flags::FulmarliftCmd::Demo(demo) => block_on(demo::run(&demo, json)),
        flags::FulmarliftCmd::Load(load) => block_on(load::run(&load, json)),
        flags::FulmarliftCmd::Experiment(experiment) => experiment::run(&experiment),
        flags::FulmarliftCmd::Report(report) => report::run(&report),
        flags::FulmarliftCmd::Submit(submit) => block_on(submit::run(&submit, platform, json)),
        flags::FulmarliftCmd::Show(show) => block_on(show::run(&show, platform, json)),
        flags::FulmarliftCmd::Audit(audit) => block_on(audit::run(&audit, platform, json)),
        flags::FulmarliftCmd::Status(status) => block_on(status::run(&status, json)),
        flags::FulmarliftCmd::Explain(explain) => block_on(explain::run(&explain, json)),
    }
}

/// Runs an asynchronous subcommand on a new tokio runtime.
fn block_on(command: impl Future<Output = Result<(), error::Error>>) -> Result<(), error::Error> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    runtime.map_err(error::Error::Runtime)?.block_on(command)
}

/// Reads and parses a configuration document from a file.
fn read_document(path: &path::Path) -> Result<model::Document, error::Error> {
    let text = fs::read_to_string(path).map_err(|cause| error::Error::File {
        path: path.into(),
        cause,
    })?;
    model::Document::parse(&text).map_err(|cause| error::Error::Document {
        path: path.into(),
        cause,
    })
}
