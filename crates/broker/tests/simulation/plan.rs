//! The faults of a simulation, drawn from its seed. Each kind is drawn from a generator of its own, so that taking one kind out of
//! the mix leaves the others as they are.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::simulation::clock::{MS, Micros, S};
use crate::simulation::faults::Fault;
use crate::simulation::world::PROXIES;

/// The kinds of faults that a simulation may draw.
#[derive(Clone, Copy, Debug)]
pub struct Mix {
    /// A leader is cut from its replicas.
    pub stalls: bool,
    /// A leader ends, or its VM is gone.
    pub crashes: bool,
    /// A leader says that it will stop.
    pub leaves: bool,
    /// The store refuses proxies.
    pub refusals: bool,
    /// The store loses answers, is slow and does writes late.
    pub lossy_store: bool,
    /// Orders go unanswered and are done late.
    pub late_orders: bool,
    /// Proxies stand still, also between the steps of a replacement.
    pub freezes: bool,
    /// Members join, and are listed late.
    pub joins: bool,
    /// Replicas start again.
    pub restarts: bool,
    /// Members are dropped from the directory and listed again.
    pub drops: bool,
    /// Paths between proxies and members, and among members, are cut.
    pub cuts: bool,
    /// Proxies start again.
    pub proxy_restarts: bool,
    /// Replicas receive nothing.
    pub deaf: bool,
    /// Proxies learn late of the directory's changes.
    pub slow_feeds: bool,
    /// Members stand still, and execute afterwards what has arrived meanwhile.
    pub pauses: bool,
    /// Commands arrive after a cut although their proxies have given them up.
    pub late_commands: bool,
    /// Commits that wait for a slot when their leader is demoted are executed after that.
    pub queued_commits: bool,
    /// The leader's faults come twice.
    pub twice: bool,
    /// The store answers nobody for a while, and has lost all entries afterwards.
    pub store_away: bool,
    /// Entries are back up to five seconds after the store, though the platform promises two.
    pub late_listings: bool,
    /// A replica receives nothing, and then the leader ends.
    pub deaf_crashes: bool,
    /// Members end and start again, over and over.
    pub flaps: bool,
    /// Members refuse new connections.
    pub full: bool,
    /// Orders are executed twice, and not answered.
    pub repeated_orders: bool,
    /// One proxy alone reaches the leader.
    pub lone_readers: bool,
    /// A replica receives nothing while others confirm, and then the leader ends while those are away and have no entries.
    pub missing_confirmers: bool,
}

impl Mix {
    /// Returns the mix without members that join.
    pub const fn without_joins(self) -> Self {
        Self {
            joins: false,
            ..self
        }
    }

    /// A leader that stalls, nothing else.
    pub const STALLS: Self = Self {
        stalls: true,
        crashes: false,
        leaves: false,
        refusals: false,
        lossy_store: false,
        late_orders: false,
        freezes: false,
        joins: false,
        restarts: false,
        drops: false,
        cuts: false,
        proxy_restarts: false,
        deaf: false,
        slow_feeds: false,
        pauses: false,
        late_commands: false,
        queued_commits: false,
        twice: true,
        store_away: false,
        late_listings: false,
        deaf_crashes: false,
        flaps: false,
        full: false,
        repeated_orders: false,
        lone_readers: false,
        missing_confirmers: false,
    };

    /// All kinds.
    pub const ALL: Self = Self {
        crashes: true,
        leaves: true,
        refusals: true,
        lossy_store: true,
        late_orders: true,
        freezes: true,
        joins: true,
        restarts: true,
        drops: true,
        cuts: true,
        proxy_restarts: true,
        deaf: true,
        slow_feeds: true,
        ..Self::STALLS
    };

    /// A leader stalls, crashes or leaves while paths are cut and members stand still, and commands arrive late.
    pub const LATE_COMMANDS: Self = Self {
        crashes: true,
        leaves: true,
        cuts: true,
        freezes: true,
        pauses: true,
        late_commands: true,
        ..Self::STALLS
    };

    /// Leaders leave or stall while commits wait for slots.
    pub const QUEUED_COMMITS: Self = Self {
        leaves: true,
        joins: true,
        queued_commits: true,
        ..Self::STALLS
    };

    /// A leader stalls while members come and go, and proxies do not learn of it.
    pub const MEMBERS: Self = Self {
        refusals: true,
        joins: true,
        restarts: true,
        drops: true,
        deaf: true,
        slow_feeds: true,
        ..Self::STALLS
    };

    /// A leader stalls while orders and writes are done late.
    pub const ORDERS: Self = Self {
        lossy_store: true,
        late_orders: true,
        freezes: true,
        crashes: true,
        ..Self::STALLS
    };

    /// A leader stalls while proxies stand still, start again and are cut from members and the store.
    pub const PROXIES: Self = Self {
        refusals: true,
        freezes: true,
        proxy_restarts: true,
        cuts: true,
        ..Self::STALLS
    };

    /// A leader stalls or crashes around the store's absence.
    pub const STORE_AWAY: Self = Self {
        store_away: true,
        late_listings: true,
        crashes: true,
        cuts: true,
        proxy_restarts: true,
        deaf: true,
        ..Self::STALLS
    };

    /// A leader crashes after a replica has received nothing.
    pub const DEAF_CRASHES: Self = Self {
        deaf_crashes: true,
        stalls: false,
        cuts: true,
        freezes: true,
        proxy_restarts: true,
        late_orders: true,
        ..Self::STALLS
    };

    /// A leader stalls or crashes while members end and start again.
    pub const FLAPS: Self = Self {
        flaps: true,
        crashes: true,
        deaf: true,
        slow_feeds: true,
        ..Self::STALLS
    };

    /// A leader stalls, or one proxy alone reaches it, while members refuse connections.
    pub const FULL: Self = Self {
        full: true,
        lone_readers: true,
        cuts: true,
        refusals: true,
        ..Self::STALLS
    };

    /// A leader stalls or crashes while orders are executed twice.
    pub const REPEATED_ORDERS: Self = Self {
        repeated_orders: true,
        crashes: true,
        restarts: true,
        freezes: true,
        cuts: true,
        ..Self::STALLS
    };

    /// One proxy alone reaches a leader, which may stall.
    pub const LONE_READERS: Self = Self {
        lone_readers: true,
        cuts: true,
        freezes: true,
        proxy_restarts: true,
        ..Self::STALLS
    };

    /// A leader ends while the replicas that confirmed are away.
    pub const MISSING_CONFIRMERS: Self = Self {
        missing_confirmers: true,
        stalls: false,
        ..Self::STALLS
    };

    /// The same while paths are cut, proxies stand still, and orders and commands arrive late.
    pub const MISSING_CONFIRMERS_ROUGH: Self = Self {
        cuts: true,
        freezes: true,
        proxy_restarts: true,
        late_orders: true,
        late_commands: true,
        slow_feeds: true,
        ..Self::MISSING_CONFIRMERS
    };

    /// All kinds, with commands that arrive late and commits that wait for slots; no member joins.
    pub const ROUGH: Self = Self {
        store_away: true,
        late_listings: true,
        deaf_crashes: true,
        flaps: true,
        full: true,
        repeated_orders: true,
        lone_readers: true,
        pauses: true,
        late_commands: true,
        queued_commits: true,
        joins: false,
        ..Self::ALL
    };

    /// The same as far as members that run are listed as the platform promises.
    pub const ROUGH_LISTED: Self = Self {
        late_listings: false,
        drops: false,
        ..Self::ROUGH
    };

    /// A leader stalls while the store refuses a proxy, and paths are cut.
    pub const READER: Self = Self {
        refusals: true,
        cuts: true,
        deaf: true,
        slow_feeds: true,
        ..Self::STALLS
    };
}

/// The faults of a simulation, with their times.
#[derive(Clone, Debug)]
pub struct Plan {
    pub faults: Vec<(Micros, Fault)>,
    /// Time at which the simulation ends.
    pub end: Micros,
    /// Whether proxies that claim are frozen at times.
    pub freezes_claimants: bool,
    /// Whether promotions are fenced: a promotion ends the lead of the old leader, and an order with an outdated token is refused.
    pub fenced: bool,
    /// Whether a command that a cut holds up arrives after it although its proxy has closed the connection.
    pub late_commands: bool,
    /// Whether proxies pass on commands to members that the sender does not reach, and name the members that they know.
    pub relays: bool,
    /// Whether commits wait for a slot at the leader, and those that wait when it is demoted are executed after that.
    pub queued_commits: bool,
}

impl Plan {
    /// Draws the faults of a seed.
    pub fn new(seed: u64, mix: Mix) -> Self {
        let mut plan = Self {
            faults: Vec::new(),
            end: 14 * S,
            freezes_claimants: false,
            fenced: false,
            late_commands: mix.late_commands,
            relays: false,
            queued_commits: mix.queued_commits,
        };
        let mut draw = Draw { seed, kind: 0 };
        let mut scenes = draw.next();
        let first = scenes.random_range(2_500 * MS..4 * S);
        let second = first + scenes.random_range(2 * S..6 * S);
        let moments = match mix.twice && scenes.random_bool(0.6) {
            true => vec![first, second],
            false => vec![first],
        };
        // A proxy that mostly reaches the leader when others do not.
        let reader = scenes.random_range(0..PROXIES);
        let mostly = move |random: &mut StdRng| match random.random_bool(0.6) {
            true => reader,
            false => random.random_range(0..PROXIES),
        };
        for moment in &moments {
            plan.add_leader_fault(*moment, reader, mix, &mut scenes);
        }
        // Each kind has a generator, whether or not it is in the mix.
        plan.add(mix.refusals, &mut draw, &moments, 0.7, 2, |random| {
            Fault::Refuse {
                proxy: mostly(random),
                lasts: random.random_range(500 * MS..6 * S),
            }
        });
        plan.add(mix.lossy_store, &mut draw, &moments, 0.3, 1, |random| {
            Fault::LossyStore {
                lasts: random.random_range(S..4 * S),
            }
        });
        plan.add(mix.lossy_store, &mut draw, &moments, 0.3, 1, |random| {
            Fault::SlowStore {
                lasts: random.random_range(S..4 * S),
            }
        });
        plan.add(mix.late_orders, &mut draw, &moments, 0.4, 1, |random| {
            Fault::LateOrders {
                lasts: random.random_range(S..6 * S),
            }
        });
        plan.add(mix.freezes, &mut draw, &moments, 0.5, 2, |random| {
            Fault::Freeze {
                proxy: random.random_range(0..PROXIES),
                lasts: random.random_range(200 * MS..3 * S),
            }
        });
        plan.add(mix.joins, &mut draw, &moments, 0.5, 2, |random| {
            Fault::Join {
                listed_after: random.random_range(50 * MS..2_500 * MS),
            }
        });
        plan.add(mix.restarts, &mut draw, &moments, 0.4, 2, |random| {
            Fault::Restart {
                nth: random.random_range(0..3),
                away: random.random_range(50 * MS..1_500 * MS),
            }
        });
        plan.add(mix.drops, &mut draw, &moments, 0.4, 2, |random| {
            Fault::Drop {
                nth: random.random_range(0..3),
                lasts: random.random_range(200 * MS..4 * S),
            }
        });
        plan.add(mix.cuts, &mut draw, &moments, 0.6, 3, |random| {
            Fault::CutProxy {
                proxy: random.random_range(0..PROXIES),
                nth: random.random_range(0..4),
                way: random.random_range(0..3),
                lasts: random.random_range(100 * MS..4 * S),
            }
        });
        plan.add(mix.cuts, &mut draw, &moments, 0.5, 2, |random| {
            Fault::CutMembers {
                a: random.random_range(0..4),
                b: random.random_range(0..5),
                lasts: random.random_range(100 * MS..3 * S),
            }
        });
        plan.add(mix.proxy_restarts, &mut draw, &moments, 0.3, 2, |random| {
            Fault::RestartProxy {
                proxy: random.random_range(0..PROXIES),
                from_peer: random.random_bool(0.5),
            }
        });
        plan.add(mix.deaf, &mut draw, &moments, 0.3, 2, |random| {
            Fault::Deaf {
                nth: random.random_range(0..3),
                lasts: random.random_range(300 * MS..3 * S),
            }
        });
        plan.add(mix.slow_feeds, &mut draw, &moments, 0.4, 2, |random| {
            Fault::SlowFeed {
                proxy: mostly(random),
                lag: random.random_range(50 * MS..2 * S),
            }
        });
        plan.freezes_claimants = draw.next().random_bool(0.4) && mix.freezes;
        plan.add(mix.pauses, &mut draw, &moments, 0.5, 3, |random| {
            Fault::Pause {
                nth: random.random_range(0..4),
                lasts: random.random_range(100 * MS..4 * S),
            }
        });
        plan.add(mix.store_away, &mut draw, &moments, 0.7, 1, |random| {
            Fault::StoreAway {
                lasts: random.random_range(1_500 * MS..6 * S),
                relisted_within: match random.random_bool(0.5) && mix.late_listings {
                    true => 5 * S,
                    false => 2 * S,
                },
            }
        });
        plan.add_deaf_crashes(mix.deaf_crashes, &mut draw, &moments);
        plan.add(mix.flaps, &mut draw, &moments, 0.7, 2, |random| {
            Fault::Flap {
                nth: random.random_range(0..3),
                times: random.random_range(2..6),
                away: random.random_range(50 * MS..S),
            }
        });
        plan.add(mix.full, &mut draw, &moments, 0.7, 3, |random| {
            Fault::Full {
                nth: random.random_range(0..3),
                lasts: random.random_range(500 * MS..5 * S),
            }
        });
        plan.add(mix.repeated_orders, &mut draw, &moments, 0.7, 1, |random| {
            Fault::RepeatOrders {
                lasts: random.random_range(2 * S..6 * S),
            }
        });
        plan.add(mix.lone_readers, &mut draw, &moments, 0.7, 2, |random| {
            Fault::CutLeader {
                reached_by: random.random_range(0..PROXIES),
                nth: random.random_bool(0.5).then(|| random.random_range(0..2)),
                lasts: random.random_range(S..6 * S),
            }
        });
        plan.add_missing_confirmers(mix.missing_confirmers, &mut draw, moments[0]);
        plan
    }

    /// Draws the faults of a seed in which a member is promoted that one proxy does not know, and the replicas hear of it late. The
    /// store refuses that proxy if `refused`; otherwise it reads the claim row, but learns late of the members, and orders go
    /// unanswered.
    pub fn with_unknown_member(seed: u64, refused: bool) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let reader = random.random_range(0..PROXIES);
        let stall_at = random.random_range(3 * S..4 * S);
        let unaware_at = stall_at - random.random_range(300 * MS..1_500 * MS);
        let joins_at = unaware_at + random.random_range(10 * MS..200 * MS);
        let deaf_at = stall_at + 200 * MS;
        let stall = Fault::Stall {
            lasts: random.random_range(3 * S..6 * S),
            one_way: false,
            proxies: std::array::from_fn(|proxy| proxy != reader),
        };
        let unaware_for = random.random_range(4 * S..7 * S);
        let unaware = match refused {
            true => Fault::Refuse {
                proxy: reader,
                lasts: unaware_for,
            },
            false => Fault::SlowFeed {
                proxy: reader,
                lag: unaware_for,
            },
        };
        let join = Fault::Join {
            listed_after: random.random_range(10 * MS..300 * MS),
        };
        let lasts = random.random_range(1_500 * MS..4 * S);
        let deaf = (0..3).map(|nth| (deaf_at, Fault::Deaf { nth, lasts }));
        let late_orders = Fault::LateOrders { lasts: 6 * S };
        let faults = [(unaware_at, unaware), (joins_at, join), (stall_at, stall)];
        let orders = (!refused).then_some((stall_at, late_orders));
        Self {
            faults: faults.into_iter().chain(deaf).chain(orders).collect(),
            end: 10 * S,
            freezes_claimants: false,
            fenced: false,
            late_commands: false,
            relays: false,
            queued_commits: false,
        }
    }

    fn add_leader_fault(&mut self, at: Micros, reader: usize, mix: Mix, random: &mut StdRng) {
        let stall = Fault::Stall {
            lasts: random.random_range(1_500 * MS..6 * S),
            one_way: random.random_bool(0.2),
            proxies: std::array::from_fn(|proxy| {
                random.random_bool(if proxy == reader { 0.05 } else { 0.7 })
            }),
        };
        let crash = Fault::Crash {
            dark: random.random_bool(0.4),
            lasts: random.random_range(500 * MS..5 * S),
        };
        let leave = Fault::Leave {
            ends_after: random.random_range(2 * S..9 * S),
        };
        let kinds: Vec<Fault> = [
            (mix.stalls, stall),
            (mix.stalls, stall),
            (mix.stalls, stall),
            (mix.crashes, crash),
            (mix.leaves, leave),
        ]
        .into_iter()
        .filter(|(in_mix, _)| *in_mix)
        .map(|(_, fault)| fault)
        .collect();
        let pick = random.random_range(0..u32::MAX) as usize;
        if !kinds.is_empty() {
            self.faults.push((at, kinds[pick % kinds.len()]));
        }
    }

    /// Adds crashes of the leader, each after a time in which a replica received nothing.
    fn add_deaf_crashes(&mut self, in_mix: bool, draw: &mut Draw, moments: &[Micros]) {
        let mut random = draw.next();
        for moment in moments {
            let deaf_for = random.random_range(50 * MS..1_500 * MS);
            let deaf = Fault::Deaf {
                nth: random.random_range(0..3),
                lasts: deaf_for + random.random_range(0..2 * S),
            };
            let crash = Fault::Crash {
                dark: random.random_bool(0.4),
                lasts: random.random_range(500 * MS..5 * S),
            };
            if in_mix && random.random_bool(0.8) {
                self.faults.push((moment - deaf_for, deaf));
                self.faults.push((*moment, crash));
            }
        }
    }

    /// Adds an end of the leader after a time in which a replica received nothing. The replicas that confirmed are away or cut off, and
    /// have no entries, for longer than a proxy waits for them, and come back with their logs. A proxy has committed nothing before.
    fn add_missing_confirmers(&mut self, in_mix: bool, draw: &mut Draw, lost_at: Micros) {
        let mut random = draw.next();
        if !in_mix {
            return;
        }
        self.end = 18 * S;
        let members = match random.random_bool(0.3) {
            true => 4,
            false => 3,
        };
        if members > 3 {
            let listed_after = random.random_range(10 * MS..100 * MS);
            self.faults.push((200 * MS, Fault::Join { listed_after }));
        }
        let deaf = random.random_range(1..members);
        let deaf_for = random.random_range(1_300 * MS..1_800 * MS);
        self.faults.push((
            lost_at - deaf_for,
            Fault::Deaf {
                nth: deaf - 1,
                lasts: deaf_for + random.random_range(0..500 * MS),
            },
        ));
        let claimant = random.random_range(0..PROXIES);
        self.add_fresh_claimant(claimant, lost_at, &mut random);
        for member in (1..members).filter(|member| *member != deaf) {
            self.add_missing_confirmer(member, claimant, lost_at, &mut random);
        }
        let crash = Fault::Crash {
            dark: random.random_bool(0.6),
            lasts: random.random_range(9 * S..13 * S),
        };
        self.faults.push((lost_at, crash));
    }

    /// Lets a proxy, or each of them, start again, or a proxy serve no write.
    fn add_fresh_claimant(&mut self, claimant: usize, lost_at: Micros, random: &mut StdRng) {
        let idle = random.random_bool(0.4);
        let all = random.random_bool(0.3);
        for proxy in 0..PROXIES {
            let at = lost_at + random.random_range(0..1_500 * MS) - 300 * MS;
            let from_peer = random.random_bool(0.5);
            if !idle && (all || proxy == claimant) {
                self.faults
                    .push((at, Fault::RestartProxy { proxy, from_peer }));
            }
        }
        if idle {
            let (proxy, lasts) = (claimant, lost_at + 2 * S);
            self.faults.push((0, Fault::Idle { proxy, lasts }));
        }
    }

    /// Takes a replica and its entry away for a time.
    fn add_missing_confirmer(
        &mut self,
        member: usize,
        claimant: usize,
        lost_at: Micros,
        random: &mut StdRng,
    ) {
        let away_at = lost_at - random.random_range(0..400 * MS);
        let unlisted_at = lost_at - random.random_range(0..2 * S);
        let lasts = random.random_range(6 * S..10 * S);
        let store_away_for = random.random_range(500 * MS..2 * S);
        let (nth, away) = (member - 1, lasts);
        let cut = |proxy| Fault::CutProxy {
            proxy,
            nth: member,
            way: 2,
            lasts,
        };
        let kind = random.random_range(0..6);
        match kind {
            0 => self.faults.push((away_at, Fault::Restart { nth, away })),
            1 => self.faults.push((away_at, Fault::Dark { nth, away })),
            2 | 3 => self.faults.push((away_at, cut(claimant))),
            _ => {
                let cuts = (0..PROXIES).map(|proxy| (away_at, cut(proxy)));
                self.faults.extend(cuts);
            }
        }
        if kind % 2 == 1 {
            let store_away = Fault::StoreAway {
                lasts: store_away_for,
                relisted_within: 2 * S,
            };
            self.faults.push((unlisted_at, store_away));
        }
        if kind > 1 {
            let lasts = lost_at + lasts - unlisted_at;
            self.faults
                .push((unlisted_at, Fault::Drop { nth: member, lasts }));
        }
    }

    /// Adds up to `most` faults of a kind with a probability, near the moments of the leader's faults.
    fn add(
        &mut self,
        in_mix: bool,
        draw: &mut Draw,
        moments: &[Micros],
        probability: f64,
        most: u32,
        make: impl Fn(&mut StdRng) -> Fault,
    ) {
        let mut random = draw.next();
        if !random.random_bool(probability) {
            return;
        }
        for _ in 0..random.random_range(1..=most) {
            let moment = moments[random.random_range(0..moments.len())];
            let at = moment - 1_200 * MS + random.random_range(0..5 * S);
            let fault = make(&mut random);
            if in_mix {
                self.faults.push((at, fault));
            }
        }
    }
}

/// Gives each kind of fault a generator.
struct Draw {
    seed: u64,
    kind: u64,
}

impl Draw {
    fn next(&mut self) -> StdRng {
        self.kind += 1;
        StdRng::seed_from_u64(self.seed.wrapping_mul(1_000_003) + self.kind)
    }
}
