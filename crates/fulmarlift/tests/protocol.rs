//! Any PostgreSQL driver's ways of asking, through two proxies as processes of their own.

mod support;

#[path = "support/callers.rs"]
mod callers;

use callers::{error_code, query_error_code, query_values, run};
use futures::{SinkExt, TryStreamExt, future};
use support::system::System;
use tokio_postgres::SimpleQueryMessage;

#[tokio::test]
async fn simple_answers_each_statement_of_a_text() {
    let system = System::start(2).await;
    let (first, second) = (system.connect(0).await, system.connect(1).await);
    let text = "CREATE TABLE t (id BIGINT PRIMARY KEY, v TEXT); INSERT INTO t VALUES (1, 'a'), (2, 'b'); \
                SELECT v FROM t ORDER BY id; UPDATE t SET v = 'c' WHERE id = 2";
    let messages = first.simple_query(text).await.expect("the text runs");
    let counts = messages.iter().filter_map(|message| match message {
        SimpleQueryMessage::CommandComplete(count) => Some(*count),
        _ => None,
    });
    assert_eq!(counts.collect::<Vec<_>>(), [0, 2, 2, 1]);
    assert_eq!(
        query_values(&second, "SELECT v FROM t ORDER BY id").await,
        ["a", "c"]
    );
    // One statement fails: the whole text is undone.
    let undone = "INSERT INTO t VALUES (3, 'x'); INSERT INTO t VALUES (1, 'twice')";
    assert_eq!(query_error_code(&first, undone).await, "23505");
    assert_eq!(query_values(&second, "SELECT count(*) FROM t").await, ["2"]);
    let empty = first.simple_query("").await.expect("an empty text");
    assert!(matches!(
        empty[..],
        [SimpleQueryMessage::CommandComplete(0)]
    ));
}

#[tokio::test]
async fn prepared_serves_by_name_on_any_connection() {
    let system = System::start(2).await;
    let clients = [system.connect(0).await, system.connect(1).await];
    run(
        &clients[0],
        "CREATE TABLE t (id BIGINT PRIMARY KEY, v TEXT)",
    )
    .await;
    let mut inserts = Vec::new();
    let mut selects = Vec::new();
    for client in &clients {
        let insert = client.prepare("INSERT INTO t VALUES ($1, $2)").await;
        inserts.push(insert.expect("it prepares"));
        let select = client.prepare("SELECT v FROM t WHERE id = $1").await;
        selects.push(select.expect("it prepares"));
    }
    for id in 0..12_i64 {
        let writer = usize::from(id % 2 == 1);
        let text = format!("v{id}");
        let written = clients[writer]
            .execute(&inserts[writer], &[&id, &text])
            .await;
        assert_eq!(written.expect("it writes"), 1);
        // Others take and give back connections meanwhile, so that the session gets another one.
        let other = system.connect(writer).await;
        let hold = other.simple_query("BEGIN; SELECT 1").await;
        hold.expect("a transaction holds a connection");
        let reader = 1 - writer;
        let row = clients[reader].query_one(&selects[reader], &[&id]).await;
        assert_eq!(row.expect("it reads").get::<_, String>(0), text);
        run(&other, "ROLLBACK").await;
    }
    let same = clients[0].prepare("SELECT v FROM t WHERE id = $1").await;
    drop(selects);
    let row = clients[0]
        .query_one(&same.expect("it prepares"), &[&3_i64])
        .await;
    assert_eq!(row.expect("it reads").get::<_, String>(0), "v3");
}

#[tokio::test]
async fn pipelined_gives_each_query_its_own_answer() {
    let system = System::start(2).await;
    let clients = [system.connect(0).await, system.connect(1).await];
    run(
        &clients[0],
        "CREATE TABLE t (id BIGINT PRIMARY KEY, v TEXT)",
    )
    .await;
    let ask = |client: usize, id: i64| {
        let client = &clients[client];
        async move {
            let expected = format!("{client:p}/{id}");
            let sql = "SELECT $1::text, $2::bigint";
            let row = client.query_one(sql, &[&expected, &id]).await;
            let row = row.expect("it is answered");
            assert_eq!(row.get::<_, String>(0), expected);
            assert_eq!(row.get::<_, i64>(1), id);
        }
    };
    let asked = (0..200).map(|id| ask((id % 2) as usize, id));
    future::join_all(asked).await;
    // A failing query in the middle fails alone.
    let client = &clients[0];
    let (before, failed, after) = future::join3(
        client.query_one("SELECT 1", &[]),
        client.query_one("SELECT no_such_column FROM t", &[]),
        client.query_one("SELECT 3", &[]),
    )
    .await;
    assert!(before.is_ok() && failed.is_err() && after.is_ok());
}

#[tokio::test]
async fn transaction_keeps_callers_apart() {
    let system = System::start(2).await;
    let (first, second) = (system.connect(0).await, system.connect(0).await);
    let other = system.connect(1).await;
    run(&first, "CREATE TABLE t (id BIGINT PRIMARY KEY, v TEXT)").await;
    run(&first, "BEGIN").await;
    run(&first, "INSERT INTO t VALUES (1, 'first')").await;
    // Another caller of the same proxy, in its own transaction, sees nothing of it.
    run(&second, "BEGIN").await;
    assert_eq!(query_values(&second, "SELECT count(*) FROM t").await, ["0"]);
    assert_eq!(query_values(&first, "SELECT count(*) FROM t").await, ["1"]);
    run(&second, "COMMIT").await;
    run(&first, "ROLLBACK").await;
    assert_eq!(query_values(&other, "SELECT count(*) FROM t").await, ["0"]);
    run(&first, "BEGIN; INSERT INTO t VALUES (2, 'kept'); COMMIT").await;
    assert_eq!(query_values(&other, "SELECT v FROM t").await, ["kept"]);
}

#[tokio::test]
async fn transaction_fails_whole_after_an_error() {
    let system = System::start(1).await;
    let client = system.connect(0).await;
    run(&client, "CREATE TABLE t (id BIGINT PRIMARY KEY)").await;
    for wrong in [
        "SELECT no_such_column FROM t",
        "LISTEN channel",
        "SET fulmarlift.token = 'x'",
    ] {
        run(&client, "BEGIN").await;
        run(&client, "INSERT INTO t VALUES (1)").await;
        assert!(client.simple_query(wrong).await.is_err(), "{wrong}");
        assert_eq!(
            query_error_code(&client, "SELECT 1").await,
            "25P02",
            "after {wrong}"
        );
        // What is left of the transaction can't be committed.
        run(&client, "COMMIT").await;
        assert_eq!(
            query_values(&client, "SELECT count(*) FROM t").await,
            ["0"],
            "after {wrong}"
        );
    }
}

#[tokio::test]
async fn copy_streams_both_ways() {
    let system = System::start(2).await;
    let (first, second) = (system.connect(0).await, system.connect(1).await);
    run(&first, "CREATE TABLE t (id BIGINT PRIMARY KEY, v TEXT)").await;
    let sink = first.copy_in("COPY t FROM STDIN").await;
    let mut sink = Box::pin(sink.expect("the copy starts"));
    let mut expected = String::new();
    for id in 0..2_000 {
        // One line in a while is larger than what passes whole.
        let text = "x".repeat(if id % 500 == 7 { 200_000 } else { 20 });
        let line = format!("{id}\t{text}\n");
        expected.push_str(&line);
        let sent = sink.send(bytes::Bytes::from(line)).await;
        sent.expect("the row is taken");
    }
    assert_eq!(sink.as_mut().finish().await.expect("the copy ends"), 2_000);
    let out = second
        .copy_out("COPY t TO STDOUT")
        .await
        .expect("it starts");
    let parts: Vec<bytes::Bytes> = out.try_collect().await.expect("it ends");
    assert_eq!(parts.concat(), expected.as_bytes());
    // A copy that is given up writes nothing, and the connection stays in step.
    let given_up = first.copy_in::<_, bytes::Bytes>("COPY t FROM STDIN").await;
    let mut given_up = Box::pin(given_up.expect("it starts"));
    let row = bytes::Bytes::from_static(b"9000\ty\n");
    given_up.send(row).await.expect("the row is taken");
    drop(given_up);
    assert_eq!(
        query_values(&first, "SELECT count(*) FROM t").await,
        ["2000"]
    );
    // A row that the member refuses.
    let wrong = first.copy_in::<_, bytes::Bytes>("COPY t FROM STDIN").await;
    let mut wrong = Box::pin(wrong.expect("it starts"));
    let row = bytes::Bytes::from_static(b"1\ty\n");
    wrong.send(row).await.expect("the row is taken");
    assert_eq!(
        error_code(&wrong.as_mut().finish().await.expect_err("a duplicate")),
        "23505"
    );
    assert_eq!(
        query_values(&first, "SELECT count(*) FROM t").await,
        ["2000"]
    );
}

#[tokio::test]
async fn large_rows_arrive_whole() {
    let system = System::start(1).await;
    let client = system.connect(0).await;
    run(&client, "CREATE TABLE t (id BIGINT PRIMARY KEY, v TEXT)").await;
    let text = "0123456789".repeat(300_000);
    for id in 0..3_i64 {
        let written = client
            .execute("INSERT INTO t VALUES ($1, $2)", &[&id, &text])
            .await;
        assert_eq!(written.expect("it writes"), 1);
    }
    let rows = client.query("SELECT v FROM t ORDER BY id", &[]).await;
    let rows = rows.expect("it reads");
    assert_eq!(rows.len(), 3);
    assert!(rows.iter().all(|row| row.get::<_, &str>(0) == text));
}
