//! The `options` startup parameter: command-line options of a PostgreSQL server process.

use crate::handshake::Error;
use crate::parameter::{self, Parameter};

/// Reads the settings of `-c NAME=VALUE`, `-cNAME=VALUE` and `--NAME=VALUE`, sorted by name; the last of a name wins.
///
/// Words are split at white space; a backslash keeps the next character. In `--NAME` a hyphen stands for an
/// underscore, as in PostgreSQL.
pub(super) fn parse(options: &str) -> Result<Vec<Parameter>, Error> {
    let mut parameters = Vec::new();
    let mut words = split(options).into_iter();
    while let Some(word) = words.next() {
        let (name, value) = match word.strip_prefix("--") {
            Some(setting) => long_setting(setting)?,
            None => short_setting(&word, &mut words)?,
        };
        parameter::set(&mut parameters, &name, &value);
    }
    Ok(parameters)
}

fn long_setting(setting: &str) -> Result<(String, String), Error> {
    let (name, value) = name_and_value(setting)?;
    Ok((name.replace('-', "_"), value))
}

fn short_setting(
    word: &str,
    words: &mut impl Iterator<Item = String>,
) -> Result<(String, String), Error> {
    match word.strip_prefix("-c") {
        Some("") => {
            let setting = words
                .next()
                .ok_or_else(|| Error::Options("-c has no setting".into()))?;
            name_and_value(&setting)
        }
        Some(setting) => name_and_value(setting),
        None => Err(Error::Options(
            format!("{word:?} is neither -c NAME=VALUE nor --NAME=VALUE").into(),
        )),
    }
}

fn name_and_value(setting: &str) -> Result<(String, String), Error> {
    match setting.split_once('=') {
        Some((name, value)) if !name.is_empty() => Ok((name.to_owned(), value.to_owned())),
        _ => Err(Error::Options(
            format!("{setting:?} is no NAME=VALUE").into(),
        )),
    }
}

fn split(options: &str) -> Vec<String> {
    let mut words = Vec::new();
    let mut word = None;
    let mut characters = options.chars();
    while let Some(character) = characters.next() {
        if character.is_ascii_whitespace() {
            words.extend(word.take());
            continue;
        }
        let kept = match character {
            '\\' => characters.next(),
            other => Some(other),
        };
        word.get_or_insert_with(String::new).extend(kept);
    }
    words.extend(word);
    words
}
