//! Published JSON Schema of [`model::Document`], for programs in other languages that print documents.

use crate::model;

/// Returns the schema as indented JSON that ends with a line break.
pub fn to_json() -> String {
    let schema = schemars::schema_for!(model::Document);
    let mut text = serde_json::to_string_pretty(&schema).expect("a schema has only string keys");
    text.push('\n');
    text
}
