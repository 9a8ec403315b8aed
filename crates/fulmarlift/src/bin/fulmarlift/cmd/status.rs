//! `status`: prints the state of groups, members and peers as a proxy sees it.

use fulmarlift_store::admin;

use crate::{error, flags, output, settings};

pub async fn run(flags: &flags::Status, json: bool) -> Result<(), error::Error> {
    let status = settings::proxy(flags.proxy.as_deref())?.status().await?;
    if json {
        output::print_json(&status)
    } else {
        output::print_text(&describe(&status))
    }
}

fn describe(status: &admin::Status) -> String {
    let admin::Status {
        proxy,
        config_version,
        ..
    } = status;
    let ready = output::yes_no(status.ready);
    let title = format!("proxy {proxy}, configuration {config_version}, ready {ready}\n");
    let groups: String = status.groups.iter().map(describe_group).collect();
    format!("{title}{groups}\n{}", peers(&status.peers).to_text())
}

fn describe_group(group: &admin::GroupStatus) -> String {
    let primary = output::or_dash(group.primary.as_ref());
    let title = format!(
        "\ngroup {}, term {}, primary {primary}\n",
        group.name, group.term
    );
    title + &members(&group.members).to_text()
}

fn members(members: &[admin::MemberStatus]) -> output::Table {
    let titles = [
        "MEMBER",
        "ROLE",
        "LAST_TERM",
        "POSITION",
        "LAG",
        "AGE_MS",
        "REACHABLE",
        "OPEN",
        "BUSY",
    ];
    let mut table = output::Table::new(titles);
    for member in members {
        table.push_row([
            member.name.to_string(),
            member.role.to_string(),
            member.last_term.to_string(),
            member.position.to_string(),
            member.lag.to_string(),
            output::or_dash(member.age_ms.as_ref()),
            output::yes_no(member.reachable),
            member.connections_open.to_string(),
            member.connections_busy.to_string(),
        ]);
    }
    table
}

fn peers(peers: &[admin::PeerStatus]) -> output::Table {
    let mut table = output::Table::new(["PEER", "DOMAIN", "ADDRESS", "ALIVE"]);
    for peer in peers {
        table.push_row([
            peer.proxy.to_string(),
            peer.domain.to_string(),
            peer.address.to_string(),
            output::yes_no(peer.alive),
        ]);
    }
    table
}
