//! JSON messages of the platform's calls.

use std::net;

use serde::{Deserialize, Serialize};

/// Version of a row: a transaction gives all rows that it writes the same version, which is higher than all earlier
/// ones. [`ABSENT`] for a row that does not exist.
pub type RowVersion = u64;

/// Version of a row that does not exist.
pub const ABSENT: RowVersion = 0;

/// Row of a table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row<V> {
    /// Key of the row, unique in its table.
    pub key: Box<str>,
    /// Version that the row got from the last transaction that wrote it.
    pub version: RowVersion,
    /// Value of the row, decoded from JSON.
    pub value: V,
}

/// Answer to a listing of rows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rows<V> {
    /// Listed rows in key order.
    pub rows: Vec<Row<V>>,
}

/// Conditional transaction over several rows, which takes effect as a whole or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Row versions that must match for the transaction to take effect.
    #[serde(default)]
    pub checks: Vec<Check>,
    /// Rows to write.
    #[serde(default)]
    pub puts: Vec<Put>,
    /// Rows to delete.
    #[serde(default)]
    pub deletes: Vec<Delete>,
}

/// Version that a row must have for a transaction to take effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// Table of the row.
    pub table: Box<str>,
    /// Key of the row in the table.
    pub key: Box<str>,
    /// Version that the row must have; [`ABSENT`] if the row must not exist.
    pub version: RowVersion,
}

/// Row that a transaction writes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// Table of the row.
    pub table: Box<str>,
    /// Key of the row in the table.
    pub key: Box<str>,
    /// New value of the row.
    pub value: serde_json::Value,
}

impl Put {
    /// Returns a write of `value`, encoded as JSON, to the row at `key`.
    ///
    /// # Panics
    ///
    /// If `value` cannot be encoded as JSON, such as a map whose keys are not strings.
    pub fn new(table: &str, key: &str, value: &impl Serialize) -> Self {
        let value = serde_json::to_value(value).expect("row values can be encoded as JSON");
        Self {
            table: table.into(),
            key: key.into(),
            value,
        }
    }
}

/// Row that a transaction deletes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delete {
    /// Table of the row.
    pub table: Box<str>,
    /// Key of the row in the table.
    pub key: Box<str>,
}

/// Answer to a transaction that took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Committed {
    /// Version of all rows that the transaction wrote.
    pub version: RowVersion,
}

/// Answer to a transaction that had no effect because a check failed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflicts {
    /// Current state of each row whose check failed.
    pub conflicts: Vec<Conflict>,
}

/// Current state of a row whose check failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// Table of the row.
    pub table: Box<str>,
    /// Key of the row in the table.
    pub key: Box<str>,
    /// Current version of the row; [`ABSENT`] if the row does not exist.
    pub version: RowVersion,
    /// Current value of the row; null if the row does not exist.
    #[serde(default)]
    pub value: serde_json::Value,
}

/// Answer to a listing of VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vms {
    /// Listed VMs. The list lags behind the actual state.
    pub vms: Vec<Vm>,
}

/// VM as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub name: Box<str>,
    /// Failure domain in which the VM runs.
    pub domain: Box<str>,
    /// Region of the failure domain.
    pub region: Box<str>,
    /// Address at which the proxy on the VM receives messages from its peers.
    pub address: net::SocketAddr,
    /// Whether the platform will remove the VM soon.
    pub state: VmState,
}

/// Whether the platform keeps a VM running.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM runs, and no removal is announced.
    Live,
    /// The platform will remove the VM soon.
    Leaving,
}
