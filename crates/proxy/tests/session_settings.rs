//! SQL that carries a session's settings to another connection, as a database reads it.

use fulmarlift_proxy::caller::session_settings::SessionSettings;
use rstest::rstest;

/// Splits SQL into string literals, with their values, and the text around them. In a plain literal, a backslash escapes the next character
/// unless strings are standard-conforming.
fn read_sql(sql: &str, are_standard_conforming: bool) -> (String, Vec<String>) {
    let (mut around, mut values) = (String::new(), Vec::new());
    let mut characters = sql.chars().peekable();
    while let Some(character) = characters.next() {
        if character != '\'' {
            around.push(character);
            continue;
        }
        let has_escapes = !are_standard_conforming || around.ends_with('E');
        around.truncate(around.trim_end_matches('E').len());
        let mut value = String::new();
        while let Some(character) = characters.next() {
            match character {
                '\\' if has_escapes => value.extend(characters.next()),
                '\'' if characters.next_if_eq(&'\'').is_none() => break,
                _ => value.push(character),
            }
        }
        values.push(value);
    }
    (around, values)
}

/// Guards against a value that ends its literal where backslashes escape, so that the rest of it runs as a statement of the proxy.
#[rstest]
#[case::quote("a'b")]
#[case::backslash("a\\b")]
#[case::backslash_at_end("a\\")]
#[case::statement("\\', false); SET search_path = evil; --")]
#[case::escaped_backslash("\\\\'; COMMIT; --")]
fn value_is_one_literal(#[case] value: &str, #[values(true, false)] are_standard_conforming: bool) {
    let mut settings = SessionSettings::default();
    settings.set("application_name", value);
    let sql = settings.sql_to_replace(&[]);
    let (around, values) = read_sql(&sql, are_standard_conforming);
    assert_eq!(around, "SELECT set_config(, , false);", "{sql}");
    assert_eq!(values, ["application_name", value], "{sql}");
}
