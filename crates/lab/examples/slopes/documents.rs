//! Configuration documents by the number of groups.

use std::process::Command;
use std::time::Instant;

use fulmarlift_config::{check, model, verifier};
use fulmarlift_core::peer;
use fulmarlift_proxy::document;

use crate::{Failure, resident_bytes, table};

const GROUPS: [u32; 3] = [1_000, 6_000, 36_000];
const CHECKED: [u32; 4] = [500, 1_000, 2_000, 4_000];
/// Regions, and failure domains in each; 5 regions with 17 domains are the plan, 15 come near.
const REGIONS: u32 = 5;
const DOMAINS: u32 = 3;

/// Measures all sizes, or the memory of one.
pub fn run(memory: Option<u32>) -> Result<(), Failure> {
    match memory {
        Some(groups) => one(groups),
        None => all(),
    }
}

fn all() -> Result<(), Failure> {
    let mut measures = [const { Vec::new() }; 5];
    for groups in GROUPS {
        let at = f64::from(groups);
        let document = document(groups);
        let text = document.to_json();
        measures[0].push((at, text.len() as f64));
        let started = Instant::now();
        let digest = document.digest();
        measures[1].push((at, ms(started)));
        let head = peer::Head { version: 1, digest };
        let started = Instant::now();
        let accepted = document::Accepted::parse(&text, head)?;
        measures[2].push((at, ms(started)));
        let started = Instant::now();
        let found = accepted.service(&format!("library-{}", groups - 1));
        std::hint::black_box(found);
        measures[3].push((at, ms(started) * 1e3));
        measures[4].push((at, child(groups)?));
    }
    let names = [
        "bytes of the document",
        "ms to digest",
        "ms to parse, digest and make the topology",
        "us to find the last service by name",
        "bytes resident of the accepted document",
    ];
    for (name, points) in names.iter().zip(&measures) {
        table::print("documents", "group", name, points);
    }
    checks();
    Ok(())
}

/// Checks at the submitter, which grow with the square of the groups.
fn checks() {
    let check = |groups: u32| {
        let document = document(groups);
        let started = Instant::now();
        let findings = check::check(&document).map_err(|findings| findings.0.len());
        let took = ms(started);
        println!("{groups} groups: {took:.1} ms to check, findings {findings:?}");
        (f64::from(groups).powi(2), took)
    };
    let points = CHECKED.map(check);
    table::print("checks", "group squared", "ms", &points);
}

fn ms(started: Instant) -> f64 {
    started.elapsed().as_secs_f64() * 1e3
}

fn child(groups: u32) -> Result<f64, Failure> {
    let flags = ["documents", "--memory", &groups.to_string()].map(str::to_owned);
    let output = Command::new(std::env::current_exe()?)
        .args(flags)
        .output()?;
    Ok(String::from_utf8(output.stdout)?.trim().parse()?)
}

/// Prints the resident memory that an accepted document adds, its text included.
fn one(groups: u32) -> Result<(), Failure> {
    let text = document(groups).to_json();
    let digest = document(groups).digest();
    let before = resident_bytes()?;
    let accepted = document::Accepted::parse(&text, peer::Head { version: 1, digest })?;
    let after = resident_bytes()?;
    println!("{}", after - before);
    drop(accepted);
    Ok(())
}

/// Returns a document with a service and a caller for each group.
fn document(groups: u32) -> model::Document {
    let region = |number| model::Region {
        name: format!("region-{number}").into(),
        domains: (0..DOMAINS).map(|index| domain(number, index)).collect(),
    };
    // One verifier for all: its text is what counts, and deriving it is slow on purpose.
    let verifier = verifier::Verifier::from_password("a password", b"salt of 16 bytes", 4_096);
    let verifier: Box<str> = verifier.to_string().into();
    let caller = |number| model::Caller {
        name: format!("caller-{number}").into(),
        verifier: verifier.clone(),
    };
    model::Document {
        regions: (0..REGIONS).map(region).collect(),
        groups: (0..groups).map(group).collect(),
        callers: (0..groups).map(caller).collect(),
        services: (0..groups).map(service).collect(),
        ..model::Document::default()
    }
}

fn domain(region: u32, index: u32) -> Box<str> {
    format!("region-{region}-{index}").into()
}

fn group(number: u32) -> model::Group {
    let member = |index: u32| model::Member {
        name: format!("m{index}").into(),
        address: format!("10.{}.{}.{index}:5432", number / 250, number % 250).into(),
        domain: domain(number % REGIONS, index),
        connections: 40,
        connect_ms: 30,
    };
    model::Group {
        name: format!("library-{number}").into(),
        slots: 3,
        members: (0..3).map(member).collect(),
    }
}

fn service(number: u32) -> model::Service {
    model::Service {
        name: format!("library-{number}").into(),
        group: format!("library-{number}").into(),
        callers: vec![format!("caller-{number}").into()],
        read_classes: Vec::new(),
        limits: model::Limits {
            caller_connections: 100_000,
            ..model::Limits::default()
        },
    }
}
