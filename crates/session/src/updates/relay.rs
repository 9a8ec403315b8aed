//! Reads of claim rows through other proxies, for a proxy that the store does not answer, and commands to members through other
//! proxies, for one that does not reach a member. Questions to others for the members of a group.

use std::cmp::Reverse;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use fulmarlift_broker::claim;
use fulmarlift_broker::effect;
use fulmarlift_broker::event;
use fulmarlift_broker::topology;
use fulmarlift_core::id;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::net::TcpStream;

use crate::clock;
use crate::deployment::Deployment;
use crate::link;
use crate::shell;
use crate::updates::frame;

/// Time for one proxy to answer: two round trips between regions, and a read of the store.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(120);
/// Most proxies that are asked, one after the other, within the duration of a lease.
const PROXIES_MAX: usize = 3;
/// Time for proxies that are asked at once to send a command to a member: two round trips between regions, a connection to the
/// member that is opened meanwhile, and the member's answer.
const COMMAND_ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Reads the claim row of a group through another proxy. Asks the one that answered last first, and then those of other failure
/// domains, since the store often refuses a domain as a whole. Returns nothing if none of them can read it.
pub(crate) async fn load_claim<D: Deployment>(
    shell: &Rc<shell::Shell<D>>,
    group: &str,
) -> Option<claim::ClaimRow> {
    for peer in choose_peers(shell, group) {
        let asking = ask(shell, &peer, group);
        let answered = tokio::time::timeout(ANSWER_TIMEOUT, asking).await;
        match answered.unwrap_or_else(|_| Err(io::Error::from(io::ErrorKind::TimedOut))) {
            Ok(Some(row)) => {
                shell.set_claim_relay(Some(peer.vm_name));
                return Some(row);
            }
            Ok(None) => {}
            Err(error) => log::debug!(
                "event=claim_relay_failed proxy={} error=\"{error}\"",
                peer.vm_name
            ),
        }
    }
    shell.set_claim_relay(None);
    None
}

fn choose_peers<D: Deployment>(shell: &Rc<shell::Shell<D>>, group: &str) -> Vec<topology::Peer> {
    let last_relay = shell.claim_relay();
    let domain = shell.with_broker(|broker| broker.place().domain.clone());
    let mut peers = shell.with_broker(fulmarlift_broker::Broker::listed_peers);
    peers.sort_by_cached_key(|peer| {
        let answered_last = last_relay.as_ref() == Some(&peer.vm_name);
        let is_remote = peer.place.domain != domain;
        let weight = id::rendezvous_weight(id::of(&peer.vm_name), id::of(group));
        Reverse((answered_last, is_remote, weight))
    });
    peers.truncate(PROXIES_MAX);
    peers
}

async fn ask<D: Deployment>(
    shell: &shell::Shell<D>,
    peer: &topology::Peer,
    group: &str,
) -> io::Result<Option<claim::ClaimRow>> {
    let question = frame::Message::ClaimQuestion {
        group: group.into(),
    };
    match ask_peer(shell, peer, &question.encode()).await? {
        frame::Message::ClaimAnswer { row } => row.map(frame::EncodedClaimRow::decode).transpose(),
        _ => Err(io::Error::from(io::ErrorKind::InvalidData)),
    }
}

/// Answers the question of another proxy for a claim row, and before it the greeting, as the other answers do.
pub(super) async fn answer<D: Deployment>(
    shell: &Rc<shell::Shell<D>>,
    mut stream: TcpStream,
    accepted: BytesMut,
    group: &str,
) -> io::Result<()> {
    let row = shell.read_claim(group).await;
    let row = row.as_ref().map(frame::EncodedClaimRow::new);
    let answer = frame::Message::ClaimAnswer { row };
    frame::send_first(&mut stream, accepted, &answer.encode()).await
}

/// A member's answer to a command that went through another proxy.
pub(crate) struct RelayedStatus {
    pub(crate) status: event::MemberStatus,
    /// Name of the VM of the proxy that sent the command.
    pub(crate) vm_name: Box<str>,
}

/// Sends a command to a member through several other proxies at once. Returns the first status that one of them passes on; none if
/// none does in time, and for a release, which is never sent so.
pub(crate) async fn send_command<D: Deployment>(
    shell: &Rc<shell::Shell<D>>,
    member: &topology::Member,
    command: effect::MemberCommand,
) -> Option<RelayedStatus> {
    let deadline = clock::now() + COMMAND_ANSWER_TIMEOUT;
    let question = frame::Message::CommandQuestion {
        asker: shell.name().into(),
        member: member.clone(),
        command: frame::RelayedCommand::new(command)?,
    };
    let question = question.encode();
    let peers = choose_peers_near_members(shell, member.group);
    let mut asking: FuturesUnordered<_> = peers
        .iter()
        .map(|peer| {
            let question = &question;
            async move { (peer, ask_for_command(shell, peer, question).await) }
        })
        .collect();
    let answering = async {
        while let Some((peer, answered)) = asking.next().await {
            match answered {
                Ok(Some(status)) => {
                    let vm_name = peer.vm_name.clone();
                    return Some(RelayedStatus { status, vm_name });
                }
                Ok(None) => {}
                Err(error) => log::debug!(
                    "event=command_relay_failed proxy={} error=\"{error}\"",
                    peer.vm_name
                ),
            }
        }
        None
    };
    let answered = tokio::time::timeout_at(clock::tokio_deadline(deadline), answering).await;
    let relayed = answered.unwrap_or(None);
    shell.record_command_relay(relayed.as_ref().map(|relayed| &*relayed.vm_name));
    relayed
}

/// Returns the proxies that are asked about the members of a group: the one that passed on the last answer to a command, then homes of
/// the group, which keep connections to its members, and then proxies of other failure domains. After a command that nobody has
/// answered, others are asked, and no homes first.
fn choose_peers_near_members<D: Deployment>(
    shell: &Rc<shell::Shell<D>>,
    group: id::GroupId,
) -> Vec<topology::Peer> {
    let (last_relay, failed_asks) = shell.command_relay();
    let (domain, mut peers, homes) = shell.with_broker(|broker| {
        let homes = broker.home_peers(clock::now(), group);
        let homes: Vec<Box<str>> = homes.into_iter().map(|home| home.vm_name).collect();
        (broker.place().domain.clone(), broker.listed_peers(), homes)
    });
    let prefers_homes = failed_asks % 2 == 0;
    peers.sort_by_cached_key(|peer| {
        let answered_last = last_relay.as_ref() == Some(&peer.vm_name);
        let is_home = prefers_homes && homes.contains(&peer.vm_name);
        let is_remote = peer.place.domain != domain;
        let seed = group ^ failed_asks;
        let weight = id::rendezvous_weight(id::of(&peer.vm_name), seed);
        Reverse((answered_last, is_home, is_remote, weight))
    });
    peers.truncate(PROXIES_MAX);
    peers
}

async fn ask_for_command<D: Deployment>(
    shell: &shell::Shell<D>,
    peer: &topology::Peer,
    question: &[u8],
) -> io::Result<Option<event::MemberStatus>> {
    match ask_peer(shell, peer, question).await? {
        frame::Message::CommandAnswer { status } => Ok(status),
        _ => Err(io::Error::from(io::ErrorKind::InvalidData)),
    }
}

/// Sends an encoded question to another proxy, and returns its answer.
async fn ask_peer<D: Deployment>(
    shell: &shell::Shell<D>,
    peer: &topology::Peer,
    question: &[u8],
) -> io::Result<frame::Message> {
    let mut stream = TcpStream::connect(peer.updates_address).await?;
    link::set_liveness_timeouts(&stream)?;
    frame::send(&mut stream, &frame::greet(shell, peer, question)).await?;
    let mut inbox = BytesMut::new();
    frame::receive_greeting(shell, peer, &mut stream, &mut inbox).await?;
    frame::receive(&mut stream, &mut inbox).await
}

/// Sends a command of another proxy to a member, and passes the member's status on.
pub(super) async fn answer_command<D: Deployment>(
    shell: &Rc<shell::Shell<D>>,
    mut stream: TcpStream,
    accepted: BytesMut,
    asker: &str,
    member: &topology::Member,
    command: effect::MemberCommand,
) -> io::Result<()> {
    let status = shell
        .carry_out_relayed(&mut stream, asker, member, command)
        .await;
    let answer = frame::Message::CommandAnswer { status };
    frame::send_first(&mut stream, accepted, &answer.encode()).await
}

/// Asks other proxies at once what they know of a group, and passes each answer to the broker. Ends once all have answered or failed.
pub(crate) async fn ask_for_knowledge<D: Deployment>(
    shell: &Rc<shell::Shell<D>>,
    group: id::GroupId,
) {
    let asked_at = clock::now();
    let question = frame::Message::GroupQuestion { group }.encode();
    let peers = shell.with_broker(|broker| broker.witnesses(group));
    let mut asking: FuturesUnordered<_> = peers
        .iter()
        .map(|peer| {
            let question = &question;
            async move { (peer, ask_for_group(shell, peer, question).await) }
        })
        .collect();
    while let Some((peer, answered)) = asking.next().await {
        match answered {
            Ok(knowledge) => {
                log_knowledge(shell, group, peer, &knowledge);
                shell.handle(event::Event::ProxyTold {
                    group,
                    proxy: id::of(&peer.vm_name),
                    asked_at,
                    knowledge,
                });
            }
            Err(error) => log::debug!(
                "event=knowledge_unread proxy={} error=\"{error}\"",
                peer.vm_name
            ),
        }
    }
}

/// Logs the members that another proxy has named and that this one does not know.
fn log_knowledge<D: Deployment>(
    shell: &Rc<shell::Shell<D>>,
    group: id::GroupId,
    peer: &topology::Peer,
    knowledge: &event::GroupKnowledge,
) {
    let is_unknown = |member: &&topology::Member| {
        member.group == group && shell.with_broker(|broker| broker.member(member.id).is_none())
    };
    for member in knowledge.running.iter().filter(is_unknown) {
        log::info!(
            "event=member_known member={} address={} revision={} proxy={}",
            member.name,
            member.address,
            member.revision,
            peer.vm_name
        );
    }
}

async fn ask_for_group<D: Deployment>(
    shell: &shell::Shell<D>,
    peer: &topology::Peer,
    question: &[u8],
) -> io::Result<event::GroupKnowledge> {
    match ask_peer(shell, peer, question).await? {
        frame::Message::GroupAnswer(knowledge) => Ok(knowledge.decode(clock::now())),
        _ => Err(io::Error::from(io::ErrorKind::InvalidData)),
    }
}

/// Answers the question of another proxy for what this one knows of a group.
pub(super) async fn answer_group<D: Deployment>(
    shell: &Rc<shell::Shell<D>>,
    mut stream: TcpStream,
    accepted: BytesMut,
    group: id::GroupId,
) -> io::Result<()> {
    let now = clock::now();
    let knowledge = shell.with_broker(|broker| broker.knowledge(now, group));
    let answer = frame::Message::GroupAnswer(frame::EncodedKnowledge::of(knowledge, now));
    frame::send_first(&mut stream, accepted, &answer.encode()).await
}
