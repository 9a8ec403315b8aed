//! Differences between two documents.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::model;

const NAME_FIELD: &str = "name";
const VERSION_FIELD: &str = "version";

/// Maximum number of characters of a value that [`Change`] displays.
const MAX_VALUE_CHARS: usize = 160;

/// Difference between two documents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Path of the value, with list items by their names, such as `groups[ledger-1].members[a].address`.
    pub path: Box<str>,
    /// Value in the earlier document; absent if the later one added it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub before: Option<serde_json::Value>,
    /// Value in the later document; absent if the later document removed it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<serde_json::Value>,
}

/// Returns the changes from `before` to `after`, except that of the version. The result is empty if and only if the
/// digests are equal. List items are matched by name; a changed order is reported as a change of the list of names.
pub fn diff(before: &model::Document, after: &model::Document) -> Vec<Change> {
    let mut changes = Vec::new();
    compare("", &to_value(before), &to_value(after), &mut changes);
    changes
}

/// Displays the path and both values as JSON text, long values truncated.
impl fmt::Display for Change {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (
            self.before.as_ref().map(truncated),
            self.after.as_ref().map(truncated),
        ) {
            (Some(before), Some(after)) => write!(formatter, "{}: {before} -> {after}", self.path),
            (None, Some(after)) => write!(formatter, "{}: added {after}", self.path),
            (Some(before), None) => write!(formatter, "{}: removed {before}", self.path),
            (None, None) => write!(formatter, "{}: unchanged", self.path),
        }
    }
}

/// Returns the value as JSON text, truncated to [`MAX_VALUE_CHARS`].
fn truncated(value: &serde_json::Value) -> String {
    let text = value.to_string();
    match text.char_indices().nth(MAX_VALUE_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text,
    }
}

/// Converts the document to JSON without its version.
fn to_value(document: &model::Document) -> serde_json::Value {
    let mut value = serde_json::to_value(document).expect("a document has only string keys");
    if let serde_json::Value::Object(fields) = &mut value {
        fields.remove(VERSION_FIELD);
    }
    value
}

fn compare(
    path: &str,
    before: &serde_json::Value,
    after: &serde_json::Value,
    changes: &mut Vec<Change>,
) {
    match (before, after) {
        (serde_json::Value::Object(old), serde_json::Value::Object(new)) => {
            compare_fields(path, old, new, changes)
        }
        (serde_json::Value::Array(old), serde_json::Value::Array(new))
            if all_named(old) && all_named(new) =>
        {
            compare_lists(path, old, new, changes);
        }
        _ if before == after => {}
        _ => push(path, Some(before), Some(after), changes),
    }
}

type Fields = serde_json::Map<String, serde_json::Value>;

/// Compares the fields in alphabetical order. Both sides have all fields, because documents are encoded without leaving
/// out any field.
fn compare_fields(path: &str, before: &Fields, after: &Fields, changes: &mut Vec<Change>) {
    let mut fields: Vec<&String> = before.keys().collect();
    fields.sort_unstable();
    for field in fields {
        let field_path = if path.is_empty() {
            field.clone()
        } else {
            format!("{path}.{field}")
        };
        let new = after.get(field).unwrap_or(&serde_json::Value::Null);
        compare(&field_path, &before[field], new, changes);
    }
}

/// Compares two lists whose items all have names.
fn compare_lists(
    path: &str,
    before: &[serde_json::Value],
    after: &[serde_json::Value],
    changes: &mut Vec<Change>,
) {
    for old in before {
        let item_path = format!("{path}[{}]", name(old));
        match find(after, name(old)) {
            Some(new) => compare(&item_path, old, new, changes),
            None => push(&item_path, Some(old), None, changes),
        }
    }
    for new in after.iter().filter(|new| find(before, name(new)).is_none()) {
        push(&format!("{path}[{}]", name(new)), None, Some(new), changes);
    }
    compare_order(path, before, after, changes);
}

/// Compares the order of the items. This also detects two changes that matching by name misses: a new item that is not
/// at the end, and a name that the list contains twice.
fn compare_order(
    path: &str,
    before: &[serde_json::Value],
    after: &[serde_json::Value],
    changes: &mut Vec<Change>,
) {
    let kept = before.iter().filter(|old| find(after, name(old)).is_some());
    let added = after.iter().filter(|new| find(before, name(new)).is_none());
    let expected: Vec<&str> = kept.chain(added).map(name).collect();
    let found: Vec<&str> = after.iter().map(name).collect();
    if expected != found {
        let names = |items: &[serde_json::Value]| {
            items
                .iter()
                .map(name)
                .map(serde_json::Value::from)
                .collect::<Vec<_>>()
        };
        push(
            path,
            Some(&names(before).into()),
            Some(&names(after).into()),
            changes,
        );
    }
}

fn push(
    path: &str,
    before: Option<&serde_json::Value>,
    after: Option<&serde_json::Value>,
    changes: &mut Vec<Change>,
) {
    changes.push(Change {
        path: path.into(),
        before: before.cloned(),
        after: after.cloned(),
    });
}

fn all_named(items: &[serde_json::Value]) -> bool {
    items.iter().all(|item| {
        item.get(NAME_FIELD)
            .is_some_and(serde_json::Value::is_string)
    })
}

fn name(item: &serde_json::Value) -> &str {
    item.get(NAME_FIELD)
        .and_then(serde_json::Value::as_str)
        .unwrap_or_default()
}

fn find<'a>(items: &'a [serde_json::Value], item_name: &str) -> Option<&'a serde_json::Value> {
    items.iter().find(|item| name(item) == item_name)
}
