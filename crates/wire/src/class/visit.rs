//! Walks a parsed statement for what decides its class.

use std::ops::ControlFlow;

use sqlparser::ast::{
    Expr, Ident, ObjectName, Query, Select, Statement, TableFactor, Visit, Visitor,
};

use crate::class::functions::{self, CallEffect};
use crate::class::{Kind, PinReason};

/// Start of the name of a table in the session's schema for temporary tables.
const TEMPORARY_SCHEMA_PREFIX: &str = "pg_temp.";

/// What was found in a statement.
#[derive(Debug, Default)]
pub(super) struct Findings {
    /// Whether something in it writes or locks.
    pub(super) writes: bool,
    /// The first reason to pin the connection.
    pub(super) pin: Option<PinReason>,
    /// Tables, in the order of their appearance.
    tables: Vec<Box<str>>,
    /// Names of the common table expressions of each query around.
    expressions: Vec<Vec<Box<str>>>,
    /// Whether the next relation is the name of a function in FROM.
    skip_relation: bool,
}

impl Findings {
    /// Walks a statement.
    pub(super) fn of(statement: &Statement) -> Findings {
        let mut findings = Findings::default();
        // The visitor never breaks off.
        let _: ControlFlow<()> = statement.visit(&mut findings);
        findings
    }

    /// Read, write or pin.
    pub(super) fn kind(&self) -> Kind {
        match (self.pin, self.writes) {
            (Some(reason), _) => Kind::Pin(reason),
            (None, true) => Kind::Write,
            (None, false) => Kind::Read,
        }
    }

    /// The tables, sorted.
    pub(super) fn into_tables(self) -> Vec<Box<str>> {
        let mut tables = self.tables;
        tables.sort_unstable();
        tables.dedup();
        tables
    }

    fn apply(&mut self, effect: CallEffect) {
        match effect {
            CallEffect::Read => {}
            CallEffect::Write => self.writes = true,
            CallEffect::Pin(reason) => self.pin(reason),
        }
    }

    fn pin(&mut self, reason: PinReason) {
        self.pin.get_or_insert(reason);
    }

    fn is_expression(&self, name: &str) -> bool {
        self.expressions
            .iter()
            .flatten()
            .any(|expression| &**expression == name)
    }
}

impl Visitor for Findings {
    type Break = ();

    fn pre_visit_statement(&mut self, statement: &Statement) -> ControlFlow<()> {
        if is_data_modifying(statement) {
            self.writes = true;
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        self.writes |= !query.locks.is_empty();
        let expressions = query.with.iter().flat_map(|with| &with.cte_tables);
        let names = expressions.map(|table| folded(&table.alias.name));
        self.expressions.push(names.collect());
        ControlFlow::Continue(())
    }

    fn post_visit_query(&mut self, _query: &Query) -> ControlFlow<()> {
        self.expressions.pop();
        ControlFlow::Continue(())
    }

    fn pre_visit_select(&mut self, select: &Select) -> ControlFlow<()> {
        match &select.into {
            Some(into) if into.temporary => self.pin(PinReason::TemporaryTable),
            Some(_) => self.writes = true,
            None => {}
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_table_factor(&mut self, factor: &TableFactor) -> ControlFlow<()> {
        match factor {
            TableFactor::Table {
                name,
                args: Some(_),
                ..
            } => {
                self.apply(functions::effect(name));
                self.skip_relation = true;
            }
            TableFactor::Function { name, .. } => self.apply(functions::effect(name)),
            _ => {}
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_relation(&mut self, relation: &ObjectName) -> ControlFlow<()> {
        if std::mem::take(&mut self.skip_relation) {
            return ControlFlow::Continue(());
        }
        let name = joined(relation);
        if name.starts_with(TEMPORARY_SCHEMA_PREFIX) {
            self.pin(PinReason::TemporaryTable);
        }
        if !self.is_expression(&name) {
            self.tables.push(name);
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_expr(&mut self, expression: &Expr) -> ControlFlow<()> {
        if let Expr::Function(call) = expression {
            self.apply(functions::call_effect(call));
        }
        ControlFlow::Continue(())
    }
}

fn is_data_modifying(statement: &Statement) -> bool {
    matches!(
        statement,
        Statement::Insert(_)
            | Statement::Update(_)
            | Statement::Delete(_)
            | Statement::Merge(_)
            | Statement::Truncate(_)
            | Statement::CreateTable(_)
    )
}

/// The parts of a name as the database sees them: in lower case unless quoted.
pub(super) fn parts(name: &ObjectName) -> Vec<Box<str>> {
    name.0
        .iter()
        .map(|part| match part.as_ident() {
            Some(ident) => folded(ident),
            None => part.to_string().into(),
        })
        .collect()
}

/// The parts of a name, joined by dots.
pub(super) fn joined(name: &ObjectName) -> Box<str> {
    parts(name).join(".").into()
}

/// A name in lower case unless it is quoted.
pub(super) fn folded(ident: &Ident) -> Box<str> {
    match ident.quote_style {
        Some(_) => ident.value.as_str().into(),
        None => ident.value.to_ascii_lowercase().into(),
    }
}
