//! The messages of the platform's calls, as they stand in JSON.

use std::net;

use serde::{Deserialize, Serialize};

/// The version of a row: one for all rows of a transaction, ever increasing; 0 for a row that doesn't exist.
pub type Version = u64;

/// The version of a row that doesn't exist.
pub const ABSENT: Version = 0;

/// A row of a table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row<V> {
    /// The key in the table.
    pub key: Box<str>,
    /// The version of the transaction that wrote the row last.
    pub version: Version,
    /// The value.
    pub value: V,
}

/// The answer to a listing of rows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rows<V> {
    /// The rows in key order.
    pub rows: Vec<Row<V>>,
}

/// A conditional transaction over several rows: all or nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// What must hold for the transaction to happen.
    #[serde(default)]
    pub checks: Vec<Check>,
    /// The rows to write.
    #[serde(default)]
    pub puts: Vec<Put>,
    /// The rows to delete.
    #[serde(default)]
    pub deletes: Vec<Delete>,
}

/// A row's version that must hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// The table.
    pub table: Box<str>,
    /// The key in the table.
    pub key: Box<str>,
    /// The version the row must have; [`ABSENT`] when it must not exist.
    pub version: Version,
}

/// A row to write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// The table.
    pub table: Box<str>,
    /// The key in the table.
    pub key: Box<str>,
    /// The value to write.
    pub value: serde_json::Value,
}

impl Put {
    /// The row that holds this value.
    ///
    /// # Panics
    ///
    /// If the value can't be written as JSON, such as a map whose keys are no text.
    pub fn new(table: &str, key: &str, value: &impl Serialize) -> Self {
        let value = serde_json::to_value(value).expect("rows are written as JSON");
        Self {
            table: table.into(),
            key: key.into(),
            value,
        }
    }
}

/// A row to delete.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delete {
    /// The table.
    pub table: Box<str>,
    /// The key in the table.
    pub key: Box<str>,
}

/// The answer to a transaction that happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Committed {
    /// The version of all rows the transaction wrote.
    pub version: Version,
}

/// The answer to a transaction that did not happen.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflicts {
    /// The rows whose check failed, as they are.
    pub conflicts: Vec<Conflict>,
}

/// A row whose check failed, as it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The table.
    pub table: Box<str>,
    /// The key in the table.
    pub key: Box<str>,
    /// The row's version; [`ABSENT`] when it doesn't exist.
    pub version: Version,
    /// The row's value; null when it doesn't exist.
    #[serde(default)]
    pub value: serde_json::Value,
}

/// The answer to a listing of VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vms {
    /// The VMs; the list lags behind what happens.
    pub vms: Vec<Vm>,
}

/// A VM as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The VM's name.
    pub name: Box<str>,
    /// The failure domain the VM runs in.
    pub domain: Box<str>,
    /// The region of the failure domain.
    pub region: Box<str>,
    /// Where the proxy on the VM takes its peers' messages.
    pub address: net::SocketAddr,
    /// Whether the VM is to stay.
    pub state: VmState,
}

/// Whether a VM is to stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// It runs.
    Live,
    /// It will be gone soon.
    Leaving,
}
