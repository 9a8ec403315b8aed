//! Log lines of the broker's state changes.

use std::time::Instant;

use fulmarlift_broker::Broker;
use fulmarlift_broker::claim;
use fulmarlift_broker::effect;
use fulmarlift_broker::event;
use fulmarlift_broker::pace;
use fulmarlift_core::floor;
use fulmarlift_core::id;

use crate::clock;

/// Writes a state change to the log.
pub fn log(broker: &Broker, change: &effect::StateChange) {
    match *change {
        effect::StateChange::Leader {
            group,
            member,
            term,
            evidence,
        } => {
            let member = member.map_or("none", |member| member_name(broker, member));
            let group = group_name(broker, group);
            let evidence = leader_evidence(broker, &evidence);
            log::info!("event=leader group={group} member={member} term={term} {evidence}");
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
        effect::StateChange::Choice(ref choice) => log_choice(broker, choice),
        effect::StateChange::LeaderChoice {
            group,
            leader,
            term,
            ref choice,
        } => log_leader_choice(broker, group, leader, term, choice),
        effect::StateChange::CommitLost(ref lost) => log_lost_commit(broker, lost),
        effect::StateChange::MoreCommitsLost {
            group,
            leader,
            leader_had,
            certain,
            uncertain,
        } => {
            count_lost_commits(true, certain);
            count_lost_commits(false, uncertain);
            let group = group_name(broker, group);
            let leader = member_name(broker, leader);
            let leader_had = point_text(Some(leader_had));
            log::warn!(
                "event=more_commits_lost group={group} leader={leader} leader_had={leader_had} certain={certain} uncertain={uncertain}"
            );
        }
        effect::StateChange::ChoiceWithheld {
            group,
            token,
            furthest,
            acknowledged,
            answered_end,
            awaits_missing,
            homes_told,
        } => {
            metrics::counter!("fulmarlift_choices_withheld_total").increment(1);
            log::warn!(
                "event=choice_withheld group={} token={token} furthest={} acknowledged={} answered_end={} awaits_missing={awaits_missing} homes_told={homes_told}",
                group_name(broker, group),
                point_text(furthest),
                point_text(acknowledged),
                point_text(answered_end)
            );
        }
        effect::StateChange::LeaderStopped {
            group,
            token,
            member,
            log_end,
        } => {
            let group = group_name(broker, group);
            let member = member_name(broker, member);
            let log_end = point_text(Some(log_end));
            log::info!(
                "event=leader_stopped group={group} token={token} member={member} log_end={log_end}"
            );
        }
        effect::StateChange::StoppedLeaderWentOn {
            group,
            token,
            member,
            log_end,
            point,
        } => {
            metrics::counter!("fulmarlift_stopped_leaders_went_on_total").increment(1);
            let group = group_name(broker, group);
            let member = member_name(broker, member);
            let (log_end, point) = (point_text(Some(log_end)), point_text(Some(point)));
            log::warn!(
                "event=stopped_leader_went_on group={group} token={token} member={member} log_end={log_end} now={point}"
            );
        }
        effect::StateChange::Compared(ref comparison) => log_comparison(broker, comparison),
        effect::StateChange::LogEnd {
            group,
            token,
            member,
            status,
            leaving,
            first_listed_at,
        } => {
            let group = group_name(broker, group);
            let member = member_name(broker, member);
            let received = point_text(Some(status.received));
            let listed_for = clock::now().saturating_duration_since(first_listed_at);
            log::info!(
                "event=log_end group={group} token={token} member={member} received={received} leads={} term={} held_term={} leaving={leaving} listed_for_ms={}",
                status.leads,
                status.term,
                status.held_term,
                listed_for.as_millis()
            );
        }
        effect::StateChange::Reachable { member, reachable } => {
            let name = member_name(broker, member);
            log::info!("event=member_reachable member={name} reachable={reachable}");
        }
        effect::StateChange::Pace { member, change } => log_pace(broker, member, change),
        effect::StateChange::Avoided {
            member,
            until,
            malformed_answers,
        } => {
            let name = member_name(broker, member);
            let avoided = until.is_some();
            if avoided {
                metrics::counter!("fulmarlift_members_avoided_total").increment(1);
            }
            let remaining = until.map(|until| until.saturating_duration_since(clock::now()));
            let for_ms = remaining.unwrap_or_default().as_millis();
            log::warn!(
                "event=member_avoided member={name} avoided={avoided} malformed_answers={malformed_answers} for_ms={for_ms}"
            );
        }
        effect::StateChange::ConnectionMoved { member, from, to } => {
            metrics::counter!("fulmarlift_connections_moved_total").increment(1);
            log::info!(
                "event=connection_moved member={} from_workspace={} to_workspace={}",
                member_name(broker, member),
                workspace_name(broker, from),
                workspace_name(broker, to)
            );
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

/// Logs the choice of the next leader in one line, so that a loss can be explained from it alone.
fn log_choice(broker: &Broker, choice: &effect::Choice) {
    if choice.basis.acknowledged.is_none() {
        metrics::counter!("fulmarlift_choices_without_point_total").increment(1);
    }
    let now = clock::now();
    let name = |member: Option<id::MemberId>| {
        let name = |member| {
            let known = choice.members.iter().find(|known| known.member == member);
            known.map_or(member_name(broker, member), |known| known.name.as_ref())
        };
        member.map_or("none", name)
    };
    let members: Vec<String> = choice
        .members
        .iter()
        .map(|member| choice_member_text(now, member))
        .collect();
    log::info!(
        "event=choice group={} token={} reason={:?} hands_over={} target={} old_leader={} log_end={} surveyed_end={} acknowledged={} answered_end={} told_by=\"{}\" members=\"{}\"",
        group_name(broker, choice.group),
        choice.token,
        choice.reason,
        choice.basis.hands_over,
        name(choice.target),
        name(choice.basis.old_leader),
        point_text(choice.basis.log_end),
        point_text(choice.basis.surveyed_end),
        point_text(choice.basis.acknowledged),
        point_text(choice.basis.answered_end),
        choice.told_by.join(" "),
        members.join(" ")
    );
}

/// Logs the choice of a leader as its claimant has recorded it, in one line.
fn log_leader_choice(
    broker: &Broker,
    group: id::GroupId,
    leader: id::MemberId,
    term: id::Term,
    choice: &claim::ChoiceRecord,
) {
    let members: Vec<String> = choice.members.iter().map(recorded_member_text).collect();
    log::info!(
        "event=leader_choice group={} leader={} term={term} token={} claimant={} target={} target_had={} acknowledged={} hands_over={} at_order={} told_by=\"{}\" members=\"{}\"",
        group_name(broker, group),
        member_name(broker, leader),
        choice.token,
        choice.claimant,
        choice.target,
        point_text(choice.target_had),
        point_text(choice.acknowledged),
        choice.hands_over,
        choice.at_order,
        choice.told_by.join(" "),
        members.join(" ")
    );
}

fn count_lost_commits(is_certain: bool, count: usize) {
    let certain = if is_certain { "true" } else { "false" };
    metrics::counter!("fulmarlift_commits_lost_total", "certain" => certain)
        .increment(count as u64);
}

/// Warns of a commit that the leader lacks.
fn log_lost_commit(broker: &Broker, lost: &effect::LostCommit) {
    count_lost_commits(lost.is_certain, 1);
    let told_for = clock::now().saturating_duration_since(lost.told_at);
    log::warn!(
        "event=commit_lost request={} group={} point={} leader={} leader_had={} acknowledged_ms_ago={} certain={}",
        lost.request,
        group_name(broker, lost.group),
        point_text(Some(lost.point)),
        member_name(broker, lost.leader),
        point_text(Some(lost.leader_had)),
        told_for.as_millis(),
        lost.is_certain
    );
}

/// Returns what a claimant has recorded of a member: `NAME:RECEIVED/HELD_TERM/FLAGS`, with the time since its drop in ms.
fn recorded_member_text(member: &claim::RecordedMember) -> String {
    let dropped = member.dropped_for_ms.map(|ms| format!("dropped={ms}"));
    let flags = [
        (member.listed, "listed"),
        (member.leaving, "leaving"),
        (member.answered, "answered"),
        (dropped.is_some(), dropped.as_deref().unwrap_or_default()),
    ];
    let flags = flags.into_iter().filter(|(applies, _)| *applies);
    let flags: Vec<&str> = flags.map(|(_, flag)| flag).collect();
    let received = member
        .received
        .map_or_else(|| "-".to_owned(), |point| point_text(Some(point)));
    format!(
        "{}:{received}/{}/{}",
        member.name,
        member.held_term,
        match flags.is_empty() {
            true => "-".to_owned(),
            false => flags.join("+"),
        }
    )
}

/// Logs the comparison of a member with a new leader, and warns if the member was ahead.
fn log_comparison(broker: &Broker, comparison: &effect::Comparison) {
    let group = group_name(broker, comparison.group);
    let leader = member_name(broker, comparison.leader);
    let member = member_name(broker, comparison.member);
    let point = point_text(comparison.answer.and_then(event::StatusAnswer::point));
    let leader_had = point_text(comparison.leader_had);
    let (token, term) = (comparison.token, comparison.term);
    let answer = match comparison.answer {
        None => "not_asked".to_owned(),
        Some(event::StatusAnswer::Missing) => "none".to_owned(),
        Some(event::StatusAnswer::Refused { is_busy: true, .. }) => "busy".to_owned(),
        Some(event::StatusAnswer::Refused { .. }) => "refused".to_owned(),
        Some(event::StatusAnswer::Status(status)) => {
            format!("{}/{}", status.term, status.held_term)
        }
    };
    log::info!(
        "event=promotion_compared group={group} token={token} leader={leader} leader_term={term} leader_had={leader_had} member={member} choice_received={} received={point} answer={answer}",
        point_text(comparison.choice_received)
    );
    if comparison.is_ahead {
        let refused = matches!(comparison.answer, Some(event::StatusAnswer::Refused { .. }));
        metrics::counter!("fulmarlift_replicas_ahead_total").increment(1);
        log::warn!(
            "event=replica_ahead group={group} token={token} leader={leader} leader_term={term} leader_had={leader_had} member={member} had={point} refused={refused}"
        );
    }
}

/// Returns what is known of a member at a choice: `NAME:RECEIVED/TERM/HELD_TERM/ANSWER_AGE/CONNECTED_FOR/KNOWN_FOR/FLAGS`, with times in ms
/// and `-` for what is not known.
fn choice_member_text(now: Instant, member: &effect::ChoiceMember) -> String {
    let age_ms = |then: Option<Instant>| {
        let age = then.map(|then| now.saturating_duration_since(then).as_millis());
        age.map_or_else(|| "-".to_owned(), |age| age.to_string())
    };
    let answer = member.answer;
    let dropped = member.dropped;
    let told = answer.map_or_else(
        || match dropped.and_then(|dropped| dropped.reached) {
            Some(reached) => format!("{}/-/-", point_text(Some(reached))),
            None => "-/-/-".to_owned(),
        },
        |answer| {
            let status = answer.status;
            let received = point_text(Some(status.received));
            format!("{received}/{}/{}", status.term, status.held_term)
        },
    );
    let dropped_flag = dropped.map_or_else(
        || "dropped".to_owned(),
        |dropped| format!("dropped={}", age_ms(Some(dropped.at))),
    );
    let flags = [
        (answer.is_some_and(|answer| answer.status.leads), "leads"),
        (member.known_since.is_none(), dropped_flag.as_str()),
        (member.leaving, "leaving"),
        (!member.listed && member.known_since.is_some(), "unlisted"),
        (!member.asked, "not_asked"),
        (member.asked && answer.is_none(), "no_answer"),
    ];
    let flags = flags.into_iter().filter(|(applies, _)| *applies);
    let flags: Vec<&str> = flags.map(|(_, flag)| flag).collect();
    let flags = match flags.is_empty() {
        true => "-".to_owned(),
        false => flags.join("+"),
    };
    format!(
        "{}:{told}/{}/{}/{}/{flags}",
        member.name,
        age_ms(answer.map(|answer| answer.answered_at)),
        age_ms(answer.and_then(|answer| answer.connected_at)),
        age_ms(member.known_since)
    )
}

/// Returns the observation after which the leader was determined again, as keys of a log line.
fn leader_evidence(broker: &Broker, evidence: &effect::LeaderEvidence) -> String {
    match evidence {
        effect::LeaderEvidence::Statement(report) => {
            let answer = match report.answer {
                event::Answer::Led { commit, .. } => format!("Led commit={commit}"),
                answer => format!("{answer:?}"),
            };
            let from = member_name(broker, report.member);
            let took_ms = report.took.unwrap_or_default().as_millis();
            let point = point_text(report.point);
            format!(
                "evidence=statement from={from} took_ms={took_ms} point={point} answer={answer}"
            )
        }
        effect::LeaderEvidence::Status { member, status } => {
            let from = member_name(broker, *member);
            format!("evidence=status from={from} status={status:?}")
        }
        effect::LeaderEvidence::Claim(standing) => format!("evidence=claim standing={standing:?}"),
        effect::LeaderEvidence::Failover => "evidence=failover".to_owned(),
        effect::LeaderEvidence::Directory => "evidence=directory".to_owned(),
        effect::LeaderEvidence::Tick => "evidence=tick".to_owned(),
    }
}

/// Returns a point of a log as `TERM.POSITION`, or `none`.
pub(super) fn point_text(point: Option<floor::Point>) -> String {
    point.map_or_else(
        || "none".to_owned(),
        |point| format!("{}.{}", point.term, point.position),
    )
}

pub(super) fn group_name(broker: &Broker, group: id::GroupId) -> &str {
    let config = broker.topology().groups.get(group);
    config.map_or("unknown", |config| config.name.as_ref())
}

/// Returns the name of a workspace for the log; `none` without one.
pub(crate) fn workspace_name(broker: &Broker, workspace: Option<id::WorkspaceId>) -> &str {
    let known = workspace.map(|workspace| broker.topology().workspace(workspace));
    match known {
        Some(Some(workspace)) => workspace.name.as_ref(),
        Some(None) => "unknown",
        None => "none",
    }
}

pub(super) fn member_name(broker: &Broker, member: id::MemberId) -> &str {
    broker
        .member(member)
        .map_or("unknown", |member| member.name.as_ref())
}

fn log_pace(broker: &Broker, member: id::MemberId, change: pace::Change) {
    let member = member_name(broker, member);
    match change {
        pace::Change::Limited { limit, cause } => {
            let cause = cause.name();
            metrics::counter!("fulmarlift_paces_limited_total", "cause" => cause).increment(1);
            log::info!("event=pace member={member} limit={limit:.3} cause={cause}");
        }
        pace::Change::Full => log::info!("event=pace member={member} limit=full"),
    }
}
