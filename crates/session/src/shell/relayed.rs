//! Commands to members that go through another proxy, seen from both proxies.

use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::rc::Rc;
use std::time::Duration;

use fulmarlift_broker::effect;
use fulmarlift_broker::event;
use fulmarlift_broker::topology;
use fulmarlift_core::id;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use crate::clock;
use crate::deployment::Deployment;
use crate::shell;
use crate::updates::relay;

/// Time in which a connection to a member is opened for a command of another proxy, less than that proxy waits for the answer. It
/// bounds how late the command is sent.
const RELAYED_OPEN_TIMEOUT: Duration = Duration::from_millis(250);

/// State of the commands that this proxy sends through others, and that others send through it.
#[derive(Default)]
pub(super) struct RelayedCommands {
    /// Commands of this proxy that others have been asked to send.
    asked: RefCell<Vec<(id::MemberId, effect::MemberCommand)>>,
    /// Members to which a connection is being opened for a command of another proxy.
    opening: RefCell<Vec<id::MemberId>>,
    /// Name of the VM whose proxy passed on the last answer; none if the last ask got no answer.
    last_relay: RefCell<Option<Box<str>>>,
    /// Number of asks that got no answer.
    failed_asks: Cell<u64>,
}

/// An entry of a list that is removed when the guard is dropped.
struct EntryGuard<'a, T: PartialEq> {
    list: &'a RefCell<Vec<T>>,
    entry: T,
}

impl<'a, T: PartialEq + Copy> EntryGuard<'a, T> {
    /// Adds the entry; returns none if the list contains it.
    fn new(list: &'a RefCell<Vec<T>>, entry: T) -> Option<Self> {
        let mut entries = list.borrow_mut();
        if entries.contains(&entry) {
            return None;
        }
        entries.push(entry);
        Some(Self { list, entry })
    }
}

impl<T: PartialEq> Drop for EntryGuard<'_, T> {
    fn drop(&mut self) {
        self.list.borrow_mut().retain(|entry| *entry != self.entry);
    }
}

/// How a command of another proxy ended.
#[derive(Clone, Copy, Debug)]
enum Outcome {
    /// The member told its status.
    Answered(event::MemberStatus),
    /// The member refused the command.
    Refused,
    /// The member did not answer the command.
    Unanswered,
    /// No connection was opened in time.
    Unopened,
    /// The command was not sent, since the other proxy had gone away.
    AskerLeft,
    /// The group is not in the configuration of this proxy.
    UnknownGroup,
}

impl Outcome {
    fn status(self) -> Option<event::MemberStatus> {
        match self {
            Self::Answered(status) => Some(status),
            _ => None,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Refused => "refused",
            Self::Unanswered => "unanswered",
            Self::Unopened => "unopened",
            Self::AskerLeft => "asker_left",
            Self::UnknownGroup => "unknown_group",
        }
    }

    fn of(answer: event::StatusAnswer) -> Self {
        match answer {
            event::StatusAnswer::Status(status) => Self::Answered(status),
            event::StatusAnswer::Refused { .. } => Self::Refused,
            event::StatusAnswer::Missing => Self::Unanswered,
        }
    }
}

impl<D: Deployment> shell::Shell<D> {
    /// Sends a command to a member through other proxies, unless the same one is under way so already.
    pub(super) async fn relay_command(
        self: &Rc<Self>,
        member: id::MemberId,
        command: effect::MemberCommand,
    ) -> Option<relay::RelayedStatus> {
        let asked = &self.relayed_commands.asked;
        let _guard = EntryGuard::new(asked, (member, command))?;
        let entry = self.with_broker(|broker| broker.member(member).cloned())?;
        relay::send_command(self, &entry, command).await
    }

    /// Returns the name of the VM whose proxy passed on the last answer of a member, and the number of asks without an answer.
    pub(crate) fn command_relay(&self) -> (Option<Box<str>>, u64) {
        let commands = &self.relayed_commands;
        let last_relay = commands.last_relay.borrow().clone();
        (last_relay, commands.failed_asks.get())
    }

    /// Records which proxy passed on a member's answer; none if none did.
    pub(crate) fn record_command_relay(&self, vm_name: Option<&str>) {
        let commands = &self.relayed_commands;
        if vm_name.is_none() {
            commands.failed_asks.set(commands.failed_asks.get() + 1);
        }
        *commands.last_relay.borrow_mut() = vm_name.map(Box::from);
    }

    /// Sends a command of another proxy to a member, and returns the member's status. Does not send it once the other proxy has
    /// closed its connection, and does not ask a third proxy.
    pub(crate) async fn carry_out_relayed(
        self: &Rc<Self>,
        stream: &mut TcpStream,
        asker: &str,
        member: &topology::Member,
        command: effect::MemberCommand,
    ) -> Option<event::MemberStatus> {
        let (connection, outcome) = match self.lend_upstream(member.id) {
            Some((conn, upstream)) => {
                let outcome = self.send_relayed_on(stream, conn, upstream, command).await;
                ("idle", outcome)
            }
            None => ("control", self.send_relayed(stream, member, command).await),
        };
        let outcome_name = outcome.name();
        metrics::counter!("fulmarlift_commands_relayed_total", "outcome" => outcome_name)
            .increment(1);
        log::info!(
            "event=command_relayed asker={asker} member={} command={command:?} connection={connection} outcome={outcome_name} answer={:?}",
            member.name,
            outcome.status()
        );
        outcome.status()
    }

    /// Takes an idle connection to a member, which counts as in use until it is reported as returned.
    fn lend_upstream(
        self: &Rc<Self>,
        member: id::MemberId,
    ) -> Option<(id::ConnId, shell::Upstream<D>)> {
        loop {
            let (conn, upstream) = {
                let mut inner = self.inner.borrow_mut();
                let conn = inner.broker.lend_connection(member)?;
                (conn, inner.idle.remove(conn))
            };
            match upstream.and_then(|mut upstream| (!upstream.is_dead()).then_some(upstream)) {
                Some(upstream) => return Some((conn, upstream)),
                None => self.return_lent(conn, None),
            }
        }
    }

    /// Sends a command of another proxy on a lent connection, and returns the connection.
    async fn send_relayed_on(
        self: &Rc<Self>,
        stream: &TcpStream,
        conn: id::ConnId,
        upstream: shell::Upstream<D>,
        command: effect::MemberCommand,
    ) -> Outcome {
        let (outcome, upstream) = match has_left(stream) {
            true => (Outcome::AskerLeft, Some(upstream)),
            false => {
                let (answer, upstream) = self.exchange_command(upstream, command).await;
                (Outcome::of(answer), upstream)
            }
        };
        self.return_lent(conn, upstream);
        outcome
    }

    /// Sends a command of another proxy on the member's control connection, or on a new one.
    async fn send_relayed(
        self: &Rc<Self>,
        stream: &mut TcpStream,
        member: &topology::Member,
        command: effect::MemberCommand,
    ) -> Outcome {
        let upstream = match self.control_connections.take(member.id) {
            Some(upstream) => upstream,
            None => match self.open_relayed(stream, member).await {
                Ok(upstream) => upstream,
                Err(outcome) => return outcome,
            },
        };
        let (outcome, upstream) = match has_left(stream) {
            true => (Outcome::AskerLeft, Some(upstream)),
            false => {
                let (answer, upstream) = self.exchange_command(upstream, command).await;
                (Outcome::of(answer), upstream)
            }
        };
        if let Some(upstream) = upstream {
            self.control_connections.put(upstream);
        }
        outcome
    }

    /// Opens a connection for a command of another proxy, one at a time to each member, while that proxy waits.
    async fn open_relayed(
        &self,
        stream: &mut TcpStream,
        member: &topology::Member,
    ) -> Result<shell::Upstream<D>, Outcome> {
        let opening = &self.relayed_commands.opening;
        let _guard = EntryGuard::new(opening, member.id).ok_or(Outcome::Unopened)?;
        let deadline = clock::now() + RELAYED_OPEN_TIMEOUT;
        let group = self.with_broker(|broker| {
            let group = broker.topology().groups.get(member.group);
            group.map(|group| group.name.clone())
        });
        let group = group.ok_or(Outcome::UnknownGroup)?;
        let known = self.with_broker(|broker| broker.member(member.id).cloned());
        let entry = known.as_ref().unwrap_or(member);
        tokio::select! {
            opened = self.open_member(&group, entry, deadline) => opened.map_err(|_| Outcome::Unopened),
            // The other proxy sends nothing more.
            _ = stream.read_u8() => Err(Outcome::AskerLeft),
        }
    }
}

/// Returns whether the other end has closed a connection on which it has sent all that it has to send.
fn has_left(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    // Asks the kernel, since the runtime may not have learnt of the end yet.
    match socket2::SockRef::from(stream).peek(&mut byte) {
        Ok(_) => true,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}
