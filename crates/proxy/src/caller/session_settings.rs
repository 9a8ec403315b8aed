//! Settings that a session has made, to be made again on each connection that it uses.

use fulmarlift_wire::class;

/// Settings by name, sorted.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SessionSettings {
    entries: Vec<(Box<str>, Box<str>)>,
    startup: Vec<(Box<str>, Box<str>)>,
}

impl SessionSettings {
    /// Returns settings with these values, sorted by name, and nothing to go back to.
    pub fn new(entries: Vec<(Box<str>, Box<str>)>) -> Self {
        Self {
            entries,
            ..Self::default()
        }
    }

    /// Takes in a statement that sets or resets for the session.
    pub fn apply(&mut self, kind: &class::Kind) {
        match kind {
            class::Kind::Set { name, value, .. } => self.set(name, value),
            class::Kind::Reset { name, .. } if name.as_ref() != "all" => self.reset(name),
            class::Kind::Reset { .. } | class::Kind::DiscardAll => self.reset_all(),
            _ => {}
        }
    }

    /// Makes the present values those that a reset goes back to.
    pub fn save_as_startup(&mut self) {
        self.startup = self.entries.clone();
    }

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

    /// Goes back to the value at the session's start.
    pub fn reset(&mut self, name: &str) {
        self.entries.retain(|(known, _)| known.as_ref() != name);
        let started = self
            .startup
            .iter()
            .find(|(known, _)| known.as_ref() == name);
        if let Some((_, value)) = started.cloned() {
            self.set(name, &value);
        }
    }

    /// Goes back to all values at the session's start.
    pub fn reset_all(&mut self) {
        self.entries = self.startup.clone();
    }

    /// Returns the values, sorted by name.
    pub fn entries(&self) -> &[(Box<str>, Box<str>)] {
        &self.entries
    }

    /// Returns the statements that turn a connection's settings into these; empty when they are the same.
    pub fn sql_from(&self, applied: &[(Box<str>, Box<str>)]) -> String {
        let mut sql = String::new();
        for (name, _) in applied {
            if self
                .entries
                .binary_search_by(|(known, _)| known.cmp(name))
                .is_err()
            {
                sql.push_str(&format!("RESET {};", quote_identifier(name)));
            }
        }
        for entry in &self.entries {
            if applied.binary_search(entry).is_err() {
                let (name, value) = entry;
                // Unlike SET this takes lists as one text.
                let (name, value) = (quote_literal(name), quote_literal(value));
                sql.push_str(&format!("SELECT set_config({name}, {value}, false);"));
            }
        }
        sql
    }
}

/// Returns the statement that shows a setting.
pub fn show_sql(name: &str) -> String {
    format!("SHOW {}", quote_identifier(name))
}

fn quote_identifier(name: &str) -> String {
    let parts = name.split('.');
    let quoted = parts.map(|part| format!("\"{}\"", part.replace('"', "\"\"")));
    quoted.collect::<Vec<_>>().join(".")
}

fn quote_literal(value: &str) -> String {
    format!("'{}'", value.replace('\'', "''"))
}
