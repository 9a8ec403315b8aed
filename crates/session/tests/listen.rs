//! A domain whose proxies get their updates from one reader, over connections that are slow for the size of the configuration.

mod support;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fulmarlift_broker::event::{DirectoryContact, Event};
use fulmarlift_broker::topology::Peer;
use fulmarlift_core::topology::Place;
use fulmarlift_session::deployment::Contents;
use fulmarlift_session::shell::Shell;
use fulmarlift_session::updates::{self, Sources};
use support::relay::Relay;
use support::{Store, StorePart, TestDeployment, shell};
use tokio::net::TcpListener;

/// Most bytes of a few small messages: much less than a configuration of 3,000 routes.
const SMALL_BYTES: usize = 4_000;
/// Time in which a change arrives in any case, unless it never does.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after which the proxies of a test have found their reader.
const SETTLING_TIME: Duration = Duration::from_secs(3);

struct Proxy {
    shell: Rc<Shell<TestDeployment>>,
    store: Rc<Store>,
    updates_address: SocketAddr,
}

impl Proxy {
    /// Starts a proxy with a store of its own, in version 1.
    async fn start(name: &str) -> Self {
        let shell = shell(name);
        let store = Rc::new(Store::default());
        store.version.set(1);
        let socket = TcpListener::bind("127.0.0.1:0").await;
        let socket = socket.expect("loopback is available");
        let updates_address = socket.local_addr().expect("the listener is bound");
        tokio::task::spawn_local(updates::publish(Rc::clone(&shell), socket));
        Self {
            shell,
            store,
            updates_address,
        }
    }

    fn observe(&self) {
        let part = |contents| StorePart {
            store: Rc::clone(&self.store),
            contents,
        };
        let sources = Sources {
            configurations: part(Contents::Configuration),
            members: part(Contents::Members),
            proxies: part(Contents::Peers),
        };
        tokio::task::spawn_local(updates::observe(Rc::clone(&self.shell), sources));
    }

    fn list(&self, vm_name: String, address: SocketAddr) {
        self.shell.handle(Event::PeerListed(Peer {
            vm_name: vm_name.into(),
            address,
            updates_address: address,
            place: Place {
                region: "north".into(),
                domain: "a".into(),
            },
        }));
    }

    fn version(&self) -> u64 {
        self.shell.with_broker(|broker| broker.topology().version)
    }

    async fn wait_for_version(&self, version: u64) {
        let waiting = async {
            while self.version() < version {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        let waited = tokio::time::timeout(CHANGE_TIMEOUT, waiting).await;
        waited.expect("the change of the configuration arrives");
    }
}

/// A reader, and a listener that has found it and asks its own store no more.
struct Pair {
    reader: Proxy,
    listener: Proxy,
    relay: Rc<Relay>,
}

impl Pair {
    async fn start(prepare: impl Fn(&Store)) -> Self {
        let reader = Proxy::start(&support::first_reader("listener")).await;
        let listener = Proxy::start("listener").await;
        prepare(&reader.store);
        prepare(&listener.store);
        let relay = Relay::start(reader.updates_address).await;
        for nth in 2..8 {
            listener.list(format!("proxy-{nth}"), relay.address);
        }
        reader.observe();
        reader.wait_for_version(1).await;
        listener.observe();
        tokio::time::sleep(SETTLING_TIME).await;
        listener.store.calls.set(0);
        listener.store.read_contents.borrow_mut().clear();
        Self {
            reader,
            listener,
            relay,
        }
    }
}

impl Proxy {
    fn directory_contact(&self) -> Option<DirectoryContact> {
        self.shell
            .with_broker(fulmarlift_broker::Broker::directory_contact)
    }
}

async fn on_one_thread(test: impl Future<Output = ()>) {
    tokio::task::LocalSet::new().run_until(test).await;
}

/// The update takes longer than the age up to which a listener uses its reader's information.
#[tokio::test]
async fn listener_keeps_reader_while_large_update_arrives() {
    on_one_thread(async {
        let pair = Pair::start(|store| store.changed_routes.set(6_000)).await;
        pair.relay.bytes_per_s.set(60_000);
        pair.reader.store.version.set(2);
        pair.listener.wait_for_version(2).await;
        assert_eq!(pair.listener.store.calls.get(), 0);
    })
    .await;
}

/// The store's answer takes longer than the age up to which a listener uses its reader's information.
#[tokio::test]
async fn listener_keeps_reader_while_it_receives_large_answer() {
    on_one_thread(async {
        let transfer_time = Duration::from_millis(2_500);
        let pair = Pair::start(|store| store.transfer_time.set(transfer_time)).await;
        pair.reader.store.version.set(2);
        pair.listener.wait_for_version(2).await;
        assert_eq!(pair.listener.store.calls.get(), 0);
    })
    .await;
}

/// The reader receives part of the change again and again. What arrives is no sign that it will ever have the whole.
#[tokio::test]
async fn listener_leaves_reader_whose_answers_are_cut() {
    on_one_thread(async {
        let transfer_time = Duration::from_millis(500);
        let pair = Pair::start(|store| store.transfer_time.set(transfer_time)).await;
        pair.reader.store.cuts_answers.set(true);
        pair.reader.store.version.set(2);
        pair.listener.store.version.set(2);
        pair.listener.wait_for_version(2).await;
        assert_eq!(pair.reader.version(), 1);
    })
    .await;
}

#[tokio::test]
async fn listener_without_reader_does_not_read_known_configuration_again() {
    on_one_thread(async {
        let pair = Pair::start(|store| store.kept_routes.set(3_000)).await;
        pair.reader.store.down.set(true);
        pair.listener.store.version.set(2);
        pair.listener.wait_for_version(2).await;
        let read = pair.listener.store.read_contents.borrow();
        assert!(!read.contains(&Contents::Configuration), "{read:?}");
    })
    .await;
}

/// A change of one route is 30 bytes; the configuration has 3,000 routes.
#[tokio::test]
async fn listener_receives_only_changed_part_of_configuration() {
    on_one_thread(async {
        let pair = Pair::start(|store| {
            store.kept_routes.set(3_000);
            store.changed_routes.set(1);
        })
        .await;
        pair.relay.relayed_bytes.set(0);
        pair.reader.store.version.set(2);
        pair.listener.wait_for_version(2).await;
        let relayed_bytes = pair.relay.relayed_bytes.get();
        assert!(relayed_bytes < SMALL_BYTES, "{relayed_bytes} bytes");
        let (reader, listener) = (&pair.reader.shell, &pair.listener.shell);
        reader.with_broker(|reader| {
            listener.with_broker(|listener| assert_eq!(reader.topology(), listener.topology()));
        });
    })
    .await;
}

#[tokio::test]
async fn listener_that_returns_to_its_reader_does_not_receive_known_configuration() {
    on_one_thread(async {
        let pair = Pair::start(|store| store.kept_routes.set(3_000)).await;
        pair.relay.relayed_bytes.set(0);
        pair.reader.store.down.set(true);
        pair.listener.store.version.set(2);
        pair.listener.wait_for_version(2).await;
        pair.reader.store.version.set(2);
        pair.reader.store.down.set(false);
        pair.reader.wait_for_version(2).await;
        tokio::time::sleep(SETTLING_TIME).await;
        let relayed_bytes = pair.relay.relayed_bytes.get();
        assert!(relayed_bytes < SMALL_BYTES, "{relayed_bytes} bytes");
        pair.listener.store.calls.set(0);
        pair.reader.store.version.set(3);
        pair.listener.wait_for_version(3).await;
        assert_eq!(pair.listener.store.calls.get(), 0, "it listens again");
    })
    .await;
}

/// After a loss of power many proxies start at once. One that has a reader need not read a large configuration from the store.
#[tokio::test]
async fn restarted_proxy_receives_configuration_from_its_reader() {
    on_one_thread(async {
        let pair = Pair::start(|store| store.kept_routes.set(3_000)).await;
        let restarted = Proxy::start("listener").await;
        for nth in 2..8 {
            restarted.list(format!("proxy-{nth}"), pair.relay.address);
        }
        restarted.observe();
        restarted.wait_for_version(1).await;
        tokio::time::sleep(SETTLING_TIME).await;
        let read = restarted.store.read_contents.borrow();
        assert!(!read.contains(&Contents::Configuration), "{read:?}");
        assert!(!read.contains(&Contents::Members), "{read:?}");
    })
    .await;
}

/// A proxy that has just started has the configuration before the members, and would make its listeners refuse requests.
#[tokio::test]
async fn proxy_is_no_reader_before_it_has_read_the_members() {
    on_one_thread(async {
        let reader = Proxy::start(&support::first_reader("listener")).await;
        let listener = Proxy::start("listener").await;
        reader.store.refused_contents.set(Some(Contents::Members));
        listener.store.listed.replace(vec!["member-1"]);
        for nth in 2..8 {
            listener.list(format!("proxy-{nth}"), reader.updates_address);
        }
        reader.observe();
        reader.wait_for_version(1).await;
        listener.observe();
        tokio::time::sleep(SETTLING_TIME).await;
        let members = listener.shell.with_broker(|broker| broker.listed_members());
        assert_eq!(members.len(), 1);
    })
    .await;
}

/// All polls of the store are rarer during startup, but the listeners must not take that for a reader without the store.
#[tokio::test]
async fn listener_keeps_reader_during_startup() {
    on_one_thread(async {
        let pair = Pair::start(|_| ()).await;
        tokio::time::sleep(Duration::from_secs(4)).await;
        assert_eq!(pair.listener.store.calls.get(), 0);
    })
    .await;
}

/// The reader of a domain of 12 loses the store while a large change is on its way. One of the others takes over, and the rest
/// listens to it, although it takes half a second to read the change.
#[tokio::test]
async fn proxies_without_reader_do_not_all_read_large_change() {
    const PROXIES: usize = 12;
    on_one_thread(async {
        let mut proxies = Vec::new();
        for nth in 0..PROXIES {
            proxies.push(Proxy::start(&format!("proxy-{nth}")).await);
        }
        for proxy in &proxies {
            for (nth, other) in proxies.iter().enumerate() {
                proxy.list(format!("proxy-{nth}"), other.updates_address);
            }
            proxy.store.transfer_time.set(Duration::from_millis(500));
        }
        let reads_store = |proxy: &&Proxy| {
            proxy
                .shell
                .with_broker(|broker| broker.readers().is_empty())
        };
        for proxy in &proxies {
            proxy.observe();
        }
        tokio::time::sleep(SETTLING_TIME * 3).await;
        let reader = proxies.iter().find(reads_store).expect("one ranks first");
        reader.store.down.set(true);
        for proxy in &proxies {
            proxy.store.version.set(2);
            proxy.store.calls.set(0);
        }
        for proxy in &proxies {
            if !std::ptr::eq(proxy, reader) {
                proxy.wait_for_version(2).await;
            }
        }
        let others = proxies.iter().filter(|proxy| !std::ptr::eq(*proxy, reader));
        let callers = others.filter(|proxy| proxy.store.calls.get() > 0).count();
        assert!(
            callers < PROXIES / 3,
            "{callers} of {PROXIES} asked the store"
        );
    })
    .await;
}

/// The member's entry vanishes after the reader's last update, so no change in the store tells of it any more.
#[tokio::test]
async fn listener_without_reader_does_not_keep_member_that_store_no_longer_lists() {
    on_one_thread(async {
        let pair = Pair::start(|store| {
            store.listed.replace(vec!["member-1", "member-2"]);
        })
        .await;
        let listed = || {
            let members = pair
                .listener
                .shell
                .with_broker(|broker| broker.listed_members());
            members
                .into_iter()
                .map(|member| member.name)
                .collect::<Vec<_>>()
        };
        assert_eq!(listed().len(), 2);
        pair.reader.store.down.set(true);
        pair.listener.store.listed.replace(vec!["member-2"]);
        pair.listener.store.version.set(2);
        pair.listener.wait_for_version(2).await;
        tokio::time::sleep(SETTLING_TIME).await;
        assert_eq!(listed(), ["member-2".into()]);
    })
    .await;
}

/// The reader's polls of the configuration are answered, its polls of the members are not. The last one that waits ends after 6 s.
#[tokio::test]
async fn listener_does_not_reach_directory_that_its_reader_does_not_reach() {
    const POLL_TIME: Duration = Duration::from_secs(7);
    on_one_thread(async {
        let pair = Pair::start(|store| {
            store.listed.replace(vec!["member-1"]);
        })
        .await;
        let reader = || pair.reader.directory_contact();
        let listener = || pair.listener.directory_contact();
        let earlier = listener().expect("the reader reaches the directory");
        pair.reader
            .store
            .refused_contents
            .set(Some(Contents::Members));
        tokio::time::sleep(POLL_TIME).await;
        assert_eq!((reader(), listener()), (None, None));
        assert_eq!(pair.listener.store.calls.get(), 0, "it listens");
        pair.reader.store.refused_contents.set(None);
        tokio::time::sleep(SETTLING_TIME).await;
        let reader = reader().expect("the reader reaches the directory again");
        let listener = listener().expect("the listener hears of it");
        assert!(listener.reached_since >= reader.reached_since);
        assert!(reader.reached_since > earlier.reached_since);
    })
    .await;
}

/// The reader's polls of the members are answered every 6 s, those of the configuration more often.
#[tokio::test]
async fn listener_takes_answers_about_configuration_for_none_about_members() {
    on_one_thread(async {
        let pair = Pair::start(|_| ()).await;
        let reader = pair.reader.directory_contact();
        let listener = pair.listener.directory_contact();
        let reader = reader.expect("the reader reaches the directory");
        let listener = listener.expect("the reader reaches the directory");
        let excess = listener
            .answered_at
            .saturating_duration_since(reader.answered_at);
        assert!(excess < Duration::from_millis(1_000), "{excess:?}");
    })
    .await;
}
