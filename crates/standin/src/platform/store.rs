//! The platform's tables and objects, in memory.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The version of a row; 0 stands for a row that does not exist.
pub type Version = u64;

/// A row of a table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Its key.
    pub key: Box<str>,
    /// The version that last wrote it.
    pub version: Version,
    /// Its value.
    pub value: serde_json::Value,
}

/// A row that has to be at a version for a transaction to take effect.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Check {
    /// The table.
    pub table: Box<str>,
    /// The row's key.
    pub key: Box<str>,
    /// The version; 0 when the row has not to exist.
    pub version: Version,
}

/// A row to write.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Put {
    /// The table.
    pub table: Box<str>,
    /// The row's key.
    pub key: Box<str>,
    /// Its value.
    pub value: serde_json::Value,
}

/// A row to delete.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Delete {
    /// The table.
    pub table: Box<str>,
    /// The row's key.
    pub key: Box<str>,
}

/// A transaction, which takes effect as a whole or not at all.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// What has to hold.
    #[serde(default)]
    pub checks: Vec<Check>,
    /// What to write.
    #[serde(default)]
    pub puts: Vec<Put>,
    /// What to delete.
    #[serde(default)]
    pub deletes: Vec<Delete>,
}

/// The answer to a transaction that took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Committed {
    /// The version of the rows written.
    pub version: Version,
}

/// A row that was not at the version that a check asked for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Conflict {
    /// The table.
    pub table: Box<str>,
    /// The row's key.
    pub key: Box<str>,
    /// Its version; 0 when it does not exist.
    pub version: Version,
    /// Its value; null when it does not exist.
    pub value: serde_json::Value,
}

/// The answer to a transaction that had no effect.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Conflicts {
    /// The rows as they are.
    pub conflicts: Vec<Conflict>,
}

/// What storing an object has come to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stored {
    /// The object is new.
    New,
    /// The same bytes were there already.
    Same,
    /// Other bytes are there, which stay.
    Other,
}

#[derive(Debug)]
struct Table {
    name: Box<str>,
    rows: Vec<Row>,
}

#[derive(Debug)]
struct Object {
    name: Box<str>,
    bytes: Bytes,
}

/// The tables and objects.
#[derive(Debug, Default)]
pub struct Store {
    version: Version,
    tables: Vec<Table>,
    objects: Vec<Object>,
}

impl Store {
    /// The row with a key.
    pub fn row(&self, table: &str, key: &str) -> Option<&Row> {
        let rows = self.rows(table);
        let place = place_of_row(rows, key).ok()?;
        rows.get(place)
    }

    /// The rows after a key, in key order.
    pub fn rows_after(&self, table: &str, after: &str, limit: usize) -> &[Row] {
        let rows = self.rows(table);
        let start = rows.partition_point(|row| *row.key <= *after);
        let end = start.saturating_add(limit).min(rows.len());
        &rows[start..end]
    }

    /// Makes a transaction take effect if its checks hold.
    pub fn commit(&mut self, transaction: Transaction) -> Result<Committed, Conflicts> {
        let conflicts = self.conflicts(&transaction.checks);
        if !conflicts.is_empty() {
            return Err(Conflicts { conflicts });
        }
        if transaction.puts.is_empty() && transaction.deletes.is_empty() {
            return Ok(Committed {
                version: self.version,
            });
        }
        self.version += 1;
        for delete in &transaction.deletes {
            self.delete(delete);
        }
        for put in transaction.puts {
            self.put(put);
        }
        Ok(Committed {
            version: self.version,
        })
    }

    /// The bytes of an object.
    pub fn object(&self, name: &str) -> Option<Bytes> {
        let place = self.place_of_object(name).ok()?;
        Some(self.objects[place].bytes.clone())
    }

    /// Stores an object, which never changes afterwards.
    pub fn store_object(&mut self, name: &str, bytes: Bytes) -> Stored {
        match self.place_of_object(name) {
            Ok(place) if self.objects[place].bytes == bytes => Stored::Same,
            Ok(_) => Stored::Other,
            Err(place) => {
                let name = name.into();
                self.objects.insert(place, Object { name, bytes });
                Stored::New
            }
        }
    }

    fn conflicts(&self, checks: &[Check]) -> Vec<Conflict> {
        checks
            .iter()
            .filter_map(|check| {
                let row = self.row(&check.table, &check.key);
                let version = row.map_or(0, |row| row.version);
                (version != check.version).then(|| Conflict {
                    table: check.table.clone(),
                    key: check.key.clone(),
                    version,
                    value: row.map_or(serde_json::Value::Null, |row| row.value.clone()),
                })
            })
            .collect()
    }

    fn put(&mut self, put: Put) {
        let row = Row {
            key: put.key,
            version: self.version,
            value: put.value,
        };
        let rows = self.rows_mut(&put.table);
        match place_of_row(rows, &row.key) {
            Ok(place) => rows[place] = row,
            Err(place) => rows.insert(place, row),
        }
    }

    fn delete(&mut self, delete: &Delete) {
        let rows = self.rows_mut(&delete.table);
        if let Ok(place) = place_of_row(rows, &delete.key) {
            rows.remove(place);
        }
    }

    fn rows(&self, table: &str) -> &[Row] {
        match self.place_of_table(table) {
            Ok(place) => &self.tables[place].rows,
            Err(_) => &[],
        }
    }

    fn rows_mut(&mut self, table: &str) -> &mut Vec<Row> {
        let place = self.place_of_table(table).unwrap_or_else(|place| {
            let name = table.into();
            let rows = Vec::new();
            self.tables.insert(place, Table { name, rows });
            place
        });
        &mut self.tables[place].rows
    }

    fn place_of_table(&self, name: &str) -> Result<usize, usize> {
        self.tables
            .binary_search_by(|table| (*table.name).cmp(name))
    }

    fn place_of_object(&self, name: &str) -> Result<usize, usize> {
        self.objects
            .binary_search_by(|object| (*object.name).cmp(name))
    }
}

fn place_of_row(rows: &[Row], key: &str) -> Result<usize, usize> {
    rows.binary_search_by(|row| (*row.key).cmp(key))
}
