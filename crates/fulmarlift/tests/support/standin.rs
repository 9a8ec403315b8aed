//! The switches of the stand-ins, and what they hold.

use std::net::SocketAddr;

use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

/// Sets switches of the platform.
pub async fn switch_platform(platform: SocketAddr, change: serde_json::Value) {
    let url = format!("http://{platform}/switches");
    let request = reqwest::Client::new().post(url);
    let request = request.header("content-type", "application/json");
    let answer = request.body(change.to_string()).send().await;
    assert!(answer.expect("the stand-in answers").status().is_success());
}

/// Opens a control connection to a member.
pub async fn control(member: SocketAddr) -> Client {
    let settings = format!(
        "host={} port={} user=fulmarlift dbname=fulmarlift options='-c group_control=true'",
        member.ip(),
        member.port()
    );
    let (client, connection) = tokio_postgres::connect(&settings, NoTls)
        .await
        .expect("the member serves");
    tokio::spawn(connection);
    client
}

/// Sets a switch of a member.
pub async fn switch_member(member: SocketAddr, name: &str, value: &str) {
    let control = control(member).await;
    let sql = format!("SELECT member_switch('{name}', '{value}')");
    // Some switches cut this very connection.
    let _ = control.simple_query(&sql).await;
}

/// Returns the value of a query's first column and row as the member itself answers it.
pub async fn value(member: SocketAddr, sql: &str) -> Option<String> {
    first(&control(member).await, sql).await.ok().flatten()
}

/// Returns the value of a query's first column and row.
pub async fn first(client: &Client, sql: &str) -> Result<Option<String>, tokio_postgres::Error> {
    let messages = client.simple_query(sql).await?;
    let row = messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(row.get(0).unwrap_or_default().to_owned()),
        _ => None,
    });
    Ok(row)
}
