//! What is learned from the store, on the runtime's paused clock.

mod support;

use std::rc::Rc;
use std::time::Duration;

use fulmarlift_session::deployment::Contents;
use fulmarlift_session::updates::{self, Sources};
use support::{Part, Store, shell};

fn sources(store: &Rc<Store>) -> Sources<Part, Part, Part> {
    let part = |contents| Part {
        store: Rc::clone(store),
        contents,
    };
    Sources {
        configurations: part(Contents::Configuration),
        members: part(Contents::Members),
        proxies: part(Contents::Peers),
    }
}

/// Runs a test on one thread, as the program does.
async fn on_one_thread(test: impl Future<Output = ()>) {
    tokio::task::LocalSet::new().run_until(test).await;
}

async fn seconds(seconds: u64) {
    tokio::time::sleep(Duration::from_secs(seconds)).await;
}

/// The outage is longer than all pauses between two tries, so that every part of the store has failed several times.
#[tokio::test(start_paused = true)]
async fn observe_learns_change_soon_after_outage() {
    on_one_thread(async {
        let store = Rc::new(Store::default());
        store.version.set(1);
        let shell = shell("proxy-1");
        tokio::task::spawn_local(updates::observe(Rc::clone(&shell), sources(&store)));
        seconds(20).await;
        for version in 2..8 {
            store.down.set(true);
            seconds(7).await;
            store.version.set(version);
            store.down.set(false);
            // A machine counts as in touch 4 s after the store's return, and a change is in force 3 s after it.
            seconds(3).await;
            let known = shell.with_broker(|broker| broker.topology().version);
            assert_eq!(known, version);
            seconds(version).await;
        }
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn observe_asks_a_silent_store_rarely() {
    on_one_thread(async {
        let store = Rc::new(Store::default());
        store.down.set(true);
        let shell = shell("proxy-1");
        tokio::task::spawn_local(updates::observe(shell, sources(&store)));
        seconds(5).await;
        store.calls.set(0);
        seconds(10).await;
        let calls = store.calls.get();
        assert!((8..=22).contains(&calls), "{calls} calls in 10 s");
    })
    .await;
}
