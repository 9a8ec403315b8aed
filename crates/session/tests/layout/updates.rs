//! The stored encodings of updates and questions, which are no part of the crate's interface.

#[path = "stored.rs"]
mod stored;

use std::time::{Duration, Instant};

use fulmarlift_broker::leader::{KnownPoints, TermStart};
use fulmarlift_broker::quota::message;
use fulmarlift_broker::revision::Revision;
use fulmarlift_broker::topology::{Consistency, Group, Member, Peer, Route, Topology};
use fulmarlift_broker::topology_change::TopologyChange;
use fulmarlift_broker::workspace::{KeyDigest, RateLimit, Registry, Workspace};
use fulmarlift_broker::{claim, event};
use fulmarlift_core::floor::Point;
use fulmarlift_core::topology::Place;

use crate::deployment::Update;
use crate::peer::greeting;
use crate::updates::frame::{
    DirectoryAges, EncodedClaimRow, EncodedKnowledge, Message, RelayedCommand,
};

const REVISION: Revision = Revision { era: 2, version: 9 };

fn topology(version: u64, database: &str, consistency: Consistency) -> Topology {
    let route = Route {
        database: database.into(),
        group: 7,
        consistency,
        statement_timeout_ms: 1_000,
        objective_ms: 400,
        priority: 2,
        allows_anonymous: false,
    };
    let group = Group {
        name: database.into(),
        connections_max: 8,
        sync_replicas: 1,
    };
    Topology::new(version, vec![route], vec![(version, group)])
}

fn place() -> Place {
    Place {
        region: "north".into(),
        domain: "a".into(),
    }
}

fn member() -> Member {
    Member {
        id: 11,
        name: "member-1".into(),
        group: 7,
        address: ([10, 0, 0, 1], 80).into(),
        place: place(),
        slots: 2,
        leaving: false,
        listed_as_leader: true,
        cold_remaining_ms: 0,
        revision: REVISION,
    }
}

fn peer() -> Peer {
    Peer {
        vm_name: "proxy-2".into(),
        address: ([10, 0, 0, 2], 81).into(),
        updates_address: ([10, 0, 0, 2], 82).into(),
        place: place(),
    }
}

fn status() -> event::MemberStatus {
    event::MemberStatus {
        leads: true,
        term: 3,
        received: Point::new(3, 1_207),
        held_term: 4,
    }
}

fn knowledge() -> EncodedKnowledge {
    let now = Instant::now();
    let knowledge = event::GroupKnowledge {
        running: vec![member()],
        missing: vec![event::MissingMember {
            entry: member(),
            awaited_until: now + Duration::from_secs(5),
            is_silent: true,
        }],
        points: KnownPoints {
            acknowledged: Some(Point::new(3, 1)),
            answered_end: Some(Point::new(3, 2)),
            term_start: Some(TermStart {
                term: 3,
                log_end: Point::new(2, 9),
            }),
        },
        known_since: None,
    };
    EncodedKnowledge::of(knowledge, now)
}

#[test]
fn updates_are_encoded_as_stored() {
    let bounded = Consistency::Bounded {
        max_staleness_ms: 300,
    };
    let own_writes = Consistency::OwnWrites {
        max_staleness_ms: 300,
    };
    let first = topology(1, "ledger", Consistency::Leader);
    let change = TopologyChange::between(&first, &topology(2, "stock", bounded));
    let question = |command| Message::CommandQuestion {
        asker: "proxy-1-0".into(),
        member: member(),
        command,
    };
    let claim_row = claim::ClaimRow {
        revision: REVISION,
        now_ms: 5,
        ..claim::ClaimRow::default()
    };
    let unlisted = Update::Unlisted {
        name: "member-1".into(),
        revision: REVISION,
    };
    let mut with_workspace = topology(4, "mail", own_writes);
    with_workspace.workspaces = Some(Registry::from(vec![Workspace {
        name: "mill".into(),
        limit: Some(RateLimit::new(10.5, 5.0)),
        keys: vec![KeyDigest::of(b"k1")],
    }]));
    let mut without_workspaces = topology(5, "mail", own_writes);
    without_workspaces.workspaces = Some(Registry::default());
    let removal = TopologyChange::between(&with_workspace, &without_workspaces);
    let quota_question = message::QuotaQuestion {
        asker: 3,
        question: 9,
        shard: 1,
        term: 2,
        demands: vec![message::Demand {
            workspace: 5,
            wanted: 4,
            returned: vec![message::Returned {
                question: 8,
                tokens: 1,
            }],
        }],
    };
    let granted = message::QuotaAnswer::Granted {
        term: 2,
        grants: vec![message::Grant {
            workspace: 5,
            tokens: 3,
            wait_ms: 40,
        }],
    };
    let redirect = message::QuotaAnswer::NotCoordinator { holder: Some(6) };
    let messages = [
        (
            "snapshot",
            Message::Snapshot {
                topology: first,
                members: vec![member()],
                revision: REVISION,
                peers: vec![peer()],
            },
        ),
        (
            "configured",
            Message::Update(Update::Configured(topology(3, "mail", own_writes))),
        ),
        ("listed", Message::Update(Update::Listed(member()))),
        ("unlisted", Message::Update(unlisted)),
        ("peer listed", Message::Update(Update::PeerListed(peer()))),
        (
            "peer unlisted",
            Message::Update(Update::PeerUnlisted("proxy-2".into())),
        ),
        (
            "freshness",
            Message::Freshness {
                age_ms: 5,
                configuration: Some(REVISION),
                directory: Some(DirectoryAges {
                    answered_ms: 6,
                    reached_ms: 700,
                }),
            },
        ),
        ("change", Message::ConfigurationChanged(change)),
        (
            "hello",
            Message::Hello {
                configuration_version: 300,
            },
        ),
        (
            "claim question",
            Message::ClaimQuestion {
                group: "ledger".into(),
            },
        ),
        (
            "claim answer",
            Message::ClaimAnswer {
                row: Some(EncodedClaimRow::new(&claim_row)),
            },
        ),
        ("ask status", question(RelayedCommand::Status)),
        ("ask hold", question(RelayedCommand::Hold(4))),
        ("ask demote", question(RelayedCommand::Demote(4))),
        (
            "command answer",
            Message::CommandAnswer {
                status: Some(status()),
            },
        ),
        ("group question", Message::GroupQuestion { group: 7 }),
        ("group answer", Message::GroupAnswer(knowledge())),
        (
            "workspaces",
            Message::Update(Update::Configured(with_workspace)),
        ),
        (
            "change of workspaces",
            Message::ConfigurationChanged(removal),
        ),
        ("quota question", Message::QuotaQuestion(quota_question)),
        ("quota answer", Message::QuotaAnswer(granted)),
        ("quota redirect", Message::QuotaAnswer(redirect)),
    ];
    let encodings = messages.map(|(name, message)| (name, message.encode().to_vec()));
    stored::compare("updates", &encodings);
}
