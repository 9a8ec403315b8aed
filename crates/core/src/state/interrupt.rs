//! Giving up requests that run on a member which can no longer answer them.

use crate::effect;
use crate::id;
use crate::request;
use crate::route;
use crate::state::{Owner, State};

impl<P: route::Policy> State<P> {
    /// Interrupts the reads that run on a member that has become unreachable: another member serves them.
    ///
    /// Writes go on, since the member may only be paused.
    pub(super) fn interrupt_reads(&self, owner: Owner, effects: &mut Vec<effect::Effect>) {
        let reads = self.running(owner.group, |member| member == owner.member);
        let reads = reads.filter(|active| active.request.kind.is_read());
        effects.extend(reads.map(|active| effect::Effect::Interrupt(active.request.id)));
    }

    /// Interrupts the writes that run on members other than the group's new primary: they can no longer be
    /// acknowledged, so their callers get the final answer at once.
    pub(super) fn interrupt_replaced(
        &self,
        group: id::GroupId,
        primary: id::MemberId,
        effects: &mut Vec<effect::Effect>,
    ) {
        let writes = self.running(group, |member| member != primary);
        let writes = writes.filter(|active| !active.request.kind.is_read());
        effects.extend(writes.map(|active| effect::Effect::Interrupt(active.request.id)));
    }

    fn running(
        &self,
        group: id::GroupId,
        on: impl Fn(id::MemberId) -> bool,
    ) -> impl Iterator<Item = &request::Active> {
        self.requests
            .values()
            .filter(move |active| match active.stage {
                request::Stage::Running { member, .. } => active.group == group && on(member),
                _ => false,
            })
    }
}
