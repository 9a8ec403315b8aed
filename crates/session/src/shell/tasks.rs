//! The tasks behind effects.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fulmarlift_broker::claim;
use fulmarlift_broker::effect;
use fulmarlift_broker::event;
use fulmarlift_core::id;
use fulmarlift_core::sorted;

use crate::clock;
use crate::link;
use crate::protocol;
use crate::protocol::member;
use crate::shell;
use crate::shell::notes;
use crate::world::{Claims, Orders, World};

/// Time to open a connection: a lost first packet and its repetition, 1 s, are not waited for.
const OPEN_FOR: Duration = Duration::from_millis(900);
/// Time to open a connection to another proxy, which needs no slot there: two round trips between regions and a pause of
/// its process.
const OPEN_HOME_FOR: Duration = Duration::from_millis(300);
/// Time for a probe: several round trips between regions.
const PROBE_FOR: Duration = Duration::from_millis(700);
/// Time for a question about a member's standing.
const ASK_FOR: Duration = Duration::from_millis(800);
/// Time for which a connection for such questions is kept: a replacement's.
const CONTROL_KEEP: Duration = Duration::from_secs(2);

/// A connection for questions during a replacement, and the time until which it is kept.
type Kept<W> = (Instant, shell::Wire<W>);

/// Connections for questions during a replacement, by member.
pub(super) struct ControlLinks<W: World> {
    links: RefCell<sorted::Map<id::MemberId, Kept<W>>>,
}

impl<W: World> Default for ControlLinks<W> {
    fn default() -> Self {
        let links = RefCell::new(sorted::Map::default());
        Self { links }
    }
}

impl<W: World> ControlLinks<W> {
    fn take(&self, member: id::MemberId) -> Option<shell::Wire<W>> {
        let (_, mut link) = self.links.borrow_mut().remove(member)?;
        (!link.is_dead()).then_some(link)
    }

    fn keep(&self, link: shell::Wire<W>) {
        let until = clock::now() + CONTROL_KEEP;
        self.links.borrow_mut().insert(link.member(), (until, link));
    }

    pub(super) fn expire(&self, now: Instant) {
        let mut links = self.links.borrow_mut();
        let due: Vec<id::MemberId> = links
            .iter()
            .filter(|(_, (until, _))| *until <= now)
            .map(|(member, _)| member)
            .collect();
        for member in due {
            if let Some((_, link)) = links.remove(member) {
                link.close();
            }
        }
    }
}

impl<W: World> shell::Shell<W> {
    /// Returns the group's name and the member's name and address.
    fn whereabouts(
        &self,
        member: id::MemberId,
    ) -> Option<(Box<str>, Box<str>, std::net::SocketAddr)> {
        self.with_broker(|broker| {
            let entry = broker.member(member)?;
            let group = broker.topology().groups.get(entry.group)?;
            Some((group.name.clone(), entry.name.clone(), entry.address))
        })
    }

    async fn connect(&self, member: id::MemberId) -> Result<shell::Wire<W>, link::OpenError> {
        let Some((group, name, address)) = self.whereabouts(member) else {
            return Err(link::OpenError::Refused(protocol::Code::Misrouted));
        };
        metrics::counter!("fulmarlift_connects_total").increment(1);
        let opened = match self.with_broker(|broker| broker.is_peer(member)) {
            true => {
                let deadline = clock::now() + OPEN_HOME_FOR;
                let opened = link::Link::open(address, &group, (&name, member), deadline).await;
                opened.map(shell::Wire::Home)
            }
            false => {
                let deadline = clock::now() + OPEN_FOR;
                let opened = link::Link::open(address, &group, (&name, member), deadline).await;
                opened.map(shell::Wire::Member)
            }
        };
        if let Err(error) = &opened {
            log::info!("event=connect_failed member={name} address={address} error=\"{error}\"");
        }
        opened
    }

    pub(super) fn open(self: &Rc<Self>, conn: id::ConnId, member: id::MemberId) {
        let shell = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let event = match shell.connect(member).await {
                Ok(link) => {
                    shell.inner.borrow_mut().idle.insert(conn, link);
                    event::Event::Opened(conn)
                }
                Err(error) => event::Event::OpenFailed {
                    conn,
                    failure: error.failure(),
                },
            };
            shell.handle(event);
        });
    }

    /// Begins and rolls back a transaction that may write: only a leader allows it, and it takes no slot.
    pub(super) fn probe(self: &Rc<Self>, conn: id::ConnId, member: id::MemberId) {
        let shell = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let link = shell.inner.borrow_mut().idle.remove(conn);
            let (report, link) = match link {
                Some(link) => probe_on(link).await,
                None => (unanswered(member, event::Answer::Broken), None),
            };
            let reusable = link.is_some();
            if let Some(link) = link {
                shell.inner.borrow_mut().idle.insert(conn, link);
            }
            shell.handle(event::Event::ProbeEnded(report));
            shell.handle(event::Event::Returned { conn, reusable });
        });
    }

    pub(super) fn ask(
        self: &Rc<Self>,
        group: id::GroupId,
        member: id::MemberId,
        command: effect::MemberCommand,
        conn: Option<id::ConnId>,
    ) {
        let shell = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let lent = conn.and_then(|conn| shell.inner.borrow_mut().idle.remove(conn));
            let (standing, link) = shell.standing_of(member, command, lent).await;
            let name: Box<str> =
                shell.with_broker(|broker| notes::member_name(broker, member).into());
            log::info!("event=asked member={name} question={command:?} answer={standing:?}");
            match (conn, link) {
                (Some(conn), Some(link)) => {
                    shell.inner.borrow_mut().idle.insert(conn, link);
                    let reusable = true;
                    shell.handle(event::Event::Returned { conn, reusable });
                }
                (Some(conn), None) => {
                    let reusable = false;
                    shell.handle(event::Event::Returned { conn, reusable });
                }
                (None, Some(link)) => shell.control.keep(link),
                (None, None) => {}
            }
            shell.handle(event::Event::StatusAnswered {
                group,
                member,
                status: standing,
            });
        });
    }

    /// Asks on the connection lent, or on one of its own. Returns the connection if it can be used again.
    async fn standing_of(
        &self,
        member: id::MemberId,
        command: effect::MemberCommand,
        lent: Option<shell::Wire<W>>,
    ) -> (Option<event::MemberStatus>, Option<shell::Wire<W>>) {
        let kept = lent.or_else(|| self.control.take(member));
        let opened = match kept {
            Some(link) => Ok(link),
            None => self.connect(member).await,
        };
        // The failure is on the log already; the broker asks again.
        let Ok(mut link) = opened else {
            return (None, None);
        };
        link.push(match command {
            effect::MemberCommand::Status => member::Command::Status,
            effect::MemberCommand::Hold(term) => member::Command::Hold(term),
            effect::MemberCommand::Release { until } if clock::now() >= until => {
                return (None, Some(link));
            }
            effect::MemberCommand::Release { .. } => member::Command::Release,
            effect::MemberCommand::Demote(term) => member::Command::Demote(term),
        });
        match link.exchange(clock::now() + ASK_FOR).await {
            Ok(answer) => {
                let standing = link.standing(&answer);
                if standing.is_none() {
                    log::info!("event=standing_refused question={command:?} answer={answer:?}");
                }
                (standing, Some(link))
            }
            Err(error) => {
                log::info!("event=standing_failed question={command:?} error=\"{error}\"");
                (None, None)
            }
        }
    }

    pub(super) fn load_claim(self: &Rc<Self>, group: id::GroupId) {
        let shell = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let name = shell.group_name(group);
            let stored = match shell.claims.load(&name).await {
                Ok(stored) => Some(stored),
                Err(error) => {
                    log::warn!("event=claim_unread group={name} error=\"{error}\"");
                    None
                }
            };
            shell.handle(event::Event::ClaimLoaded { group, stored });
        });
    }

    pub(super) fn store_claim(
        self: &Rc<Self>,
        group: id::GroupId,
        claim: claim::Claim,
        revision: u64,
    ) {
        let shell = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let name = shell.group_name(group);
            let outcome = shell.claims.store(&name, &claim, revision).await;
            log::info!(
                "event=claim group={name} token={} target={:?} settled={} revision={revision} outcome={outcome:?}",
                claim.token,
                claim.target,
                claim.settled
            );
            shell.handle(event::Event::ClaimStored { group, outcome });
        });
    }

    pub(super) fn order(self: &Rc<Self>, group: id::GroupId, member: id::MemberId, token: u64) {
        let shell = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let group_name = shell.group_name(group);
            let member_name: Box<str> =
                shell.with_broker(|broker| notes::member_name(broker, member).into());
            let promoted = shell
                .orders
                .promote(&group_name, &member_name, &shell.name, token);
            let outcome = promoted.await;
            log::info!(
                "event=ordered group={group_name} member={member_name} token={token} outcome={outcome:?}"
            );
            shell.handle(event::Event::PromotionOrdered { group, outcome });
        });
    }

    fn group_name(&self, group: id::GroupId) -> Box<str> {
        self.with_broker(|broker| notes::group_name(broker, group).into())
    }
}

fn unanswered(member: id::MemberId, answer: event::Answer) -> event::Report {
    event::Report {
        member,
        answer,
        point: None,
        floor: None,
        took: None,
    }
}

/// Probes on a link, and returns the link if it can be used again.
async fn probe_on<W: World>(mut link: shell::Wire<W>) -> (event::Report, Option<shell::Wire<W>>) {
    let asked_at = clock::now();
    let deadline = asked_at + PROBE_FOR;
    let member = link.member();
    link.push(member::Command::Begin);
    let begun = match link.exchange(deadline).await {
        Ok(begun) => begun,
        Err(error) => {
            log::info!("event=probe_failed member={member:016x} error=\"{error}\"");
            let answer = match crate::link::OpenError::from(error).failure() {
                event::OpenFailure::Silent => event::Answer::Silent { commit: false },
                _ => event::Answer::Broken,
            };
            return (unanswered(member, answer), None);
        }
    };
    let answer = match begun.end {
        member::End::Complete(_) => event::Answer::Led {
            asked_at,
            commit: false,
        },
        member::End::Error(protocol::Code::ReadOnly, _) => event::Answer::NotLeading,
        member::End::Error(..) | member::End::Ready => event::Answer::Served,
    };
    let report = event::Report {
        point: begun.point,
        ..unanswered(member, answer)
    };
    if begun.state == protocol::State::Idle {
        return (report, Some(link));
    }
    link.push(member::Command::Rollback);
    let ended = link.exchange(deadline).await;
    let clean = ended.is_ok_and(|ended| ended.state == protocol::State::Idle);
    (report, clean.then_some(link))
}
