//! Explains which member would serve a statement, and why.

use std::time::Duration;

use fulmarlift_config::model;
use fulmarlift_core::{floor, id};
use fulmarlift_store::admin;
use fulmarlift_wire::class;

use crate::caller::plan;
use crate::engine;

/// Reason for which a statement cannot be explained.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The configuration in force has no service with this name.
    #[error("unknown service {0:?}")]
    UnknownService(Box<str>),
}

/// Classifies a statement and returns the member that would serve it now, with the reason for this choice.
///
/// # Errors
///
/// Returns an error when the service is not configured.
pub fn explain(
    engine: &engine::Engine,
    service: &str,
    sql: &str,
) -> Result<admin::Explanation, Error> {
    let document = engine.document();
    let config = document.topology.services.get(id::of(service));
    let config = config.ok_or_else(|| Error::UnknownService(service.into()))?;
    let plan = plan::Plan::of(&class::classify(sql));
    let read_class = match &plan {
        plan::Plan::Read { tables } => document.read_class(service, None, tables),
        _ => None,
    };
    let max_age = read_class.map(|class| Duration::from_millis(class.max_age_ms));
    let member = match plan {
        plan::Plan::Read { .. } => engine.preview(config.group, true, max_age),
        plan::Plan::Write { .. } => engine.preview(config.group, false, None),
        _ => None,
    };
    Ok(admin::Explanation {
        class: read_class.map(|class| class.name.clone()),
        kind: kind(&plan).into(),
        member,
        reason: reason(&plan, read_class),
        floor: engine.newest_point(config.group).map(format_point),
    })
}

fn format_point(point: floor::Point) -> Box<str> {
    format!("{}:{}", point.term, point.position).into()
}

fn kind(plan: &plan::Plan) -> &'static str {
    match plan {
        plan::Plan::Nothing => "nothing",
        plan::Plan::Read { .. } => "read",
        plan::Plan::Write { .. } => "write",
        plan::Plan::Settings => "settings",
        plan::Plan::Refused(_) => "refused",
    }
}

fn reason(plan: &plan::Plan, read_class: Option<&model::ReadClass>) -> Box<str> {
    match plan {
        plan::Plan::Nothing => "nothing is executed".into(),
        plan::Plan::Read { .. } => match read_class {
            Some(class) => format!(
                "read class {} allows an age of {} ms: the nearest member at the session's floor serves it",
                class.name, class.max_age_ms
            )
            .into(),
            None => "no read class allows an age: the nearest member at the read index serves it".into(),
        },
        plan::Plan::Write { .. } => "it may write: the primary serves it".into(),
        plan::Plan::Settings => "settings are kept for the session".into(),
        plan::Plan::Refused(refusal) => {
            format!("{} needs a connection of its own", refusal.feature).into()
        }
    }
}
