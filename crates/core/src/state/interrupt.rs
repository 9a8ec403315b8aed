//! Giving up requests that run on a member which can no longer answer them.

use crate::effect;
use crate::id;
use crate::request;
use crate::route;
use crate::state::State;

impl<P: route::Policy> State<P> {
    /// Interrupts what runs on a group's unreachable members and will not be answered by them.
    ///
    /// Reads are served by another member. Writes on the primary go on, since it may only be paused; those on a
    /// member that another has replaced can no longer be acknowledged, so their callers get the final answer at
    /// once. A replaced member that still answers tells itself what has become of its writes.
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
