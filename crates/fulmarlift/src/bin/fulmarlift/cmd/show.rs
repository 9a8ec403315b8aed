//! `show`: prints the configuration in force, or another version.

use fulmarlift_config::model;
use fulmarlift_store::{
    client,
    publish::{self, read},
};

use crate::{error, flags, output, settings};

/// Name of the subcommand in error messages.
const ACTION: &str = "show";

pub async fn run(
    flags: &flags::Show,
    platform: Option<&str>,
    json: bool,
) -> Result<(), error::Error> {
    let platform = settings::platform(platform)?;
    let head = match flags.version {
        Some(version) => head_of(&platform, version).await?,
        None => current_head(&platform).await?,
    };
    let document = read::document(&platform, &head.object, &head.digest)
        .await
        .map_err(|cause| error::Error::Read {
            action: ACTION,
            cause,
        })?;
    if json {
        output::print_text(&document.to_json())
    } else {
        output::print_text(&describe(&head, &document))
    }
}

async fn current_head(platform: &client::Client) -> Result<publish::Head, error::Error> {
    let head = read::head(platform)
        .await
        .map_err(|cause| error::Error::Platform {
            action: ACTION,
            cause,
        })?;
    head.ok_or(error::Error::NoConfiguration)
}

/// Returns the head that was in force when the version was accepted, from the version's audit row.
async fn head_of(
    platform: &client::Client,
    version: model::Version,
) -> Result<publish::Head, error::Error> {
    let audit = read::audit(platform, version)
        .await
        .map_err(|cause| error::Error::Platform {
            action: ACTION,
            cause,
        })?;
    audit
        .map(|audit| audit.head())
        .ok_or(error::Error::NoSuchVersion(version))
}

fn describe(head: &publish::Head, document: &model::Document) -> String {
    let publish::Head {
        version,
        digest,
        base,
        submitter,
        ..
    } = head;
    let title = format!("version {version}, on base {base}, by {submitter}\ndigest {digest}\n");
    let tables = [
        regions(document),
        members(document),
        services(document),
        read_classes(document),
        callers(document),
    ];
    let sections = tables.iter().map(|table| format!("\n{}", table.to_text()));
    title + &sections.collect::<String>()
}

fn regions(document: &model::Document) -> output::Table {
    let mut table = output::Table::new(["REGION", "DOMAINS"]);
    for region in &document.regions {
        table.push_row([region.name.to_string(), region.domains.join(" ")]);
    }
    table
}

fn members(document: &model::Document) -> output::Table {
    let titles = [
        "GROUP",
        "SLOTS",
        "MEMBER",
        "ADDRESS",
        "DOMAIN",
        "CONNECTIONS",
        "CONNECT_MS",
    ];
    let mut table = output::Table::new(titles);
    for group in &document.groups {
        for member in &group.members {
            table.push_row([
                group.name.to_string(),
                group.slots.to_string(),
                member.name.to_string(),
                member.address.to_string(),
                member.domain.to_string(),
                member.connections.to_string(),
                member.connect_ms.to_string(),
            ]);
        }
    }
    table
}

fn services(document: &model::Document) -> output::Table {
    let titles = [
        "SERVICE",
        "GROUP",
        "CALLERS",
        "READ_CLASSES",
        "TIMEOUT_MS",
        "QUEUE",
        "WEIGHT",
    ];
    let mut table = output::Table::new(titles);
    for service in &document.services {
        table.push_row([
            service.name.to_string(),
            service.group.to_string(),
            service.callers.join(" "),
            service.read_classes.join(" "),
            service.limits.request_timeout_ms.to_string(),
            service.limits.queue_requests.to_string(),
            service.limits.weight.to_string(),
        ]);
    }
    table
}

fn read_classes(document: &model::Document) -> output::Table {
    let mut table = output::Table::new(["READ_CLASS", "MAX_AGE_MS", "TABLES"]);
    for class in &document.read_classes {
        table.push_row([
            class.name.to_string(),
            class.max_age_ms.to_string(),
            class.tables.join(" "),
        ]);
    }
    table
}

/// The table shows only the login method, the part of a verifier before the first `$`; the JSON has whole verifiers.
fn callers(document: &model::Document) -> output::Table {
    let mut table = output::Table::new(["CALLER", "LOGIN"]);
    for caller in &document.callers {
        let login = caller.verifier.split('$').next().unwrap_or_default();
        table.push_row([caller.name.to_string(), login.to_owned()]);
    }
    table
}
