//! Classifies SET, SHOW and RESET.

use sqlparser::ast::{
    ContextModifier, Expr, Ident, ObjectName, Reset, ResetStatement, Set, TransactionAccessMode,
    TransactionIsolationLevel, TransactionMode, UnaryOperator, Value,
};

use crate::class::{Kind, PinReason, Statement, visit};

/// Parameters whose value is a list of names, sorted. Names in such a value keep the quotes that they need.
const NAME_LIST_PARAMETERS: &[&str] = &[
    "local_preload_libraries",
    "search_path",
    "session_preload_libraries",
    "temp_tablespaces",
];

/// Parameters that decide how the database reads SQL.
pub(super) const SYNTAX_PARAMETERS: &[&str] = &["client_encoding", "standard_conforming_strings"];

/// Encodings of callers in which a byte of an ASCII character may be a part of another character, with their other names, sorted. Lower
/// case, without the characters that the database ignores.
const UNSAFE_ENCODINGS: &[&str] = &[
    "big5",
    "gb18030",
    "gbk",
    "johab",
    "mskanji",
    "shiftjis",
    "shiftjis2004",
    "sjis",
    "uhc",
    "win932",
    "win936",
    "win949",
    "win950",
    "windows932",
    "windows936",
    "windows949",
    "windows950",
];

/// Returns whether a database with this setting may split a text into other strings and statements than the proxy, which reads it in UTF-8
/// and by the SQL standard.
pub fn changes_syntax(name: &str, value: &str) -> bool {
    match name.to_ascii_lowercase().as_str() {
        "standard_conforming_strings" => !is_on(value),
        "client_encoding" => {
            let significant = value.chars().filter(char::is_ascii_alphanumeric);
            let encoding: String = significant.map(|c| c.to_ascii_lowercase()).collect();
            UNSAFE_ENCODINGS.binary_search(&encoding.as_str()).is_ok()
        }
        _ => false,
    }
}

/// Returns whether a Boolean parameter is on with this value; the words may be shortened.
fn is_on(value: &str) -> bool {
    let value = value.trim().to_ascii_lowercase();
    let shortens = |word: &str| !value.is_empty() && word.starts_with(&value);
    value == "on" || value == "1" || shortens("true") || shortens("yes")
}

/// Classifies all forms of SET.
pub(super) fn classify_set(set: &Set) -> Statement {
    let kind = match set {
        Set::SingleAssignment {
            scope,
            variable,
            values,
            ..
        } => assignment_kind(&parameter_name(variable), values, scope.as_ref()),
        Set::SetTimeZone { local, value } => {
            let scope = local.then_some(ContextModifier::Local);
            time_zone_kind(value, scope.as_ref())
        }
        Set::SetNames { charset_name, .. } => {
            session_set_kind("client_encoding", charset_name.value.as_str().into())
        }
        Set::SetNamesDefault {} => reset_kind("client_encoding", false),
        Set::SetRole {
            context_modifier,
            role_name,
        } => role_kind(context_modifier.as_ref(), role_name.as_ref()),
        Set::SetTransaction {
            modes,
            session: true,
            ..
        } => session_characteristics_kind(modes),
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

/// Classifies SHOW by the words that follow it.
pub(super) fn classify_show(words: &[Ident]) -> Kind {
    let words: Vec<Box<str>> = words.iter().map(visit::fold_identifier).collect();
    let name = match words.iter().map(|word| &**word).collect::<Vec<_>>()[..] {
        ["time", "zone"] => "timezone".into(),
        ["session", "authorization"] => "session_authorization".into(),
        ["transaction", "isolation", "level"] => "transaction_isolation".into(),
        _ => words.join(".").to_ascii_lowercase().into(),
    };
    Kind::Show { name }
}

/// Classifies RESET.
pub(super) fn classify_reset(statement: &ResetStatement) -> Kind {
    match &statement.reset {
        Reset::ALL => reset_kind("all", false),
        Reset::SessionAuthorization => Kind::Pin(PinReason::SessionState),
        Reset::ConfigurationParameter(name) => reset_kind(&parameter_name(name), false),
    }
}

/// Returns whether the last access mode in `modes` is READ ONLY, or `None` if `modes` contains no access mode.
pub(super) fn read_only(modes: &[TransactionMode]) -> Option<bool> {
    modes.iter().rev().find_map(|mode| match mode {
        TransactionMode::AccessMode(mode) => Some(*mode == TransactionAccessMode::ReadOnly),
        TransactionMode::IsolationLevel(_) => None,
    })
}

/// Returns the name of a parameter in lower case, because parameter names are case-insensitive even if quoted.
fn parameter_name(name: &ObjectName) -> Box<str> {
    visit::qualified_name(name).to_ascii_lowercase().into()
}

fn session_set_kind(name: &str, value: Box<str>) -> Kind {
    set_kind(name, value, false)
}

fn set_kind(name: &str, value: Box<str>, local: bool) -> Kind {
    if changes_syntax(name, &value) {
        return Kind::Pin(PinReason::Syntax);
    }
    Kind::Set {
        name: name.into(),
        value,
        local,
    }
}

fn reset_kind(name: &str, local: bool) -> Kind {
    Kind::Reset {
        name: name.into(),
        local,
    }
}

fn assignment_kind(name: &str, values: &[Expr], scope: Option<&ContextModifier>) -> Kind {
    let local = matches!(scope, Some(ContextModifier::Local));
    if is_word(values, "DEFAULT") {
        return reset_kind(name, local);
    }
    set_kind(name, value_text(name, values), local)
}

/// Returns the kind of a SET TIME ZONE. The values LOCAL and DEFAULT reset the time zone.
fn time_zone_kind(value: &Expr, scope: Option<&ContextModifier>) -> Kind {
    let values = std::slice::from_ref(value);
    if is_word(values, "LOCAL") {
        let local = matches!(scope, Some(ContextModifier::Local));
        return reset_kind("timezone", local);
    }
    assignment_kind("timezone", values, scope)
}

fn role_kind(scope: Option<&ContextModifier>, role: Option<&Ident>) -> Kind {
    Kind::Set {
        name: "role".into(),
        value: role.map_or_else(|| "none".into(), visit::fold_identifier),
        local: matches!(scope, Some(ContextModifier::Local)),
    }
}

/// Returns the kind of a SET SESSION CHARACTERISTICS, which sets a default for later transactions. Several modes at
/// once pin the connection, because no single parameter stands for them.
fn session_characteristics_kind(modes: &[TransactionMode]) -> Kind {
    match modes {
        [TransactionMode::AccessMode(mode)] => {
            let value = match mode {
                TransactionAccessMode::ReadOnly => "on",
                TransactionAccessMode::ReadWrite => "off",
            };
            session_set_kind("default_transaction_read_only", value.into())
        }
        [TransactionMode::IsolationLevel(level)] => {
            session_set_kind("default_transaction_isolation", isolation_level(level))
        }
        _ => Kind::Pin(PinReason::SessionState),
    }
}

fn isolation_level(level: &TransactionIsolationLevel) -> Box<str> {
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
    let is_list = NAME_LIST_PARAMETERS.binary_search(&name).is_ok();
    match values {
        [value] => element_text(value, is_list).into(),
        _ => {
            let elements = values.iter().map(|value| element_text(value, is_list));
            elements.collect::<Vec<_>>().join(", ").into()
        }
    }
}

/// Returns the text of a value. Adds quotes to a name in a list of names if it needs them.
fn element_text(value: &Expr, is_list: bool) -> String {
    match value {
        Expr::Identifier(ident) if is_list => quote_name(&visit::fold_identifier(ident)),
        Expr::Identifier(ident) => visit::fold_identifier(ident).into(),
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
