//! The published JSON Schema of [`model::Document`], for programs that print it in other languages.

use crate::model;

/// The schema as indented JSON that ends with a line break.
pub fn to_json() -> String {
    let schema = schemars::schema_for!(model::Document);
    let mut text = serde_json::to_string_pretty(&schema).expect("a schema has only text keys");
    text.push('\n');
    text
}
