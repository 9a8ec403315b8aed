//! Log lines of the broker's state changes.

use fulmarlift_broker::Broker;
use fulmarlift_broker::effect;
use fulmarlift_core::id;

pub(super) fn log(broker: &Broker, change: &effect::StateChange) {
    match *change {
        effect::StateChange::Leader {
            group,
            member,
            term,
        } => {
            let member = member.map_or("none", |member| member_name(broker, member));
            let group = group_name(broker, group);
            log::info!("event=leader group={group} member={member} term={term}");
        }
        effect::StateChange::Failover {
            group,
            reason,
            step,
            token,
            target,
        } => {
            let target = target.map_or("none", |member| member_name(broker, member));
            let group = group_name(broker, group);
            log::info!(
                "event=failover group={group} reason={reason:?} step={step} token={token} target={target}"
            );
        }
        effect::StateChange::Reachable { member, reachable } => {
            let name = member_name(broker, member);
            log::info!("event=member_reachable member={name} reachable={reachable}");
        }
        effect::StateChange::Lease {
            group,
            term,
            valid,
            evidence,
        } => {
            let group = group_name(broker, group);
            match evidence {
                effect::LeaseEvidence::Claim { member, standing } => {
                    let member = member_name(broker, member);
                    log::info!(
                        "event=lease group={group} term={term} valid={valid} evidence=claim member={member} standing={standing:?}"
                    );
                }
                effect::LeaseEvidence::Status {
                    member,
                    took,
                    status,
                } => {
                    let member = member_name(broker, member);
                    let took_ms = took.as_millis();
                    log::info!(
                        "event=lease group={group} term={term} valid={valid} evidence=status member={member} took_ms={took_ms} status={status:?}"
                    );
                }
            }
        }
        effect::StateChange::Gone(member) => log::info!("event=member_gone member={member:016x}"),
    }
}

pub(super) fn group_name(broker: &Broker, group: id::GroupId) -> &str {
    let config = broker.topology().groups.get(group);
    config.map_or("unknown", |config| config.name.as_ref())
}

pub(super) fn member_name(broker: &Broker, member: id::MemberId) -> &str {
    broker
        .member(member)
        .map_or("unknown", |member| member.name.as_ref())
}
