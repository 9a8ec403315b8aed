//! What the tests of members share.
#![allow(dead_code, missing_docs)]

use std::time::Duration;

use fulmarlift_standin::member;
use tokio_postgres::{Client, Config, NoTls, SimpleQueryMessage, SimpleQueryRow};

pub const SCHEMA: &str = "CREATE TABLE letter (id INTEGER PRIMARY KEY, place INT, name TEXT, sent BOOLEAN, \
     weight REAL, seal BYTEA)";

pub async fn primary(change: impl FnOnce(&mut member::Config)) -> member::Handle {
    let mut config = member::Config {
        primary: true,
        initial_sql: SCHEMA.into(),
        ..member::Config::default()
    };
    change(&mut config);
    member::Member::start(config).await.unwrap()
}

pub async fn group(lag_ms: u64) -> Vec<member::Handle> {
    let mut members = vec![primary(|_| {}).await];
    for _ in 0..2 {
        let config = member::Config {
            lag_ms,
            ..member::Config::default()
        };
        members.push(member::Member::start(config).await.unwrap());
    }
    for (place, member) in members.iter().enumerate() {
        let others = members.iter().enumerate();
        let peers = others.filter(|(other, _)| *other != place);
        member.set_peers(peers.map(|(_, peer)| peer.as_peer()).collect());
    }
    members
}

pub fn config(member: &member::Handle) -> Config {
    let mut config = Config::new();
    config
        .host("127.0.0.1")
        .port(member.address().port())
        .user("caller")
        .dbname("main")
        .connect_timeout(Duration::from_secs(20));
    config
}

pub async fn try_connect(config: &Config) -> Result<Client, tokio_postgres::Error> {
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

pub async fn connect(member: &member::Handle) -> Client {
    try_connect(&config(member)).await.unwrap()
}

pub async fn connect_control(member: &member::Handle) -> Client {
    let mut config = config(member);
    config.options("-c group_control=true");
    try_connect(&config).await.unwrap()
}

pub async fn row(client: &Client, query: &str) -> SimpleQueryRow {
    let messages = client.simple_query(query).await.unwrap();
    let row = messages.into_iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(row),
        _ => None,
    });
    row.unwrap()
}

pub async fn text(client: &Client, query: &str) -> String {
    row(client, query).await.get(0).unwrap().to_string()
}

pub fn code<T>(result: Result<T, tokio_postgres::Error>) -> String {
    match result {
        Ok(_) => "none".into(),
        Err(error) => error
            .code()
            .map_or_else(|| error.to_string(), |code| code.code().to_string()),
    }
}

pub async fn wait_position(client: &Client, position: u64) -> SimpleQueryRow {
    let query = format!("SELECT * FROM group_status({position}, 20000)");
    row(client, &query).await
}
