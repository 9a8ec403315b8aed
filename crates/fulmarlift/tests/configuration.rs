//! The configuration through processes of their own: in force everywhere, only upwards, whatever the store does.

mod support;

use fulmarlift_store::platform::Platform;
use fulmarlift_store::publish::{self, read, submit};
use fulmarlift_store::{client, message};
use support::{system::System, wait};

fn platform(system: &System) -> client::Client {
    client::Client::new(&system.platform_url()).expect("an address")
}

/// Writes the head row as it is, past all checks.
async fn force_head(system: &System, head: &publish::Head) {
    let transaction = message::Transaction {
        puts: vec![message::Put::new(
            publish::CONFIG_TABLE,
            publish::HEAD_KEY,
            head,
        )],
        ..message::Transaction::default()
    };
    let written = platform(system).transact(&transaction).await;
    written.expect("the platform is up");
}

async fn head(system: &System) -> publish::Head {
    let head = read::head(&platform(system)).await;
    head.expect("the platform is up").expect("a head")
}

#[tokio::test]
async fn configuration_comes_from_peer_when_store_is_down() {
    let mut system = System::start(2).await;
    system
        .switch_platform(serde_json::json!({"mode": "down"}))
        .await;
    system.proxies[1].process.signal("KILL");
    let restarted = system.start_proxy();
    system.until_version(restarted, 1).await;
    system.until_serving(restarted).await;
    assert_eq!(system.readiness(restarted).await.0, 200);
    // Nobody has told the first proxy the new ports but the restarted one's heartbeats.
    let address = system.proxies[restarted].peer;
    wait::until("the first proxy finds the restarted one", async || {
        let status = system.status(0).await.expect("the proxy runs");
        let mut peers = status.peers.iter();
        peers.any(|peer| peer.alive && peer.address == address)
    })
    .await;
}

#[tokio::test]
async fn configuration_without_source_is_not_ready() {
    let mut system = System::start_standins().await;
    system
        .switch_platform(serde_json::json!({"mode": "down"}))
        .await;
    let proxy = system.start_proxy();
    let (status, text) = system.readiness(proxy).await;
    assert_eq!(status, 503);
    assert!(text.contains("neither the platform nor a peer"), "{text}");
    assert!(system.try_connect(proxy).await.is_err());
    system
        .switch_platform(serde_json::json!({"mode": "up"}))
        .await;
    system.submit(0, 1).await.expect("the first version");
    system.until_serving(proxy).await;
    assert_eq!(system.readiness(proxy).await.0, 200);
}

#[tokio::test]
async fn configuration_race_has_one_winner_in_force_everywhere() {
    let system = System::start(3).await;
    let racers = (2..6).map(|mark| system.submit(1, mark));
    let results = futures::future::join_all(racers).await;
    let winners: Vec<&publish::Head> = results.iter().filter_map(|r| r.as_ref().ok()).collect();
    assert_eq!(winners.len(), 1, "{results:?}");
    for lost in results.iter().filter_map(|result| result.as_ref().err()) {
        let submit::Error::RaceLost(lost) = lost else {
            panic!("expected a lost race: {lost}");
        };
        let changes = lost.changes.as_ref().expect("what the winner changed");
        assert!(!changes.is_empty());
    }
    assert_eq!(&head(&system).await, winners[0]);
    for index in 0..3 {
        system.until_version(index, 2).await;
    }
}

#[rstest::rstest]
#[case::answers_lost(serde_json::json!({"lose_answers": 2}))]
#[case::slow(serde_json::json!({"delay_ms": 300}))]
#[tokio::test]
async fn configuration_is_accepted_once_by_troubled_store(#[case] trouble: serde_json::Value) {
    let system = System::start(2).await;
    system.switch_platform(trouble).await;
    let accepted = system.submit(1, 2).await.expect("the version is accepted");
    assert_eq!((accepted.version, &head(&system).await), (2, &accepted));
    system.until_version(0, 2).await;
    system.until_version(1, 2).await;
    let trail = read::audit_trail(&platform(&system), 10).await;
    assert_eq!(trail.expect("the platform is up").len(), 2);
}

#[tokio::test]
async fn configuration_never_reverts() {
    let mut system = System::start(2).await;
    let first = head(&system).await;
    system.submit(1, 2).await.expect("the second version");
    system.until_version(0, 2).await;
    system.until_version(1, 2).await;
    force_head(&system, &first).await;
    system.proxies[1].process.signal("KILL");
    let restarted = system.start_proxy();
    // The store names version 1; the peer that has version 2 is believed.
    system.until_version(restarted, 2).await;
    let reads = "fulmarlift_head_reads_total{result=\"read\"}";
    let read = system.metric(0, reads).await;
    wait::until("the first proxy has read the old head", async || {
        system.metric(0, reads).await >= read + 2.0
    })
    .await;
    let process = &system.proxies[0].process;
    let put_in_force = |version| format!("event=configuration_in_force version={version} ");
    assert_eq!(process.count_logged(&put_in_force(1)), 1);
    assert_eq!(process.count_logged(&put_in_force(2)), 1);
    let status = system.status(0).await.expect("the proxy runs");
    assert_eq!(status.config_version, 2);
}

#[tokio::test]
async fn configuration_is_fetched_until_it_is_there() {
    let system = System::start(2).await;
    let mut document = system.marked(2);
    document.version = 2;
    let digest = document.digest();
    let object = publish::object_name(2, &digest);
    let head = publish::Head {
        version: 2,
        digest,
        base: 1,
        submitter: "test".into(),
        object: object.clone(),
        nonce: submit::random_nonce(),
    };
    force_head(&system, &head).await;
    wait::until("the proxies look for the document", async || {
        let series = "fulmarlift_configuration_fetches_failed_total";
        system.metric(0, series).await >= 2.0
    })
    .await;
    assert_eq!(system.status(0).await.expect("it runs").config_version, 1);
    let text = document.to_json();
    let put = platform(&system).put_object(&object, text.as_bytes()).await;
    put.expect("the platform is up");
    system.until_version(0, 2).await;
    system.until_version(1, 2).await;
}
