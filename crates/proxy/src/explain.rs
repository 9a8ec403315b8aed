//! Where a statement would go, and why.

use fulmarlift_core::id;
use fulmarlift_wire::class;
use serde::Serialize;

use crate::caller::plan;
use crate::engine;

/// Where a statement would go.
#[derive(Clone, Debug, Serialize)]
pub struct Explanation {
    /// `read`, `write`, `settings`, `nothing` or `refused`.
    pub kind: &'static str,
    /// Tables that the statement names.
    pub tables: Vec<Box<str>>,
    /// Age that the read may have, in milliseconds, if a read class covers it.
    pub max_age_ms: Option<u64>,
    /// Member that would serve it now.
    pub member: Option<Box<str>>,
    /// The reason.
    pub reason: Box<str>,
    /// Newest point known of the group, as `TERM:POSITION`.
    pub floor: Box<str>,
}

/// Why a statement cannot be explained.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The service is not configured.
    #[error("unknown service {0:?}")]
    UnknownService(Box<str>),
}

/// Explains a statement.
///
/// # Errors
///
/// Returns an error when the service is not configured.
pub fn explain(engine: &engine::Engine, service: &str, sql: &str) -> Result<Explanation, Error> {
    let document = engine.document();
    let config = document.topology.services.get(id::of(service));
    let config = config.ok_or_else(|| Error::UnknownService(service.into()))?;
    let plan = plan::Plan::of(&class::classify(sql));
    let tables = match &plan {
        plan::Plan::Read { tables } | plan::Plan::Write { tables } => tables.clone(),
        _ => Vec::new(),
    };
    let max_age = document.max_age(service, None, &tables);
    let is_read = matches!(plan, plan::Plan::Read { .. });
    let view = engine.group_view(config.group);
    let newest = view.as_ref().and_then(engine::GroupView::newest);
    let served = matches!(plan, plan::Plan::Read { .. } | plan::Plan::Write { .. });
    let member = engine.preview(config.group, is_read, max_age);
    Ok(Explanation {
        kind: kind(&plan),
        tables,
        max_age_ms: max_age.map(|age| age.as_millis() as u64),
        member: member.filter(|_| served),
        reason: reason(&plan, max_age.is_some()),
        floor: newest.unwrap_or_default(),
    })
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

fn reason(plan: &plan::Plan, aged: bool) -> Box<str> {
    match plan {
        plan::Plan::Nothing => "nothing is executed".into(),
        plan::Plan::Read { .. } if aged => {
            "a read class allows an age: the nearest member at the session's floor serves it".into()
        }
        plan::Plan::Read { .. } => {
            "no read class allows an age: the nearest member at the read index serves it".into()
        }
        plan::Plan::Write { .. } => "it may write: the primary serves it".into(),
        plan::Plan::Settings => "settings are kept for the session".into(),
        plan::Plan::Refused(refusal) => {
            format!("{} needs a connection of its own", refusal.what).into()
        }
    }
}
