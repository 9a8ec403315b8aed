//! The settings of a session.

use crate::member::{error, named};

type Values = named::Named<Box<str>>;

/// Settings, which a rolled back transaction restores.
#[derive(Debug, Default)]
pub struct Settings {
    defaults: Values,
    values: Values,
    saved: Option<Values>,
    local: Vec<Box<str>>,
    told: Values,
}

impl Settings {
    /// Settings with the values of the startup message.
    pub fn new<'a>(startup: impl Iterator<Item = (&'a str, &'a str)>) -> Self {
        let mut defaults = Values::default();
        for (name, value) in REPORTED.into_iter().chain(startup) {
            defaults.insert(&key(name), value.into());
        }
        Self {
            values: defaults.clone(),
            defaults,
            ..Self::default()
        }
    }

    /// The settings to report to the caller, which have changed since they were last taken.
    pub fn take_changes(&mut self) -> Vec<(&'static str, Box<str>)> {
        let mut changes = Vec::new();
        for (name, _) in REPORTED {
            let value = self.values.get(&key(name)).cloned().unwrap_or_default();
            if self.told.get(name) != Some(&value) {
                self.told.insert(name, value.clone());
                changes.push((name, value));
            }
        }
        changes
    }

    /// The value of a setting.
    pub fn show(&self, name: &str) -> Result<Box<str>, error::SqlError> {
        self.values.get(&key(name)).cloned().ok_or_else(|| {
            let message = format!("unrecognized configuration parameter \"{name}\"");
            error::SqlError::new(error::UNDEFINED_OBJECT, message)
        })
    }

    /// Sets a setting; a local one ends with the transaction.
    pub fn set(&mut self, name: &str, value: Box<str>, local: bool) {
        if local {
            self.local.push(key(name));
        }
        self.values.insert(&key(name), value);
    }

    /// Resets a setting, or all.
    pub fn reset(&mut self, name: Option<&str>) {
        let Some(name) = name else {
            self.values = self.defaults.clone();
            return;
        };
        restore(&mut self.values, &self.defaults, &key(name));
    }

    /// Marks the start of a transaction.
    pub fn begin(&mut self) {
        self.saved = Some(self.values.clone());
    }

    /// Ends the transaction.
    pub fn end(&mut self, committed: bool) {
        let local = std::mem::take(&mut self.local);
        let Some(saved) = self.saved.take() else {
            return;
        };
        if !committed {
            self.values = saved;
            return;
        }
        for name in local {
            restore(&mut self.values, &saved, &name);
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

fn key(name: &str) -> Box<str> {
    name.to_ascii_lowercase().into()
}

const REPORTED: [(&str, &str); 8] = [
    ("application_name", ""),
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("TimeZone", "UTC"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];
