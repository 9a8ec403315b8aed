//! Settings of a session.

use crate::member::{error, name_map};

type Values = name_map::NameMap<Box<str>>;

/// Settings of a session. A transaction that rolls back restores the values from before it.
#[derive(Debug, Default)]
pub struct Settings {
    defaults: Values,
    values: Values,
    before_transaction: Option<Values>,
    /// Names of the settings that have local values.
    local_names: Vec<Box<str>>,
    /// Values that were last reported to the caller.
    reported: Values,
}

impl Settings {
    /// Creates settings with the default values and those of the startup message.
    pub fn new<'a>(startup: impl Iterator<Item = (&'a str, &'a str)>) -> Self {
        let mut defaults = Values::default();
        for (name, value) in REPORTED_DEFAULTS.into_iter().chain(startup) {
            defaults.insert(&normalized_name(name), value.into());
        }
        Self {
            values: defaults.clone(),
            defaults,
            ..Self::default()
        }
    }

    /// Returns the reported settings whose values changed since the last call.
    pub fn drain_changes(&mut self) -> Vec<(&'static str, Box<str>)> {
        let mut changes = Vec::new();
        for (name, _) in REPORTED_DEFAULTS {
            let value = self
                .values
                .get(&normalized_name(name))
                .cloned()
                .unwrap_or_default();
            if self.reported.get(name) != Some(&value) {
                self.reported.insert(name, value.clone());
                changes.push((name, value));
            }
        }
        changes
    }

    /// Returns the value of a setting; an error if the setting is unknown.
    pub fn show(&self, name: &str) -> Result<Box<str>, error::SqlError> {
        self.values
            .get(&normalized_name(name))
            .cloned()
            .ok_or_else(|| {
                let message = format!("unrecognized configuration parameter \"{name}\"");
                error::SqlError::new(error::UNDEFINED_OBJECT, message)
            })
    }

    /// Sets a setting. A local value lasts until the end of the transaction block; without a block it stays.
    pub fn set(&mut self, name: &str, value: Box<str>, local: bool) {
        if local {
            self.local_names.push(normalized_name(name));
        }
        self.values.insert(&normalized_name(name), value);
    }

    /// Resets one setting, or all if no name is given, to the values at startup.
    pub fn reset(&mut self, name: Option<&str>) {
        let Some(name) = name else {
            self.values = self.defaults.clone();
            return;
        };
        restore(&mut self.values, &self.defaults, &normalized_name(name));
    }

    /// Marks the start of a transaction block.
    pub fn begin_transaction(&mut self) {
        self.before_transaction = Some(self.values.clone());
    }

    /// Ends the transaction block: keeps all but the local values after a commit, restores all values after a rollback.
    pub fn end_transaction(&mut self, committed: bool) {
        let local = std::mem::take(&mut self.local_names);
        let Some(before_transaction) = self.before_transaction.take() else {
            return;
        };
        if !committed {
            self.values = before_transaction;
            return;
        }
        for name in local {
            restore(&mut self.values, &before_transaction, &name);
        }
    }
}

fn restore(values: &mut Values, from: &Values, name: &str) {
    match from.get(name) {
        Some(value) => values.insert(name, value.clone()),
        None => {
            values.remove(name);
        }
    }
}

fn normalized_name(name: &str) -> Box<str> {
    name.to_ascii_lowercase().into()
}

/// Settings whose changes are reported to the caller, with their default values.
const REPORTED_DEFAULTS: [(&str, &str); 8] = [
    ("application_name", ""),
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("TimeZone", "UTC"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];
