//! Tests of each finding of the checks, one at a time and several together.

use fulmarlift_config::{builder, check, finding, model, verifier};

const MEMBERS: [&str; 3] = ["a", "b", "c"];

fn group(name: &str, subnet: u8) -> builder::Group {
    let member = |(index, name): (usize, &str)| {
        builder::Member::new(name, &format!("10.0.{subnet}.{index}:5432"))
            .domain("d1")
            .connections(4)
    };
    builder::Group::new(name)
        .slots(2)
        .members(MEMBERS.into_iter().enumerate().map(member))
}

/// Returns a document without findings.
fn valid_document() -> model::Document {
    builder::Document::new()
        .region("r1", ["d1", "d2"])
        .groups([group("g1", 1), group("g2", 2)])
        .caller("c1", verifier::Verifier::Trust)
        .read_class(
            builder::ReadClass::new("k1")
                .max_age_ms(100)
                .table("t1")
                .table("t2"),
        )
        .read_class(builder::ReadClass::new("k2").max_age_ms(50).table("t2"))
        .service(
            builder::Service::new("s1", "g1")
                .caller("c1")
                .read_class("k1")
                .read_class("k2"),
        )
        .build()
        .expect("the document has no findings")
}

/// Returns the findings about a document as text.
fn findings(document: &model::Document) -> Vec<String> {
    let findings = check::check(document).err().unwrap_or_default();
    findings.0.iter().map(ToString::to_string).collect()
}

#[rstest::rstest]
#[case::unknown_group(|d: &mut model::Document| d.services[0].group = "g9".into(),
    r#"services[0].group: unknown group "g9""#)]
#[case::unknown_caller(|d: &mut model::Document| d.services[0].callers.push("c9".into()),
    r#"services[0].callers[1]: unknown caller "c9""#)]
#[case::unknown_class(|d: &mut model::Document| d.services[0].read_classes.push("k9".into()),
    r#"services[0].read_classes[2]: unknown read class "k9""#)]
#[case::unknown_domain(|d: &mut model::Document| d.groups[1].members[2].domain = "d9".into(),
    r#"groups[1].members[2].domain: unknown failure domain "d9""#)]
#[case::duplicate_group(|d: &mut model::Document| d.groups[1].name = "g1".into(),
    r#"groups[1].name: duplicate group "g1", first at groups[0].name"#)]
#[case::duplicate_member(|d: &mut model::Document| d.groups[0].members[2].name = "a".into(),
    r#"groups[0].members[2].name: duplicate member "a", first at groups[0].members[0].name"#)]
#[case::duplicate_domain(|d: &mut model::Document| d.regions[0].domains[1] = "d1".into(),
    r#"regions[0].domains[1]: duplicate failure domain "d1", first at regions[0].domains[0]"#)]
#[case::duplicate_reference(|d: &mut model::Document| d.services[0].callers.push("c1".into()),
    r#"services[0].callers[1]: duplicate caller "c1", first at services[0].callers[0]"#)]
#[case::duplicate_table(|d: &mut model::Document| d.read_classes[0].tables[1] = "t1".into(),
    r#"read_classes[0].tables[1]: duplicate table "t1", first at read_classes[0].tables[0]"#)]
#[case::empty_table(|d: &mut model::Document| d.services[0].limits.repeatable_tables.push(" ".into()),
    "services[0].limits.repeatable_tables[0]: empty table name")]
#[case::no_domains(|d: &mut model::Document| d.regions.push(model::Region { name: "r2".into(), domains: vec![] }),
    "regions[1].domains: no failure domain")]
#[case::unused_class(|d: &mut model::Document| { d.services[0].read_classes.pop(); },
    r#"read_classes[1]: read class "k2" is used by no service"#)]
#[case::age_without_reads(|d: &mut model::Document| d.read_classes[1].tables.clear(),
    r#"read_classes[1].tables: age of 50 ms for no reads: class "k2" has no tables"#)]
#[case::same_address(|d: &mut model::Document| d.groups[1].members[0].address = "10.0.1.2:5432".into(),
    "groups[1].members[0].address: duplicate address 10.0.1.2:5432, first at groups[0].members[2].address")]
#[case::host_name(|d: &mut model::Document| d.groups[0].members[0].address = "db.example:5432".into(),
    r#"groups[0].members[0].address: malformed address "db.example:5432": expected IP:PORT with a port above 0"#)]
#[case::port_zero(|d: &mut model::Document| d.groups[0].members[0].address = "10.0.0.1:0".into(),
    r#"groups[0].members[0].address: malformed address "10.0.0.1:0": expected IP:PORT with a port above 0"#)]
#[case::two_members(|d: &mut model::Document| { d.groups[0].members.pop(); },
    "groups[0].members: 2 member(s), expected at least 3")]
#[case::slots(|d: &mut model::Document| d.groups[0].members[1].connections = 1,
    "groups[0].slots: 2 slots, but groups[0].members[1] has 1 connection(s)")]
#[case::zero_timeout(|d: &mut model::Document| d.services[0].limits.request_timeout_ms = 0,
    "services[0].limits.request_timeout_ms: must be above 0")]
#[case::zero_queue(|d: &mut model::Document| d.services[0].limits.queue_requests = 0,
    "services[0].limits.queue_requests: must be above 0")]
#[case::zero_caller_connections(|d: &mut model::Document| d.services[0].limits.caller_connections = 0,
    "services[0].limits.caller_connections: must be above 0")]
#[case::zero_weight(|d: &mut model::Document| d.services[0].limits.weight = 0,
    "services[0].limits.weight: must be above 0")]
#[case::zero_slots(|d: &mut model::Document| d.groups[0].slots = 0, "groups[0].slots: must be above 0")]
#[case::zero_age(|d: &mut model::Document| d.read_classes[0].max_age_ms = 0,
    "read_classes[0].max_age_ms: must be above 0")]
#[case::verifier_mechanism(|d: &mut model::Document| d.callers[0].verifier = "md5abc".into(),
    "callers[0].verifier: malformed verifier: expected `trust` or \
     `SCRAM-SHA-256$ITERATIONS:SALT$STORED:SERVER`")]
fn check_reports(#[case] invalidate: fn(&mut model::Document), #[case] expected: &str) {
    let mut document = valid_document();
    invalidate(&mut document);
    assert_eq!(findings(&document), [expected]);
}

#[rstest::rstest]
#[case::empty("")]
#[case::space("a b")]
#[case::slash("a/b")]
#[case::dots("..")]
#[case::long(&"a".repeat(64))]
fn check_refuses_name(#[case] name: &str) {
    let mut document = valid_document();
    document.callers[0].name = name.into();
    document.services[0].callers[0] = name.into();
    let findings = check::check(&document).expect_err("the name is malformed");
    let problem = finding::Problem::MalformedName {
        item_kind: finding::Kind::Caller,
        name: name.into(),
    };
    assert_eq!(
        findings.0,
        [finding::Finding {
            path: "callers[0].name".into(),
            problem
        }]
    );
}

#[test]
fn check_accepts_name_of_other_scripts() {
    let mut document = valid_document();
    document.callers[0].name = "sendiboði-á".into();
    document.services[0].callers[0] = "sendiboði-á".into();
    assert_eq!(findings(&document), [""; 0]);
}

#[test]
fn check_refuses_even_members() {
    let mut document = valid_document();
    let mut fourth = document.groups[0].members[0].clone();
    fourth.name = "e".into();
    fourth.address = "[::1]:5432".into();
    document.groups[0].members.push(fourth);
    assert_eq!(
        findings(&document),
        ["groups[0].members: 4 members, expected an odd number"]
    );
}

#[test]
fn check_refuses_more_services_than_connections() {
    let mut document = valid_document();
    for number in 2..=5 {
        let service = model::Service {
            name: format!("s{number}").into(),
            ..document.services[0].clone()
        };
        document.services.push(service);
    }
    let expected =
        r#"services: 5 services on group "g1", but groups[0].members[0] has 4 connection(s)"#;
    assert_eq!(findings(&document), [expected]);
}

#[test]
fn check_reports_all_together() {
    let mut document = valid_document();
    document.groups[0].members[0].domain = "d9".into();
    document.groups[1].members[0].address = "nowhere".into();
    document.callers[0].verifier = "SCRAM-SHA-256$x".into();
    document.services[0].limits.weight = 0;
    let paths: Vec<_> = check::check(&document)
        .unwrap_err()
        .0
        .into_iter()
        .map(|finding| finding.path)
        .collect();
    let expected = [
        "groups[0].members[0].domain",
        "groups[1].members[0].address",
        "callers[0].verifier",
        "services[0].limits.weight",
    ];
    assert_eq!(
        paths.iter().map(|path| &**path).collect::<Vec<_>>(),
        expected
    );
}

#[test]
fn check_accepts_empty_document() {
    assert_eq!(check::check(&model::Document::default()), Ok(()));
}
