//! Reading the store through outages, on the runtime's paused clock.

mod support;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fulmarlift_broker::event::Event;
use fulmarlift_broker::revision::Revision;
use fulmarlift_broker::topology::Peer;
use fulmarlift_core::id;
use fulmarlift_core::topology::Place;
use fulmarlift_session::deployment::{Contents, Update};
use fulmarlift_session::shell::Shell;
use fulmarlift_session::updates::{self, Sources};
use support::{Store, StorePart, TestDeployment, shell};
use tokio::net::TcpListener;

fn sources(store: &Rc<Store>) -> Sources<StorePart, StorePart, StorePart> {
    let part = |contents| StorePart {
        store: Rc::clone(store),
        contents,
    };
    Sources {
        configurations: part(Contents::Configuration),
        members: part(Contents::Members),
        proxies: part(Contents::Peers),
    }
}

/// Runs a test on one thread, as the proxy process does.
async fn on_one_thread(test: impl Future<Output = ()>) {
    tokio::task::LocalSet::new().run_until(test).await;
}

/// Lists so many other proxies of the domain, all at one address, that some of them may read the store for this one.
fn list_proxies(shell: &Rc<Shell<TestDeployment>>, address: SocketAddr) {
    for nth in 2..8 {
        shell.handle(Event::PeerListed(Peer {
            vm_name: format!("proxy-{nth}").into(),
            address,
            updates_address: address,
            place: Place {
                region: "north".into(),
                domain: "a".into(),
            },
        }));
    }
}

/// Waits until a proxy has this version of the configuration, which is the first entry of a snapshot.
async fn wait_for_version(shell: &Rc<Shell<TestDeployment>>, version: u64) {
    while shell.with_broker(|broker| broker.topology().version) != version {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn sleep_seconds(seconds: u64) {
    tokio::time::sleep(Duration::from_secs(seconds)).await;
}

/// The outage is longer than the longest backoff, so that calls to every part of the store fail several times.
#[tokio::test(start_paused = true)]
async fn observe_learns_change_soon_after_outage() {
    on_one_thread(async {
        let store = Rc::new(Store::default());
        store.version.set(1);
        let shell = shell("proxy-1");
        tokio::task::spawn_local(updates::observe(Rc::clone(&shell), sources(&store)));
        sleep_seconds(20).await;
        for version in 2..8 {
            store.down.set(true);
            sleep_seconds(7).await;
            store.version.set(version);
            store.down.set(false);
            // A change must be in force 3 s after the store's return; a VM counts as connected after 4 s.
            sleep_seconds(3).await;
            let known = shell.with_broker(|broker| broker.topology().version);
            assert_eq!(known, version);
            sleep_seconds(version).await;
        }
    })
    .await;
}

/// Only one part of the store is tried at a time until it answers, and a large configuration takes long to arrive.
#[tokio::test(start_paused = true)]
async fn observe_reads_members_while_large_configuration_arrives() {
    on_one_thread(async {
        let store = Rc::new(Store::default());
        store.version.set(1);
        store.listed.replace(vec!["member-1"]);
        store.transfer_time.set(Duration::from_secs(5));
        let shell = shell("proxy-1");
        tokio::task::spawn_local(updates::observe(Rc::clone(&shell), sources(&store)));
        sleep_seconds(2).await;
        let listed = shell.with_broker(fulmarlift_broker::Broker::listed_members);
        assert_eq!(listed.len(), 1);
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn observe_calls_a_refusing_store_rarely() {
    on_one_thread(async {
        let store = Rc::new(Store::default());
        store.down.set(true);
        let shell = shell("proxy-1");
        tokio::task::spawn_local(updates::observe(shell, sources(&store)));
        sleep_seconds(5).await;
        store.calls.set(0);
        sleep_seconds(10).await;
        let calls = store.calls.get();
        assert!((8..=22).contains(&calls), "{calls} calls in 10 s");
    })
    .await;
}

/// A reader that is suspended accepts connections, but sends nothing. Other proxies listen to this one meanwhile.
#[tokio::test(start_paused = true)]
async fn observe_reads_store_until_reader_has_sent_something() {
    on_one_thread(async {
        let store = Rc::new(Store::default());
        let shell = shell("proxy-1");
        let silent = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback is available");
        let address = silent.local_addr().expect("the listener is bound");
        list_proxies(&shell, address);
        let readers = shell.with_broker(|broker| broker.readers().len());
        assert!(readers > 0, "another proxy of the domain reads the store");
        tokio::task::spawn_local(updates::observe(Rc::clone(&shell), sources(&store)));
        for version in 1..20 {
            store.version.set(version);
            sleep_seconds(1).await;
            let known = shell.with_broker(|broker| broker.topology().version);
            // Changes are read in batches while the proxy starts.
            assert!(version < 3 || known + 1 >= version, "{known} of {version}");
        }
    })
    .await;
}

/// The store comes back from a copy that is some versions old and gives out those versions again, until its version is higher
/// than before. A poll that only compares versions would miss what changed below it, for good.
#[tokio::test(start_paused = true)]
async fn observe_reads_everything_again_after_store_went_back() {
    on_one_thread(async {
        let store = Rc::new(Store::default());
        store.era.set(1);
        store.version.set(100);
        store.listed.replace(vec!["member-1"]);
        let shell = shell("proxy-1");
        tokio::task::spawn_local(updates::observe(Rc::clone(&shell), sources(&store)));
        sleep_seconds(20).await;
        let listed = || {
            let members = shell.with_broker(fulmarlift_broker::Broker::listed_members);
            let names = members.into_iter().map(|member| member.name);
            names.collect::<Vec<_>>()
        };
        assert_eq!(listed(), ["member-1".into()]);
        store.down.set(true);
        sleep_seconds(1).await;
        store.era.set(2);
        store.version.set(105);
        store.listed.replace(vec!["member-2"]);
        store.down.set(false);
        sleep_seconds(6).await;
        assert_eq!(listed(), ["member-2".into()]);
        assert_eq!(shell.store_era(), 2);
    })
    .await;
}

/// A reader that is behind the listener still lists a member that ended. The listener, which has read the removal from the store
/// itself, must not use the member again.
#[tokio::test]
async fn listener_does_not_use_removed_member_of_outdated_reader() {
    on_one_thread(async {
        let version = |version| Revision { era: 0, version };
        let listed = |name: &str, at| Event::Listed(support::member(name, version(at)));
        let socket = TcpListener::bind("127.0.0.1:0").await;
        let socket = socket.expect("loopback is available");
        let address = socket.local_addr().expect("the listener is bound");
        let store = Rc::new(Store::default());
        store.version.set(3);
        store.listed.replace(vec!["member-1", "member-2"]);
        let reader = shell(&support::first_reader("listener"));
        tokio::task::spawn_local(updates::observe(Rc::clone(&reader), sources(&store)));
        tokio::task::spawn_local(updates::publish(Rc::clone(&reader), socket));
        wait_for_version(&reader, 3).await;
        let listener = shell("listener");
        listener.handle(listed("member-2", 4));
        listener.handle(listed("member-3", 4));
        listener.apply_update(Update::Unlisted {
            name: "member-1".into(),
            revision: version(5),
        });
        list_proxies(&listener, address);
        let down = Rc::new(Store::default());
        down.down.set(true);
        tokio::task::spawn_local(updates::observe(Rc::clone(&listener), sources(&down)));
        wait_for_version(&listener, 3).await;
        let known = |name| listener.with_broker(|broker| broker.member(id::of(name)).is_some());
        assert!(known("member-2") && !known("member-1"));
        let listed = listener.with_broker(fulmarlift_broker::Broker::listed_members);
        let names: Vec<&str> = listed.iter().map(|member| member.name.as_ref()).collect();
        assert_eq!(names.len(), 2, "{names:?}");
        assert!(
            names.contains(&"member-3"),
            "it joined unseen by the reader"
        );
    })
    .await;
}

/// The configuration of the copy is older than the one in force, until the operator writes the newest one again.
#[tokio::test(start_paused = true)]
async fn observe_keeps_newest_configuration_after_store_went_back() {
    on_one_thread(async {
        let store = Rc::new(Store::default());
        store.era.set(1);
        store.version.set(9);
        let shell = shell("proxy-1");
        tokio::task::spawn_local(updates::observe(Rc::clone(&shell), sources(&store)));
        sleep_seconds(20).await;
        let known = || shell.with_broker(|broker| broker.topology().version);
        store.era.set(2);
        store.version.set(7);
        sleep_seconds(8).await;
        assert_eq!(known(), 9);
        store.version.set(10);
        sleep_seconds(3).await;
        assert_eq!(known(), 10);
    })
    .await;
}
