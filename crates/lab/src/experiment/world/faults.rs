//! Faults brought about.

use std::time::Duration;

use fulmarlift_core::{event, id, peer, route, topology};

use crate::experiment::Fault;
use crate::experiment::world::{Happening, World, member_name};

/// Time until a member notices that a dead proxy's connections are gone.
const DEAD_PEER_NOTICED: Duration = Duration::from_secs(5);

impl<P: route::Policy + Copy> World<P> {
    pub(super) fn plan_faults(&mut self) {
        for (index, fault) in self.options.faults.iter().enumerate() {
            let (from, until) = match *fault {
                Fault::Rush { window, .. }
                | Fault::Lag { window, .. }
                | Fault::StoreDown { window } => (window.from, Some(window.until)),
                Fault::KillMember { at, .. }
                | Fault::KillProxy { at, .. }
                | Fault::Silence { at, .. }
                | Fault::Leaving { at, .. } => (at, None),
            };
            let start = self.start + from;
            self.clock.plan(start, Happening::FaultStart(index));
            if let Some(until) = until {
                let end = self.start + until;
                self.clock.plan(end, Happening::FaultEnd(index));
            }
        }
    }

    pub(super) fn fault(&mut self, index: usize, starts: bool) {
        match self.options.faults[index] {
            Fault::Rush { factor, .. } => self.rush = if starts { factor } else { 1.0 },
            Fault::Lag { member, lag, .. } => {
                self.members[member].lag = if starts { lag } else { Duration::ZERO };
                if !starts {
                    self.catch_up(member);
                }
            }
            Fault::StoreDown { .. } => self.store.down = starts,
            Fault::KillMember { member, .. } => self.members[member].alive = false,
            Fault::KillProxy { proxy, .. } => self.kill_proxy(proxy),
            Fault::Silence { member, .. } => {
                let member = &mut self.members[member];
                member.silent = member.open.clone();
            }
            Fault::Leaving { member, .. } => self.leaving(member),
        }
    }

    fn kill_proxy(&mut self, proxy: usize) {
        let at = self.clock.now() + DEAD_PEER_NOTICED;
        self.nodes[proxy].alive = false;
        let conns: Vec<(id::ConnId, usize)> = self.nodes[proxy]
            .conns
            .iter()
            .map(|(c, m)| (c, *m))
            .collect();
        for (conn, member) in conns {
            self.clock.plan(
                at,
                Happening::Disconnect {
                    member,
                    proxy,
                    conn,
                },
            );
        }
        let pending: Vec<id::RequestId> = self.nodes[proxy].pending.keys().collect();
        for request in pending {
            self.settle(proxy, request);
        }
    }

    fn leaving(&mut self, member: usize) {
        let domain = self.profile.domains[member];
        let vm = peer::Vm {
            name: member_name(member).into(),
            address: member_name(member).into(),
            place: topology::Place {
                region: domain.region.into(),
                domain: domain.name.into(),
            },
            state: peer::VmState::Leaving,
        };
        for proxy in 0..self.nodes.len() {
            let event = event::Event::VmsListed(vec![vm.clone()]);
            self.clock
                .plan(self.clock.now(), Happening::Event { proxy, event });
        }
    }
}
