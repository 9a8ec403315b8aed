//! Values by name, in a sorted vector.

/// Values by name.
#[derive(Debug, Clone)]
pub struct Named<T>(Vec<(Box<str>, T)>);

impl<T> Default for Named<T> {
    fn default() -> Self {
        Self(Vec::new())
    }
}

impl<T> Named<T> {
    /// The value with a name.
    pub fn get(&self, name: &str) -> Option<&T> {
        self.place(name).ok().map(|place| &self.0[place].1)
    }

    /// The value with a name, to change it.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut T> {
        self.place(name).ok().map(|place| &mut self.0[place].1)
    }

    /// Puts a value in the place of one with the same name.
    pub fn insert(&mut self, name: &str, value: T) {
        match self.place(name) {
            Ok(place) => self.0[place].1 = value,
            Err(place) => self.0.insert(place, (name.into(), value)),
        }
    }

    /// Takes the value with a name out.
    pub fn remove(&mut self, name: &str) -> Option<T> {
        self.place(name).ok().map(|place| self.0.remove(place).1)
    }

    /// Drops all values.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    fn place(&self, name: &str) -> Result<usize, usize> {
        self.0.binary_search_by(|(found, _)| (**found).cmp(name))
    }
}
