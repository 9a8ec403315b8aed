//! From a text to its statements.

use sqlparser::ast::{
    self, CopyTarget, Declare, DiscardObject, Ident, TransactionMode, UtilityOption,
};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;

use crate::class::visit::{self, Findings};
use crate::class::{Kind, PinReason, Statement, functions, settings};

/// Longer texts are not parsed. A parsed text takes many times its size for a moment.
pub const MAX_SQL_BYTES: usize = 64 << 10;

/// Start of a quoted name in which characters stand as escapes.
const ESCAPED_NAME: &str = "u&\"";

/// Stack that parsing a short text needs, in bytes.
const MIN_STACK_BYTES: usize = 256 << 10;

/// Stack for each byte of a text. A chain of operators makes a tree of half its length, and the end of a tree takes
/// stack in proportion to its depth; the parser limits only other kinds of depth.
const STACK_BYTES_PER_BYTE: usize = 1 << 10;

/// The statements of a text in their order; one unparsed write when it can't be parsed or is too long.
pub fn classify(sql: &str) -> Vec<Statement> {
    if sql.len() > MAX_SQL_BYTES {
        return vec![unparsed(sql)];
    }
    let stack_bytes = MIN_STACK_BYTES + sql.len() * STACK_BYTES_PER_BYTE;
    stacker::maybe_grow(stack_bytes, stack_bytes, || parse(sql))
}

fn parse(sql: &str) -> Vec<Statement> {
    match Parser::parse_sql(&PostgreSqlDialect {}, sql) {
        Ok(statements) if statements.is_empty() => vec![Statement::new(Kind::Empty)],
        Ok(statements) => statements.iter().map(statement).collect(),
        Err(_) => vec![unparsed(sql)],
    }
}

/// A text that names a control function of a group's members, or writes names in a form that can hide one, is
/// taken for a call of it.
fn unparsed(sql: &str) -> Statement {
    let text = sql.to_ascii_lowercase();
    let mut statement = Statement::unparsed();
    if functions::control().any(|name| text.contains(name)) || text.contains(ESCAPED_NAME) {
        statement.kind = Kind::Pin(PinReason::GroupControl);
    }
    statement
}

fn statement(parsed: &ast::Statement) -> Statement {
    use ast::Statement as S;
    match parsed {
        S::Query(_) | S::Fetch { .. } | S::Close { .. } => visited(parsed),
        S::StartTransaction {
            modes, statements, ..
        } if statements.is_empty() => begin(modes),
        S::Commit { chain: true, .. } => Statement::new(Kind::Pin(PinReason::CommitAndChain)),
        S::Commit { .. } => Statement::new(Kind::Commit),
        S::Rollback { savepoint, .. } => rollback(savepoint.as_ref()),
        S::Savepoint { .. } | S::ReleaseSavepoint { .. } => Statement::new(Kind::Savepoint),
        S::Set(set) => settings::set(set),
        S::ShowVariable { variable } => Statement::new(settings::show(variable)),
        S::Reset(reset) => Statement::new(settings::reset(reset)),
        S::Discard {
            object_type: DiscardObject::ALL,
        } => Statement::new(Kind::DiscardAll),
        S::Copy { to, target, .. } => copy(parsed, *to, target),
        S::Prepare {
            name, statement, ..
        } => prepare(name, statement),
        S::Execute {
            name: Some(name), ..
        } => Statement::new(Kind::ExecutePrepared {
            name: visit::joined(name),
        }),
        S::Deallocate { name, .. } => deallocate(name),
        S::Explain {
            analyze,
            options,
            statement,
            ..
        } => explain(parsed, *analyze, options.as_deref(), statement),
        S::Declare { stmts, .. } => declare(parsed, stmts),
        S::LISTEN { .. } | S::UNLISTEN { .. } => Statement::new(Kind::Pin(PinReason::Listen)),
        _ if is_temporary(parsed) => written(parsed, Kind::Pin(PinReason::TemporaryTable)),
        _ => written(parsed, Kind::Write),
    }
}

/// Read, write or pin by what is within.
fn visited(parsed: &ast::Statement) -> Statement {
    let findings = Findings::of(parsed);
    Statement {
        kind: findings.kind(),
        tables: findings.into_tables(),
        parsed: true,
    }
}

/// `kind`, unless something within pins for another reason.
fn written(parsed: &ast::Statement, kind: Kind) -> Statement {
    let findings = Findings::of(parsed);
    Statement {
        kind: findings.pin.map_or(kind, Kind::Pin),
        tables: findings.into_tables(),
        parsed: true,
    }
}

fn begin(modes: &[TransactionMode]) -> Statement {
    Statement::new(Kind::Begin {
        read_only: settings::read_only(modes).unwrap_or(false),
    })
}

fn rollback(savepoint: Option<&Ident>) -> Statement {
    Statement::new(match savepoint {
        Some(_) => Kind::Savepoint,
        None => Kind::Rollback,
    })
}

/// Files and programs of the database's machine are a write, whatever the direction.
fn copy(parsed: &ast::Statement, to: bool, target: &CopyTarget) -> Statement {
    match (to, target) {
        (false, CopyTarget::Stdin) => written(parsed, Kind::CopyIn),
        (true, CopyTarget::Stdout) => copy_out(parsed),
        _ => written(parsed, Kind::Write),
    }
}

fn copy_out(parsed: &ast::Statement) -> Statement {
    let mut statement = visited(parsed);
    if statement.kind == Kind::Read {
        statement.kind = Kind::CopyOut;
    }
    if let ast::Statement::Copy {
        source: ast::CopySource::Table { table_name, .. },
        ..
    } = parsed
    {
        statement.tables = vec![visit::joined(table_name)];
    }
    statement
}

fn prepare(name: &Ident, inner: &ast::Statement) -> Statement {
    Statement::new(Kind::Prepare {
        name: visit::folded(name),
        statement: Box::new(statement(inner)),
    })
}

fn deallocate(name: &Ident) -> Statement {
    let is_all = name.quote_style.is_none() && name.value.eq_ignore_ascii_case("all");
    Statement::new(Kind::Deallocate {
        name: (!is_all).then(|| visit::folded(name)),
    })
}

/// Without ANALYZE the statement is only planned.
fn explain(
    parsed: &ast::Statement,
    analyze: bool,
    options: Option<&[UtilityOption]>,
    inner: &ast::Statement,
) -> Statement {
    if analyze || options.is_some_and(|options| options.iter().any(is_analyze)) {
        return statement(inner);
    }
    match statement(inner).kind {
        kind @ Kind::ExecutePrepared { .. } => Statement::new(kind),
        _ => Statement {
            kind: Kind::Read,
            tables: Findings::of(parsed).into_tables(),
            parsed: true,
        },
    }
}

/// Any ANALYZE option counts, also one that is switched off.
fn is_analyze(option: &UtilityOption) -> bool {
    option.name.value.eq_ignore_ascii_case("analyze")
}

fn declare(parsed: &ast::Statement, cursors: &[Declare]) -> Statement {
    if cursors.iter().any(|cursor| cursor.hold == Some(true)) {
        return written(parsed, Kind::Pin(PinReason::CursorWithHold));
    }
    visited(parsed)
}

fn is_temporary(parsed: &ast::Statement) -> bool {
    match parsed {
        ast::Statement::CreateTable(table) => table.temporary,
        ast::Statement::CreateView(view) => view.temporary,
        ast::Statement::CreateSequence { temporary, .. } => *temporary,
        _ => false,
    }
}
