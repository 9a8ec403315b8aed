//! Prepared statements of a session, under names that sessions can share on connections to members.

use std::sync::Arc;

use fulmarlift_wire::class;
use fulmarlift_wire::statement;
use pgwire::messages::extendedquery;

/// A prepared statement of a caller.
#[derive(Clone, Debug)]
pub struct Statement {
    /// Name on connections to members, the same in all sessions for the same text and types; empty for the unnamed
    /// statement.
    pub shared_name: Box<str>,
    /// Text of the statement.
    pub sql: Box<str>,
    /// OIDs of the parameter types that the caller has specified.
    pub type_oids: Vec<u32>,
    /// Classes of the statements in the text.
    pub classes: Arc<[class::Statement]>,
}

/// Prepared statements by the caller's names, sorted.
#[derive(Clone, Debug, Default)]
pub struct Statements {
    entries: Vec<(Box<str>, Statement)>,
}

impl Statement {
    /// Creates the statement that a Parse message prepares.
    pub fn new(parse: &extendedquery::Parse, classes: Arc<[class::Statement]>) -> Self {
        let named = parse.name.as_deref().is_some_and(|name| !name.is_empty());
        let shared_name = match named {
            true => statement::shared_name(&parse.query, &parse.type_oids),
            false => Box::default(),
        };
        Self {
            shared_name,
            sql: parse.query.as_str().into(),
            type_oids: parse.type_oids.clone(),
            classes,
        }
    }

    /// Returns the Parse message that prepares the statement on a connection to a member.
    pub fn parse_message(&self) -> extendedquery::Parse {
        let name = Some(self.shared_name.to_string());
        extendedquery::Parse::new(name, self.sql.to_string(), self.type_oids.clone())
    }
}

impl Statements {
    fn find(&self, name: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|(known, _)| known.as_ref().cmp(name))
    }

    /// Returns the statement that the caller has given this name.
    pub fn get(&self, name: &str) -> Option<&Statement> {
        let index = self.find(name).ok()?;
        Some(&self.entries[index].1)
    }

    /// Adds a statement under the caller's name, or replaces the one under that name.
    pub fn insert(&mut self, name: &str, statement: Statement) {
        match self.find(name) {
            Ok(index) => self.entries[index].1 = statement,
            Err(index) => self.entries.insert(index, (name.into(), statement)),
        }
    }

    /// Removes the statement that the caller has given this name; returns whether there was one.
    pub fn remove(&mut self, name: &str) -> bool {
        let found = self.find(name);
        if let Ok(index) = found {
            self.entries.remove(index);
        }
        found.is_ok()
    }

    /// Removes all statements.
    pub fn clear(&mut self) {
        self.entries.clear();
    }
}
