//! Faults: their schedule and their effects.

use std::time::Duration;

use fulmarlift_core::{event, id, peer, route, topology};

use crate::experiment::Fault;
use crate::experiment::world::{Scheduled, World, member_name};

/// Time after a proxy stops until members notice that its connections are closed.
const DEAD_PROXY_DETECTION_DELAY: Duration = Duration::from_secs(5);

impl<P: route::Policy + Copy> World<P> {
    /// Schedules the start of each fault of the options, and the end of those that last for a time window.
    pub(super) fn schedule_faults(&mut self) {
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
            self.clock.schedule(start, Scheduled::FaultStarted(index));
            if let Some(until) = until {
                let end = self.start + until;
                self.clock.schedule(end, Scheduled::FaultEnded(index));
            }
        }
    }

    /// Starts or ends the fault with this index.
    pub(super) fn apply_fault(&mut self, index: usize, starts: bool) {
        match self.options.faults[index] {
            Fault::Rush { factor, .. } => self.load_factor = if starts { factor } else { 1.0 },
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
                member.silent_conns = member.open_conns.clone();
            }
            Fault::Leaving { member, .. } => self.announce_leaving_vm(member),
        }
    }

    /// Stops a proxy. Its pending requests end, and its members close its connections after a delay.
    fn kill_proxy(&mut self, proxy: usize) {
        let at = self.clock.now() + DEAD_PROXY_DETECTION_DELAY;
        self.proxies[proxy].alive = false;
        let conns: Vec<(id::ConnId, usize)> = self.proxies[proxy]
            .conn_members
            .iter()
            .map(|(conn, member)| (conn, *member))
            .collect();
        for (conn, member) in conns {
            self.clock.schedule(
                at,
                Scheduled::DisconnectReceived {
                    member,
                    proxy,
                    conn,
                },
            );
        }
        let pending: Vec<id::RequestId> = self.proxies[proxy].pending.keys().collect();
        for request in pending {
            self.end_request(proxy, request);
        }
    }

    /// Tells all proxies that the VM of a member is leaving.
    fn announce_leaving_vm(&mut self, member: usize) {
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
        for proxy in 0..self.proxies.len() {
            let event = event::Event::VmsListed(vec![vm.clone()]);
            self.clock
                .schedule(self.clock.now(), Scheduled::Event { proxy, event });
        }
    }
}
