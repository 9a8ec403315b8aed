//! Infers types of parameters and result columns from a statement's text and the tables.

use sqlparser::tokenizer::Token;

use crate::member::{rewrite, types};

/// Reference to a column whose type a parameter takes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ColumnRef {
    /// Column with this name.
    Name(Box<str>),
    /// Column of the target table of an INSERT, by index from 0.
    Index(usize),
}

/// Parameter, and the column whose type it takes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParamHint {
    /// Index of the parameter, from 0.
    pub index: usize,
    /// The column.
    pub column: ColumnRef,
}

/// Returns the tables that a statement names: each word after a keyword that usually precedes a table name.
pub fn tables(tokens: &[&Token]) -> Vec<Box<str>> {
    let table_keywords = ["from", "into", "update", "join", "copy"];
    tokens
        .windows(2)
        .filter(|pair| {
            table_keywords
                .iter()
                .any(|word| rewrite::is_word(Some(pair[0]), word))
        })
        .filter_map(|pair| word(pair[1]))
        .collect()
}

/// Returns the columns with which parameters are compared, added or subtracted, or into which they are stored.
pub fn param_hints(tokens: &[&Token]) -> Vec<ParamHint> {
    let mut hints = operator_hints(tokens);
    hints.extend(list_hints(tokens));
    hints.extend(insert_hints(tokens));
    hints
}

/// Returns the hints for the parameters of `COLUMN OPERATOR PARAMETER`.
fn operator_hints(tokens: &[&Token]) -> Vec<ParamHint> {
    let is_operator = |token: &Token| {
        matches!(
            token,
            Token::Eq
                | Token::Neq
                | Token::Lt
                | Token::Gt
                | Token::LtEq
                | Token::GtEq
                | Token::Plus
                | Token::Minus
        )
    };
    tokens
        .windows(3)
        .filter(|window| is_operator(window[1]))
        .filter_map(|window| {
            Some(ParamHint {
                index: placeholder(window[2])?,
                column: ColumnRef::Name(word(window[0])?),
            })
        })
        .collect()
}

/// Returns the hints for the parameters of `COLUMN IN (…)` and `COLUMN BETWEEN … AND …`.
fn list_hints(tokens: &[&Token]) -> Vec<ParamHint> {
    let mut hints = Vec::new();
    for keyword_index in 1..tokens.len() {
        let is_list = rewrite::is_word(Some(tokens[keyword_index]), "in");
        if !is_list && !rewrite::is_word(Some(tokens[keyword_index]), "between") {
            continue;
        }
        let Some(name) = word(tokens[keyword_index - 1]) else {
            continue;
        };
        let params = tokens[keyword_index + 1..].iter().take_while(|token| {
            matches!(
                token,
                Token::LParen | Token::Comma | Token::Placeholder(_) | Token::Number(..)
            ) || rewrite::is_word(Some(token), "and")
        });
        hints.extend(params.filter_map(|token| {
            Some(ParamHint {
                index: placeholder(token)?,
                column: ColumnRef::Name(name.clone()),
            })
        }));
    }
    hints
}

/// Returns the parameters of `LIMIT` and `OFFSET`, by index from 0.
pub fn count_params(tokens: &[&Token]) -> Vec<usize> {
    tokens
        .windows(2)
        .filter(|pair| {
            let word = Some(pair[0]);
            rewrite::is_word(word, "limit") || rewrite::is_word(word, "offset")
        })
        .filter_map(|pair| placeholder(pair[1]))
        .collect()
}

fn insert_hints(tokens: &[&Token]) -> Vec<ParamHint> {
    let Some(values) = tokens
        .iter()
        .position(|token| rewrite::is_word(Some(token), "values"))
    else {
        return Vec::new();
    };
    if !rewrite::is_word(tokens.first().copied(), "insert") {
        return Vec::new();
    }
    let columns: Vec<Box<str>> = tokens[..values]
        .iter()
        .skip_while(|token| !matches!(token, Token::LParen))
        .filter_map(|token| word(token))
        .collect();
    let mut hints = Vec::new();
    let mut column_index = 0;
    let mut depth = 0;
    for token in &tokens[values + 1..] {
        match token {
            Token::LParen => {
                depth += 1;
                column_index = if depth == 1 { 0 } else { column_index };
            }
            Token::RParen => depth -= 1,
            Token::Comma if depth == 1 => column_index += 1,
            _ if depth == 1 => {
                let column = match columns.get(column_index) {
                    Some(name) => ColumnRef::Name(name.clone()),
                    None => ColumnRef::Index(column_index),
                };
                hints.extend(placeholder(token).map(|index| ParamHint { index, column }));
            }
            _ => {}
        }
    }
    hints
}

/// Returns the types of a `SELECT`'s result columns, as far as its text determines them. Empty if a `*` stands outside
/// parentheses in the select list: it may be the wildcard, whose number of columns the text does not tell.
pub fn item_types(tokens: &[&Token]) -> Vec<Option<types::PgType>> {
    if !rewrite::is_word(tokens.first().copied(), "select") {
        return Vec::new();
    }
    let mut items: Vec<Vec<&Token>> = vec![Vec::new()];
    let mut depth = 0;
    for token in &tokens[1..] {
        match token {
            Token::LParen => depth += 1,
            Token::RParen => depth -= 1,
            Token::Comma if depth == 0 => {
                items.push(Vec::new());
                continue;
            }
            Token::Mul if depth == 0 => return Vec::new(),
            Token::Word(_) if depth == 0 && rewrite::is_word(Some(token), "from") => break,
            _ => {}
        }
        items
            .last_mut()
            .expect("the list starts with an item")
            .push(token);
    }
    items.iter().map(|item| item_type(item)).collect()
}

fn item_type(item: &[&Token]) -> Option<types::PgType> {
    let as_index = item
        .iter()
        .rposition(|token| rewrite::is_word(Some(token), "as"))
        .filter(|as_index| as_index + 2 == item.len());
    let item = &item[..as_index.unwrap_or(item.len())];
    let cast_index = item
        .iter()
        .rposition(|token| matches!(token, Token::DoubleColon));
    match item {
        [Token::Number(text, _)] if !text.contains('.') => Some(types::PgType::Int4),
        [Token::SingleQuotedString(_)] => Some(types::PgType::Text),
        [token] if is_bool_literal(token) => Some(types::PgType::Bool),
        _ => {
            let cast_index = cast_index?;
            let covers_item = item.len() <= cast_index + 3;
            let name = word(item.get(cast_index + 1)?)?;
            covers_item.then(|| types::PgType::from_cast(&name))
        }
    }
}

fn is_bool_literal(token: &Token) -> bool {
    rewrite::is_word(Some(token), "true") || rewrite::is_word(Some(token), "false")
}

fn placeholder(token: &Token) -> Option<usize> {
    let Token::Placeholder(name) = token else {
        return None;
    };
    let number: usize = name.trim_start_matches('$').parse().ok()?;
    number.checked_sub(1)
}

fn word(token: &Token) -> Option<Box<str>> {
    match token {
        Token::Word(word) => Some(word.value.as_str().into()),
        _ => None,
    }
}
