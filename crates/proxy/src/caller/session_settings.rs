//! Settings that a session has made; the proxy applies them to each connection that the session uses, and remembers
//! for each connection which settings are applied.

use fulmarlift_wire::{class, quote};

/// Current and startup values of settings, sorted by name: those of a session, or the current values on a connection.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SessionSettings {
    entries: Vec<(Box<str>, Box<str>)>,
    startup: Vec<(Box<str>, Box<str>)>,
}

impl SessionSettings {
    /// Creates settings with these current values, sorted by name, and without startup values, as on a connection.
    pub fn new(entries: Vec<(Box<str>, Box<str>)>) -> Self {
        Self {
            entries,
            ..Self::default()
        }
    }

    /// Applies a statement that sets or resets settings of the session.
    pub fn apply(&mut self, kind: &class::Kind) {
        match kind {
            class::Kind::Set { name, value, .. } => self.set(name, value),
            class::Kind::Reset { name, .. } if name.as_ref() != "all" => self.reset(name),
            class::Kind::Reset { .. } | class::Kind::DiscardAll => self.reset_all(),
            _ => {}
        }
    }

    /// Saves the current values as the startup values, which a reset restores.
    pub fn save_as_startup(&mut self) {
        self.startup = self.entries.clone();
    }

    /// Sets the current value of a setting.
    pub fn set(&mut self, name: &str, value: &str) {
        match self
            .entries
            .binary_search_by(|(known, _)| known.as_ref().cmp(name))
        {
            Ok(index) => self.entries[index].1 = value.into(),
            Err(index) => self.entries.insert(index, (name.into(), value.into())),
        }
    }

    /// Restores the startup value of a setting.
    pub fn reset(&mut self, name: &str) {
        self.entries.retain(|(known, _)| known.as_ref() != name);
        let startup_value = self
            .startup
            .iter()
            .find(|(known, _)| known.as_ref() == name);
        if let Some((_, value)) = startup_value.cloned() {
            self.set(name, &value);
        }
    }

    /// Restores all startup values.
    pub fn reset_all(&mut self) {
        self.entries = self.startup.clone();
    }

    /// Returns names and current values, sorted by name.
    pub fn entries(&self) -> &[(Box<str>, Box<str>)] {
        &self.entries
    }

    /// Returns the SQL that replaces the settings `applied` of a connection by these; empty if they are the same.
    pub fn sql_to_replace(&self, applied: &[(Box<str>, Box<str>)]) -> String {
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
                // Unlike SET, set_config takes a list as one text.
                let (name, value) = (quote::literal(name), quote::literal(value));
                sql.push_str(&format!("SELECT set_config({name}, {value}, false);"));
            }
        }
        sql
    }
}

/// Returns the SQL that shows a setting.
pub fn show_sql(name: &str) -> String {
    format!("SHOW {}", quote_identifier(name))
}

fn quote_identifier(name: &str) -> String {
    let parts = name.split('.');
    let quoted = parts.map(|part| format!("\"{}\"", part.replace('"', "\"\"")));
    quoted.collect::<Vec<_>>().join(".")
}
