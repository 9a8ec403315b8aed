//! In-memory platform whose faults are scripted or drawn from a seeded random number generator.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard},
};

use fulmarlift_store::{
    message,
    platform::{self, Platform},
};
use rand::{RngExt, SeedableRng, rngs};
use serde::de;

/// Fault that the platform injects into a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call takes effect and is answered.
    None,
    /// The call fails without effect.
    Refused,
    /// The call takes effect, but its answer is lost.
    AnswerLost,
    /// The answer is lost, and the call takes effect at a later time. Applies only to transactions.
    Late,
}

/// Probability of each fault, in percent of the calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct Odds {
    pub refused: u32,
    pub answer_lost: u32,
    pub late: u32,
}

/// In-memory platform.
pub struct Fake {
    state: Mutex<State>,
}

struct State {
    rows: Vec<StoredRow>,
    objects: Vec<(Box<str>, Vec<u8>)>,
    version: message::RowVersion,
    late_transactions: Vec<message::Transaction>,
    scripted_faults: VecDeque<Fault>,
    follow_up: Option<message::Transaction>,
    is_down: bool,
    odds: Odds,
    random: rngs::StdRng,
}

#[derive(Clone)]
struct StoredRow {
    table: Box<str>,
    row: message::Row<serde_json::Value>,
}

impl Fake {
    /// Returns a platform without faults.
    pub fn new() -> Self {
        Self::with_odds(0, Odds::default())
    }

    /// Returns a platform that draws its faults from a generator with this seed.
    pub fn with_odds(seed: u64, odds: Odds) -> Self {
        let state = State {
            rows: Vec::new(),
            objects: Vec::new(),
            version: 0,
            late_transactions: Vec::new(),
            scripted_faults: VecDeque::new(),
            follow_up: None,
            is_down: false,
            odds,
            random: rngs::StdRng::seed_from_u64(seed),
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Sets the faults of the next transactions, one for each, in order.
    pub fn script_faults(&self, faults: impl IntoIterator<Item = Fault>) {
        self.state().scripted_faults.extend(faults);
    }

    /// Sets a transaction that takes effect right after the next transaction whose answer is lost.
    pub fn set_follow_up(&self, transaction: message::Transaction) {
        self.state().follow_up = Some(transaction);
    }

    /// Makes the platform refuse all calls, or accept them again.
    pub fn set_down(&self, is_down: bool) {
        self.state().is_down = is_down;
    }

    /// Applies all late transactions and ends all random and scripted faults.
    pub fn end_faults(&self) {
        let mut state = self.state();
        state.odds = Odds::default();
        state.scripted_faults.clear();
        for transaction in std::mem::take(&mut state.late_transactions) {
            let _ = state.apply(&transaction);
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Starts a call: yields to other tasks up to three times, may apply late transactions, and draws the call's fault.
    /// Fails if the fault is [`Fault::Refused`].
    async fn start_call(&self, is_transaction: bool) -> Result<Fault, platform::Error> {
        let yields = self.state().random.random_range(0..4);
        for _ in 0..yields {
            tokio::task::yield_now().await;
        }
        let mut state = self.state();
        state.apply_some_late_transactions();
        match state.draw_fault(is_transaction) {
            Fault::Refused => Err(unavailable("refused")),
            fault => Ok(fault),
        }
    }

    /// Runs a call other than a transaction. Its answer may be lost.
    async fn call<T>(&self, run: impl FnOnce(&mut State) -> T) -> Result<T, platform::Error> {
        let fault = self.start_call(false).await?;
        let result = run(&mut self.state());
        if fault == Fault::None {
            Ok(result)
        } else {
            Err(unavailable("answer"))
        }
    }
}

impl State {
    fn draw_fault(&mut self, is_transaction: bool) -> Fault {
        if self.is_down {
            return Fault::Refused;
        }
        if is_transaction && let Some(fault) = self.scripted_faults.pop_front() {
            return fault;
        }
        let drawn = self.random.random_range(0..100);
        let Odds {
            refused,
            answer_lost,
            late,
        } = self.odds;
        match drawn {
            _ if drawn < refused => Fault::Refused,
            _ if drawn < refused + answer_lost => Fault::AnswerLost,
            _ if drawn < refused + answer_lost + late && is_transaction => Fault::Late,
            _ => Fault::None,
        }
    }

    /// Applies each late transaction with a probability of 30 %.
    fn apply_some_late_transactions(&mut self) {
        for transaction in std::mem::take(&mut self.late_transactions) {
            if self.random.random_bool(0.3) {
                let _ = self.apply(&transaction);
            } else {
                self.late_transactions.push(transaction);
            }
        }
    }

    fn find(&self, table: &str, key: &str) -> Option<&StoredRow> {
        self.rows
            .iter()
            .find(|stored| &*stored.table == table && &*stored.row.key == key)
    }

    fn apply(
        &mut self,
        transaction: &message::Transaction,
    ) -> Result<message::Committed, platform::Error> {
        let conflicts: Vec<_> = transaction
            .checks
            .iter()
            .filter_map(|check| self.conflict(check))
            .collect();
        if !conflicts.is_empty() {
            return Err(platform::Error::Conflict(message::Conflicts { conflicts }));
        }
        self.version += 1;
        for put in &transaction.puts {
            self.delete(&put.table, &put.key);
            let (key, value) = (put.key.clone(), put.value.clone());
            let row = message::Row {
                key,
                version: self.version,
                value,
            };
            self.rows.push(StoredRow {
                table: put.table.clone(),
                row,
            });
        }
        for delete in &transaction.deletes {
            self.delete(&delete.table, &delete.key);
        }
        Ok(message::Committed {
            version: self.version,
        })
    }

    fn conflict(&self, check: &message::Check) -> Option<message::Conflict> {
        let found = self
            .find(&check.table, &check.key)
            .map(|stored| stored.row.clone());
        let version = found.as_ref().map_or(message::ABSENT, |row| row.version);
        let conflict = || message::Conflict {
            table: check.table.clone(),
            key: check.key.clone(),
            version,
            value: found.map(|row| row.value).unwrap_or_default(),
        };
        (version != check.version).then(conflict)
    }

    fn delete(&mut self, table: &str, key: &str) {
        self.rows
            .retain(|stored| &*stored.table != table || &*stored.row.key != key);
    }
}

impl Platform for Fake {
    async fn row<V>(
        &self,
        table: &str,
        key: &str,
    ) -> Result<Option<message::Row<V>>, platform::Error>
    where
        V: de::DeserializeOwned + Send,
    {
        self.call(|state| state.find(table, key).map(|stored| decode(&stored.row)))
            .await
    }

    async fn rows<V>(
        &self,
        table: &str,
        after: &str,
        limit: u32,
    ) -> Result<Vec<message::Row<V>>, platform::Error>
    where
        V: de::DeserializeOwned + Send,
    {
        self.call(|state| {
            let mut rows: Vec<_> = state
                .rows
                .iter()
                .filter(|stored| &*stored.table == table && &*stored.row.key > after)
                .collect();
            rows.sort_by_key(|stored| &stored.row.key);
            rows.into_iter()
                .take(limit as usize)
                .map(|stored| decode(&stored.row))
                .collect()
        })
        .await
    }

    async fn transact(
        &self,
        transaction: &message::Transaction,
    ) -> Result<message::Committed, platform::Error> {
        let fault = self.start_call(true).await?;
        let mut state = self.state();
        match fault {
            Fault::Late => {
                state.late_transactions.push(transaction.clone());
                Err(unavailable("late"))
            }
            Fault::AnswerLost => {
                let _ = state.apply(transaction);
                if let Some(next) = state.follow_up.take() {
                    let _ = state.apply(&next);
                }
                Err(unavailable("answer"))
            }
            _ => state.apply(transaction),
        }
    }

    async fn put_object(&self, name: &str, bytes: &[u8]) -> Result<(), platform::Error> {
        let store = |state: &mut State| match state.objects.iter().find(|object| *object.0 == *name)
        {
            Some((_, stored)) if stored == bytes => Ok(()),
            Some(_) => Err(platform::Error::ObjectDiffers(name.into())),
            None => {
                state.objects.push((name.into(), bytes.to_vec()));
                Ok(())
            }
        };
        self.call(store).await?
    }

    async fn object(&self, name: &str) -> Result<Option<Vec<u8>>, platform::Error> {
        let find = |state: &mut State| {
            let found = state.objects.iter().find(|object| *object.0 == *name);
            found.map(|object| object.1.clone())
        };
        self.call(find).await
    }

    async fn vms(&self) -> Result<Vec<message::Vm>, platform::Error> {
        Ok(Vec::new())
    }
}

fn decode<V: de::DeserializeOwned>(row: &message::Row<serde_json::Value>) -> message::Row<V> {
    let value = serde_json::from_value(row.value.clone()).unwrap();
    message::Row {
        key: row.key.clone(),
        version: row.version,
        value,
    }
}

fn unavailable(cause: &str) -> platform::Error {
    platform::Error::Unavailable(cause.into())
}
