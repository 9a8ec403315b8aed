//! Parses an SQL text and classifies its statements.

use sqlparser::ast::{
    self, CopyTarget, Declare, DiscardObject, Ident, TransactionMode, UtilityOption,
};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;

use crate::class::visit::{self, Findings};
use crate::class::{Kind, PinReason, Statement, functions, settings};

/// Maximum size of a text that is parsed, because a syntax tree temporarily takes many times the memory of its text.
pub const MAX_SQL_BYTES: usize = 64 << 10;

/// Prefix of a quoted name with Unicode escapes, in lower case.
const ESCAPED_NAME_PREFIX: &str = "u&\"";

/// Stack size for parsing a short text.
const MIN_STACK_BYTES: usize = 256 << 10;

/// Additional stack size for each byte of a text. A chain of operators becomes a tree that is up to half as deep as the
/// text is long, dropping a tree takes stack in proportion to its depth, and the parser does not limit this depth.
const STACK_BYTES_PER_TEXT_BYTE: usize = 1 << 10;

/// Classifies the statements of a text and returns them in order. If the text cannot be parsed or is longer than
/// [`MAX_SQL_BYTES`], returns a single unparsed statement.
pub fn classify(sql: &str) -> Vec<Statement> {
    if sql.len() > MAX_SQL_BYTES {
        return vec![unparsed(sql)];
    }
    let stack_bytes = MIN_STACK_BYTES + sql.len() * STACK_BYTES_PER_TEXT_BYTE;
    stacker::maybe_grow(stack_bytes, stack_bytes, || parse_and_classify(sql))
}

fn parse_and_classify(sql: &str) -> Vec<Statement> {
    match Parser::parse_sql(&PostgreSqlDialect {}, sql) {
        Ok(statements) if statements.is_empty() => vec![Statement::new(Kind::Empty)],
        Ok(statements) => statements.iter().map(classify_statement).collect(),
        Err(_) => vec![unparsed(sql)],
    }
}

/// Returns the statement for a text that was not parsed. It is treated as a call of a control function if it contains
/// the name of one, or a name with Unicode escapes, which can hide one.
fn unparsed(sql: &str) -> Statement {
    let text = sql.to_ascii_lowercase();
    let mut statement = Statement::unparsed();
    if functions::control_functions().any(|name| text.contains(name))
        || text.contains(ESCAPED_NAME_PREFIX)
    {
        statement.kind = Kind::Pin(PinReason::GroupControl);
    }
    statement
}

fn classify_statement(parsed: &ast::Statement) -> Statement {
    use ast::Statement as S;
    match parsed {
        S::Query(_) | S::Fetch { .. } | S::Close { .. } => by_contents(parsed),
        S::StartTransaction {
            modes, statements, ..
        } if statements.is_empty() => classify_begin(modes),
        S::Commit { chain: true, .. } => Statement::new(Kind::Pin(PinReason::CommitAndChain)),
        S::Commit { .. } => Statement::new(Kind::Commit),
        S::Rollback { savepoint, .. } => classify_rollback(savepoint.as_ref()),
        S::Savepoint { .. } | S::ReleaseSavepoint { .. } => Statement::new(Kind::Savepoint),
        S::Set(set) => settings::classify_set(set),
        S::ShowVariable { variable } => Statement::new(settings::classify_show(variable)),
        S::Reset(reset) => Statement::new(settings::classify_reset(reset)),
        S::Discard {
            object_type: DiscardObject::ALL,
        } => Statement::new(Kind::DiscardAll),
        S::Copy { to, target, .. } => classify_copy(parsed, *to, target),
        S::Prepare {
            name, statement, ..
        } => classify_prepare(name, statement),
        S::Execute {
            name: Some(name), ..
        } => Statement::new(Kind::ExecutePrepared {
            name: visit::qualified_name(name),
        }),
        S::Deallocate { name, .. } => classify_deallocate(name),
        S::Explain {
            analyze,
            options,
            statement,
            ..
        } => classify_explain(parsed, *analyze, options.as_deref(), statement),
        S::Declare { stmts, .. } => classify_declare(parsed, stmts),
        S::LISTEN { .. } | S::UNLISTEN { .. } => Statement::new(Kind::Pin(PinReason::Listen)),
        _ if creates_temporary(parsed) => {
            kind_unless_pinned(parsed, Kind::Pin(PinReason::TemporaryTable))
        }
        _ => kind_unless_pinned(parsed, Kind::Write),
    }
}

/// Classifies a statement as read, write or pin by its expressions and nested statements.
fn by_contents(parsed: &ast::Statement) -> Statement {
    let findings = Findings::of(parsed);
    Statement {
        kind: findings.kind(),
        tables: findings.into_tables(),
        parsed: true,
    }
}

/// Classifies a statement as `kind` unless one of its expressions or nested statements pins the connection.
fn kind_unless_pinned(parsed: &ast::Statement, kind: Kind) -> Statement {
    let findings = Findings::of(parsed);
    Statement {
        kind: findings.pin_reason.map_or(kind, Kind::Pin),
        tables: findings.into_tables(),
        parsed: true,
    }
}

fn classify_begin(modes: &[TransactionMode]) -> Statement {
    Statement::new(Kind::Begin {
        read_only: settings::read_only(modes).unwrap_or(false),
    })
}

fn classify_rollback(savepoint: Option<&Ident>) -> Statement {
    Statement::new(match savepoint {
        Some(_) => Kind::Savepoint,
        None => Kind::Rollback,
    })
}

/// Classifies COPY. A copy from or to a file or program on the database server counts as a write in both directions.
fn classify_copy(parsed: &ast::Statement, to: bool, target: &CopyTarget) -> Statement {
    match (to, target) {
        (false, CopyTarget::Stdin) => kind_unless_pinned(parsed, Kind::CopyIn),
        (true, CopyTarget::Stdout) => classify_copy_out(parsed),
        _ => kind_unless_pinned(parsed, Kind::Write),
    }
}

fn classify_copy_out(parsed: &ast::Statement) -> Statement {
    let mut statement = by_contents(parsed);
    if statement.kind == Kind::Read {
        statement.kind = Kind::CopyOut;
    }
    if let ast::Statement::Copy {
        source: ast::CopySource::Table { table_name, .. },
        ..
    } = parsed
    {
        statement.tables = vec![visit::qualified_name(table_name)];
    }
    statement
}

fn classify_prepare(name: &Ident, inner: &ast::Statement) -> Statement {
    Statement::new(Kind::Prepare {
        name: visit::fold_identifier(name),
        statement: Box::new(classify_statement(inner)),
    })
}

fn classify_deallocate(name: &Ident) -> Statement {
    let is_all = name.quote_style.is_none() && name.value.eq_ignore_ascii_case("all");
    Statement::new(Kind::Deallocate {
        name: (!is_all).then(|| visit::fold_identifier(name)),
    })
}

/// Classifies EXPLAIN. Without ANALYZE the database only plans the statement, which is a read unless it is an EXECUTE.
fn classify_explain(
    parsed: &ast::Statement,
    analyze: bool,
    options: Option<&[UtilityOption]>,
    inner: &ast::Statement,
) -> Statement {
    if analyze || options.is_some_and(|options| options.iter().any(is_analyze)) {
        return classify_statement(inner);
    }
    match classify_statement(inner).kind {
        kind @ Kind::ExecutePrepared { .. } => Statement::new(kind),
        _ => Statement {
            kind: Kind::Read,
            tables: Findings::of(parsed).into_tables(),
            parsed: true,
        },
    }
}

/// Returns whether the option is ANALYZE, regardless of its value: `ANALYZE false` counts as ANALYZE too.
fn is_analyze(option: &UtilityOption) -> bool {
    option.name.value.eq_ignore_ascii_case("analyze")
}

fn classify_declare(parsed: &ast::Statement, cursors: &[Declare]) -> Statement {
    if cursors.iter().any(|cursor| cursor.hold == Some(true)) {
        return kind_unless_pinned(parsed, Kind::Pin(PinReason::CursorWithHold));
    }
    by_contents(parsed)
}

fn creates_temporary(parsed: &ast::Statement) -> bool {
    match parsed {
        ast::Statement::CreateTable(table) => table.temporary,
        ast::Statement::CreateView(view) => view.temporary,
        ast::Statement::CreateSequence { temporary, .. } => *temporary,
        _ => false,
    }
}
