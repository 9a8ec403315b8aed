//! Tests of the platform's HTTP interface.

use std::time::{Duration, Instant};

use fulmarlift_standin::platform;
use reqwest::{Client, StatusCode};
use rstest::rstest;
use serde_json::{Value, json};

struct PlatformClient {
    platform: platform::Handle,
    http: Client,
}

impl PlatformClient {
    async fn start() -> Self {
        let platform = platform::Platform::start(platform::Config::default())
            .await
            .unwrap();
        let http = Client::builder().no_proxy().build().unwrap();
        Self { platform, http }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.platform.address())
    }

    async fn get(&self, path: &str) -> (StatusCode, Value) {
        let response = self.http.get(self.url(path)).send().await.unwrap();
        let status = response.status();
        (status, response.json().await.unwrap_or_default())
    }

    async fn post(&self, path: &str, body: Value) -> (StatusCode, Value) {
        let request = self.http.post(self.url(path)).json(&body);
        let response = request.send().await.unwrap();
        let status = response.status();
        (status, response.json().await.unwrap_or_default())
    }

    async fn put(&self, path: &str, body: &'static str) -> StatusCode {
        let request = self.http.put(self.url(path)).body(body);
        let request = request.header("content-type", "application/json");
        request.send().await.unwrap().status()
    }

    async fn write(&self, key: &str, version: u64, value: &str) -> (StatusCode, Value) {
        let body = json!({
            "checks": [{"table": "claim", "key": key, "version": version}],
            "puts": [{"table": "claim", "key": key, "value": value}],
        });
        self.post("/v1/transactions", body).await
    }
}

#[tokio::test]
async fn transaction_checks_versions() {
    let client = PlatformClient::start().await;
    assert_eq!(
        client.get("/v1/tables/claim/g").await.0,
        StatusCode::NOT_FOUND
    );
    assert_eq!(
        client.write("g", 0, "a").await,
        (StatusCode::OK, json!({"version": 1}))
    );
    let conflict =
        json!({"conflicts": [{"table": "claim", "key": "g", "version": 1, "value": "a"}]});
    assert_eq!(
        client.write("g", 0, "b").await,
        (StatusCode::CONFLICT, conflict)
    );
    assert_eq!(
        client.write("g", 1, "b").await,
        (StatusCode::OK, json!({"version": 2}))
    );
    let row = json!({"key": "g", "version": 2, "value": "b"});
    assert_eq!(
        client.get("/v1/tables/claim/g").await,
        (StatusCode::OK, row)
    );
}

#[tokio::test]
async fn transaction_is_all_or_nothing() {
    let client = PlatformClient::start().await;
    client.write("a", 0, "1").await;
    let body = json!({
        "checks": [{"table": "claim", "key": "a", "version": 1}, {"table": "claim", "key": "b", "version": 9}],
        "puts": [{"table": "claim", "key": "c", "value": 1}],
        "deletes": [{"table": "claim", "key": "a"}],
    });
    let conflict =
        json!({"conflicts": [{"table": "claim", "key": "b", "version": 0, "value": null}]});
    assert_eq!(
        client.post("/v1/transactions", body).await,
        (StatusCode::CONFLICT, conflict)
    );
    let (_, rows) = client.get("/v1/tables/claim").await;
    assert_eq!(
        rows,
        json!({"rows": [{"key": "a", "version": 1, "value": "1"}]})
    );
}

#[tokio::test]
async fn transaction_of_lost_answer_takes_effect() {
    let client = PlatformClient::start().await;
    let switches = json!({"mode": "up", "delay_ms": 0, "lose_answers": 1});
    client.post("/switches", switches).await;
    assert_eq!(
        client.write("g", 0, "a").await.0,
        StatusCode::SERVICE_UNAVAILABLE
    );
    assert_eq!(client.get("/v1/tables/claim/g").await.1["value"], "a");
    assert_eq!(client.write("g", 1, "b").await.0, StatusCode::OK);
}

#[rstest]
#[case("", &["a", "b", "c"])]
#[case("?after=a", &["b", "c"])]
#[case("?limit=2", &["a", "b"])]
#[case("?after=a&limit=1", &["b"])]
#[tokio::test]
async fn rows_come_in_key_order(#[case] query: &str, #[case] expected: &[&str]) {
    let client = PlatformClient::start().await;
    for key in ["c", "a", "b"] {
        client.write(key, 0, "").await;
    }
    let (_, body) = client.get(&format!("/v1/tables/claim{query}")).await;
    let rows = body["rows"].as_array().unwrap();
    let keys: Vec<&str> = rows
        .iter()
        .map(|row| row["key"].as_str().unwrap())
        .collect();
    assert_eq!(keys, expected);
}

#[tokio::test]
async fn object_never_changes() {
    let client = PlatformClient::start().await;
    let path = "/v1/objects/config-1-ab";
    assert_eq!(client.get(path).await.0, StatusCode::NOT_FOUND);
    assert_eq!(client.put(path, "one").await, StatusCode::CREATED);
    assert_eq!(client.put(path, "one").await, StatusCode::OK);
    assert_eq!(client.put(path, "two").await, StatusCode::CONFLICT);
    let response = client.http.get(client.url(path)).send().await.unwrap();
    assert_eq!(response.text().await.unwrap(), "one");
}

#[tokio::test]
async fn down_answers_503() {
    let client = PlatformClient::start().await;
    client.post("/switches", json!({"mode": "down"})).await;
    assert_eq!(
        client.get("/v1/vms").await.0,
        StatusCode::SERVICE_UNAVAILABLE
    );
    assert_eq!(
        client.write("g", 0, "a").await.0,
        StatusCode::SERVICE_UNAVAILABLE
    );
    let calls = client.platform.calls();
    assert_eq!((calls.reads, calls.writes), (1, 1));
    client
        .post("/switches", json!({"mode": "up", "delay_ms": 50}))
        .await;
    let started = Instant::now();
    assert_eq!(
        client.get("/v1/tables/claim/g").await.0,
        StatusCode::NOT_FOUND
    );
    assert!(started.elapsed() >= Duration::from_millis(50));
}

#[tokio::test]
async fn stop_closes_connections() {
    let client = PlatformClient::start().await;
    assert_eq!(client.get("/v1/vms").await.0, StatusCode::OK);
    client.platform.stop();
    while client.http.get(client.url("/v1/vms")).send().await.is_ok() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn vms_lag() {
    let client = PlatformClient::start().await;
    let list = r#"{"vms":[{"name":"v1","domain":"d","region":"r","address":"127.0.0.1:1","state":"leaving"}]}"#;
    let expected: Value = serde_json::from_str(list).unwrap();
    assert_eq!(client.put("/switches/vms", list).await, StatusCode::OK);
    assert_eq!(client.get("/v1/vms").await.1, expected);
    assert_eq!(
        client.put("/switches/vms/lag_ms", "3600000").await,
        StatusCode::OK
    );
    assert_eq!(
        client.put("/switches/vms", r#"{"vms":[]}"#).await,
        StatusCode::OK
    );
    assert_eq!(client.get("/v1/vms").await.1, expected);
    assert_eq!(
        client.put("/switches/vms/lag_ms", "0").await,
        StatusCode::OK
    );
    assert_eq!(
        client.put("/switches/vms", r#"{"vms":[]}"#).await,
        StatusCode::OK
    );
    assert_eq!(client.get("/v1/vms").await.1, json!({"vms": []}));
}
