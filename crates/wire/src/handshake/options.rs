//! Parses the `options` startup parameter, which holds command-line options of a PostgreSQL server process.

use crate::handshake::Error;
use crate::parameter::{self, Parameter};

/// Parses the settings `-c NAME=VALUE`, `-cNAME=VALUE` and `--NAME=VALUE`, and returns them sorted by name. If a name
/// occurs several times, its last value counts.
///
/// White space separates words; a backslash escapes the next character. In `--NAME`, hyphens stand for underscores,
/// as in PostgreSQL.
pub(super) fn parse(options: &str) -> Result<Vec<Parameter>, Error> {
    let mut parameters = Vec::new();
    let mut words = split_words(options).into_iter();
    while let Some(word) = words.next() {
        let (name, value) = match word.strip_prefix("--") {
            Some(setting) => parse_long(setting)?,
            None => parse_short(&word, &mut words)?,
        };
        parameter::set(&mut parameters, &name, &value);
    }
    Ok(parameters)
}

fn parse_long(setting: &str) -> Result<(String, String), Error> {
    let (name, value) = split_setting(setting)?;
    Ok((name.replace('-', "_"), value))
}

fn parse_short(
    word: &str,
    words: &mut impl Iterator<Item = String>,
) -> Result<(String, String), Error> {
    match word.strip_prefix("-c") {
        Some("") => {
            let setting = words
                .next()
                .ok_or_else(|| Error::Options("-c has no setting".into()))?;
            split_setting(&setting)
        }
        Some(setting) => split_setting(setting),
        None => Err(Error::Options(
            format!("{word:?} is neither -c NAME=VALUE nor --NAME=VALUE").into(),
        )),
    }
}

fn split_setting(setting: &str) -> Result<(String, String), Error> {
    match setting.split_once('=') {
        Some((name, value)) if !name.is_empty() => Ok((name.to_owned(), value.to_owned())),
        _ => Err(Error::Options(
            format!("{setting:?} is no NAME=VALUE").into(),
        )),
    }
}

fn split_words(options: &str) -> Vec<String> {
    let mut words = Vec::new();
    let mut word = None;
    let mut characters = options.chars();
    while let Some(character) = characters.next() {
        if character.is_ascii_whitespace() {
            words.extend(word.take());
            continue;
        }
        let unescaped = match character {
            '\\' => characters.next(),
            other => Some(other),
        };
        word.get_or_insert_with(String::new).extend(unescaped);
    }
    words.extend(word);
    words
}
