//! Interrupts requests that run on a member that can no longer answer them.

use crate::effect;
use crate::id;
use crate::request;
use crate::route;
use crate::state::State;

impl<P: route::Policy> State<P> {
    /// Interrupts the requests that run on unreachable members of a group and will get no answer there.
    ///
    /// Another member then serves the reads. Writes on the primary continue, since the primary may only be paused.
    /// Writes on a replaced primary can no longer be acknowledged, so their callers are told at once that the outcome
    /// is unknown. A replaced primary that is still reachable reports the outcome of its writes itself.
    pub(super) fn interrupt(&self, id: id::GroupId, effects: &mut Vec<effect::Effect>) {
        let Some(group) = self.groups.get(id) else {
            return;
        };
        let primary = group.watch.primary().map(|member| member.id);
        let silent = |id| group.watch.members.get(id).is_none_or(|m| !m.reachable);
        let given_up = self.requests.values().filter(|active| match active.stage {
            request::Stage::Running { member, .. } if active.group == id && silent(member) => {
                active.request.kind.is_read() || primary != Some(member)
            }
            _ => false,
        });
        effects.extend(given_up.map(|active| effect::Effect::Interrupt(active.request.id)));
    }
}
