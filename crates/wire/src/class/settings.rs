//! SET, SHOW and RESET.

use sqlparser::ast::{
    ContextModifier, Expr, Ident, ObjectName, Reset, ResetStatement, Set, TransactionAccessMode,
    TransactionIsolationLevel, TransactionMode, UnaryOperator, Value,
};

use crate::class::{Kind, PinReason, Statement, visit};

/// Parameters whose value is a list of names, in which quotes are kept. Sorted.
const NAME_LISTS: &[&str] = &[
    "local_preload_libraries",
    "search_path",
    "session_preload_libraries",
    "temp_tablespaces",
];

/// SET in its forms.
pub(super) fn set(set: &Set) -> Statement {
    let kind = match set {
        Set::SingleAssignment {
            scope,
            variable,
            values,
            ..
        } => assignment(&setting_name(variable), values, scope.as_ref()),
        Set::SetTimeZone { local, value } => {
            let scope = local.then_some(ContextModifier::Local);
            time_zone(value, scope.as_ref())
        }
        Set::SetNames { charset_name, .. } => {
            session("client_encoding", charset_name.value.as_str().into())
        }
        Set::SetNamesDefault {} => reset_kind("client_encoding", false),
        Set::SetRole {
            context_modifier,
            role_name,
        } => role(context_modifier.as_ref(), role_name.as_ref()),
        Set::SetTransaction {
            modes,
            session: true,
            ..
        } => characteristics(modes),
        Set::SetTransaction { modes, .. } => Kind::SetTransaction {
            read_only: read_only(modes),
        },
        Set::SetSessionAuthorization(_) => Kind::Pin(PinReason::SessionState),
        Set::ParenthesizedAssignments { .. }
        | Set::MultipleAssignments { .. }
        | Set::SetSessionParam(_) => return Statement::unparsed(),
    };
    Statement::new(kind)
}

/// SHOW with the words that follow it.
pub(super) fn show(words: &[Ident]) -> Kind {
    let words: Vec<Box<str>> = words.iter().map(visit::folded).collect();
    let name = match words.iter().map(|word| &**word).collect::<Vec<_>>()[..] {
        ["time", "zone"] => "timezone".into(),
        ["session", "authorization"] => "session_authorization".into(),
        ["transaction", "isolation", "level"] => "transaction_isolation".into(),
        _ => words.join(".").to_ascii_lowercase().into(),
    };
    Kind::Show { name }
}

/// RESET.
pub(super) fn reset(statement: &ResetStatement) -> Kind {
    match &statement.reset {
        Reset::ALL => reset_kind("all", false),
        Reset::SessionAuthorization => Kind::Pin(PinReason::SessionState),
        Reset::ConfigurationParameter(name) => reset_kind(&setting_name(name), false),
    }
}

/// The access mode among transaction modes; the last one counts.
pub(super) fn read_only(modes: &[TransactionMode]) -> Option<bool> {
    modes.iter().rev().find_map(|mode| match mode {
        TransactionMode::AccessMode(mode) => Some(*mode == TransactionAccessMode::ReadOnly),
        TransactionMode::IsolationLevel(_) => None,
    })
}

/// Names of parameters ignore case, also when quoted.
fn setting_name(name: &ObjectName) -> Box<str> {
    visit::joined(name).to_ascii_lowercase().into()
}

fn session(name: &str, value: Box<str>) -> Kind {
    Kind::Set {
        name: name.into(),
        value,
        local: false,
    }
}

fn reset_kind(name: &str, local: bool) -> Kind {
    Kind::Reset {
        name: name.into(),
        local,
    }
}

fn assignment(name: &str, values: &[Expr], scope: Option<&ContextModifier>) -> Kind {
    let local = matches!(scope, Some(ContextModifier::Local));
    if is_word(values, "DEFAULT") {
        return reset_kind(name, local);
    }
    Kind::Set {
        name: name.into(),
        value: value_text(name, values),
        local,
    }
}

/// `SET TIME ZONE LOCAL` and `DEFAULT` are resets.
fn time_zone(value: &Expr, scope: Option<&ContextModifier>) -> Kind {
    let values = std::slice::from_ref(value);
    if is_word(values, "LOCAL") {
        let local = matches!(scope, Some(ContextModifier::Local));
        return reset_kind("timezone", local);
    }
    assignment("timezone", values, scope)
}

fn role(scope: Option<&ContextModifier>, role: Option<&Ident>) -> Kind {
    Kind::Set {
        name: "role".into(),
        value: role.map_or_else(|| "none".into(), visit::folded),
        local: matches!(scope, Some(ContextModifier::Local)),
    }
}

/// SET SESSION CHARACTERISTICS sets defaults of later transactions. Several at once have no single name.
fn characteristics(modes: &[TransactionMode]) -> Kind {
    match modes {
        [TransactionMode::AccessMode(mode)] => {
            let value = match mode {
                TransactionAccessMode::ReadOnly => "on",
                TransactionAccessMode::ReadWrite => "off",
            };
            session("default_transaction_read_only", value.into())
        }
        [TransactionMode::IsolationLevel(level)] => {
            session("default_transaction_isolation", isolation(level))
        }
        _ => Kind::Pin(PinReason::SessionState),
    }
}

fn isolation(level: &TransactionIsolationLevel) -> Box<str> {
    level.to_string().to_ascii_lowercase().into()
}

fn is_word(values: &[Expr], word: &str) -> bool {
    match values {
        [Expr::Identifier(ident)] => {
            ident.quote_style.is_none() && ident.value.eq_ignore_ascii_case(word)
        }
        _ => false,
    }
}

fn value_text(name: &str, values: &[Expr]) -> Box<str> {
    let is_list = NAME_LISTS.binary_search(&name).is_ok();
    match values {
        [value] => element_text(value, is_list).into(),
        _ => {
            let elements = values.iter().map(|value| element_text(value, is_list));
            elements.collect::<Vec<_>>().join(", ").into()
        }
    }
}

/// One value; in a list of names those that need quotes get them.
fn element_text(value: &Expr, is_list: bool) -> String {
    match value {
        Expr::Identifier(ident) if is_list => quote_name(&visit::folded(ident)),
        Expr::Identifier(ident) => visit::folded(ident).into(),
        Expr::Value(value) => literal_text(&value.value, is_list),
        Expr::UnaryOp {
            op: UnaryOperator::Minus,
            expr,
        } => format!("-{}", element_text(expr, is_list)),
        other => other.to_string(),
    }
}

fn literal_text(value: &Value, is_list: bool) -> String {
    let text = match value {
        Value::SingleQuotedString(text)
        | Value::EscapedStringLiteral(text)
        | Value::UnicodeStringLiteral(text) => text.clone(),
        Value::DollarQuotedString(text) => text.value.clone(),
        Value::Boolean(value) => return value.to_string(),
        Value::Number(number, _) => return number.to_string(),
        other => other.to_string(),
    };
    if is_list { quote_name(&text) } else { text }
}

fn quote_name(name: &str) -> String {
    let is_plain = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'_';
    let starts_plain = !name.starts_with(|first: char| first.is_ascii_digit());
    if !name.is_empty() && starts_plain && name.bytes().all(is_plain) {
        return name.to_owned();
    }
    format!("\"{}\"", name.replace('"', "\"\""))
}
