//! Tests of simple and extended queries, COPY and settings.

mod support;

use futures::{SinkExt, TryStreamExt, pin_mut};
use rstest::rstest;
use tokio_postgres::types::Type;

#[tokio::test]
async fn simple_query_runs_all_statements() {
    let member = support::start_primary(|_| {}).await;
    let client = support::connect(&member).await;
    client
        .batch_execute(
            "INSERT INTO letter (id, name) VALUES (1, 'it''s'); INSERT INTO letter (id) VALUES (2)",
        )
        .await
        .unwrap();
    assert_eq!(
        support::query_text(&client, "SELECT count(*) FROM letter").await,
        "2"
    );
    assert_eq!(
        support::query_text(&client, "SELECT name FROM letter WHERE id = 1").await,
        "it's"
    );
}

#[tokio::test]
async fn extended_query_keeps_types() {
    let member = support::start_primary(|_| {}).await;
    let client = support::connect(&member).await;
    let insert =
        "INSERT INTO letter (id, place, name, sent, weight, seal) VALUES ($1, $2, $3, $4, $5, $6)";
    let seal: &[u8] = &[0, 255, 10];
    let count = client
        .execute(
            insert,
            &[&7_i64, &3_i32, &"Þórshöfn", &true, &0.25_f64, &seal],
        )
        .await
        .unwrap();
    assert_eq!(count, 1);
    let row = client
        .query_one("SELECT * FROM letter WHERE id = $1", &[&7_i64])
        .await
        .unwrap();
    assert_eq!(row.get::<_, i64>("id"), 7);
    assert_eq!(row.get::<_, i32>("place"), 3);
    assert_eq!(row.get::<_, &str>("name"), "Þórshöfn");
    assert!(row.get::<_, bool>("sent"));
    assert_eq!(row.get::<_, f64>("weight"), 0.25);
    assert_eq!(row.get::<_, &[u8]>("seal"), seal);
}

#[tokio::test]
async fn extended_query_returns_nulls() {
    let member = support::start_primary(|_| {}).await;
    let client = support::connect(&member).await;
    let row = client
        .query_one(
            "INSERT INTO letter (id, name) VALUES ($1, $2) RETURNING id, name",
            &[&1_i64, &None::<&str>],
        )
        .await
        .unwrap();
    assert_eq!(row.get::<_, i64>(0), 1);
    assert_eq!(row.get::<_, Option<&str>>(1), None);
}

#[rstest]
#[case("SELECT 1", Type::INT4)]
#[case("SELECT 'a'", Type::TEXT)]
#[case("SELECT $1::int8", Type::INT8)]
#[case("SELECT count(*) FROM letter", Type::INT8)]
#[case("SELECT 1.5 * 2", Type::FLOAT8)]
#[case("SELECT true AS yes", Type::BOOL)]
#[case("SELECT seal FROM letter", Type::BYTEA)]
#[case("SELECT n FROM generate_series(1, 3) AS n", Type::INT8)]
#[tokio::test]
async fn prepare_tells_column_type(#[case] query: &str, #[case] kind: Type) {
    let member = support::start_primary(|_| {}).await;
    let client = support::connect(&member).await;
    let statement = client.prepare(query).await.unwrap();
    assert_eq!(*statement.columns()[0].type_(), kind);
}

#[rstest]
#[case("SELECT id FROM letter WHERE place = $1 LIMIT $2", &[Type::INT4, Type::INT8])]
#[case("SELECT id FROM letter WHERE id IN ($1, $2)", &[Type::INT8, Type::INT8])]
#[case("SELECT id FROM letter l WHERE l.weight BETWEEN $1 AND $2", &[Type::FLOAT8, Type::FLOAT8])]
#[case("UPDATE letter SET place = place + $1 WHERE name = $2", &[Type::INT4, Type::TEXT])]
#[case("INSERT INTO letter VALUES ($1, $2, NULL, NULL, NULL, NULL)", &[Type::INT8, Type::INT4])]
#[case("SELECT $1::bool, $2::bytea", &[Type::BOOL, Type::BYTEA])]
#[tokio::test]
async fn prepare_tells_param_types(#[case] query: &str, #[case] kinds: &[Type]) {
    let member = support::start_primary(|_| {}).await;
    let client = support::connect(&member).await;
    let statement = client.prepare(query).await.unwrap();
    assert_eq!(statement.params(), kinds);
}

#[tokio::test]
async fn prepare_serves_many_executions() {
    let member = support::start_primary(|_| {}).await;
    let client = support::connect(&member).await;
    let statement = client.prepare("SELECT $1::int4 AS n").await.unwrap();
    for n in 0..20_i32 {
        let row = client.query_one(&statement, &[&n]).await.unwrap();
        assert_eq!(row.get::<_, i32>("n"), n);
    }
}

#[tokio::test]
async fn portal_sends_rows_in_parts() {
    let member = support::start_primary(|_| {}).await;
    let mut client = support::connect(&member).await;
    let transaction = client.transaction().await.unwrap();
    let portal = transaction
        .bind("SELECT n FROM generate_series(1, 5) AS n", &[])
        .await
        .unwrap();
    let mut parts = Vec::new();
    for _ in 0..3 {
        let rows = transaction.query_portal(&portal, 2).await.unwrap();
        parts.push(rows.iter().map(|row| row.get(0)).collect::<Vec<i64>>());
    }
    assert_eq!(parts, [vec![1, 2], vec![3, 4], vec![5]]);
}

#[tokio::test]
async fn generate_series_streams_rows() {
    let member = support::start_primary(|_| {}).await;
    let client = support::connect(&member).await;
    let none: [i64; 0] = [];
    let rows = client
        .query_raw("SELECT * FROM generate_series(1, 200000)", none)
        .await
        .unwrap();
    pin_mut!(rows);
    let mut sum = 0;
    while let Some(row) = rows.try_next().await.unwrap() {
        sum += row.get::<_, i64>(0);
    }
    assert_eq!(sum, 20_000_100_000);
}

#[tokio::test]
async fn copy_round_trip() {
    let member = support::start_primary(|_| {}).await;
    let client = support::connect(&member).await;
    let sink = client
        .copy_in::<_, bytes::Bytes>("COPY letter (id, name, sent) FROM STDIN")
        .await
        .unwrap();
    pin_mut!(sink);
    sink.send("1\ta\\tb\tt\n2\t\\".into()).await.unwrap();
    sink.send("N\tf\n".into()).await.unwrap();
    assert_eq!(sink.finish().await.unwrap(), 2);
    let out = client
        .copy_out("COPY letter (id, name, sent) TO STDOUT")
        .await
        .unwrap();
    let parts: Vec<bytes::Bytes> = out.try_collect().await.unwrap();
    assert_eq!(parts.concat(), b"1\ta\\tb\tt\n2\t\\N\tf\n");
}

#[tokio::test]
async fn copy_refuses_malformed_line() {
    let member = support::start_primary(|_| {}).await;
    let client = support::connect(&member).await;
    let sink = client
        .copy_in::<_, bytes::Bytes>("COPY letter (id, name) FROM STDIN")
        .await
        .unwrap();
    pin_mut!(sink);
    sink.send("1\ta\n2\n".into()).await.unwrap();
    assert_eq!(support::sqlstate(sink.finish().await), "22P04");
    assert_eq!(
        support::query_text(&client, "SELECT count(*) FROM letter").await,
        "0"
    );
}

#[rstest]
#[case("SELEC 1", "42601")]
#[case("SELECT * FROM absent", "42P01")]
#[case("SELECT absent FROM letter", "42703")]
#[case("INSERT INTO letter (id) VALUES (1), (1)", "23505")]
#[case("SHOW absent", "42704")]
#[case("COPY letter FROM 'file'", "0A000")]
#[tokio::test]
async fn query_reports_sql_state(#[case] query: &str, #[case] code: &str) {
    let member = support::start_primary(|_| {}).await;
    let client = support::connect(&member).await;
    assert_eq!(support::sqlstate(client.simple_query(query).await), code);
    assert_eq!(support::query_text(&client, "SELECT 1").await, "1");
}

#[tokio::test]
async fn set_ends_with_rollback() {
    let member = support::start_primary(|_| {}).await;
    let client = support::connect(&member).await;
    client
        .batch_execute("SET fulmarlift.token = 'a'")
        .await
        .unwrap();
    client
        .batch_execute("BEGIN; SET fulmarlift.token TO 'b'; ROLLBACK")
        .await
        .unwrap();
    assert_eq!(
        support::query_text(&client, "SHOW fulmarlift.token").await,
        "a"
    );
    client.batch_execute("DISCARD ALL").await.unwrap();
    assert_eq!(
        support::sqlstate(client.simple_query("SHOW fulmarlift.token").await),
        "42704"
    );
}
