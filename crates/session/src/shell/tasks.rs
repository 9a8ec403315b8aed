//! Tasks that carry out the broker's effects: connections, probes, commands to members, claim rows, promotion orders.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fulmarlift_broker::claim;
use fulmarlift_broker::effect;
use fulmarlift_broker::event;
use fulmarlift_broker::revision;
use fulmarlift_broker::topology;
use fulmarlift_core::id;
use fulmarlift_core::sorted;

use crate::clock;
use crate::deployment::{Claims, Deployment, PromotionOrders, Source, Update};
use crate::link;
use crate::protocol;
use crate::protocol::member;
use crate::shell;
use crate::shell::state_changes;
use crate::transfer;
use crate::updates::relay;

/// Timeout to open a connection to a home: two round trips between regions and a pause of the home's process. A shorter
/// timeout than for members does no harm, since a connection that opens after the timeout occupies no slot of a home.
const HOME_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a probe: several round trips between regions.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout of a command to a member on the control path.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(800);
/// Time in which a connection opens for a command, before other proxies are asked to send it as well.
const COMMAND_OPEN_PATIENCE: Duration = Duration::from_millis(100);
/// Time in which a member answers a command that was sent on an open connection, before other proxies are asked to send it as well:
/// longer than a question waits for a slot of a member that is busy.
const COMMAND_ANSWER_PATIENCE: Duration = Duration::from_millis(300);
/// Time of a read of a claim row from which another proxy is asked as well.
const CLAIM_RELAY_DELAY: Duration = Duration::from_millis(60);
/// Time in which other proxies answer what they know of a group.
const KNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(900);
/// Time after a read of the directory for which the answers of other proxies are waited for.
const KNOWLEDGE_PATIENCE: Duration = Duration::from_millis(150);
/// Lifetime of an unused control connection: about the duration of a failover.
const CONTROL_CONNECTION_LIFETIME: Duration = Duration::from_secs(2);

/// A connection for commands during a failover, with the time at which it is closed.
type ControlConnection<D> = (Instant, shell::Upstream<D>);

/// Connections for commands during a failover, by member.
pub(super) struct ControlConnections<D: Deployment> {
    connections: RefCell<sorted::Map<id::MemberId, ControlConnection<D>>>,
}

impl<D: Deployment> Default for ControlConnections<D> {
    fn default() -> Self {
        let connections = RefCell::new(sorted::Map::default());
        Self { connections }
    }
}

impl<D: Deployment> ControlConnections<D> {
    pub(super) fn take(&self, member: id::MemberId) -> Option<shell::Upstream<D>> {
        let (_, mut upstream) = self.connections.borrow_mut().remove(member)?;
        (!upstream.is_dead()).then_some(upstream)
    }

    pub(super) fn put(&self, upstream: shell::Upstream<D>) {
        let expires_at = clock::now() + CONTROL_CONNECTION_LIFETIME;
        self.connections
            .borrow_mut()
            .insert(upstream.member(), (expires_at, upstream));
    }

    pub(super) fn close_expired(&self, now: Instant) {
        let mut connections = self.connections.borrow_mut();
        let expired: Vec<id::MemberId> = connections
            .iter()
            .filter(|(_, (expires_at, _))| *expires_at <= now)
            .map(|(member, _)| member)
            .collect();
        for member in expired {
            if let Some((_, upstream)) = connections.remove(member) {
                upstream.close();
            }
        }
    }
}

impl<D: Deployment> shell::Shell<D> {
    /// Returns the group's name, and the member's name and address; none if the broker knows no such member.
    fn locate(&self, member: id::MemberId) -> Option<(Box<str>, Box<str>, SocketAddr)> {
        self.with_broker(|broker| {
            let entry = broker.member(member)?;
            let group = broker.topology().groups.get(entry.group)?;
            Some((group.name.clone(), entry.name.clone(), entry.address))
        })
    }

    /// Returns the names of a member and its group for the log.
    fn group_and_member_name(&self, member: id::MemberId) -> (Box<str>, Box<str>) {
        let unknown = || (Box::from("unknown"), Box::from("unknown"));
        self.locate(member)
            .map_or_else(unknown, |(group, name, _)| (group, name))
    }

    /// Opens a connection to a member or a home. A connection to a member serves one workspace, if the configuration knows any.
    async fn connect(
        &self,
        member: id::MemberId,
        workspace: Option<id::WorkspaceId>,
    ) -> Result<shell::Upstream<D>, link::OpenError> {
        let Some((group, name, address)) = self.locate(member) else {
            return Err(link::OpenError::Refused(protocol::Code::Misrouted));
        };
        metrics::counter!("fulmarlift_connects_total").increment(1);
        let opened = match self.with_broker(|broker| broker.is_home(member)) {
            true => {
                let deadline = clock::now() + HOME_CONNECT_TIMEOUT;
                let home = (&*name, member);
                let opened =
                    link::Link::open_home(address, &group, home, self.vm_name(), deadline).await;
                if let Err(link::OpenError::Greeting(refusal)) = &opened {
                    self.record_refused_peer(address, &name, refusal);
                }
                opened.map(shell::Upstream::Home)
            }
            false => {
                let deadline = clock::now() + effect::MEMBER_CONNECT_TIMEOUT;
                let workspace = match workspace {
                    Some(workspace) => match self.workspace_name(workspace) {
                        Some(name) => Some(name),
                        None => return Err(link::OpenError::UnknownWorkspace),
                    },
                    None => None,
                };
                let member = (&*name, member);
                let opened =
                    link::Link::open(address, &group, member, workspace.as_deref(), deadline).await;
                opened.map(shell::Upstream::Member)
            }
        };
        log_connect_failure(&name, address, &opened);
        opened
    }

    /// Opens a connection to a member that the broker need not know.
    pub(super) async fn open_member(
        &self,
        group: &str,
        member: &topology::Member,
        deadline: Instant,
    ) -> Result<shell::Upstream<D>, link::OpenError> {
        metrics::counter!("fulmarlift_connects_total").increment(1);
        let name_and_id = (&*member.name, member.id);
        let opened = link::Link::open(member.address, group, name_and_id, None, deadline).await;
        let opened = opened.map(shell::Upstream::Member);
        log_connect_failure(&member.name, member.address, &opened);
        opened
    }

    pub(super) fn open(self: &Rc<Self>, conn: id::ConnId, member: id::MemberId) {
        let shell = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let workspace = shell.with_broker(|broker| broker.conn_workspace(conn));
            let event = match shell.connect(member, workspace).await {
                Ok(upstream) => {
                    shell.inner.borrow_mut().idle.insert(conn, upstream);
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

    /// Probes whether the member leads: begins a read-write transaction, which only a leader accepts, and rolls it back.
    /// Neither statement takes a slot of the member.
    pub(super) fn probe(self: &Rc<Self>, conn: id::ConnId, member: id::MemberId) {
        let shell = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let upstream = shell.inner.borrow_mut().idle.remove(conn);
            let (report, upstream) = match upstream {
                Some(upstream) => probe_on(upstream).await,
                None => (report_without_point(member, event::Answer::Broken), None),
            };
            let reusable = upstream.is_some();
            if let Some(upstream) = upstream {
                shell.inner.borrow_mut().idle.insert(conn, upstream);
            }
            shell.handle(event::Event::ProbeEnded(report));
            shell.handle(event::Event::Returned { conn, reusable });
        });
    }

    /// Sends a command to a member, on the given idle connection if there is one, and passes the member's status to the
    /// broker. If no connection opens soon, or no answer arrives, the command also goes through other proxies, and the first status
    /// counts.
    pub(super) fn send_command(
        self: &Rc<Self>,
        group: id::GroupId,
        member: id::MemberId,
        command: effect::MemberCommand,
        conn: Option<id::ConnId>,
    ) {
        let shell = Rc::clone(self);
        let asked_at = clock::now();
        tokio::task::spawn_local(async move {
            let lent = conn.and_then(|conn| shell.inner.borrow_mut().idle.remove(conn));
            let is_sent = Cell::new(false);
            let direct = async {
                match shell.open_for_command(member, lent).await {
                    Ok(upstream) => {
                        is_sent.set(true);
                        shell.exchange_command(upstream, command).await
                    }
                    // `connect` has logged the error; the broker sends the command again.
                    Err(_) => (event::StatusAnswer::Missing, None),
                }
            };
            tokio::pin!(direct);
            let mut ended = tokio::select! {
                ended = &mut direct => Some(ended),
                () = lose_patience(&is_sent) => None,
            };
            let mut relayed = None;
            if is_unanswered(ended.as_ref()) {
                let relaying = shell.relay_command(member, command);
                tokio::pin!(relaying);
                let mut has_relayed = false;
                while !has_relayed && is_unanswered(ended.as_ref()) {
                    tokio::select! {
                        end = &mut direct, if ended.is_none() => ended = Some(end),
                        status = &mut relaying => {
                            relayed = status;
                            has_relayed = true;
                        }
                    }
                }
            }
            if let Some(relayed) = relayed {
                let via = &*relayed.vm_name;
                let status = Some(relayed.status);
                shell.report_status(group, member, command, asked_at, status, via);
                // A command that was sent ends, so that its connection can be used again; one that was not sent is not sent any more.
                if ended.is_none() && is_sent.get() {
                    ended = Some(direct.await);
                }
                let upstream = ended.and_then(|(_, upstream)| upstream);
                shell.return_command_connection(conn, upstream);
                return;
            }
            let (answer, upstream) = match ended {
                Some(ended) => ended,
                None => direct.await,
            };
            let status = answer.status();
            if let Some(upstream) = upstream.as_ref().filter(|_| status.is_some()) {
                shell.handle(event::Event::CommandAnswered {
                    group,
                    member,
                    connected_at: upstream.connected_at(),
                });
            }
            shell.return_command_connection(conn, upstream);
            shell.report_status(group, member, command, asked_at, status, "none");
        });
    }

    /// Gives a connection back on which a command was sent, or reports that it is closed.
    fn return_command_connection(
        self: &Rc<Self>,
        conn: Option<id::ConnId>,
        upstream: Option<shell::Upstream<D>>,
    ) {
        match (conn, upstream) {
            (Some(conn), upstream) => self.return_lent(conn, upstream),
            (None, Some(upstream)) => self.control_connections.put(upstream),
            (None, None) => {}
        }
    }

    /// Gives a connection back that a command has used, or reports that it is closed.
    pub(super) fn return_lent(
        self: &Rc<Self>,
        conn: id::ConnId,
        upstream: Option<shell::Upstream<D>>,
    ) {
        let reusable = upstream.is_some();
        if let Some(upstream) = upstream {
            self.inner.borrow_mut().idle.insert(conn, upstream);
        }
        self.handle(event::Event::Returned { conn, reusable });
    }

    /// Logs the end of a command and passes it to the broker. `via` is the name of the VM whose proxy has sent the command.
    fn report_status(
        self: &Rc<Self>,
        group: id::GroupId,
        member: id::MemberId,
        command: effect::MemberCommand,
        asked_at: Instant,
        status: Option<event::MemberStatus>,
        via: &str,
    ) {
        let name: Box<str> =
            self.with_broker(|broker| state_changes::member_name(broker, member).into());
        // `question` is the command, `answer` the member's status.
        log::info!("event=asked member={name} question={command:?} via={via} answer={status:?}");
        self.handle(event::Event::StatusAnswered {
            group,
            member,
            asked_at,
            status,
        });
    }

    /// Asks a member for its status on the given idle connection, and passes the status to the broker.
    pub(super) fn ask_status(
        self: &Rc<Self>,
        group: id::GroupId,
        conn: id::ConnId,
        member: id::MemberId,
        purpose: effect::StatusPurpose,
    ) {
        let shell = Rc::clone(self);
        let asked_at = clock::now();
        tokio::task::spawn_local(async move {
            let upstream = shell.inner.borrow_mut().idle.remove(conn);
            let (answer, upstream) = match upstream {
                Some(upstream) => {
                    let command = effect::MemberCommand::Status;
                    shell.exchange_command(upstream, command).await
                }
                None => (event::StatusAnswer::Missing, None),
            };
            let status = answer.status();
            let reusable = upstream.is_some();
            let connected_at = upstream
                .as_ref()
                .map_or(clock::now(), shell::Upstream::connected_at);
            if let Some(upstream) = upstream {
                shell.inner.borrow_mut().idle.insert(conn, upstream);
            }
            shell.handle(match purpose {
                effect::StatusPurpose::Lease => event::Event::LeaseAnswered {
                    group,
                    member,
                    asked_at,
                    status,
                },
                effect::StatusPurpose::Receipt => event::Event::ReceiptAnswered {
                    group,
                    member,
                    asked_at,
                    connected_at,
                    status,
                },
                effect::StatusPurpose::Comparison => event::Event::ComparisonAnswered {
                    group,
                    member,
                    asked_at,
                    answer,
                },
            });
            shell.handle(event::Event::Returned { conn, reusable });
        });
    }

    /// Returns the lent connection, the member's control connection, or a new one.
    async fn open_for_command(
        &self,
        member: id::MemberId,
        lent: Option<shell::Upstream<D>>,
    ) -> Result<shell::Upstream<D>, link::OpenError> {
        match lent.or_else(|| self.control_connections.take(member)) {
            Some(upstream) => Ok(upstream),
            None => self.connect(member, None).await,
        }
    }

    /// Sends a command on a connection. Returns the member's status, and the connection if it is still usable. Does not send a
    /// release whose time has passed, since another proxy may hold the member by then.
    pub(super) async fn exchange_command(
        &self,
        mut upstream: shell::Upstream<D>,
        command: effect::MemberCommand,
    ) -> (event::StatusAnswer, Option<shell::Upstream<D>>) {
        let member = upstream.member();
        let request = match command {
            effect::MemberCommand::Status => member::Command::Status,
            effect::MemberCommand::Hold(term) => member::Command::Hold(term),
            effect::MemberCommand::Release { until } if clock::now() >= until => {
                return (event::StatusAnswer::Missing, Some(upstream));
            }
            effect::MemberCommand::Release { .. } => member::Command::Release,
            effect::MemberCommand::Demote(term) => member::Command::Demote(term),
        };
        let deadline = clock::now() + COMMAND_TIMEOUT;
        match upstream.request(request, deadline).await {
            Ok(answer) => {
                if let Some(status) = upstream.member_status(&answer) {
                    return (event::StatusAnswer::Status(status), Some(upstream));
                }
                let (group, name) = self.group_and_member_name(member);
                // The event's name calls the status a standing, and `question` is the command.
                log::info!(
                    "event=standing_refused group={group} member={name} question={command:?} answer={answer:?}"
                );
                let refused = event::StatusAnswer::Refused {
                    is_busy: answer.error() == Some(&protocol::Code::Busy),
                    point: answer.point,
                };
                (refused, Some(upstream))
            }
            Err(error) => {
                let (group, name) = self.group_and_member_name(member);
                log::info!(
                    "event=standing_failed group={group} member={name} question={command:?} error=\"{error}\""
                );
                (event::StatusAnswer::Missing, None)
            }
        }
    }

    /// Reads a claim row from the store and, if that fails or takes long, through another proxy as well.
    pub(super) fn load_claim(self: &Rc<Self>, group: id::GroupId) {
        let shell = Rc::clone(self);
        let asked_at = clock::now();
        tokio::task::spawn_local(async move {
            let name = shell.group_name(group);
            let loading = async {
                let stored = shell.read_claim(&name).await;
                let loaded = stored.is_some();
                shell.handle(event::Event::ClaimLoaded {
                    group,
                    asked_at,
                    stored,
                });
                loaded
            };
            tokio::pin!(loading);
            let loaded = tokio::select! {
                loaded = &mut loading => Some(loaded),
                () = tokio::time::sleep(CLAIM_RELAY_DELAY) => None,
            };
            let relaying = async {
                let row = relay::load_claim(&shell, &name).await;
                if let Some(row) = row.filter(|row| row.revision.era >= shell.store_era()) {
                    shell.record_store_era(row.revision.era, Duration::ZERO);
                    shell.handle(event::Event::ClaimRelayed {
                        group,
                        asked_at,
                        row,
                    });
                }
            };
            match loaded {
                Some(true) => {}
                Some(false) => relaying.await,
                None => {
                    tokio::join!(loading, relaying);
                }
            }
        });
    }

    /// Reads a claim row from the store for the diagnostic log. Neither the answer nor its lack changes what this proxy knows of the store.
    pub(super) fn load_choice(self: &Rc<Self>, group: id::GroupId) {
        let shell = Rc::clone(self);
        let asked_at = clock::now();
        tokio::task::spawn_local(async move {
            let name = shell.group_name(group);
            let loaded = shell.claims.load(&name).await;
            let row = loaded.ok().filter(|row| {
                let era = *shell.store_era.borrow();
                era == Some(row.revision.era)
            });
            if let Some(row) = row {
                shell.handle(event::Event::ChoiceLoaded {
                    group,
                    asked_at,
                    row,
                });
            }
        });
    }

    /// Reads a claim row from the store.
    pub(crate) async fn read_claim(self: &Rc<Self>, group: &str) -> Option<claim::ClaimRow> {
        match self.claims.load(group).await {
            Ok(stored) if stored.revision.era < self.store_era() => {
                log::warn!("event=claim_unread group={group} error=\"answer of an earlier era\"");
                None
            }
            Ok(stored) => {
                self.record_store_era(stored.revision.era, Duration::ZERO);
                Some(stored)
            }
            Err(error) => {
                log::warn!("event=claim_unread group={group} error=\"{error}\"");
                None
            }
        }
    }

    /// Asks other proxies what they know of a group. The task ends once all have answered or failed, or in time.
    pub(super) fn ask_proxies(self: &Rc<Self>, group: id::GroupId) -> tokio::task::JoinHandle<()> {
        let shell = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let asking = relay::ask_for_knowledge(&shell, group);
            let _ = tokio::time::timeout(KNOWLEDGE_TIMEOUT, asking).await;
        })
    }

    /// Reads the entries of all members from the store, and applies those that are listed. What has been removed is left to the
    /// updates of the store. Asks other proxies meanwhile what they know of the group.
    pub(super) fn read_directory(self: &Rc<Self>, group: id::GroupId) {
        let shell = Rc::clone(self);
        let asked_at = clock::now();
        tokio::task::spawn_local(async move {
            let transfer = transfer::Transfer::default();
            let reading = shell.directory.read(&transfer);
            let asking = shell.ask_proxies(group);
            let read = read_beside(reading, async { drop(asking.await) }).await;
            let read = match read {
                Ok(batch) if batch.revision.era < shell.store_era() => {
                    Err(Box::from("answer of an earlier era"))
                }
                Ok(batch) => Ok(batch),
                Err(error) => Err(error.to_string().into_boxed_str()),
            };
            let is_read = read.is_ok();
            match read {
                Ok(batch) => {
                    shell.record_store_era(batch.revision.era, Duration::ZERO);
                    let is_entry = |update: &Update| matches!(update, Update::Listed(_));
                    for update in batch.updates.into_iter().filter(is_entry) {
                        shell.apply_update(update);
                    }
                    let answered_at = Some(asked_at);
                    shell.handle(event::Event::DirectoryRead { answered_at });
                }
                Err(error) => {
                    let name = shell.group_name(group);
                    log::warn!("event=directory_unread group={name} error=\"{error}\"");
                }
            }
            shell.handle(event::Event::DirectoryLoaded { group, is_read });
        });
    }

    pub(super) fn store_claim(
        self: &Rc<Self>,
        group: id::GroupId,
        claim: claim::Claim,
        revision: revision::Revision,
    ) {
        let shell = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let name = shell.group_name(group);
            // In a newer era, the version may belong to another change of the row.
            let outcome = match shell.store_era() > revision.era {
                true => event::StoreOutcome::Conflict,
                false => shell.claims.store(&name, &claim, revision).await,
            };
            if let event::StoreOutcome::Written(written) = outcome {
                shell.record_store_era(written.era, Duration::ZERO);
            }
            log::info!(
                "event=claim group={name} token={} target={:?} settled={} revision={revision} outcome={outcome:?}",
                claim.token,
                claim.target,
                claim.settled
            );
            shell.handle(event::Event::ClaimStored { group, outcome });
        });
    }

    pub(super) fn order_promotion(
        self: &Rc<Self>,
        group: id::GroupId,
        member: id::MemberId,
        token: u64,
        until: Option<Instant>,
    ) {
        let shell = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let group_name = shell.group_name(group);
            let member_name: Box<str> =
                shell.with_broker(|broker| state_changes::member_name(broker, member).into());
            let promoted =
                shell
                    .promotion_orders
                    .promote(&group_name, &member_name, &shell.name, token);
            // The process may have been suspended since the broker gave the order.
            let outdated = until.is_some_and(|until| clock::now() >= until);
            let outcome = match outdated {
                true => event::OrderOutcome::Deferred,
                false => promoted.await,
            };
            log::info!(
                "event=ordered group={group_name} member={member_name} token={token} outcome={outcome:?}"
            );
            shell.handle(event::Event::PromotionOrdered { group, outcome });
        });
    }

    pub(super) fn group_name(&self, group: id::GroupId) -> Box<str> {
        self.with_broker(|broker| state_changes::group_name(broker, group).into())
    }
}

/// Waits until other proxies are asked to send a command as well. `is_sent` tells whether a connection has been opened for it.
async fn lose_patience(is_sent: &Cell<bool>) {
    tokio::time::sleep(COMMAND_OPEN_PATIENCE).await;
    if is_sent.get() {
        tokio::time::sleep(COMMAND_ANSWER_PATIENCE - COMMAND_OPEN_PATIENCE).await;
    }
}

/// Waits for a read of the directory, and for [`KNOWLEDGE_PATIENCE`] more for the answers of other proxies. If it fails, it is repeated
/// soon, and so is the question.
async fn read_beside<T, E>(
    reading: impl Future<Output = Result<T, E>>,
    asking: impl Future<Output = ()>,
) -> Result<T, E> {
    tokio::pin!(asking);
    tokio::pin!(reading);
    let mut has_asked = false;
    let read = loop {
        tokio::select! {
            read = &mut reading => break read,
            () = &mut asking, if !has_asked => has_asked = true,
        }
    };
    if read.is_ok() && !has_asked {
        // What has arrived by then counts.
        let _ = tokio::time::timeout(KNOWLEDGE_PATIENCE, asking).await;
    }
    read
}

/// Returns whether a command has not ended yet, or has ended without an answer of the member.
fn is_unanswered<T>(ended: Option<&(event::StatusAnswer, T)>) -> bool {
    ended.is_none_or(|(answer, _)| *answer == event::StatusAnswer::Missing)
}

fn log_connect_failure<D: Deployment>(
    name: &str,
    address: SocketAddr,
    opened: &Result<shell::Upstream<D>, link::OpenError>,
) {
    if let Err(error) = opened {
        log::info!("event=connect_failed member={name} address={address} error=\"{error}\"");
    }
}

/// Returns a report of a probe without a point of the member's log.
fn report_without_point(member: id::MemberId, answer: event::Answer) -> event::StatementReport {
    event::StatementReport {
        member,
        answer,
        point: None,
        floor: None,
        connected_at: None,
        took: None,
    }
}

/// Runs a probe on a connection. Returns the report, and the connection if it is still usable.
async fn probe_on<D: Deployment>(
    mut upstream: shell::Upstream<D>,
) -> (event::StatementReport, Option<shell::Upstream<D>>) {
    let sent_at = clock::now();
    let deadline = sent_at + PROBE_TIMEOUT;
    let member = upstream.member();
    let begun = match upstream.request(member::Command::Begin, deadline).await {
        Ok(begun) => begun,
        Err(error) => {
            // The member's name is not known here, so `member` is its identifier.
            log::info!("event=probe_failed member={member:016x} error=\"{error}\"");
            let answer = match error {
                link::LinkError::Withheld(_) => event::Answer::Broken,
                error => match link::OpenError::from(error).failure() {
                    event::OpenFailure::Silent => event::Answer::Silent { commit: false },
                    _ => event::Answer::Broken,
                },
            };
            return (report_without_point(member, answer), None);
        }
    };
    let answer = match begun.end {
        member::End::Complete(_) => event::Answer::Led {
            sent_at,
            commit: false,
        },
        member::End::Error(protocol::Code::ReadOnly, _) => event::Answer::NotLeading,
        // The member answers, but the answer does not show whether it leads.
        member::End::Error(..) | member::End::Ready => event::Answer::Served,
    };
    let report = event::StatementReport {
        point: begun.point,
        ..report_without_point(member, answer)
    };
    if begun.state == protocol::TransactionState::Idle {
        return (report, Some(upstream));
    }
    let ended = upstream.request(member::Command::Rollback, deadline).await;
    let clean = ended.is_ok_and(|ended| ended.state == protocol::TransactionState::Idle);
    (report, clean.then_some(upstream))
}
