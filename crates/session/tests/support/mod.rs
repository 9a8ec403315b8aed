//! A world without a platform: sources that answer as the test says, and nobody behind claims and orders.

// Each test file is a program of its own and uses part of this.
#![allow(dead_code)]

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use fulmarlift_broker::claim;
use fulmarlift_broker::event::{OrderOutcome, StoreOutcome};
use fulmarlift_broker::state::Settings;
use fulmarlift_broker::topology::Topology;
use fulmarlift_core::topology::Place;
use fulmarlift_session::peer::{Forwarding, Serving};
use fulmarlift_session::shell::Shell;
use fulmarlift_session::world::{Batch, CallError, Claims, Contents, News, Orders, Source, World};

pub struct Fake;

impl World for Fake {
    type Caller = Serving;
    type Member = Forwarding;
    type Claims = Nobody;
    type Orders = Nobody;
}

pub struct Nobody;

impl Claims for Nobody {
    async fn load(&self, _group: &str) -> Result<claim::Stored, CallError> {
        Err(CallError::Unknown("nobody".into()))
    }

    async fn store(&self, _group: &str, _claim: &claim::Claim, _revision: u64) -> StoreOutcome {
        StoreOutcome::Unknown
    }
}

impl Orders for Nobody {
    async fn promote(&self, _: &str, _: &str, _: &str, _: u64) -> OrderOutcome {
        OrderOutcome::Unknown
    }
}

pub fn shell(node: &str) -> Rc<Shell<Fake>> {
    shell_in(node, "a")
}

pub fn shell_in(node: &str, domain: &str) -> Rc<Shell<Fake>> {
    let settings = Settings {
        name: format!("{node}-0").into(),
        vm_name: node.into(),
        place: Place {
            region: "north".into(),
            domain: domain.into(),
        },
        drain_timeout: Duration::from_secs(7),
    };
    Shell::new(settings, Nobody, Nobody)
}

/// A store whose configuration has a version, and which answers or does not.
#[derive(Default)]
pub struct Store {
    pub version: Cell<u64>,
    pub down: Cell<bool>,
    pub calls: Cell<u32>,
    pub asked: RefCell<Vec<Contents>>,
}

/// One part of it.
pub struct Part {
    pub store: Rc<Store>,
    pub contents: Contents,
}

impl Part {
    fn batch(&self) -> Batch {
        let version = self.store.version.get();
        let news = match self.contents {
            Contents::Configuration => {
                vec![News::Configured(Topology::new(
                    version,
                    Vec::new(),
                    Vec::new(),
                ))]
            }
            Contents::Members | Contents::Peers => Vec::new(),
        };
        Batch {
            news,
            revision: version,
        }
    }

    fn refuse(&self) -> Result<(), CallError> {
        self.store.calls.set(self.store.calls.get() + 1);
        self.store.asked.borrow_mut().push(self.contents);
        match self.store.down.get() {
            true => Err(CallError::Deferred("down".into())),
            false => Ok(()),
        }
    }
}

impl Source for Part {
    fn contents(&self) -> Contents {
        self.contents
    }

    async fn read(&self) -> Result<Batch, CallError> {
        self.refuse()?;
        Ok(self.batch())
    }

    /// Waits as the store does: until there is a change, at most for `wait`.
    async fn changes(&self, after: u64, wait: Duration) -> Result<Batch, CallError> {
        const STEP: Duration = Duration::from_millis(10);
        self.refuse()?;
        let mut waited = Duration::ZERO;
        let changed =
            || self.contents == Contents::Configuration && self.store.version.get() > after;
        while !changed() && waited < wait {
            tokio::time::sleep(STEP).await;
            waited += STEP;
            if self.store.down.get() {
                return Err(CallError::Unknown("cut".into()));
            }
        }
        Ok(self.batch())
    }
}
