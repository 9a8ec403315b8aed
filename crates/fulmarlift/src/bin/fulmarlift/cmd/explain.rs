//! `explain`: prints the member to which a proxy would send a statement, and the reason.

use fulmarlift_store::admin;

use crate::{error, flags, output, settings};

pub async fn run(flags: &flags::Explain, json: bool) -> Result<(), error::Error> {
    let proxy = settings::proxy(flags.proxy.as_deref())?;
    let explanation = proxy.explain(&flags.service, &flags.sql).await?;
    if json {
        output::print_json(&explanation)
    } else {
        output::print_text(&describe(&explanation))
    }
}

fn describe(explanation: &admin::Explanation) -> String {
    let class = output::or_dash(explanation.class.as_ref());
    let member = output::or_dash(explanation.member.as_ref());
    let floor = output::or_dash(explanation.floor.as_ref());
    let admin::Explanation { kind, reason, .. } = explanation;
    format!("kind    {kind}\nclass   {class}\nmember  {member}\nfloor   {floor}\nreason  {reason}")
}
