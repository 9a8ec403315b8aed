//! A deployment without a platform: the store answers as the test configures, claims and promotion orders never succeed.

// Each test file is compiled with this module on its own, and uses only part of it.
#![allow(dead_code)]

pub mod relay;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use fulmarlift_broker::claim;
use fulmarlift_broker::event::{Event, OrderOutcome, StoreOutcome};
use fulmarlift_broker::revision::Revision;
use fulmarlift_broker::state::Settings;
use fulmarlift_broker::topology::{Consistency, Member, Peer, Route, Topology};
use fulmarlift_core::id;
use fulmarlift_core::topology::Place;
use fulmarlift_session::deployment::{
    Batch, CallError, Claims, Contents, Deployment, PromotionOrders, Source, Update,
};
use fulmarlift_session::peer::{Forwarding, Serving};
use fulmarlift_session::shell::Shell;
use fulmarlift_session::transfer::Transfer;

/// A deployment whose callers and members speak the protocol between proxies, the only one that the crate implements.
pub struct TestDeployment;

impl Deployment for TestDeployment {
    type Caller = Serving;
    type Member = Forwarding;
    type Claims = ClaimRows;
    type PromotionOrders = Unavailable;
    type Directory = Unavailable;
}

/// Promotion orders and a directory that cannot be reached.
pub struct Unavailable;

/// The claim row of every group; `None` if it cannot be reached.
#[derive(Clone, Default)]
pub struct ClaimRows(Rc<RefCell<Option<claim::ClaimRow>>>);

impl ClaimRows {
    /// Returns rows that no proxy has written yet.
    pub fn unwritten() -> Self {
        let rows = Self::default();
        rows.set(claim::ClaimRow::default());
        rows
    }

    pub fn set(&self, row: claim::ClaimRow) {
        self.0.replace(Some(row));
    }
}

impl Claims for ClaimRows {
    async fn load(&self, _group: &str) -> Result<claim::ClaimRow, CallError> {
        let row = self.0.borrow().clone();
        row.ok_or_else(|| CallError::Unknown("unavailable".into()))
    }

    async fn store(
        &self,
        _group: &str,
        _claim: &claim::Claim,
        _revision: Revision,
    ) -> StoreOutcome {
        StoreOutcome::Unknown
    }
}

impl PromotionOrders for Unavailable {
    async fn promote(&self, _: &str, _: &str, _: &str, _: u64) -> OrderOutcome {
        OrderOutcome::Unknown
    }
}

impl Source for Unavailable {
    fn contents(&self) -> Contents {
        Contents::Members
    }

    async fn read(&self, _: &Transfer) -> Result<Batch, CallError> {
        Err(CallError::Unknown("unavailable".into()))
    }

    async fn changes(&self, _: Revision, _: Duration, _: &Transfer) -> Result<Batch, CallError> {
        Err(CallError::Unknown("unavailable".into()))
    }
}

pub fn shell(vm_name: &str) -> Rc<Shell<TestDeployment>> {
    shell_in(vm_name, "a")
}

pub fn shell_in(vm_name: &str, domain: &str) -> Rc<Shell<TestDeployment>> {
    shell_with(vm_name, domain, true, ClaimRows::unwritten())
}

/// Returns a shell where promotions are fenced or not, with these claim rows.
pub fn shell_with(
    vm_name: &str,
    domain: &str,
    fenced: bool,
    claims: ClaimRows,
) -> Rc<Shell<TestDeployment>> {
    let settings = Settings {
        name: format!("{vm_name}-0").into(),
        vm_name: vm_name.into(),
        place: Place {
            region: "north".into(),
            domain: domain.into(),
        },
        drain_timeout: Duration::from_secs(7),
        fenced,
    };
    Shell::new(settings, claims, Unavailable, Unavailable)
}

/// Returns the name of the proxy that one of this name listens to first, where the domain has it and the proxies 2 to 7.
pub fn first_reader(listener: &str) -> Box<str> {
    let shell = shell(listener);
    for nth in 2..8 {
        shell.handle(Event::PeerListed(Peer {
            vm_name: format!("proxy-{nth}").into(),
            address: ([127, 0, 0, 1], 1).into(),
            updates_address: ([127, 0, 0, 1], 1).into(),
            place: Place {
                region: "north".into(),
                domain: "a".into(),
            },
        }));
    }
    let readers = shell.with_broker(fulmarlift_broker::Broker::readers);
    let reader = readers.into_iter().next();
    reader.expect("another proxy ranks first").vm_name
}

/// A stand-in for the store, with a version of the configuration.
#[derive(Default)]
pub struct Store {
    /// Version of the configuration, and version of the store.
    pub version: Cell<u64>,
    /// Era of the store.
    pub era: Cell<u64>,
    /// Names of the members and proxies that the store lists.
    pub listed: RefCell<Vec<&'static str>>,
    /// Whether the store refuses all calls and ends those that wait for changes.
    pub down: Cell<bool>,
    /// Part whose calls the store refuses.
    pub refused_contents: Cell<Option<Contents>>,
    /// Number of calls.
    pub calls: Cell<u32>,
    /// Part of the store that each call was for.
    pub called_contents: RefCell<Vec<Contents>>,
    /// Part of the store that each read of all entries was for.
    pub read_contents: RefCell<Vec<Contents>>,
    /// Number of routes in the configuration that every version changes.
    pub changed_routes: Cell<usize>,
    /// Number of routes in the configuration that are the same in all versions.
    pub kept_routes: Cell<usize>,
    /// Whether answers with a changed configuration end in an error after most of them has arrived.
    pub cuts_answers: Cell<bool>,
    /// Time that an answer with a changed configuration takes to arrive, in pieces.
    pub transfer_time: Cell<Duration>,
}

/// Returns the entry of a member.
pub fn member(name: &str, revision: Revision) -> Member {
    Member {
        id: id::of(name),
        name: name.into(),
        group: 1,
        address: ([127, 0, 0, 1], 1).into(),
        place: Place {
            region: "north".into(),
            domain: "a".into(),
        },
        slots: 2,
        leaving: false,
        listed_as_leader: false,
        cold_remaining_ms: 0,
        revision,
    }
}

fn route(database: String) -> Route {
    Route {
        database: database.into(),
        group: 1,
        consistency: Consistency::Leader,
        statement_timeout_ms: 1_000,
        objective_ms: 300,
        priority: 1,
        allows_anonymous: false,
    }
}

/// One part of the store, as a source of updates.
pub struct StorePart {
    pub store: Rc<Store>,
    pub contents: Contents,
}

impl StorePart {
    fn revision(&self) -> Revision {
        Revision {
            era: self.store.era.get(),
            version: self.store.version.get(),
        }
    }

    fn batch(&self) -> Batch {
        let version = self.store.version.get();
        let updates = match self.contents {
            Contents::Configuration => {
                let changed = (0..self.store.changed_routes.get())
                    .map(|nth| route(format!("changed-{version}-{nth}")));
                let kept =
                    (0..self.store.kept_routes.get()).map(|nth| route(format!("kept-{nth}")));
                let routes = changed.chain(kept).collect();
                vec![Update::Configured(Topology::new(
                    version,
                    routes,
                    Vec::new(),
                ))]
            }
            Contents::Members => {
                let listed = self.store.listed.borrow();
                let entry = |name: &&str| Update::Listed(member(name, self.revision()));
                listed.iter().map(entry).collect()
            }
            Contents::Peers => Vec::new(),
        };
        Batch {
            updates,
            revision: self.revision(),
        }
    }

    /// Receives a configuration in as many pieces as the transfer time has intervals.
    async fn receive_configuration(&self, transfer: &Transfer) {
        const PIECE_INTERVAL: Duration = Duration::from_millis(10);
        const PIECE_BYTES: usize = 1_000;
        let mut received_for = Duration::ZERO;
        while received_for < self.store.transfer_time.get() {
            transfer.record(PIECE_BYTES);
            tokio::time::sleep(PIECE_INTERVAL).await;
            received_for += PIECE_INTERVAL;
        }
    }

    fn count_call(&self) -> Result<(), CallError> {
        self.store.calls.set(self.store.calls.get() + 1);
        self.store.called_contents.borrow_mut().push(self.contents);
        let refused = self.store.refused_contents.get() == Some(self.contents);
        match self.store.down.get() || refused {
            true => Err(CallError::Deferred("down".into())),
            false => Ok(()),
        }
    }
}

impl Source for StorePart {
    fn contents(&self) -> Contents {
        self.contents
    }

    async fn read(&self, transfer: &Transfer) -> Result<Batch, CallError> {
        self.store.read_contents.borrow_mut().push(self.contents);
        self.count_call()?;
        if self.contents == Contents::Configuration {
            self.receive_configuration(transfer).await;
        }
        Ok(self.batch())
    }

    /// Waits for a change as the store does, at most for `wait`.
    async fn changes(
        &self,
        after: Revision,
        wait: Duration,
        transfer: &Transfer,
    ) -> Result<Batch, CallError> {
        const POLL_INTERVAL: Duration = Duration::from_millis(10);
        self.count_call()?;
        let mut waited = Duration::ZERO;
        if self.store.version.get() < after.version {
            return Err(CallError::Compacted);
        }
        let changed =
            || self.contents == Contents::Configuration && self.store.version.get() > after.version;
        while !changed() && waited < wait {
            tokio::time::sleep(POLL_INTERVAL).await;
            waited += POLL_INTERVAL;
            if self.store.down.get() {
                return Err(CallError::Unknown("cut".into()));
            }
        }
        if changed() {
            self.receive_configuration(transfer).await;
            if self.store.cuts_answers.get() {
                return Err(CallError::Unknown("cut".into()));
            }
        }
        Ok(self.batch())
    }
}
