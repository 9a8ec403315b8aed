//! Names of prepared statements on connections to databases.

use fulmarlift_wire::statement::shared_name;
use rstest::rstest;
use xxhash_rust::xxh3;

/// Returns a statement whose text has these parts where XXH3 multiplies them by zero, so that only their sum counts.
fn statement(first: &str, second: &str) -> String {
    let mut sql = format!("SELECT '{:a<38}ø\u{8}Ft{first}", "");
    sql = format!("{sql:a<623}");
    // The padding counts characters, of which one has two bytes.
    sql.pop();
    sql += &format!("ȟ~\u{241}{second}");
    format!("{sql}{:a<200}'", "")
}

#[test]
fn shared_name_differs_where_texts_collide_by_xxh3() {
    let first = statement("abcd", "bce");
    let second = statement("abce", "bcd");
    assert_ne!(first, second);
    let hash = |sql: &str| xxh3::xxh3_64(format!("\0{sql}").as_bytes());
    assert_eq!(hash(&first), hash(&second));
    assert_ne!(shared_name(&first, &[]), shared_name(&second, &[]));
}

#[rstest]
#[case::same("SELECT $1", &[23], true)]
#[case::text("SELECT $1 ", &[23], false)]
#[case::type_of_parameter("SELECT $1", &[25], false)]
#[case::number_of_parameters("SELECT $1", &[23, 23], false)]
#[case::no_type("SELECT $1", &[], false)]
fn shared_name_is_that_of_text_and_types(
    #[case] sql: &str,
    #[case] type_oids: &[u32],
    #[case] is_shared: bool,
) {
    let name = shared_name("SELECT $1", &[23]);
    assert_eq!(shared_name(sql, type_oids) == name, is_shared);
}

/// Databases compare 63 bytes of a name.
#[rstest]
#[case::empty("")]
#[case::long(&"x".repeat(1 << 20))]
fn shared_name_is_as_long_as_databases_compare(#[case] sql: &str) {
    let name = shared_name(sql, &[23, 25]);
    assert_eq!(name.len(), 63);
    assert!(
        name.bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || byte == b'_')
    );
}
