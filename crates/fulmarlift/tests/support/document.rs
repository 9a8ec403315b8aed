//! Configurations of the tests.

use std::net::SocketAddr;

use fulmarlift_config::model;

/// Connections that a member has.
const CONNECTIONS: u32 = 16;

/// Returns a configuration with one service, one group and a caller without a password.
pub fn of(members: &[SocketAddr]) -> model::Document {
    let members = members.iter().enumerate();
    let members = members.map(|(index, address)| model::Member {
        name: format!("m{index}").into(),
        address: address.to_string().into(),
        domain: "rvk-a".into(),
        connections: CONNECTIONS,
        connect_ms: 12,
    });
    model::Document {
        regions: vec![model::Region {
            name: "rvk".into(),
            domains: vec!["rvk-a".into()],
        }],
        groups: vec![model::Group {
            name: "ledger".into(),
            slots: 2,
            members: members.collect(),
        }],
        callers: vec![model::Caller {
            name: "courier".into(),
            verifier: "trust".into(),
        }],
        services: vec![model::Service {
            name: "ledger".into(),
            group: "ledger".into(),
            callers: vec!["courier".into()],
            read_classes: Vec::new(),
            limits: model::Limits::default(),
        }],
        ..model::Document::default()
    }
}

/// Returns the configuration with another limit of queued requests, as the mark of a version.
pub fn marked(mut document: model::Document, mark: u32) -> model::Document {
    document.services[0].limits.queue_requests = mark;
    document
}
