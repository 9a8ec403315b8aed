//! Caches the classification of SQL texts.

use std::cmp::Ordering;
use std::sync::Arc;

use xxhash_rust::xxh3;

use crate::class::{self, Statement};

/// Maximum size of a text in the cache, whatever the limits of the cache are. Longer texts are classified each time.
const MAX_TEXT_BYTES: usize = 16 << 10;

/// Estimated memory of an entry in addition to its text and statements.
const ENTRY_OVERHEAD_BYTES: usize = 256;

/// A bounded cache of classified texts, which evicts the least recently used entries.
#[derive(Debug)]
pub struct Cache {
    entries: Vec<Entry>,
    max_entries: usize,
    max_bytes: usize,
    used_bytes: usize,
    /// Number of lookups so far.
    lookups: u64,
}

/// Entry of one text. The entries are sorted by hash and text.
#[derive(Debug)]
struct Entry {
    hash: u64,
    text: Box<str>,
    statements: Arc<[Statement]>,
    /// Number of the last lookup that used the entry.
    last_lookup: u64,
}

impl Cache {
    /// Creates a cache for at most `max_entries` texts and about `max_bytes` of memory.
    pub fn new(max_entries: usize, max_bytes: usize) -> Cache {
        Cache {
            entries: Vec::new(),
            max_entries,
            max_bytes,
            used_bytes: 0,
            lookups: 0,
        }
    }

    /// Returns the statements of a text from the cache, or classifies the text and caches the result.
    pub fn classify(&mut self, sql: &str) -> Arc<[Statement]> {
        self.lookups += 1;
        let hash = xxh3::xxh3_64(sql.as_bytes());
        match self.find(hash, sql) {
            Ok(index) => {
                let entry = &mut self.entries[index];
                entry.last_lookup = self.lookups;
                Arc::clone(&entry.statements)
            }
            Err(_) => self.classify_and_insert(hash, sql),
        }
    }

    /// Returns the number of texts in the cache.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the cache holds no texts.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the estimated memory of the entries, which `max_bytes` limits.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    fn classify_and_insert(&mut self, hash: u64, sql: &str) -> Arc<[Statement]> {
        let statements: Arc<[Statement]> = class::classify(sql).into();
        let entry_bytes = estimated_bytes(sql, &statements);
        if sql.len() > MAX_TEXT_BYTES || entry_bytes > self.max_bytes || self.max_entries == 0 {
            return statements;
        }
        while self.entries.len() >= self.max_entries
            || self.used_bytes + entry_bytes > self.max_bytes
        {
            self.evict_oldest();
        }
        self.used_bytes += entry_bytes;
        let entry = Entry {
            hash,
            text: sql.into(),
            statements: Arc::clone(&statements),
            last_lookup: self.lookups,
        };
        if let Err(index) = self.find(hash, sql) {
            self.entries.insert(index, entry);
        }
        statements
    }

    fn evict_oldest(&mut self) {
        let oldest = (0..self.entries.len()).min_by_key(|index| self.entries[*index].last_lookup);
        if let Some(index) = oldest {
            let entry = self.entries.remove(index);
            self.used_bytes -= estimated_bytes(&entry.text, &entry.statements);
        }
    }

    fn find(&self, hash: u64, sql: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| match entry.hash.cmp(&hash) {
                Ordering::Equal => (*entry.text).cmp(sql),
                other => other,
            })
    }
}

fn estimated_bytes(sql: &str, statements: &[Statement]) -> usize {
    sql.len() * 2 + ENTRY_OVERHEAD_BYTES + size_of_val(statements)
}
