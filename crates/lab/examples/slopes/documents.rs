//! Measurements of configuration documents, by their number of groups.

use std::process::Command;
use std::time::Instant;

use fulmarlift_config::{check, model, verifier};
use fulmarlift_core::peer;
use fulmarlift_proxy::document;

use crate::{Error, resident_bytes, table};

const GROUPS: [u32; 3] = [1_000, 6_000, 36_000];
/// Numbers of groups for which the submitter's checks are measured.
const CHECKED_GROUPS: [u32; 4] = [500, 1_000, 2_000, 4_000];
/// Number of regions. The plan is 5 regions with 17 failure domains in all; the documents here have 15.
const REGIONS: u32 = 5;
/// Number of failure domains in each region.
const DOMAINS_PER_REGION: u32 = 3;

/// Measures documents of all sizes and prints the results, or only prints the memory of one document with `memory`
/// groups.
pub fn run(memory: Option<u32>) -> Result<(), Error> {
    match memory {
        Some(groups) => print_memory(groups),
        None => measure_all(),
    }
}

fn measure_all() -> Result<(), Error> {
    let mut series = [const { Vec::new() }; 5];
    for groups in GROUPS {
        let x = f64::from(groups);
        let document = document(groups);
        let text = document.to_json();
        series[0].push((x, text.len() as f64));
        let started = Instant::now();
        let digest = document.digest();
        series[1].push((x, elapsed_ms(started)));
        let head = peer::Head { version: 1, digest };
        let started = Instant::now();
        let accepted = document::Accepted::parse(&text, head)?;
        series[2].push((x, elapsed_ms(started)));
        let started = Instant::now();
        let service = accepted.service(&format!("library-{}", groups - 1));
        std::hint::black_box(service);
        series[3].push((x, elapsed_ms(started) * 1e3));
        series[4].push((x, run_child(groups)?));
    }
    let names = [
        "bytes of the document",
        "ms to digest",
        "ms to parse, digest and make the topology",
        "us to find the last service by name",
        "bytes resident of the accepted document",
    ];
    for (name, points) in names.iter().zip(&series) {
        table::print("documents", "group", name, points);
    }
    measure_checks();
    Ok(())
}

/// Measures the submitter's checks, and fits their time to the square of the number of groups.
fn measure_checks() {
    let measure = |groups: u32| {
        let document = document(groups);
        let started = Instant::now();
        let findings = check::check(&document).map_err(|findings| findings.0.len());
        let check_ms = elapsed_ms(started);
        println!("{groups} groups: {check_ms:.1} ms to check, findings {findings:?}");
        (f64::from(groups).powi(2), check_ms)
    };
    let points = CHECKED_GROUPS.map(measure);
    table::print("checks", "group squared", "ms", &points);
}

fn elapsed_ms(started: Instant) -> f64 {
    started.elapsed().as_secs_f64() * 1e3
}

/// Measures the memory of one accepted document in a child process.
fn run_child(groups: u32) -> Result<f64, Error> {
    let flags = ["documents", "--memory", &groups.to_string()].map(str::to_owned);
    let output = Command::new(std::env::current_exe()?)
        .args(flags)
        .output()?;
    Ok(String::from_utf8(output.stdout)?.trim().parse()?)
}

/// Prints the resident memory in bytes that an accepted document, its text included, adds to this process.
fn print_memory(groups: u32) -> Result<(), Error> {
    let text = document(groups).to_json();
    let digest = document(groups).digest();
    let before = resident_bytes()?;
    let accepted = document::Accepted::parse(&text, peer::Head { version: 1, digest })?;
    let after = resident_bytes()?;
    println!("{}", after - before);
    drop(accepted);
    Ok(())
}

/// Returns a document with this number of groups, and with a service and a caller for each.
fn document(groups: u32) -> model::Document {
    let region = |number| model::Region {
        name: format!("region-{number}").into(),
        domains: (0..DOMAINS_PER_REGION)
            .map(|index| domain(number, index))
            .collect(),
    };
    // All callers have the same verifier: only the size of its text matters here, and the derivation is slow by design.
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
