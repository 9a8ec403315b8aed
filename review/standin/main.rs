//! Stand-ins and scenarios of the review's scripts: `review-standin SCENARIO FOLDER`. Without the disruption if `TROUBLE` is 0.
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod clients;
mod group;
mod json;
mod proxies;
mod record;
mod relay;
mod store;

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use clients::Clients;
use group::Group;
use proxies::Proxy;
use record::Record;
use store::Store;

const ZONES: [&str; 3] = ["a", "b", "c"];

struct Testbed {
    record: Arc<Record>,
    group: Arc<Group>,
    store: Arc<Store>,
    proxies: Vec<Proxy>,
    clients: Arc<Clients>,
    trouble: bool,
    /// Whether the last proxy is cut from the first primary.
    cut: Arc<AtomicBool>,
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let scenario = arguments.next().unwrap_or_default();
    let folder = arguments.next().unwrap_or_else(|| ".".to_owned());
    let status = match scenario.as_str() {
        "target-gone" => set_up(&folder, true).map(target_gone),
        "late-order" => set_up(&folder, true).map(late_order),
        "old-primary" => set_up(&folder, false).map(old_primary),
        _ => Err(format!("unknown scenario {scenario:?}")),
    };
    std::process::exit(status.unwrap_or_else(|error| {
        eprintln!("cannot run: {error}");
        2
    }));
}

fn configuration(version: u64) -> String {
    let routes: Vec<String> = clients::DATABASES
        .iter()
        .map(|(database, kind)| {
            format!("{{\"name\":\"{database}\",\"host\":\"{database}\",\"prefix\":\"/\",\"kind\":\"{kind}\",\"timeout-ms\":800,\"target-latency-ms\":500,\"max-attempts\":3,\"priority\":1,\"service\":\"{}\",\"max-staleness-ms\":1500}}", group::SERVICE)
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{}\",\"max-connections\":16,\"sync-replicas\":1}}],\"limits\":{{\"transaction-idle-ms\":8000}}}}",
        routes.join(","),
        group::SERVICE
    )
}

fn set_up(folder: &str, fenced: bool) -> Result<Testbed, String> {
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&format!("{folder}/record.txt")).map_err(|error| error.to_string())?;
    let record = Arc::new(record);
    record.line(&format!("trouble: {trouble}"));
    let group = Group::new(Arc::clone(&record), fenced);
    for (index, zone) in ZONES.iter().enumerate() {
        group.start_member(&format!("i-{}", index + 1), zone, index == 0);
    }
    let store = Store::new(Arc::clone(&group), Arc::clone(&record), Duration::from_secs(6));
    store.put("op", "config", Some(&configuration(1)));
    let (store_port, promotion_port) = (store.listen(), store.listen_promotions());
    let primary_port = group.state.lock().unwrap().members[0].port;
    let (relay_port, cut) = relay::start(primary_port);
    let addresses = (format!("127.0.0.1:{primary_port}"), format!("127.0.0.1:{relay_port}"));
    *store.relayed.lock().unwrap() = Some(addresses);
    let relayed_port = store.listen_relayed();
    let logs = std::env::temp_dir().join(format!("fulmarlift-review-{}", std::process::id()));
    std::fs::create_dir_all(&logs).map_err(|error| error.to_string())?;
    let mut proxies = Vec::new();
    for (index, zone) in ZONES.iter().enumerate() {
        let name = format!("entry-{index}");
        // The last proxy reaches the first primary through the relay.
        let store_port = if index == 2 { relayed_port } else { store_port };
        let proxy = Proxy::start(Path::new(&logs), &name, zone, store_port, promotion_port, fenced);
        proxies.push(proxy.map_err(|error| format!("target/release/fulmarlift-entry: {error}"))?);
    }
    record.line(&format!("proxies run with their settings and logs in {}", logs.display()));
    thread::sleep(Duration::from_secs(3));
    let ports: Vec<u16> = proxies.iter().map(|proxy| proxy.caller_port).collect();
    let clients = Clients::start(Arc::clone(&record), &ports, 12);
    Ok(Testbed {
        record,
        group,
        store,
        proxies,
        clients,
        trouble,
        cut,
    })
}

impl Testbed {
    /// Waits until a time since the start of the record.
    fn until(&self, second: u64) {
        thread::sleep(Duration::from_secs(second).saturating_sub(self.record.elapsed()));
    }

    /// Waits for the first promotion order and returns its target.
    fn first_target(&self) -> Option<String> {
        for _ in 0..1_000 {
            if let Some(target) = self.store.first_target.lock().unwrap().clone() {
                return Some(target);
            }
            thread::sleep(Duration::from_millis(10));
        }
        None
    }

    /// Begins the planned replacement of the primary, `i-1`: a new replica starts, and after 1 s the primary drains. It ends when the
    /// drain timeout of 7 s and half a second have passed.
    fn replace_primary(&self) {
        self.group.start_member("i-4", ZONES[0], false);
        thread::sleep(Duration::from_secs(1));
        self.drain("i-1");
    }

    fn drain(&self, id: &str) {
        self.group.drain_member(id);
        let (group, id) = (Arc::clone(&self.group), id.to_owned());
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(7_500));
            group.end_member(&id, true);
        });
    }

    fn finish(self, broken: bool, text: &str) -> i32 {
        self.clients.stop.store(true, Ordering::Relaxed);
        self.record.line(&format!("{}: {text}", if broken { "BROKEN" } else { "held" }));
        println!("{}: {text}", if broken { "BROKEN" } else { "held" });
        i32::from(broken)
    }
}

/// The primary is replaced as planned. The first promotion order gets no answer and is carried out 6 s later, and its target ends for
/// good 300 ms after the order. At the end of the day all proxies are killed.
fn target_gone(mut testbed: Testbed) -> i32 {
    testbed.until(18);
    testbed.store.unanswered.store(usize::from(testbed.trouble), Ordering::SeqCst);
    testbed.replace_primary();
    let Some(target) = testbed.first_target() else {
        println!("no promotion was ordered");
        return 2;
    };
    if testbed.trouble {
        thread::sleep(Duration::from_millis(300));
        testbed.group.end_member(&target, false);
    }
    testbed.until(30);
    testbed.store.put("op", "config", Some(&configuration(2)));
    let killed_at = testbed.record.elapsed();
    testbed.record.line("final fault: configuration 2 is acknowledged, all proxies are killed");
    testbed.proxies.iter_mut().for_each(Proxy::kill);
    thread::sleep(Duration::from_secs(1));
    for proxy in &mut testbed.proxies {
        if let Err(error) = proxy.spawn() {
            println!("a proxy cannot be started again: {error}");
            return 2;
        }
    }
    let back_at = testbed.record.elapsed();
    testbed.record.line("all proxies are back");
    let recovered_at = back_at + Duration::from_secs(12);
    testbed.until(back_at.as_secs() + 12 + 30);
    let end = testbed.record.elapsed();
    let (before, served_before) = testbed.clients.served(Duration::ZERO, killed_at);
    let (after, served_after) = testbed.clients.served(recovered_at, end);
    let leader = testbed.group.state.lock().unwrap().leader().map(|leader| leader.id.clone());
    let broken = served_before * 4 >= before && served_after * 4 < after;
    let text = format!(
        "RECOVER: served {served_before} of {before} requests before the final fault, {served_after} of {after} later than 12 s after it; primary at the end: {leader:?}"
    );
    testbed.finish(broken, &text)
}

/// The members are replaced one after the other as planned. The first promotion order gets no answer and is carried out 6 s later.
fn late_order(testbed: Testbed) -> i32 {
    testbed.until(10);
    testbed.store.unanswered.store(usize::from(testbed.trouble), Ordering::SeqCst);
    testbed.replace_primary();
    if testbed.first_target().is_none() {
        println!("no promotion was ordered");
        return 2;
    }
    // The next member of the release: the new one starts first, the old one drains.
    thread::sleep(Duration::from_millis(600));
    testbed.group.start_member("i-5", ZONES[1], false);
    thread::sleep(Duration::from_secs(1));
    testbed.drain("i-2");
    testbed.until(30);
    let lost = testbed.group.state.lock().unwrap().lost.clone();
    let confirmed = testbed.clients.confirmed.lock().unwrap().clone();
    let told = lost.iter().filter(|data| confirmed.contains(data)).count();
    let text = format!(
        "LOST: the promoted member lacks {} commits that the old primary had acknowledged; clients were told of the success of {told} of them",
        lost.len()
    );
    testbed.finish(told > 0, &text)
}

/// Promotions are not fenced. One proxy of three is cut from the primary for 5 s; the others and the replicas reach it.
fn old_primary(testbed: Testbed) -> i32 {
    testbed.until(10);
    if testbed.trouble {
        testbed.record.line("the last proxy is cut from the primary");
        testbed.cut.store(true, Ordering::SeqCst);
    }
    testbed.until(15);
    testbed.cut.store(false, Ordering::SeqCst);
    testbed.until(25);
    let late = testbed.group.state.lock().unwrap().late.clone();
    let log = testbed.group.state.lock().unwrap().leader().map(|leader| leader.log.clone()).unwrap_or_default();
    let confirmed = testbed.clients.confirmed.lock().unwrap().clone();
    let told: Vec<_> = late.iter().filter(|data| confirmed.contains(data)).collect();
    let gone = told.iter().filter(|data| log.iter().all(|(_, other)| other != **data)).count();
    let text = format!(
        "ONE: {} commits acknowledged at the old primary after a promote had taken effect, {} of them told to clients; {gone} of these are gone",
        late.len(),
        told.len()
    );
    testbed.finish(!told.is_empty(), &text)
}
