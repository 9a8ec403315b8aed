//! Configuration of Petra Layout Services: three template library groups over Amman and Aqaba.
//!
//! `cargo run -p fulmarlift-config --example petra > petra.json` writes it to a file.

use std::process;

use fulmarlift_config::{builder, verifier};

const GROUPS: [u8; 3] = [1, 2, 3];
const DOMAINS: [&str; 3] = ["amman-a", "amman-b", "aqaba-a"];
const SLOTS: u32 = 3;
const CONNECTIONS: u32 = 40;
const CONNECT_MS: u32 = 30;
const BROWSE_AGE_MS: u64 = 30_000;
const APPROVALS_AGE_MS: u64 = 1_000;

fn main() -> process::ExitCode {
    configuration().print()
}

/// Returns the builder of the whole configuration.
pub fn configuration() -> builder::Document {
    builder::Document::new()
        .region("amman", ["amman-a", "amman-b"])
        .region("aqaba", ["aqaba-a"])
        .groups(GROUPS.map(group))
        .caller(
            "marketing",
            verifier("a deck for every day", b"marketing 2026.."),
        )
        .caller("agency", verifier("no stale logos", b"agency, in 2026."))
        .caller(
            "ministry",
            verifier("stamped and sealed", b"ministry in 2026"),
        )
        .read_class(
            builder::ReadClass::new("browse")
                .max_age_ms(BROWSE_AGE_MS)
                .table("template")
                .table("preview")
                .table("tag"),
        )
        .read_class(
            builder::ReadClass::new("approvals")
                .max_age_ms(APPROVALS_AGE_MS)
                .table("approval")
                .table("brand"),
        )
        .services(GROUPS.map(browsing_service))
        .services(GROUPS.map(approval_service))
}

/// Returns a template library group with a member in each failure domain.
fn group(number: u8) -> builder::Group {
    let member = |(index, domain): (usize, &str)| {
        builder::Member::new(domain, &format!("10.{index}.{number}.20:5432"))
            .domain(domain)
            .connections(CONNECTIONS)
            .connect_ms(CONNECT_MS)
    };
    builder::Group::new(&format!("library-{number}"))
        .slots(SLOTS)
        .members(DOMAINS.into_iter().enumerate().map(member))
}

/// Returns the service for browsing, fetching and saving templates. The write of a preview may be repeated; a save may
/// not.
fn browsing_service(number: u8) -> builder::Service {
    builder::Service::new(&format!("library-{number}"), &format!("library-{number}"))
        .caller("marketing")
        .caller("agency")
        .caller("ministry")
        .read_class("browse")
        .request_timeout_ms(8_000)
        .queue_requests(400)
        .caller_connections(200)
        .weight(3)
        .repeatable_table("preview")
}

/// Returns the service for brand approvals, whose writes must run at most once.
fn approval_service(number: u8) -> builder::Service {
    builder::Service::new(&format!("approvals-{number}"), &format!("library-{number}"))
        .caller("marketing")
        .caller("agency")
        .read_class("approvals")
        .request_timeout_ms(4_000)
        .queue_requests(100)
        .caller_connections(50)
        .weight(1)
}

/// Returns the verifier of a password. In a real configuration, operators read the password from their secret storage
/// and draw a random salt.
fn verifier(password: &str, salt: &[u8]) -> verifier::Verifier {
    verifier::Verifier::from_password(password, salt, verifier::DEFAULT_ITERATIONS)
}
