//! Settings that a session has made, to be made again on each connection that it uses.

/// Settings by name, sorted.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Tracked {
    entries: Vec<(Box<str>, Box<str>)>,
}

impl Tracked {
    /// Sets a value.
    pub fn set(&mut self, name: &str, value: &str) {
        match self
            .entries
            .binary_search_by(|(known, _)| known.as_ref().cmp(name))
        {
            Ok(index) => self.entries[index].1 = value.into(),
            Err(index) => self.entries.insert(index, (name.into(), value.into())),
        }
    }

    /// Forgets a value.
    pub fn reset(&mut self, name: &str) {
        self.entries.retain(|(known, _)| known.as_ref() != name);
    }

    /// Forgets all values.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// Returns the values, sorted by name.
    pub fn entries(&self) -> &[(Box<str>, Box<str>)] {
        &self.entries
    }

    /// Returns the statements that turn a connection's settings into these; empty when they are the same.
    pub fn difference(&self, applied: &[(Box<str>, Box<str>)]) -> String {
        let mut sql = String::new();
        for (name, _) in applied {
            if self
                .entries
                .binary_search_by(|(known, _)| known.cmp(name))
                .is_err()
            {
                sql.push_str(&format!("RESET {};", identifier(name)));
            }
        }
        for entry in &self.entries {
            if applied.binary_search(entry).is_err() {
                let (name, value) = entry;
                sql.push_str(&format!("SET {} TO {};", identifier(name), literal(value)));
            }
        }
        sql
    }
}

fn identifier(name: &str) -> String {
    let parts = name.split('.');
    let quoted = parts.map(|part| format!("\"{}\"", part.replace('"', "\"\"")));
    quoted.collect::<Vec<_>>().join(".")
}

fn literal(value: &str) -> String {
    format!("'{}'", value.replace('\'', "''"))
}
