//! `audit`: who changed the configuration, when and how.

use fulmarlift_platform::publish::{self, read};

use crate::{error, flags, output, settings};

const DEFAULT_LIMIT: u32 = 20;

pub async fn run(
    flags: &flags::Audit,
    platform: Option<&str>,
    json: bool,
) -> Result<(), error::Error> {
    let platform = settings::platform(platform)?;
    let trail = read::audit_trail(&platform, flags.limit.unwrap_or(DEFAULT_LIMIT))
        .await
        .map_err(|cause| error::Error::Platform {
            action: "audit",
            cause,
        })?;
    if json {
        return output::json(&trail);
    }
    if trail.is_empty() {
        return output::text("no configuration was accepted yet");
    }
    output::text(&trail.iter().map(describe).collect::<Vec<_>>().join("\n"))
}

fn describe(audit: &publish::Audit) -> String {
    let publish::Audit {
        version,
        base,
        digest,
        who,
        nonce,
        ..
    } = audit;
    let when = audit.when();
    let title = format!("version {version}  {when}  by {who}  on base {base}\n");
    let changes: String = audit
        .changes
        .iter()
        .map(|change| format!("  {change}\n"))
        .collect();
    format!("{title}  digest {digest}  nonce {nonce}\n{changes}")
}
