//! A write through one proxy and a read through another, with all programs as processes.

mod support;

use support::system::System;

#[tokio::test]
async fn path_serves_write_and_read_through_two_proxies() {
    let system = System::start(2).await;
    let first = system.connect(0).await;
    let second = system.connect(1).await;
    first
        .simple_query("CREATE TABLE handover (id BIGINT PRIMARY KEY, signed TEXT)")
        .await
        .expect("the proxy creates the table");
    for id in 0..20_i64 {
        let written = first
            .execute("INSERT INTO handover VALUES ($1, $2)", &[&id, &"signed"])
            .await;
        assert_eq!(written.expect("the proxy acknowledges the write"), 1);
        let row = second
            .query_one("SELECT signed FROM handover WHERE id = $1", &[&id])
            .await;
        let signed: String = row.expect("the read sees the write").get(0);
        assert_eq!(signed, "signed");
    }
}
