//! Sets switches of the stand-ins and queries members directly.

use std::net::SocketAddr;

use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

/// Sets switches of the stand-in for the platform.
pub async fn switch_platform(platform: SocketAddr, change: serde_json::Value) {
    let url = format!("http://{platform}/switches");
    let request = reqwest::Client::new().post(url);
    let request = request.header("content-type", "application/json");
    let answer = request.body(change.to_string()).send().await;
    assert!(answer.expect("the stand-in answers").status().is_success());
}

/// Opens a control connection to a member.
pub async fn connect_control(member: SocketAddr) -> Client {
    let settings = format!(
        "host={} port={} user=fulmarlift dbname=fulmarlift options='-c group_control=true'",
        member.ip(),
        member.port()
    );
    let (client, connection) = tokio_postgres::connect(&settings, NoTls)
        .await
        .expect("the member accepts the login");
    tokio::spawn(connection);
    client
}

/// Sets a switch of a stand-in for a member.
pub async fn switch_member(member: SocketAddr, name: &str, value: &str) {
    let control = connect_control(member).await;
    let sql = format!("SELECT member_switch('{name}', '{value}')");
    // Some switches cut this connection before the member answers.
    let _ = control.simple_query(&sql).await;
}

/// Sends a query to the member itself and returns the first column of the first row.
pub async fn query_member(member: SocketAddr, sql: &str) -> Option<String> {
    query_first(&connect_control(member).await, sql)
        .await
        .ok()
        .flatten()
}

/// Sends a query and returns the first column of the first row; `None` when there is no row.
pub async fn query_first(
    client: &Client,
    sql: &str,
) -> Result<Option<String>, tokio_postgres::Error> {
    let messages = client.simple_query(sql).await?;
    let row = messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(row.get(0).unwrap_or_default().to_owned()),
        _ => None,
    });
    Ok(row)
}
