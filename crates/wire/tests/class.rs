//! Tests of the classification of statements and its cache.

use fulmarlift_wire::class::{self, Kind, PinReason, functions};
use rstest::rstest;

fn classify_one(sql: &str) -> class::Statement {
    let mut statements = class::classify(sql);
    assert_eq!(statements.len(), 1, "{sql}: {statements:?}");
    statements.remove(0)
}

fn tables(sql: &str) -> Vec<String> {
    let tables = classify_one(sql).tables;
    tables.iter().map(|table| table.to_string()).collect()
}

#[rstest]
#[case("SELECT 1")]
#[case("select count(*), max(id) from handover where lower(name) like 'x%'")]
#[case("SELECT pg_catalog.now()")]
#[case("SELECT current_date, CURRENT_TIMESTAMP, current_user, session_user")]
#[case("SELECT cast(id AS text), extract(year FROM at), at AT TIME ZONE 'UTC' FROM handover")]
#[case("SELECT substring(name FROM 1 FOR 2), trim(name), position('a' IN name) FROM t")]
#[case("SELECT coalesce(a, b), CASE WHEN a THEN 1 ELSE 2 END FROM t")]
#[case("WITH recent AS (SELECT * FROM handover) SELECT * FROM recent")]
#[case("SELECT * FROM a UNION ALL SELECT * FROM b ORDER BY 1 LIMIT 3 OFFSET 2")]
#[case("SELECT * FROM generate_series(1, 10)")]
#[case("SELECT row_number() OVER (PARTITION BY a ORDER BY b) FROM t")]
#[case("SELECT * FROM t WHERE id = $1 AND data->>'k' = $2 AND tags @> ARRAY['x']")]
#[case("SELECT * FROM t WHERE EXISTS (SELECT 1 FROM u WHERE u.id = t.id)")]
#[case("VALUES (1), (2)")]
#[case("EXPLAIN SELECT * FROM t")]
#[case("EXPLAIN UPDATE t SET a = 1")]
#[case("EXPLAIN ANALYZE SELECT * FROM t")]
#[case("FETCH NEXT FROM c")]
#[case("FETCH 10 FROM c")]
#[case("DECLARE c CURSOR FOR SELECT * FROM t")]
#[case("CLOSE c")]
fn classify_read(#[case] sql: &str) {
    let statement = classify_one(sql);
    assert_eq!(statement.kind, Kind::Read, "{sql}");
    assert!(statement.parsed, "{sql}");
}

#[rstest]
#[case("INSERT INTO t VALUES (1)")]
#[case("INSERT INTO t (a) SELECT a FROM u ON CONFLICT DO NOTHING RETURNING id")]
#[case("UPDATE t SET a = 1 WHERE id = 2")]
#[case("DELETE FROM t")]
#[case("TRUNCATE t")]
#[case("CREATE TABLE t (id bigint PRIMARY KEY)")]
#[case("CREATE INDEX i ON t (a)")]
#[case("ALTER TABLE t ADD COLUMN b text")]
#[case("DROP TABLE t")]
#[case("SELECT * FROM t FOR UPDATE")]
#[case("SELECT * FROM t FOR SHARE SKIP LOCKED")]
#[case("SELECT * FROM (SELECT * FROM t FOR UPDATE) AS u")]
#[case("SELECT * INTO u FROM t")]
#[case("WITH gone AS (DELETE FROM t RETURNING *) SELECT * FROM gone")]
#[case("WITH new AS (INSERT INTO t VALUES (1) RETURNING id) SELECT * FROM new")]
#[case("SELECT nextval('s')")]
#[case("SELECT setval('s', 3)")]
#[case("SELECT record_handover(3)")]
#[case("SELECT ledger.now()")]
#[case("SELECT * FROM t WHERE id = (SELECT next_id())")]
#[case("SELECT * FROM record_all(3)")]
#[case("SELECT * FROM t ORDER BY bump(id)")]
#[case("SELECT pg_advisory_xact_lock(1)")]
#[case("SELECT pg_notify('c', 'x')")]
#[case("SELECT set_config('work_mem', '1MB', true)")]
#[case("SELECT \"NOW\"()")]
#[case("EXPLAIN ANALYZE DELETE FROM t")]
#[case("EXPLAIN (ANALYZE, BUFFERS) DELETE FROM t")]
#[case("NOTIFY c")]
#[case("LOCK TABLE t IN EXCLUSIVE MODE")]
#[case("COPY t FROM '/tmp/x'")]
#[case("COPY t TO PROGRAM 'cat'")]
#[case("CALL refresh(1)")]
#[case("GRANT SELECT ON t TO u")]
#[case("VACUUM t")]
fn classify_write(#[case] sql: &str) {
    let statement = classify_one(sql);
    assert_eq!(statement.kind, Kind::Write, "{sql}");
    assert!(statement.parsed, "{sql}");
}

#[rstest]
#[case::garbage("SELEKT 1")]
#[case::unclosed("SELECT 'a")]
#[case::block("DO $$ BEGIN PERFORM 1; END $$")]
#[case::table("TABLE handover")]
#[case::one_of_many("SELECT 1; SELEKT 2")]
#[case::nested(&format!("SELECT {}1{}", "(".repeat(500), ")".repeat(500)))]
#[case::long(&format!("SELECT '{}'", "x".repeat(class::MAX_SQL_BYTES)))]
fn classify_unparsed(#[case] sql: &str) {
    let statement = classify_one(sql);
    assert_eq!(statement.kind, Kind::Write, "{sql}");
    assert!(!statement.parsed, "{sql}");
}

#[rstest]
#[case("LISTEN c", PinReason::Listen)]
#[case("UNLISTEN *", PinReason::Listen)]
#[case("CREATE TEMP TABLE t (id int)", PinReason::TemporaryTable)]
#[case("CREATE TEMPORARY TABLE t AS SELECT 1", PinReason::TemporaryTable)]
#[case("CREATE TABLE pg_temp.t (id int)", PinReason::TemporaryTable)]
#[case("CREATE TEMP VIEW v AS SELECT 1", PinReason::TemporaryTable)]
#[case("CREATE TEMP SEQUENCE s", PinReason::TemporaryTable)]
#[case("SELECT * INTO TEMP u FROM t", PinReason::TemporaryTable)]
#[case("DECLARE c CURSOR WITH HOLD FOR SELECT 1", PinReason::CursorWithHold)]
#[case("SELECT pg_advisory_lock(1)", PinReason::AdvisoryLock)]
#[case("SELECT pg_try_advisory_lock_shared(1, 2)", PinReason::AdvisoryLock)]
#[case("SELECT PG_CATALOG.PG_ADVISORY_UNLOCK_ALL()", PinReason::AdvisoryLock)]
#[case("INSERT INTO t SELECT pg_advisory_lock(1)", PinReason::AdvisoryLock)]
#[case("SELECT set_config('work_mem', '1MB', false)", PinReason::SetConfig)]
#[case("SELECT set_config('work_mem', '1MB', $1)", PinReason::SetConfig)]
#[case("SELECT currval('s')", PinReason::SequenceValue)]
#[case("SET SESSION AUTHORIZATION bob", PinReason::SessionState)]
#[case("SELECT * FROM group_promote(3, 'me')", PinReason::GroupControl)]
#[case("SELECT member_switch('cut', 'all')", PinReason::GroupControl)]
fn classify_pin(#[case] sql: &str, #[case] reason: PinReason) {
    assert_eq!(classify_one(sql).kind, Kind::Pin(reason), "{sql}");
}

/// Guards against strings that the database reads otherwise than the proxy, so that they hide statements from it.
#[rstest]
#[case::off("SET standard_conforming_strings = off", true)]
#[case::off_in_transaction("SET LOCAL Standard_Conforming_Strings TO 'False'", true)]
#[case::off_by_function("SELECT set_config('standard_conforming_strings', 'off', true)", true)]
#[case::off_by_parameter("SELECT set_config('standard_conforming_strings', $1, true)", true)]
#[case::encoding("SET client_encoding = 'SJIS'", true)]
#[case::encoding_alias("SET client_encoding TO 'windows-936'", true)]
#[case::names("SET NAMES 'Big5'", true)]
#[case::on("SET standard_conforming_strings = on", false)]
#[case::on_by_number("SET standard_conforming_strings = 1", false)]
#[case::on_by_prefix("SET standard_conforming_strings = 'TR'", false)]
#[case::on_by_function("SELECT set_config('standard_conforming_strings', 'on', true)", false)]
#[case::utf8("SET client_encoding = 'UTF8'", false)]
#[case::latin1("SET NAMES 'LATIN1'", false)]
#[case::reset("RESET standard_conforming_strings", false)]
#[case::other("SET application_name = 'off'", false)]
fn setting_that_changes_syntax_is_refused(#[case] sql: &str, #[case] expected: bool) {
    let kind = classify_one(sql).kind;
    assert_eq!(matches!(kind, Kind::Pin(_)), expected, "{sql}: {kind:?}");
}

#[rstest]
#[case("BEGIN", Kind::Begin { read_only: false })]
#[case("START TRANSACTION READ ONLY", Kind::Begin { read_only: true })]
#[case("BEGIN ISOLATION LEVEL SERIALIZABLE, READ ONLY", Kind::Begin { read_only: true })]
#[case("BEGIN READ WRITE", Kind::Begin { read_only: false })]
#[case("COMMIT", Kind::Commit)]
#[case("END", Kind::Commit)]
#[case("ROLLBACK", Kind::Rollback)]
#[case("ABORT", Kind::Rollback)]
#[case("ROLLBACK TO SAVEPOINT a", Kind::Savepoint)]
#[case("SAVEPOINT a", Kind::Savepoint)]
#[case("RELEASE SAVEPOINT a", Kind::Savepoint)]
#[case("SET TRANSACTION READ ONLY", Kind::SetTransaction { read_only: Some(true) })]
#[case("SET TRANSACTION ISOLATION LEVEL SERIALIZABLE", Kind::SetTransaction { read_only: None })]
#[case("DISCARD ALL", Kind::DiscardAll)]
#[case("COPY t FROM STDIN", Kind::CopyIn)]
#[case("COPY t (a, b) FROM STDIN WITH (FORMAT csv)", Kind::CopyIn)]
#[case("COPY t TO STDOUT", Kind::CopyOut)]
#[case("COPY (SELECT * FROM t) TO STDOUT", Kind::CopyOut)]
#[case("COPY (DELETE FROM t RETURNING *) TO STDOUT", Kind::Write)]
#[case("EXECUTE p (1, 2)", Kind::ExecutePrepared { name: "p".into() })]
#[case("DEALLOCATE p", Kind::Deallocate { name: Some("p".into()) })]
#[case("DEALLOCATE ALL", Kind::Deallocate { name: None })]
#[case("", Kind::Empty)]
#[case(" ; -- nothing\n", Kind::Empty)]
fn classify_control(#[case] sql: &str, #[case] kind: Kind) {
    assert_eq!(classify_one(sql).kind, kind, "{sql}");
}

#[rstest]
#[case("SET work_mem = '4MB'", "work_mem", "4MB", false)]
#[case("SET Work_Mem TO 4096", "work_mem", "4096", false)]
#[case(
    "SET SESSION statement_timeout = 100",
    "statement_timeout",
    "100",
    false
)]
#[case("SET LOCAL lock_timeout = 7", "lock_timeout", "7", true)]
#[case("SET fulmarlift.token = 'g1:3.9'", "fulmarlift.token", "g1:3.9", false)]
#[case(
    "SET fulmarlift.read_class TO recent",
    "fulmarlift.read_class",
    "recent",
    false
)]
#[case(
    "SET fulmarlift.request_id = 'a''b'",
    "fulmarlift.request_id",
    "a'b",
    false
)]
#[case("SET extra_float_digits = -2", "extra_float_digits", "-2", false)]
#[case("SET enable_seqscan = off", "enable_seqscan", "off", false)]
#[case("SET enable_seqscan = false", "enable_seqscan", "false", false)]
#[case(
    "SET TIME ZONE 'Atlantic/Reykjavik'",
    "timezone",
    "Atlantic/Reykjavik",
    false
)]
#[case("SET NAMES 'UTF8'", "client_encoding", "UTF8", false)]
#[case("SET ROLE auditor", "role", "auditor", false)]
#[case("SET ROLE NONE", "role", "none", false)]
#[case(
    "SET search_path = \"$user\", public",
    "search_path",
    "\"$user\", public",
    false
)]
#[case(
    "SET search_path TO 'My schema', b",
    "search_path",
    "\"My schema\", b",
    false
)]
#[case("SET DateStyle = ISO, DMY", "datestyle", "iso, dmy", false)]
fn classify_set(#[case] sql: &str, #[case] name: &str, #[case] value: &str, #[case] local: bool) {
    let expected = Kind::Set {
        name: name.into(),
        value: value.into(),
        local,
    };
    assert_eq!(classify_one(sql).kind, expected, "{sql}");
}

#[rstest]
#[case("RESET work_mem", "work_mem", false)]
#[case("RESET ALL", "all", false)]
#[case("SET work_mem TO DEFAULT", "work_mem", false)]
#[case("SET LOCAL work_mem = DEFAULT", "work_mem", true)]
#[case("SET TIME ZONE LOCAL", "timezone", false)]
#[case("RESET fulmarlift.token", "fulmarlift.token", false)]
fn classify_reset(#[case] sql: &str, #[case] name: &str, #[case] local: bool) {
    let name = name.into();
    assert_eq!(classify_one(sql).kind, Kind::Reset { name, local }, "{sql}");
}

#[rstest]
#[case("SHOW fulmarlift.token", "fulmarlift.token")]
#[case("SHOW ALL", "all")]
#[case("SHOW TimeZone", "timezone")]
#[case("SHOW TIME ZONE", "timezone")]
#[case("SHOW TRANSACTION ISOLATION LEVEL", "transaction_isolation")]
fn classify_show(#[case] sql: &str, #[case] name: &str) {
    assert_eq!(
        classify_one(sql).kind,
        Kind::Show { name: name.into() },
        "{sql}"
    );
}

#[rstest]
#[case("SELECT * FROM b JOIN a ON a.id = b.id, a AS c", &["a", "b"])]
#[case("SELECT * FROM Ledger.Handover", &["ledger.handover"])]
#[case("SELECT * FROM \"Handover\"", &["Handover"])]
#[case("WITH r AS (SELECT * FROM t) SELECT * FROM r JOIN u USING (id)", &["t", "u"])]
#[case("SELECT * FROM generate_series(1, 2) AS g, t", &["t"])]
#[case("INSERT INTO t SELECT * FROM u", &["t", "u"])]
#[case("UPDATE t SET a = 1 FROM u WHERE t.id IN (SELECT id FROM v)", &["t", "u", "v"])]
#[case("DELETE FROM t USING u WHERE t.id = u.id", &["t", "u"])]
#[case("COPY t TO STDOUT", &["t"])]
#[case("COPY (SELECT * FROM t) TO STDOUT", &["t"])]
fn classify_tables(#[case] sql: &str, #[case] expected: &[&str]) {
    assert_eq!(tables(sql), expected, "{sql}");
}

#[test]
fn classify_prepare() {
    let Kind::Prepare { name, statement } =
        classify_one("PREPARE p AS DELETE FROM t WHERE id = $1").kind
    else {
        panic!("not a PREPARE");
    };
    assert_eq!(&*name, "p");
    assert_eq!(statement.kind, Kind::Write);
}

#[test]
fn classify_several() {
    let statements = class::classify("BEGIN; INSERT INTO t VALUES (1); COMMIT");
    let kinds: Vec<Kind> = statements
        .into_iter()
        .map(|statement| statement.kind)
        .collect();
    let begin = Kind::Begin { read_only: false };
    assert_eq!(kinds, [begin, Kind::Write, Kind::Commit]);
}

/// Long chains of operators become deep syntax trees. Dropping such a tree must not overflow the stack of a thread with
/// 2 MiB.
#[rstest]
#[case("SELECT 1", "+1")]
#[case("SELECT a", " OR a")]
#[case("SELECT a", "::int")]
#[case("SELECT a", "[1]")]
#[case("SELECT 1", " UNION SELECT 1")]
#[case("SELECT * FROM t", " JOIN t ON a")]
#[case("SELECT ", "NOT ")]
#[case("SELECT ", "-")]
#[case("SELECT 1", ";SELECT 1")]
fn classify_deep(#[case] head: &str, #[case] part: &str) {
    let parts = (class::MAX_SQL_BYTES - head.len()) / part.len();
    let sql = format!("{head}{}", part.repeat(parts));
    let classify = move || assert!(!class::classify(&sql).is_empty());
    let thread = std::thread::Builder::new().stack_size(2 << 20);
    thread.spawn(classify).unwrap().join().unwrap();
}

#[test]
fn functions_sorted() {
    assert!(functions::READ_ONLY.is_sorted());
    assert!(functions::PINNING.is_sorted_by_key(|(name, _)| *name));
}

#[test]
fn cache_bounded() {
    let mut cache = class::Cache::new(8, 1 << 20);
    for id in 0..100 {
        cache.classify(&format!("SELECT {id}"));
    }
    assert_eq!(cache.len(), 8);
    let mut cache = class::Cache::new(1000, 4 << 10);
    for id in 0..100 {
        cache.classify(&format!("SELECT {id}"));
        assert!(cache.used_bytes() <= 4 << 10);
    }
    assert!(!cache.is_empty());
}

#[test]
fn cache_keeps_used() {
    let mut cache = class::Cache::new(2, 1 << 20);
    let first = cache.classify("SELECT 1");
    cache.classify("SELECT 2");
    cache.classify("SELECT 1");
    cache.classify("SELECT 3");
    assert!(std::sync::Arc::ptr_eq(&first, &cache.classify("SELECT 1")));
}

#[test]
fn cache_same_as_classify() {
    let mut cache = class::Cache::new(4, 1 << 20);
    // Longer than the longest text that the cache holds.
    let long = format!("SELECT '{}'", "x".repeat(32 << 10));
    for sql in ["SELECT 1", "DELETE FROM t", "SELECT 1", &long, "nonsense"] {
        assert_eq!(*cache.classify(sql), class::classify(sql)[..]);
    }
    assert_eq!(cache.len(), 3);
}
