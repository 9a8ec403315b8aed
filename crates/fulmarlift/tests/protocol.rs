//! Simple queries, prepared statements, pipelining, transactions and COPY through two proxies.

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
    let script = "CREATE TABLE t (id BIGINT PRIMARY KEY, v TEXT); INSERT INTO t VALUES (1, 'a'), (2, 'b'); \
                SELECT v FROM t ORDER BY id; UPDATE t SET v = 'c' WHERE id = 2";
    let messages = first.simple_query(script).await.expect("the script runs");
    let counts = messages.iter().filter_map(|message| match message {
        SimpleQueryMessage::CommandComplete(count) => Some(*count),
        _ => None,
    });
    assert_eq!(counts.collect::<Vec<_>>(), [0, 2, 2, 1]);
    assert_eq!(
        query_values(&second, "SELECT v FROM t ORDER BY id").await,
        ["a", "c"]
    );
    // One statement fails, so the member rolls back the whole text.
    let failing = "INSERT INTO t VALUES (3, 'x'); INSERT INTO t VALUES (1, 'twice')";
    assert_eq!(query_error_code(&first, failing).await, "23505");
    assert_eq!(query_values(&second, "SELECT count(*) FROM t").await, ["2"]);
    let empty = first
        .simple_query("")
        .await
        .expect("the proxy accepts an empty query");
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
        inserts.push(insert.expect("the statement is prepared"));
        let select = client.prepare("SELECT v FROM t WHERE id = $1").await;
        selects.push(select.expect("the statement is prepared"));
    }
    for id in 0..12_i64 {
        let writer = usize::from(id % 2 == 1);
        let text = format!("v{id}");
        let written = clients[writer]
            .execute(&inserts[writer], &[&id, &text])
            .await;
        assert_eq!(written.expect("the proxy acknowledges the write"), 1);
        // Another caller occupies a connection, so that the next statement runs on a different connection.
        let other = system.connect(writer).await;
        let begun = other.simple_query("BEGIN; SELECT 1").await;
        begun.expect("the transaction starts");
        let reader = 1 - writer;
        let row = clients[reader].query_one(&selects[reader], &[&id]).await;
        assert_eq!(
            row.expect("the proxy answers the read").get::<_, String>(0),
            text
        );
        run(&other, "ROLLBACK").await;
    }
    let prepared_again = clients[0].prepare("SELECT v FROM t WHERE id = $1").await;
    drop(selects);
    let row = clients[0]
        .query_one(
            &prepared_again.expect("the statement is prepared"),
            &[&3_i64],
        )
        .await;
    assert_eq!(
        row.expect("the proxy answers the read").get::<_, String>(0),
        "v3"
    );
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
    let query = |client: usize, id: i64| {
        let client = &clients[client];
        async move {
            let expected = format!("{client:p}/{id}");
            let sql = "SELECT $1::text, $2::bigint";
            let row = client.query_one(sql, &[&expected, &id]).await;
            let row = row.expect("the proxy answers the query");
            assert_eq!(row.get::<_, String>(0), expected);
            assert_eq!(row.get::<_, i64>(1), id);
        }
    };
    let queries = (0..200).map(|id| query((id % 2) as usize, id));
    future::join_all(queries).await;
    // An error in the middle query does not affect the queries before and after it.
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
    // Another caller of the same proxy, in its own transaction, does not see the uncommitted row.
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
    for refused in [
        "SELECT no_such_column FROM t",
        "LISTEN channel",
        "SET fulmarlift.token = 'x'",
    ] {
        run(&client, "BEGIN").await;
        run(&client, "INSERT INTO t VALUES (1)").await;
        assert!(client.simple_query(refused).await.is_err(), "{refused}");
        assert_eq!(
            query_error_code(&client, "SELECT 1").await,
            "25P02",
            "after {refused}"
        );
        // COMMIT of a failed transaction rolls it back.
        run(&client, "COMMIT").await;
        assert_eq!(
            query_values(&client, "SELECT count(*) FROM t").await,
            ["0"],
            "after {refused}"
        );
    }
}

#[tokio::test]
async fn copy_streams_both_ways() {
    let system = System::start(2).await;
    let (first, second) = (system.connect(0).await, system.connect(1).await);
    run(&first, "CREATE TABLE t (id BIGINT PRIMARY KEY, v TEXT)").await;
    let sink = first.copy_in("COPY t FROM STDIN").await;
    let mut sink = Box::pin(sink.expect("COPY starts"));
    let mut expected = String::new();
    for id in 0..2_000 {
        // Every 500th line is too large for the proxy to forward it as a whole message.
        let text = "x".repeat(if id % 500 == 7 { 200_000 } else { 20 });
        let line = format!("{id}\t{text}\n");
        expected.push_str(&line);
        let sent = sink.send(bytes::Bytes::from(line)).await;
        sent.expect("the row is sent");
    }
    assert_eq!(sink.as_mut().finish().await.expect("COPY completes"), 2_000);
    let out = second
        .copy_out("COPY t TO STDOUT")
        .await
        .expect("COPY starts");
    let parts: Vec<bytes::Bytes> = out.try_collect().await.expect("COPY completes");
    assert_eq!(parts.concat(), expected.as_bytes());
    // An aborted COPY writes nothing, and the connection can still be used.
    let aborted = first.copy_in::<_, bytes::Bytes>("COPY t FROM STDIN").await;
    let mut aborted = Box::pin(aborted.expect("COPY starts"));
    let row = bytes::Bytes::from_static(b"9000\ty\n");
    aborted.send(row).await.expect("the row is sent");
    drop(aborted);
    assert_eq!(
        query_values(&first, "SELECT count(*) FROM t").await,
        ["2000"]
    );
    // The member refuses a row with a duplicate key.
    let refused = first.copy_in::<_, bytes::Bytes>("COPY t FROM STDIN").await;
    let mut refused = Box::pin(refused.expect("COPY starts"));
    let row = bytes::Bytes::from_static(b"1\ty\n");
    refused.send(row).await.expect("the row is sent");
    assert_eq!(
        error_code(
            &refused
                .as_mut()
                .finish()
                .await
                .expect_err("the member refuses the duplicate key")
        ),
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
        assert_eq!(written.expect("the proxy acknowledges the write"), 1);
    }
    let rows = client.query("SELECT v FROM t ORDER BY id", &[]).await;
    let rows = rows.expect("the proxy answers the read");
    assert_eq!(rows.len(), 3);
    assert!(rows.iter().all(|row| row.get::<_, &str>(0) == text));
}
