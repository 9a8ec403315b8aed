//! Walks a parsed statement and collects the facts that determine its class.

use std::ops::ControlFlow;

use sqlparser::ast::{
    Expr, Ident, ObjectName, Query, Select, Statement, TableFactor, Visit, Visitor,
};

use crate::class::functions::{self, CallEffect};
use crate::class::{Kind, PinReason};

/// Prefix of the name of a table in the session's schema for temporary tables.
const TEMPORARY_SCHEMA_PREFIX: &str = "pg_temp.";

/// Facts about a statement.
#[derive(Debug, Default)]
pub(super) struct Findings {
    /// Whether any part of the statement writes data or locks rows.
    pub(super) writes: bool,
    /// First reason why the statement cannot run on a shared connection.
    pub(super) pin_reason: Option<PinReason>,
    /// Tables, in the order of their appearance.
    tables: Vec<Box<str>>,
    /// Names of the common table expressions of the queries that enclose the current position, outermost query first.
    common_table_expressions: Vec<Vec<Box<str>>>,
    /// Whether the next relation is the name of a function in FROM, not of a table.
    skip_relation: bool,
}

impl Findings {
    /// Walks a statement and returns the facts about it.
    pub(super) fn of(statement: &Statement) -> Findings {
        let mut findings = Findings::default();
        // The visitor never returns `ControlFlow::Break`.
        let _: ControlFlow<()> = statement.visit(&mut findings);
        findings
    }

    /// Returns whether the statement reads, writes or pins the connection.
    pub(super) fn kind(&self) -> Kind {
        match (self.pin_reason, self.writes) {
            (Some(reason), _) => Kind::Pin(reason),
            (None, true) => Kind::Write,
            (None, false) => Kind::Read,
        }
    }

    /// Returns the tables, sorted and without duplicates.
    pub(super) fn into_tables(self) -> Vec<Box<str>> {
        let mut tables = self.tables;
        tables.sort_unstable();
        tables.dedup();
        tables
    }

    fn apply_effect(&mut self, effect: CallEffect) {
        match effect {
            CallEffect::Read => {}
            CallEffect::Write => self.writes = true,
            CallEffect::Pin(reason) => self.pin(reason),
        }
    }

    fn pin(&mut self, reason: PinReason) {
        self.pin_reason.get_or_insert(reason);
    }

    fn is_common_table_expression(&self, name: &str) -> bool {
        self.common_table_expressions
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
        let names = expressions.map(|table| fold_identifier(&table.alias.name));
        self.common_table_expressions.push(names.collect());
        ControlFlow::Continue(())
    }

    fn post_visit_query(&mut self, _query: &Query) -> ControlFlow<()> {
        self.common_table_expressions.pop();
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
                self.apply_effect(functions::effect_by_name(name));
                self.skip_relation = true;
            }
            TableFactor::Function { name, .. } => {
                self.apply_effect(functions::effect_by_name(name))
            }
            _ => {}
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_relation(&mut self, relation: &ObjectName) -> ControlFlow<()> {
        if std::mem::take(&mut self.skip_relation) {
            return ControlFlow::Continue(());
        }
        let name = qualified_name(relation);
        if name.starts_with(TEMPORARY_SCHEMA_PREFIX) {
            self.pin(PinReason::TemporaryTable);
        }
        if !self.is_common_table_expression(&name) {
            self.tables.push(name);
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_expr(&mut self, expression: &Expr) -> ControlFlow<()> {
        if let Expr::Function(call) = expression {
            self.apply_effect(functions::call_effect(call));
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

/// Returns the parts of a qualified name, each as [`fold_identifier`] returns it.
pub(super) fn name_parts(name: &ObjectName) -> Vec<Box<str>> {
    name.0
        .iter()
        .map(|part| match part.as_ident() {
            Some(ident) => fold_identifier(ident),
            None => part.to_string().into(),
        })
        .collect()
}

/// Returns the parts of a qualified name, joined by dots.
pub(super) fn qualified_name(name: &ObjectName) -> Box<str> {
    name_parts(name).join(".").into()
}

/// Returns an identifier as the database interprets it: in lower case unless it is quoted.
pub(super) fn fold_identifier(ident: &Ident) -> Box<str> {
    match ident.quote_style {
        Some(_) => ident.value.as_str().into(),
        None => ident.value.to_ascii_lowercase().into(),
    }
}
