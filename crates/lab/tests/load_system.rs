//! The load tool before a real system.

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

async fn start() -> demo::System {
    let any = "127.0.0.1:0".parse().expect("an address");
    demo::System::start(any).await.expect("it starts")
}

#[tokio::test(flavor = "multi_thread")]
async fn run_sees_own_writes_at_every_proxy() {
    let system = start().await;
    let mut calls = 0;
    let report = load::run(&options(&system), |_| calls += 1).await;
    system.stop().await;
    let report = report.expect("it runs");
    assert!(report.passed(), "{report:?}");
    assert!(calls > 0);
    // Sessions moved, and every kind was asked.
    assert!(report.connects > u64::from(report.sessions));
    assert!(report.kinds.iter().all(|kind| kind.done > 0), "{report:?}");
    assert!(
        report.kinds.iter().all(|kind| kind.failed == 0),
        "{report:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn run_counts_what_a_dead_group_refuses() {
    let system = start().await;
    let mut cut = false;
    let options = load::Options {
        write_share: 1.0,
        ..options(&system)
    };
    let report = load::run(&options, |_| {
        if !std::mem::replace(&mut cut, true) {
            for member in &system.members {
                member.switch(member::Switch::Cut(member::Cut::All));
            }
        }
    });
    let report = report.await.expect("it runs");
    system.stop().await;
    let writes = report.kinds[0];
    assert!(writes.done > 0, "{report:?}");
    // No write is taken as done or failed that was refused or is unknown.
    assert!(writes.refused + writes.unknown > 0, "{report:?}");
    assert!(report.passed(), "{report:?}");
}
