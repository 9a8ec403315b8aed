//! The load tool on real proxies with members and a platform in this process.

use std::time::Duration;

use fulmarlift::demo;
use fulmarlift_lab::load;
use fulmarlift_standin::member;

fn options(system: &demo::System) -> load::Options {
    load::Options {
        addresses: system
            .proxies
            .iter()
            .map(|proxy| proxy.caller_address)
            .collect(),
        sessions: 20,
        requests_per_second: 100.0,
        write_share: 0.4,
        roam_share: 0.2,
        length: Duration::from_secs(3),
        timeout: Duration::from_secs(6),
        ..load::Options::default()
    }
}

async fn start_system() -> demo::System {
    let any_port = "127.0.0.1:0".parse().expect("the address is valid");
    demo::System::start(any_port)
        .await
        .expect("the system starts")
}

#[tokio::test(flavor = "multi_thread")]
async fn run_sees_own_writes_at_every_proxy() {
    let system = start_system().await;
    let mut progress_calls = 0;
    let report = load::run(&options(&system), |_| progress_calls += 1).await;
    system.stop().await;
    let report = report.expect("the load runs");
    assert!(report.passed(), "{report:?}");
    assert!(progress_calls > 0);
    // Sessions have moved to other proxies, and requests of every kind have been answered.
    assert!(report.connects > u64::from(report.sessions));
    assert!(report.kinds.iter().all(|kind| kind.done > 0), "{report:?}");
    assert!(
        report.kinds.iter().all(|kind| kind.failed == 0),
        "{report:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn run_counts_what_a_dead_group_refuses() {
    let system = start_system().await;
    let mut is_cut = false;
    let options = load::Options {
        write_share: 1.0,
        ..options(&system)
    };
    let report = load::run(&options, |_| {
        if !std::mem::replace(&mut is_cut, true) {
            for member in &system.members {
                member.switch(member::Switch::Cut(member::Cut::All));
            }
        }
    });
    let report = report.await.expect("the load runs");
    system.stop().await;
    let writes = report.kinds[0];
    assert!(writes.done > 0, "{report:?}");
    // Writes that ran before the cut are done; later ones are refused or have an unknown outcome.
    assert!(writes.refused + writes.unknown > 0, "{report:?}");
    assert!(report.passed(), "{report:?}");
}
