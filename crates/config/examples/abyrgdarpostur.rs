//! Configuration of Ábyrgðarpóstur: three ledger groups over Reykjavik and Akureyri.
//!
//! `cargo run -p fulmarlift-config --example abyrgdarpostur > abyrgdarpostur.json` writes it to a file.

use std::process;

use fulmarlift_config::{builder, verifier};

const GROUPS: [u8; 3] = [1, 2, 3];
const DOMAINS: [&str; 3] = ["rvk-a", "rvk-b", "aey-a"];
const CALLERS: [&str; 3] = ["courier", "sender", "dispatch"];
const SLOTS: u32 = 2;
const CONNECTIONS: u32 = 16;
const CONNECT_MS: u32 = 12;
const STATUS_AGE_MS: u64 = 2_000;
const ROUTES_AGE_MS: u64 = 10_000;

fn main() -> process::ExitCode {
    configuration().print()
}

/// Returns the builder of the whole configuration.
pub fn configuration() -> builder::Document {
    builder::Document::new()
        .region("reykjavik", ["rvk-a", "rvk-b"])
        .region("akureyri", ["aey-a"])
        .groups(GROUPS.map(group))
        .caller(
            "courier",
            verifier("signed on the doorstep", b"courier, in 2026"),
        )
        .caller(
            "sender",
            verifier("where is my letter?", b"sender, in 2026."),
        )
        .caller(
            "dispatch",
            verifier("routes before seven", b"dispatch in 2026"),
        )
        .read_class(
            builder::ReadClass::new("status")
                .max_age_ms(STATUS_AGE_MS)
                .table("letter")
                .table("handover"),
        )
        .read_class(
            builder::ReadClass::new("routes")
                .max_age_ms(ROUTES_AGE_MS)
                .table("route")
                .table("stop"),
        )
        .services(GROUPS.map(service))
}

/// Returns a ledger group with a member in each failure domain.
fn group(number: u8) -> builder::Group {
    let member = |(index, domain): (usize, &str)| {
        builder::Member::new(domain, &format!("10.{index}.{number}.10:5432"))
            .domain(domain)
            .connections(CONNECTIONS)
            .connect_ms(CONNECT_MS)
    };
    builder::Group::new(&format!("ledger-{number}"))
        .slots(SLOTS)
        .members(DOMAINS.into_iter().enumerate().map(member))
}

/// Returns the service on a ledger group. The write of a handover must run at most once; that of a planned route may be
/// repeated.
fn service(number: u8) -> builder::Service {
    let service = builder::Service::new(&format!("ledger-{number}"), &format!("ledger-{number}"))
        .read_class("status")
        .read_class("routes")
        .request_timeout_ms(5_000)
        .queue_requests(200)
        .caller_connections(100)
        .repeatable_table("route");
    CALLERS.into_iter().fold(service, builder::Service::caller)
}

/// Returns the verifier of a password. In a real configuration, operators read the password from their secret storage
/// and draw a random salt.
fn verifier(password: &str, salt: &[u8]) -> verifier::Verifier {
    verifier::Verifier::from_password(password, salt, verifier::DEFAULT_ITERATIONS)
}
