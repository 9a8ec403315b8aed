//! Messages between a reader and its listeners: a length of four bytes and a `postcard` value.

use std::io;
use std::time::{Duration, Instant};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use fulmarlift_broker::claim;
use fulmarlift_broker::effect;
use fulmarlift_broker::event;
use fulmarlift_broker::leader;
use fulmarlift_broker::quota::message;
use fulmarlift_broker::revision;
use fulmarlift_broker::topology;
use fulmarlift_broker::topology_change;
use fulmarlift_core::id;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::deployment;
use crate::deployment::Deployment;
use crate::peer::greeting;
use crate::shell;

/// Most bytes of a message; a configuration takes 26 bytes for each route.
const FRAME_BYTES_MAX: usize = 16 << 20;
/// Most bytes of the first message of a proxy that connects: a hello, or a question, which names a member at most.
const FIRST_FRAME_BYTES_MAX: usize = 64 << 10;

/// A message to a listener, or [`Message::Hello`] to a reader.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Message {
    /// All entries that the reader has, as its first message.
    Snapshot {
        /// Configuration; of version 0 if the reader has none, or none that is newer than the listener's.
        topology: topology::Topology,
        members: Vec<topology::Member>,
        /// Revision up to which the members are complete.
        revision: revision::Revision,
        peers: Vec<topology::Peer>,
    },
    /// A changed entry of a member or a proxy.
    Update(deployment::Update),
    /// Time since the store was last seen to answer the reader's polls of the configuration.
    Freshness {
        age_ms: u64,
        /// Revision up to which the configuration is complete with the messages before this one.
        configuration: Option<revision::Revision>,
        /// The reader's contact with the directory of members, which may differ; none if the directory does not answer it.
        directory: Option<DirectoryAges>,
    },
    /// A changed configuration.
    ConfigurationChanged(topology_change::TopologyChange),
    /// The listener's first and only message.
    Hello {
        /// Version of the configuration that the listener has.
        configuration_version: u64,
    },
    /// Question for the claim row of a group, the first and only message of a proxy that the store does not answer.
    ClaimQuestion {
        /// Name of the group.
        group: Box<str>,
    },
    /// Answer to it.
    ClaimAnswer {
        /// Row that the store returned meanwhile; `None` if the store did not answer.
        row: Option<EncodedClaimRow>,
    },
    /// Command for a member, the first and only message of a proxy that does not reach the member.
    CommandQuestion {
        /// Name of the proxy that asks.
        asker: Box<str>,
        /// Entry of the member, which the proxy that answers may not know.
        member: topology::Member,
        command: RelayedCommand,
    },
    /// Answer to it.
    CommandAnswer {
        /// Status in the member's answer to the command; `None` if there was none.
        status: Option<event::MemberStatus>,
    },
    /// Question for what a proxy knows of a group, the first and only message of a proxy that replaces the group's leader.
    GroupQuestion { group: id::GroupId },
    /// Answer to it.
    GroupAnswer(EncodedKnowledge),
    /// Question for tokens of workspaces. Several follow each other on a connection.
    QuotaQuestion(message::QuotaQuestion),
    /// Answer to it.
    QuotaAnswer(message::QuotaAnswer),
}

/// A command that may be sent to a member through another proxy. A release may not: sent late, it would end the hold of another
/// claimant. The others change nothing when they are sent twice.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) enum RelayedCommand {
    Status,
    Hold(id::Term),
    Demote(id::Term),
}

impl RelayedCommand {
    pub(crate) fn new(command: effect::MemberCommand) -> Option<Self> {
        match command {
            effect::MemberCommand::Status => Some(Self::Status),
            effect::MemberCommand::Hold(term) => Some(Self::Hold(term)),
            effect::MemberCommand::Release { .. } => None,
            effect::MemberCommand::Demote(term) => Some(Self::Demote(term)),
        }
    }

    pub(crate) fn command(self) -> effect::MemberCommand {
        match self {
            Self::Status => effect::MemberCommand::Status,
            Self::Hold(term) => effect::MemberCommand::Hold(term),
            Self::Demote(term) => effect::MemberCommand::Demote(term),
        }
    }
}

/// A proxy's contact with the directory, see [`event::DirectoryContact`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct DirectoryAges {
    /// Time since the newest answer, rounded up.
    pub(super) answered_ms: u64,
    /// Time for which every read has succeeded, rounded down.
    pub(super) reached_ms: u64,
}

impl DirectoryAges {
    pub(super) fn of(contact: event::DirectoryContact, now: Instant) -> Self {
        let age_ms = |at| {
            let age = now.saturating_duration_since(at).as_millis();
            u64::try_from(age).unwrap_or(u64::MAX / 2)
        };
        Self {
            answered_ms: age_ms(contact.answered_at) + 1,
            reached_ms: age_ms(contact.reached_since),
        }
    }

    /// Returns the contact of a proxy that has told its ages just now; `None` if it is older than this machine's clock.
    pub(super) fn contact(self, now: Instant) -> Option<event::DirectoryContact> {
        let instant = |age_ms| now.checked_sub(Duration::from_millis(age_ms));
        Some(event::DirectoryContact {
            answered_at: instant(self.answered_ms)?,
            reached_since: instant(self.reached_ms)?,
        })
    }
}

/// What a proxy knows of a group, see [`event::GroupKnowledge`].
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct EncodedKnowledge {
    running: Vec<topology::Member>,
    /// Missing members, each with the time in milliseconds for which it is still awaited, and whether it is silent.
    missing: Vec<(topology::Member, u64, bool)>,
    points: leader::KnownPoints,
    /// Time in milliseconds for which the proxy has had a configuration.
    known_for_ms: Option<u64>,
}

impl EncodedKnowledge {
    pub(super) fn of(knowledge: event::GroupKnowledge, now: Instant) -> Self {
        let missing = knowledge.missing.into_iter().map(|missing| {
            let awaited = missing.awaited_until.saturating_duration_since(now);
            let awaited_ms = u64::try_from(awaited.as_millis()).unwrap_or(u64::MAX / 2);
            (missing.entry, awaited_ms, missing.is_silent)
        });
        let known_for_ms = knowledge.known_since.map(|since| {
            let known_for = now.saturating_duration_since(since);
            u64::try_from(known_for.as_millis()).unwrap_or(u64::MAX / 2)
        });
        Self {
            known_for_ms,
            missing: missing.collect(),
            running: knowledge.running,
            points: knowledge.points,
        }
    }

    pub(super) fn decode(self, now: Instant) -> event::GroupKnowledge {
        let missing = self.missing.into_iter();
        let missing = missing.filter_map(|(entry, awaited_ms, is_silent)| {
            let awaited_until = now.checked_add(Duration::from_millis(awaited_ms))?;
            Some(event::MissingMember {
                entry,
                awaited_until,
                is_silent,
            })
        });
        let known_for = self.known_for_ms.map(Duration::from_millis);
        event::GroupKnowledge {
            known_since: known_for.and_then(|known_for| now.checked_sub(known_for)),
            missing: missing.collect(),
            running: self.running,
            points: self.points,
        }
    }
}

/// A claim row as the store returned it.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct EncodedClaimRow {
    claim: Vec<u8>,
    revision: revision::Revision,
    now_ms: u64,
}

impl EncodedClaimRow {
    pub(crate) fn new(row: &claim::ClaimRow) -> Self {
        Self {
            claim: row.claim.to_bytes(),
            revision: row.revision,
            now_ms: row.now_ms,
        }
    }

    pub(crate) fn decode(self) -> io::Result<claim::ClaimRow> {
        let claim = claim::Claim::from_bytes(&self.claim).map_err(io::Error::other)?;
        Ok(claim::ClaimRow {
            claim,
            revision: self.revision,
            now_ms: self.now_ms,
        })
    }
}

impl Message {
    /// Encodes the message with its length.
    pub(crate) fn encode(&self) -> Bytes {
        let mut frame = BytesMut::new();
        frame.put_u32(0);
        let mut frame =
            postcard::to_extend(self, frame).expect("messages of plain values always encode");
        let length = u32::try_from(frame.len() - 4).unwrap_or(u32::MAX);
        frame[..4].copy_from_slice(&length.to_be_bytes());
        frame.freeze()
    }
}

/// Returns the greeting of a proxy that is asked, followed by an encoded message: both are sent at once, since the message is not
/// decoded unless the greeting is accepted.
pub(crate) fn greet<D: Deployment>(
    shell: &shell::Shell<D>,
    peer: &topology::Peer,
    message: &[u8],
) -> Bytes {
    let mut opening = BytesMut::new();
    let service = greeting::Service::Updates;
    greeting::Greeting::new(service, &peer.vm_name, shell.vm_name()).encode(&mut opening);
    opening.put_slice(message);
    opening.freeze()
}

/// Receives the answer to the greeting of a proxy that is asked. Logs a refusal.
pub(crate) async fn receive_greeting<D: Deployment>(
    shell: &shell::Shell<D>,
    peer: &topology::Peer,
    stream: &mut TcpStream,
    inbox: &mut BytesMut,
) -> io::Result<()> {
    let greeted = greeting::receive_answer(stream, inbox, &peer.vm_name).await;
    greeted.map_err(|error| match error {
        greeting::GreetingError::Broken(error) => error,
        greeting::GreetingError::Refused(refusal) => {
            shell.record_refused_peer(peer.updates_address, &peer.vm_name, &refusal);
            io::Error::other(refusal)
        }
    })
}

/// Sends an encoded message.
pub(crate) async fn send(stream: &mut TcpStream, frame: &[u8]) -> io::Result<()> {
    stream.write_all(frame).await?;
    metrics::counter!("fulmarlift_updates_sent_bytes_total").increment(frame.len() as u64);
    Ok(())
}

/// Sends an encoded message after the answer to the greeting of the proxy that gets it, with one call and so in one packet.
pub(crate) async fn send_first(
    stream: &mut TcpStream,
    accepted: BytesMut,
    frame: &[u8],
) -> io::Result<()> {
    let sent_bytes = accepted.len() + frame.len();
    stream.write_all_buf(&mut accepted.chain(frame)).await?;
    metrics::counter!("fulmarlift_updates_sent_bytes_total").increment(sent_bytes as u64);
    Ok(())
}

/// Receives the next message. Cancel-safe: a partial message stays in `inbox` when the future is dropped.
pub(crate) async fn receive(stream: &mut TcpStream, inbox: &mut BytesMut) -> io::Result<Message> {
    receive_up_to(FRAME_BYTES_MAX, stream, inbox).await
}

/// Receives the first message of a proxy that has connected.
pub(super) async fn receive_first(
    stream: &mut TcpStream,
    inbox: &mut BytesMut,
) -> io::Result<Message> {
    receive_up_to(FIRST_FRAME_BYTES_MAX, stream, inbox).await
}

async fn receive_up_to(
    frame_bytes_max: usize,
    stream: &mut TcpStream,
    inbox: &mut BytesMut,
) -> io::Result<Message> {
    loop {
        if let Some(message) = take_up_to(frame_bytes_max, inbox)? {
            return Ok(message);
        }
        fill(stream, inbox).await?;
    }
}

/// Takes the next message from `inbox`; none if it is still incomplete.
pub(super) fn take(inbox: &mut BytesMut) -> io::Result<Option<Message>> {
    take_up_to(FRAME_BYTES_MAX, inbox)
}

fn take_up_to(frame_bytes_max: usize, inbox: &mut BytesMut) -> io::Result<Option<Message>> {
    let Some(length) = inbox.first_chunk::<4>() else {
        return Ok(None);
    };
    let length = usize::try_from(u32::from_be_bytes(*length)).unwrap_or(usize::MAX);
    if length > frame_bytes_max {
        return Err(io::Error::from(io::ErrorKind::InvalidData));
    }
    if inbox.len() < 4 + length {
        return Ok(None);
    }
    inbox.advance(4);
    let frame = inbox.split_to(length);
    postcard::from_bytes(&frame)
        .map(Some)
        .map_err(io::Error::other)
}

/// Waits for the next bytes of the connection, and appends them to `inbox`.
pub(super) async fn fill(stream: &mut TcpStream, inbox: &mut BytesMut) -> io::Result<()> {
    let received_bytes = stream.read_buf(inbox).await?;
    if received_bytes == 0 {
        return Err(io::Error::from(io::ErrorKind::UnexpectedEof));
    }
    metrics::counter!("fulmarlift_updates_received_bytes_total").increment(received_bytes as u64);
    Ok(())
}

#[cfg(test)]
#[path = "../../tests/layout/updates.rs"]
mod layout;
