//! Configuration documents for the tests.

use std::net::SocketAddr;

use fulmarlift_config::model;

/// Maximum number of connections to each member.
const CONNECTIONS: u32 = 16;

/// Returns a configuration with one service, one group and a caller without a password.
pub fn with_members(members: &[SocketAddr]) -> model::Document {
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

/// Returns the document with this limit of queued requests, which tells versions of a configuration apart.
pub fn with_queue_limit(mut document: model::Document, queue_requests: u32) -> model::Document {
    document.services[0].limits.queue_requests = queue_requests;
    document
}
