//! Tables and objects of the platform, in memory.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Version of a row: the number, among the transactions that wrote or deleted rows, of the one that last wrote it; 0
/// stands for a row that does not exist.
pub type Version = u64;

/// Row of a table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row, unique in its table.
    pub key: Box<str>,
    /// Version of the row.
    pub version: Version,
    /// Value of the row.
    pub value: serde_json::Value,
}

/// Condition of a transaction: a row must have a version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Check {
    /// Name of the table.
    pub table: Box<str>,
    /// Key of the row.
    pub key: Box<str>,
    /// Required version; 0 requires that the row does not exist.
    pub version: Version,
}

/// Row that a transaction writes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Put {
    /// Name of the table.
    pub table: Box<str>,
    /// Key of the row.
    pub key: Box<str>,
    /// New value of the row.
    pub value: serde_json::Value,
}

/// Row that a transaction deletes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Delete {
    /// Name of the table.
    pub table: Box<str>,
    /// Key of the row.
    pub key: Box<str>,
}

/// Transaction, which takes effect as a whole or not at all.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions; if one is not met, the transaction has no effect.
    #[serde(default)]
    pub checks: Vec<Check>,
    /// Rows to write.
    #[serde(default)]
    pub puts: Vec<Put>,
    /// Rows to delete.
    #[serde(default)]
    pub deletes: Vec<Delete>,
}

/// Answer to a transaction that took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Committed {
    /// Version of the written rows; for a transaction without writes, that of the last transaction with writes.
    pub version: Version,
}

/// Row that did not have the version that a check requires.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Conflict {
    /// Name of the table.
    pub table: Box<str>,
    /// Key of the row.
    pub key: Box<str>,
    /// Current version of the row; 0 if it does not exist.
    pub version: Version,
    /// Current value of the row; null if it does not exist.
    pub value: serde_json::Value,
}

/// Answer to a transaction that had no effect because a check failed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Conflicts {
    /// Rows whose checks failed, as they are now.
    pub conflicts: Vec<Conflict>,
}

/// Result of storing an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutOutcome {
    /// The object was created.
    New,
    /// The object existed with the same bytes.
    Identical,
    /// The object existed with different bytes, which it keeps.
    Different,
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

/// Tables and objects of the platform.
#[derive(Debug, Default)]
pub struct Store {
    /// Version of the last transaction that wrote or deleted rows.
    version: Version,
    tables: Vec<Table>,
    objects: Vec<Object>,
}

impl Store {
    /// Returns the row with the key.
    pub fn row(&self, table: &str, key: &str) -> Option<&Row> {
        let rows = self.rows(table);
        let index = find_row(rows, key).ok()?;
        rows.get(index)
    }

    /// Returns at most `limit` rows whose keys follow `after`, in key order.
    pub fn rows_after(&self, table: &str, after: &str, limit: usize) -> &[Row] {
        let rows = self.rows(table);
        let start = rows.partition_point(|row| *row.key <= *after);
        let end = start.saturating_add(limit).min(rows.len());
        &rows[start..end]
    }

    /// Applies a transaction if all its checks hold; otherwise returns the current state of the rows whose checks
    /// failed.
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

    /// Returns the bytes of an object.
    pub fn object(&self, name: &str) -> Option<Bytes> {
        let index = self.find_object(name).ok()?;
        Some(self.objects[index].bytes.clone())
    }

    /// Stores an object, which never changes afterwards.
    pub fn put_object(&mut self, name: &str, bytes: Bytes) -> PutOutcome {
        match self.find_object(name) {
            Ok(index) if self.objects[index].bytes == bytes => PutOutcome::Identical,
            Ok(_) => PutOutcome::Different,
            Err(index) => {
                let name = name.into();
                self.objects.insert(index, Object { name, bytes });
                PutOutcome::New
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
        match find_row(rows, &row.key) {
            Ok(index) => rows[index] = row,
            Err(index) => rows.insert(index, row),
        }
    }

    fn delete(&mut self, delete: &Delete) {
        let rows = self.rows_mut(&delete.table);
        if let Ok(index) = find_row(rows, &delete.key) {
            rows.remove(index);
        }
    }

    fn rows(&self, table: &str) -> &[Row] {
        match self.find_table(table) {
            Ok(index) => &self.tables[index].rows,
            Err(_) => &[],
        }
    }

    fn rows_mut(&mut self, table: &str) -> &mut Vec<Row> {
        let index = self.find_table(table).unwrap_or_else(|index| {
            let name = table.into();
            let rows = Vec::new();
            self.tables.insert(index, Table { name, rows });
            index
        });
        &mut self.tables[index].rows
    }

    fn find_table(&self, name: &str) -> Result<usize, usize> {
        self.tables
            .binary_search_by(|table| (*table.name).cmp(name))
    }

    fn find_object(&self, name: &str) -> Result<usize, usize> {
        self.objects
            .binary_search_by(|object| (*object.name).cmp(name))
    }
}

fn find_row(rows: &[Row], key: &str) -> Result<usize, usize> {
    rows.binary_search_by(|row| (*row.key).cmp(key))
}
