//! Classes of statement texts seen before.

use std::cmp::Ordering;
use std::sync::Arc;

use xxhash_rust::xxh3;

use crate::class::{self, Statement};

/// Texts longer than this are not kept.
const MAX_TEXT_BYTES: usize = 16 << 10;

/// Bytes that an entry costs beside its text, roughly.
const ENTRY_BYTES: usize = 256;

/// A bounded cache; the least recently used entries make room for new ones.
#[derive(Debug)]
pub struct Cache {
    entries: Vec<Entry>,
    max_entries: usize,
    max_bytes: usize,
    used_bytes: usize,
    tick: u64,
}

/// One text, in the order of its hash.
#[derive(Debug)]
struct Entry {
    hash: u64,
    text: Box<str>,
    statements: Arc<[Statement]>,
    used_at_tick: u64,
}

impl Cache {
    /// A cache of at most `max_entries` texts and about `max_bytes`.
    pub fn new(max_entries: usize, max_bytes: usize) -> Cache {
        Cache {
            entries: Vec::new(),
            max_entries,
            max_bytes,
            used_bytes: 0,
            tick: 0,
        }
    }

    /// The statements of a text, classified when the text is not in the cache.
    pub fn classify(&mut self, sql: &str) -> Arc<[Statement]> {
        self.tick += 1;
        let hash = xxh3::xxh3_64(sql.as_bytes());
        match self.find(hash, sql) {
            Ok(index) => {
                let entry = &mut self.entries[index];
                entry.used_at_tick = self.tick;
                Arc::clone(&entry.statements)
            }
            Err(_) => self.add(hash, sql),
        }
    }

    /// Texts in the cache.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the cache holds nothing.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes counted for the texts in the cache.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    fn add(&mut self, hash: u64, sql: &str) -> Arc<[Statement]> {
        let statements: Arc<[Statement]> = class::classify(sql).into();
        let cost = cost_bytes(sql, &statements);
        if sql.len() > MAX_TEXT_BYTES || cost > self.max_bytes || self.max_entries == 0 {
            return statements;
        }
        while self.entries.len() >= self.max_entries || self.used_bytes + cost > self.max_bytes {
            self.evict();
        }
        self.used_bytes += cost;
        let entry = Entry {
            hash,
            text: sql.into(),
            statements: Arc::clone(&statements),
            used_at_tick: self.tick,
        };
        if let Err(index) = self.find(hash, sql) {
            self.entries.insert(index, entry);
        }
        statements
    }

    fn evict(&mut self) {
        let oldest = (0..self.entries.len()).min_by_key(|index| self.entries[*index].used_at_tick);
        if let Some(index) = oldest {
            let entry = self.entries.remove(index);
            self.used_bytes -= cost_bytes(&entry.text, &entry.statements);
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

fn cost_bytes(sql: &str, statements: &[Statement]) -> usize {
    sql.len() * 2 + ENTRY_BYTES + size_of_val(statements)
}
