//! A map kept as a vector sorted by key.

use serde::{Deserialize, Serialize};

/// A map whose entries are sorted by key and found by binary search. Inserting the highest key is cheap.
#[derive(Clone, Debug, Eq, PartialEq, Hash, Serialize, Deserialize)]
pub struct Map<K, V> {
    entries: Vec<(K, V)>,
}

impl<K, V> Default for Map<K, V> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
        }
    }
}

impl<K: Ord + Copy, V> Map<K, V> {
    fn find(&self, key: K) -> Result<usize, usize> {
        match self.entries.last() {
            Some((last, _)) if *last < key => Err(self.entries.len()),
            _ => self.entries.binary_search_by_key(&key, |(k, _)| *k),
        }
    }

    /// Returns the value of the key.
    pub fn get(&self, key: K) -> Option<&V> {
        let index = self.find(key).ok()?;
        Some(&self.entries[index].1)
    }

    /// Returns the value of the key for modification.
    pub fn get_mut(&mut self, key: K) -> Option<&mut V> {
        let index = self.find(key).ok()?;
        Some(&mut self.entries[index].1)
    }

    /// Returns the value of the key; inserts the default value first if the key is missing.
    pub fn entry(&mut self, key: K) -> &mut V
    where
        V: Default,
    {
        let index = match self.find(key) {
            Ok(index) => index,
            Err(index) => {
                self.entries.insert(index, (key, V::default()));
                index
            }
        };
        &mut self.entries[index].1
    }

    /// Sets the value of the key and returns the previous value.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.find(key) {
            Ok(index) => Some(std::mem::replace(&mut self.entries[index].1, value)),
            Err(index) => {
                self.entries.insert(index, (key, value));
                None
            }
        }
    }

    /// Removes the key and returns its value.
    pub fn remove(&mut self, key: K) -> Option<V> {
        let index = self.find(key).ok()?;
        Some(self.entries.remove(index).1)
    }

    /// Returns whether the key is present.
    pub fn contains(&self, key: K) -> bool {
        self.find(key).is_ok()
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Iterates over keys and values in key order.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (K, &V)> + '_ {
        self.entries.iter().map(|(key, value)| (*key, value))
    }

    /// Iterates over keys and modifiable values in key order.
    pub fn iter_mut(&mut self) -> impl DoubleEndedIterator<Item = (K, &mut V)> + '_ {
        self.entries.iter_mut().map(|(key, value)| (*key, value))
    }

    /// Iterates over the keys in ascending order.
    pub fn keys(&self) -> impl DoubleEndedIterator<Item = K> + '_ {
        self.entries.iter().map(|(key, _)| *key)
    }

    /// Iterates over the values in key order.
    pub fn values(&self) -> impl DoubleEndedIterator<Item = &V> + '_ {
        self.entries.iter().map(|(_, value)| value)
    }

    /// Keeps the entries for which `keep` returns true.
    pub fn retain(&mut self, mut keep: impl FnMut(K, &mut V) -> bool) {
        self.entries.retain_mut(|(key, value)| keep(*key, value));
    }
}

impl<K: Ord + Copy, V> FromIterator<(K, V)> for Map<K, V> {
    fn from_iter<I: IntoIterator<Item = (K, V)>>(entries: I) -> Self {
        let mut entries: Vec<(K, V)> = entries.into_iter().collect();
        entries.sort_by_key(|(key, _)| *key);
        // The stable sort keeps entries of equal keys in order. `dedup_by_key` keeps the first of them, so
        // reversing around it keeps the last.
        entries.reverse();
        entries.dedup_by_key(|(key, _)| *key);
        entries.reverse();
        Self { entries }
    }
}
