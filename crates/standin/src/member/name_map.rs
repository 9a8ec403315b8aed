//! Map from names to values, in a sorted vector.

/// Map from names to values.
#[derive(Debug, Clone)]
pub struct NameMap<T>(Vec<(Box<str>, T)>);

impl<T> Default for NameMap<T> {
    fn default() -> Self {
        Self(Vec::new())
    }
}

impl<T> NameMap<T> {
    /// Returns the value with the name.
    pub fn get(&self, name: &str) -> Option<&T> {
        self.search(name).ok().map(|index| &self.0[index].1)
    }

    /// Returns the value with the name, for modification.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut T> {
        self.search(name).ok().map(|index| &mut self.0[index].1)
    }

    /// Inserts a value, and replaces an existing value with the same name.
    pub fn insert(&mut self, name: &str, value: T) {
        match self.search(name) {
            Ok(index) => self.0[index].1 = value,
            Err(index) => self.0.insert(index, (name.into(), value)),
        }
    }

    /// Removes and returns the value with the name.
    pub fn remove(&mut self, name: &str) -> Option<T> {
        self.search(name).ok().map(|index| self.0.remove(index).1)
    }

    /// Removes all values.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    fn search(&self, name: &str) -> Result<usize, usize> {
        self.0.binary_search_by(|(found, _)| (**found).cmp(name))
    }
}
