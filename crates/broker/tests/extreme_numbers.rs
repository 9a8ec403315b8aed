//! Members and rows of the store that tell extreme terms, positions and times: no number ends the process.

mod support;

use std::time::Duration;

use fulmarlift_broker::claim::{Claim, ClaimRow, LastOrdered};
use fulmarlift_broker::effect::Effect;
use fulmarlift_broker::event::{
    Answer, Event, MemberStatus, OrderOutcome, StatementReport, StatusAnswer, StoreOutcome,
};
use fulmarlift_broker::request::Requirement;
use fulmarlift_broker::revision::Revision;
use fulmarlift_core::floor::Point;
use fulmarlift_core::id;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use support::{Fixture, GROUP};

const EXTREMES: [u64; 8] = [
    0,
    1,
    2,
    1 << 32,
    1 << 53,
    u64::MAX / 2,
    u64::MAX - 1,
    u64::MAX,
];

/// Answers the broker's effects, and reports statements, with numbers drawn from [`EXTREMES`].
struct World {
    fixture: Fixture,
    rng: StdRng,
}

impl World {
    fn number(&mut self) -> u64 {
        EXTREMES[self.rng.random_range(0..EXTREMES.len())]
    }

    fn point(&mut self) -> Point {
        Point::new(self.number(), self.number())
    }

    fn status(&mut self) -> MemberStatus {
        MemberStatus {
            leads: self.rng.random(),
            term: self.number(),
            received: self.point(),
            held_term: self.number(),
        }
    }

    fn member(&mut self) -> id::MemberId {
        self.rng.random_range(1..=3)
    }

    fn row(&mut self) -> ClaimRow {
        let last_ordered = match self.rng.random_range(0..3) {
            0 => LastOrdered::Nobody,
            1 => LastOrdered::Unknown,
            _ => LastOrdered::Member {
                name: format!("member-{}", self.member()).into(),
                replaced_term: self.number(),
            },
        };
        let target = self.rng.random::<bool>().then(|| "member-2".into());
        let claim = Claim {
            holder: "proxy-9-0".into(),
            token: self.number(),
            settled: target.is_none() || self.rng.random(),
            target,
            until_ms: self.number(),
            order_ends_ms: self.number(),
            era: 0,
            last_ordered,
            led_term: self.number(),
            choice: None,
        };
        ClaimRow {
            claim,
            revision: Revision {
                era: 0,
                version: self.number(),
            },
            now_ms: self.number(),
        }
    }

    fn report(&mut self) -> StatementReport {
        let sent_at = self.fixture.now;
        let commit = self.rng.random();
        let answer = match self.rng.random_range(0..5) {
            0 => Answer::Served,
            1 => Answer::NotLeading,
            2 => Answer::Behind,
            3 => Answer::Silent { commit },
            _ => Answer::Led { sent_at, commit },
        };
        StatementReport {
            member: self.member(),
            answer,
            point: Some(self.point()),
            floor: self.rng.random::<bool>().then(|| self.point()),
            connected_at: Some(sent_at),
            took: Some(Duration::from_millis(10)),
        }
    }

    fn play(&mut self, effect: Effect) {
        let (group, asked_at) = (GROUP, self.fixture.now);
        let event = match effect {
            Effect::LoadClaim(_) => Event::ClaimLoaded {
                group,
                asked_at,
                stored: Some(self.row()),
            },
            Effect::LoadChoice(_) => Event::ChoiceLoaded {
                group,
                asked_at,
                row: self.row(),
            },
            Effect::StoreClaim { .. } => Event::ClaimStored {
                group,
                outcome: StoreOutcome::Written(Revision {
                    era: 0,
                    version: self.number(),
                }),
            },
            Effect::Open { conn, .. } => Event::Opened(conn),
            Effect::ReadDirectory(_) => Event::DirectoryLoaded {
                group,
                is_read: true,
            },
            Effect::SendCommand { member, conn, .. } => {
                if let Some(conn) = conn {
                    self.fixture.handle(Event::Returned {
                        conn,
                        reusable: true,
                    });
                }
                Event::StatusAnswered {
                    group,
                    member,
                    asked_at,
                    status: Some(self.status()),
                }
            }
            Effect::OrderPromotion { .. } => Event::PromotionOrdered {
                group,
                outcome: OrderOutcome::Accepted,
            },
            _ => return,
        };
        self.fixture.handle(event);
    }

    fn disturb(&mut self) {
        let (group, asked_at) = (GROUP, self.fixture.now);
        let member = self.member();
        let event = match self.rng.random_range(0..8) {
            0 => Event::ClaimRelayed {
                group,
                asked_at,
                row: self.row(),
            },
            1 => Event::LeaseAnswered {
                group,
                member,
                asked_at,
                status: Some(self.status()),
            },
            2 => Event::ReceiptAnswered {
                group,
                member,
                asked_at,
                connected_at: asked_at,
                status: Some(self.status()),
            },
            3 => Event::ComparisonAnswered {
                group,
                member,
                asked_at,
                answer: StatusAnswer::Status(self.status()),
            },
            4 => Event::ProbeEnded(self.report()),
            5 => Event::StoreEra {
                era: self.number(),
                known_for: Duration::from_millis(self.number()),
            },
            6 => {
                self.fixture.add_request(Requirement::Leader);
                return;
            }
            _ => Event::StatementEnded(self.report()),
        };
        self.fixture.handle(event);
    }
}

#[rstest]
#[case::fenced(Fixture::new)]
#[case::unfenced(Fixture::unfenced)]
fn broker_survives_extreme_numbers(#[case] fixture: fn() -> Fixture) {
    for seed in 0..400 {
        let mut world = World {
            fixture: fixture(),
            rng: StdRng::seed_from_u64(seed),
        };
        for _ in 0..60 {
            world.disturb();
            for effect in world.fixture.take_effects() {
                world.play(effect);
            }
            world.fixture.advance(100);
        }
    }
}
