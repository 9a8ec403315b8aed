//! Faults, and what they do.

use fulmarlift_broker::event;
use rand::RngExt;

use crate::simulation::clock::{MS, Micros, S};
use crate::simulation::member;
use crate::simulation::net::Node;
use crate::simulation::proxy;
use crate::simulation::world::{self, Happening, Input, PROXIES, World};

/// Time from one start of a member that flaps to the next.
const FLAP_INTERVAL: Micros = 1_100 * MS;
/// Longest time after the return of the store until it answers each proxy.
const STORE_BACK_MAX: Micros = S;
/// Most members, those that join included.
const MEMBERS_MAX: usize = 6;

/// A fault.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The leader is cut from all other members for a time; also from some proxies; only towards the replicas for `one_way`.
    Stall {
        lasts: Micros,
        one_way: bool,
        proxies: [bool; PROXIES],
    },
    /// The leader's process ends, or its VM is gone, for a time.
    Crash {
        dark: bool,
        lasts: Micros,
    },
    /// The leader says that it will stop, and does after a time.
    Leave {
        ends_after: Micros,
    },
    Refuse {
        proxy: usize,
        lasts: Micros,
    },
    LossyStore {
        lasts: Micros,
    },
    SlowStore {
        lasts: Micros,
    },
    LateOrders {
        lasts: Micros,
    },
    Freeze {
        proxy: usize,
        lasts: Micros,
    },
    /// A member joins and is listed after a time.
    Join {
        listed_after: Micros,
    },
    /// The nth replica starts again after a time.
    Restart {
        nth: usize,
        away: Micros,
    },
    Start(usize),
    /// The nth member's entry is removed, and written again after a time.
    Drop {
        nth: usize,
        lasts: Micros,
    },
    Relist(usize),
    /// A path between a proxy and a member is cut.
    CutProxy {
        proxy: usize,
        nth: usize,
        way: u8,
        lasts: Micros,
    },
    /// A path between two members is cut.
    CutMembers {
        a: usize,
        b: usize,
        lasts: Micros,
    },
    RestartProxy {
        proxy: usize,
        from_peer: bool,
    },
    Deaf {
        nth: usize,
        lasts: Micros,
    },
    SlowFeed {
        proxy: usize,
        lag: Micros,
    },
    /// The nth member stands still.
    Pause {
        nth: usize,
        lasts: Micros,
    },
    /// The store answers no proxy and loses all entries, which come back one by one after it.
    StoreAway {
        lasts: Micros,
        /// Longest time from the store's return to an entry's.
        relisted_within: Micros,
    },
    /// The nth member ends and starts again, some times in a row.
    Flap {
        nth: usize,
        times: u32,
        away: Micros,
    },
    /// The nth member refuses new connections; those that are open work.
    Full {
        nth: usize,
        lasts: Micros,
    },
    /// Orders are executed, not answered, and executed again later.
    RepeatOrders {
        lasts: Micros,
    },
    /// The leader is cut from all proxies but one, and from a replica if `nth` is given.
    CutLeader {
        reached_by: usize,
        nth: Option<usize>,
        lasts: Micros,
    },
    /// The VM of the nth replica is gone for a time.
    Dark {
        nth: usize,
        away: Micros,
    },
    /// The callers of a proxy write nothing.
    Idle {
        proxy: usize,
        lasts: Micros,
    },
}

impl World {
    /// Returns the nth member that is not the newest leader.
    fn replica(&self, nth: usize) -> usize {
        let replicas: Vec<usize> = (0..self.members.len())
            .filter(|member| *member != self.newest_leader)
            .collect();
        replicas[nth % replicas.len()]
    }

    pub(super) fn apply_fault(&mut self, fault: Fault) {
        self.note(|| format!("FAULT {fault:?}"));
        let leader = self.newest_leader;
        match fault {
            Fault::Stall {
                lasts,
                one_way,
                proxies,
            } => self.stall(leader, self.now + lasts, one_way, proxies),
            Fault::Crash { dark, lasts } => {
                let process = match dark {
                    true => member::Process::Dark,
                    false => member::Process::Ended,
                };
                self.end_member(leader, process);
                self.start_later(leader, lasts);
            }
            Fault::Leave { ends_after } => {
                self.members[leader].leaving = true;
                self.publish(leader);
                let restart = Fault::Restart {
                    nth: MEMBERS_MAX + leader,
                    away: 60 * S,
                };
                self.queue
                    .push(self.now + ends_after, Happening::Fault(restart));
            }
            Fault::Refuse { proxy, lasts } => {
                let until = self.now + lasts;
                self.store.refused_until.insert(proxy, until);
                self.tell_refused(proxy, until);
            }
            Fault::LossyStore { lasts } => self.store.lossy_until = self.now + lasts,
            Fault::SlowStore { lasts } => self.store.slow_until = self.now + lasts,
            Fault::LateOrders { lasts } => self.orders_lost_until = self.now + lasts,
            Fault::Freeze { proxy, lasts } => {
                let until = self.now + lasts;
                let frozen_until = &mut self.proxies[proxy].frozen_until;
                *frozen_until = until.max(*frozen_until);
            }
            Fault::Join { listed_after } => self.join(listed_after),
            Fault::Restart { nth, away } => {
                let member = match nth.checked_sub(MEMBERS_MAX) {
                    Some(member) => member,
                    None => self.replica(nth),
                };
                self.end_member(member, member::Process::Ended);
                self.start_later(member, away);
            }
            Fault::Start(member) => self.start_member(member),
            Fault::Drop { nth, lasts } => {
                let member = nth % self.members.len();
                self.unlist(member);
                self.hidden_until.insert(member, self.now + lasts);
                self.queue
                    .push(self.now + lasts, Happening::Fault(Fault::Relist(member)));
            }
            Fault::Relist(member) => self.publish(member),
            Fault::CutProxy {
                proxy,
                nth,
                way,
                lasts,
            } => {
                let (a, b) = (Node::Proxy(proxy), Node::Member(nth % self.members.len()));
                let until = self.now + lasts;
                match way {
                    0 => self.net.cut(a, b, until),
                    1 => self.net.cut(b, a, until),
                    _ => self.net.cut_both(a, b, until),
                }
            }
            Fault::CutMembers { a, b, lasts } => {
                let (a, b) = (Node::Member(a), Node::Member(b));
                self.net.cut_both(a, b, self.now + lasts);
            }
            Fault::RestartProxy { proxy, from_peer } => {
                let starts = self.proxies[proxy].starts + 1;
                self.exchanges.retain(|_, exchange| exchange.proxy != proxy);
                self.proxies[proxy] = proxy::Proxy::new(proxy, starts, self.seed, self.plan.fenced);
                let reader = from_peer.then_some((proxy + 1) % PROXIES);
                self.start_proxy(proxy, reader);
                if let Some(until) = self.store.serves_from(proxy) {
                    let at = until.max(self.now) + 50 * MS;
                    self.wake(proxy, at, Input::DirectoryBack);
                }
            }
            Fault::Deaf { nth, lasts } => {
                let member = self.replica(nth);
                self.deaf_until.insert(member, self.now + lasts);
            }
            Fault::SlowFeed { proxy, lag } => self.feed_lag[proxy] = lag,
            Fault::Pause { nth, lasts } => {
                let member = nth % self.members.len();
                self.paused_until.insert(member, self.now + lasts);
            }
            Fault::StoreAway {
                lasts,
                relisted_within,
            } => self.take_store_away(self.now + lasts, relisted_within),
            Fault::Flap { nth, times, away } => {
                let member = nth % self.members.len();
                self.end_member(member, member::Process::Ended);
                self.start_later(member, away);
                if times > 1 {
                    let times = times - 1;
                    let next = Fault::Flap { nth, times, away };
                    self.queue
                        .push(self.now + FLAP_INTERVAL, Happening::Fault(next));
                }
            }
            Fault::Full { nth, lasts } => {
                let member = nth % self.members.len();
                self.full_until.insert(member, self.now + lasts);
            }
            Fault::RepeatOrders { lasts } => self.orders_repeated_until = self.now + lasts,
            Fault::CutLeader {
                reached_by,
                nth,
                lasts,
            } => {
                let until = self.now + lasts;
                for proxy in (0..PROXIES).filter(|proxy| *proxy != reached_by) {
                    self.net
                        .cut_both(Node::Member(leader), Node::Proxy(proxy), until);
                }
                if let Some(nth) = nth {
                    let replica = Node::Member(self.replica(nth));
                    self.net.cut_both(Node::Member(leader), replica, until);
                }
            }
            Fault::Dark { nth, away } => {
                let member = self.replica(nth);
                self.end_member(member, member::Process::Dark);
                self.start_later(member, away);
            }
            Fault::Idle { proxy, lasts } => self.idle_until[proxy] = self.now + lasts,
        }
    }

    /// Lets a member that has ended start again after a time.
    fn start_later(&mut self, member: usize, away: Micros) {
        let at = self.now + away;
        let known = self.starts_at.get(&member).copied();
        let earlier = known.filter(|known| self.now < *known && *known < at);
        self.starts_at.insert(member, earlier.unwrap_or(at));
        self.queue.push(at, Happening::Fault(Fault::Start(member)));
    }

    /// Lets a proxy that the store does not serve until a time learn of it, and of its end, a little later.
    fn tell_refused(&mut self, proxy: usize, until: Micros) {
        let told_at = self.now + self.random.random_range(20 * MS..500 * MS);
        let unreached = event::Event::DirectoryRead { answered_at: None };
        self.wake(proxy, told_at, Input::Event(unreached));
        let back_at = until + self.random.random_range(10 * MS..world::DIRECTORY_BACK_MAX);
        self.wake(proxy, back_at, Input::DirectoryBack);
    }

    fn take_store_away(&mut self, until: Micros, relisted_within: Micros) {
        for proxy in 0..PROXIES {
            let back_at = until + self.random.random_range(0..STORE_BACK_MAX);
            self.store.away_until.insert(proxy, back_at);
            self.tell_refused(proxy, back_at);
        }
        for member in 0..self.members.len() {
            self.unlist(member);
            let listed_at = until + self.random.random_range(0..relisted_within);
            self.hidden_until.insert(member, listed_at);
            self.queue
                .push(listed_at, Happening::Fault(Fault::Relist(member)));
        }
    }

    fn stall(&mut self, leader: usize, until: Micros, one_way: bool, proxies: [bool; PROXIES]) {
        let cut_proxies = (0..PROXIES).filter(|proxy| proxies[*proxy]);
        for proxy in cut_proxies {
            self.net
                .cut_both(Node::Member(leader), Node::Proxy(proxy), until);
        }
        // Members that join are cut from it as well.
        for other in (0..MEMBERS_MAX).filter(|other| *other != leader) {
            let (a, b) = (Node::Member(leader), Node::Member(other));
            match one_way {
                true => self.net.cut(a, b, until),
                false => self.net.cut_both(a, b, until),
            }
        }
    }

    fn join(&mut self, listed_after: Micros) {
        let index = self.members.len();
        if index == MEMBERS_MAX {
            return;
        }
        let leader = &self.members[self.newest_leader];
        let member = member::Member::new(leader.term, leader.log.clone());
        self.members.push(member);
        self.record_id(index);
        self.hidden_until.insert(index, self.now + listed_after);
        self.publish(index);
        // Where the leader is cut, the member has received nothing yet.
        let path = (Node::Member(self.newest_leader), Node::Member(index));
        if self.net.cut_until(path.0, path.1, self.now).is_some() {
            self.members[index].log = Default::default();
            self.members[index].term = 0;
        }
    }

    /// Freezes a proxy that claims, at times, at a step of its attempt.
    pub(super) fn freeze_claimant(&mut self, index: usize, step: &str) {
        let steps = ["claiming", "holding", "recording", "ordering", "confirming"];
        if self.plan.freezes_claimants && steps.contains(&step) && self.random.random_bool(0.25) {
            let after = self.random.random_range(0..400 * MS);
            let lasts = self.random.random_range(200 * MS..4 * S);
            let fault = Fault::Freeze {
                proxy: index,
                lasts,
            };
            self.queue.push(self.now + after, Happening::Fault(fault));
        }
    }
}
