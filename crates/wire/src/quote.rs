//! Quotes texts for SQL.

/// Quotes a text as an SQL literal that has the same value whether `standard_conforming_strings` is on or off.
pub fn literal(text: &str) -> String {
    let quoted = text.replace('\'', "''");
    if text.contains('\\') {
        return format!("E'{}'", quoted.replace('\\', "\\\\"));
    }
    format!("'{quoted}'")
}
