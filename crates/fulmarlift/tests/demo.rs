//! The subcommand `demo`.

mod support;

use std::process::Command;

use support::process::Process;
use tokio_postgres::NoTls;

const PROGRAM: &str = env!("CARGO_BIN_EXE_fulmarlift");

#[test]
fn demo_holds_every_check() {
    let output = Command::new(PROGRAM).args(["demo", "--json"]).output();
    let output = output.expect("the demo runs");
    let report: serde_json::Value =
        serde_json::from_slice(&output.stdout).expect("the demo prints JSON");
    assert!(output.status.success(), "{report:#}");
    let checks = report["checks"].as_array().expect("the report has checks");
    assert_eq!(checks.len(), 5);
    assert!(checks.iter().all(|check| check["held"] == true));
}

#[tokio::test]
async fn demo_serves_until_terminated() {
    let mut demo = Process::start(PROGRAM, &["demo".to_owned(), "--serve".to_owned()]);
    let addresses = [demo.read_address("ready"), demo.read_address("ready")];
    for (id, address) in addresses.iter().enumerate() {
        let settings = format!(
            "host={} port={} user=courier dbname=ledger",
            address.ip(),
            address.port()
        );
        let connected = tokio_postgres::connect(&settings, NoTls).await;
        let (client, connection) = connected.expect("the proxy accepts the login");
        tokio::spawn(connection);
        let create = "CREATE TABLE IF NOT EXISTS handover (id BIGINT)";
        client
            .batch_execute(create)
            .await
            .expect("the proxy creates the table");
        let insert = format!("INSERT INTO handover VALUES ({id})");
        client
            .batch_execute(&insert)
            .await
            .expect("the proxy writes the row");
        let row = client.query_one("SELECT count(*) FROM handover", &[]).await;
        let rows: i64 = row.expect("the proxy returns the count").get(0);
        assert_eq!(rows, id as i64 + 1);
    }
    demo.signal("TERM");
    assert!(demo.wait().success());
}
