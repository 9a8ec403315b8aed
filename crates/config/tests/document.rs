//! Tests of parsing, digests and differences of documents, of the examples and of the published schema.

use std::{fs, path};

use fulmarlift_config::{builder, diff, model, schema};

#[path = "../examples/abyrgdarpostur.rs"]
#[expect(dead_code, reason = "the example's main is not called here")]
mod abyrgdarpostur;
#[path = "../examples/petra.rs"]
#[expect(dead_code, reason = "the example's main is not called here")]
mod petra;

const PUBLISHED_SCHEMA: &str =
    concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/config.schema.json");

/// Returns the document of the example `petra`.
fn petra() -> model::Document {
    petra::configuration().build().unwrap()
}

/// Returns the differences, as text, that `change` makes to the example `petra`.
fn changes_by(change: impl FnOnce(&mut model::Document)) -> Vec<String> {
    let before = petra();
    let mut after = before.clone();
    change(&mut after);
    diff::diff(&before, &after)
        .iter()
        .map(ToString::to_string)
        .collect()
}

#[rstest::rstest]
#[case::abyrgdarpostur(abyrgdarpostur::configuration(), 16, 12, 2)]
#[case::petra(petra::configuration(), 40, 30, 3)]
fn example_passes_check(
    #[case] builder: builder::Document,
    #[case] connections: u32,
    #[case] connect_ms: u32,
    #[case] slots: u32,
) {
    let document = builder.build().expect("examples have no findings");
    assert_eq!(document.groups.len(), 3);
    for group in &document.groups {
        assert_eq!((group.slots, group.members.len()), (slots, 3));
        let domains: Vec<_> = group.members.iter().map(|member| &member.domain).collect();
        assert_eq!(
            domains,
            document
                .regions
                .iter()
                .flat_map(|region| &region.domains)
                .collect::<Vec<_>>()
        );
        for member in &group.members {
            assert_eq!(
                (member.connections, member.connect_ms),
                (connections, connect_ms)
            );
        }
    }
}

#[rstest::rstest]
#[case::abyrgdarpostur(abyrgdarpostur::configuration())]
#[case::petra(petra::configuration())]
fn example_agrees_with_schema(#[case] builder: builder::Document) {
    let schema = serde_json::from_str(&schema::to_json()).unwrap();
    let validator = jsonschema::validator_for(&schema).unwrap();
    let printed = serde_json::from_str(&builder.build().unwrap().to_json()).unwrap();
    let errors: Vec<_> = validator
        .iter_errors(&printed)
        .map(|error| error.to_string())
        .collect();
    assert_eq!(errors, [""; 0]);
}

#[rstest::rstest]
#[case::unknown_field(r#"{"colour": "red"}"#)]
#[case::unknown_limit(r#"{"services": [{"name": "s", "group": "g", "limits": {"speed": 1}}]}"#)]
#[case::negative(r#"{"groups": [{"name": "g", "slots": -1, "members": []}]}"#)]
#[case::no_group(r#"{"services": [{"name": "s"}]}"#)]
fn schema_and_parse_refuse(#[case] text: &str) {
    let schema = serde_json::from_str(&schema::to_json()).unwrap();
    let validator = jsonschema::validator_for(&schema).unwrap();
    assert!(!validator.is_valid(&serde_json::from_str(text).unwrap()));
    assert!(model::Document::parse(text).is_err());
}

#[test]
fn schema_equals_published() {
    let published = fs::read_to_string(path::Path::new(PUBLISHED_SCHEMA)).unwrap();
    assert_eq!(
        published,
        schema::to_json(),
        "the published schema is out of date; write it with `fulmarlift check --schema`"
    );
}

#[test]
fn parse_reads_what_to_json_wrote() {
    let document = petra();
    assert_eq!(
        model::Document::parse(&document.to_json()).unwrap(),
        document
    );
}

#[test]
fn parse_fills_in_defaults() {
    let text = r#"{"groups": [{"name": "g", "slots": 1, "members": [
        {"name": "a", "address": "10.0.0.1:1", "domain": "d", "connections": 1}]}],
        "services": [{"name": "s", "group": "g", "limits": {"weight": 7}}]}"#;
    let document = model::Document::parse(text).unwrap();
    assert_eq!(
        document.groups[0].members[0].connect_ms,
        model::DEFAULT_CONNECT_MS
    );
    assert_eq!(
        document.services[0].limits,
        model::Limits {
            weight: 7,
            ..model::Limits::default()
        }
    );
}

#[test]
fn parse_says_where() {
    let error = model::Document::parse("{\n  \"versoin\": 1\n}")
        .unwrap_err()
        .to_string();
    assert!(
        error.contains("versoin") && error.contains("line 2"),
        "{error}"
    );
}

#[test]
fn digest_ignores_version_only() {
    let document = petra();
    let accepted = model::Document {
        version: 7,
        ..document.clone()
    };
    assert_eq!(accepted.digest(), document.digest());
    assert_eq!(document.digest().len(), 64);
    let mut changed = document.clone();
    changed.groups[2].members[2].connections += 1;
    assert_ne!(changed.digest(), document.digest());
}

#[rstest::rstest]
#[case::one_class(&["template"], Some("wide"))]
#[case::smallest_age(&["tag"], Some("narrow"))]
#[case::one_holds_all(&["tag", "template"], Some("wide"))]
#[case::other_table(&["tag", "invoice"], None)]
#[case::no_table(&[], None)]
fn class_of_read_is(#[case] tables: &[&str], #[case] expected: Option<&str>) {
    let class = |name: &str, max_age_ms, tables: &[&str]| model::ReadClass {
        name: name.into(),
        max_age_ms,
        tables: tables.iter().map(|table| (*table).into()).collect(),
    };
    let mut document = petra();
    document.read_classes = vec![
        class("wide", 500, &["template", "tag"]),
        class("narrow", 100, &["tag"]),
        class("other", 1, &["tag", "invoice"]),
    ];
    document.services[0].read_classes = vec!["wide".into(), "narrow".into()];
    let found = document.class_of_read(&document.services[0], tables);
    assert_eq!(found.map(|class| &*class.name), expected);
}

#[test]
fn diff_is_empty_for_other_version() {
    assert_eq!(changes_by(|document| document.version = 9), [""; 0]);
}

#[test]
fn diff_names_changed_fields() {
    let found = changes_by(|document| {
        document.groups[1].members[0].connections = 41;
        document.services[0].callers.truncate(1);
    });
    let expected = [
        "groups[library-2].members[amman-a].connections: 40 -> 41",
        r#"services[library-1].callers: ["marketing","agency","ministry"] -> ["marketing"]"#,
    ];
    assert_eq!(found, expected);
}

#[test]
fn diff_names_added_and_removed_items() {
    let found = changes_by(|document| {
        document.regions.remove(0);
        document.callers.push(model::Caller {
            name: "auditor".into(),
            verifier: "trust".into(),
        });
    });
    let expected = [
        r#"callers[auditor]: added {"name":"auditor","verifier":"trust"}"#,
        r#"regions[amman]: removed {"domains":["amman-a","amman-b"],"name":"amman"}"#,
    ];
    assert_eq!(found, expected);
}

#[test]
fn diff_cuts_long_values_in_display_only() {
    let change = diff::Change {
        path: "p".into(),
        before: None,
        after: Some("é".repeat(200).into()),
    };
    assert_eq!(
        change.to_string(),
        format!("p: added \"{}...", "é".repeat(159))
    );
    assert_eq!(change.after.unwrap().as_str().unwrap().chars().count(), 200);
}

#[test]
fn diff_sees_order() {
    let found = changes_by(|document| document.regions.reverse());
    assert_eq!(
        found,
        [r#"regions: ["amman","aqaba"] -> ["aqaba","amman"]"#]
    );
}
