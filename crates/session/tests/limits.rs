//! Whom the bounds over all clients refuse or close.

use std::rc::Rc;
use std::time::{Duration, Instant};

use fulmarlift_session::limits::activity::Activity;
use fulmarlift_session::limits::bounds::{Bounds, PoolBounds, VmResources};
use fulmarlift_session::limits::http::Table;
use fulmarlift_session::limits::ledger::{Close, ConnectionNumber, Ledger, Resource, Verdict};
use fulmarlift_session::limits::report::LineLimiter;
use proptest::prelude::*;
use rstest::rstest;

/// More than the time after which a client counts as stalled.
const LONG: Duration = Duration::from_secs(2);
/// Less than that.
const SHORT: Duration = Duration::from_millis(10);
const BOUNDS: PoolBounds = PoolBounds {
    connections: 3,
    message_bytes: 100,
    answer_bytes: 100,
    state_bytes: 100,
};

/// A ledger, its clients in the order in which they connected, and the time.
struct Clients {
    ledger: Ledger,
    clients: Vec<(ConnectionNumber, Rc<Activity>)>,
    now: Instant,
}

impl Clients {
    fn new() -> Self {
        Self {
            ledger: Ledger::new(BOUNDS),
            clients: Vec::new(),
            now: Instant::now(),
        }
    }

    /// Connects a client; returns the indexes of those that are closed, or none if it is refused.
    fn open(&mut self) -> Option<Vec<usize>> {
        let activity = Rc::new(Activity::new(self.now));
        let mut closes = Vec::new();
        let number = self
            .ledger
            .open(self.now, Rc::clone(&activity), &mut closes)?;
        self.clients.push((number, activity));
        Some(self.indexes(&closes))
    }

    /// Sets what a client uses; returns the verdict and the indexes of the clients that are closed.
    fn set(&mut self, client: usize, resource: Resource, bytes: usize) -> (Verdict, Vec<usize>) {
        let mut closes = Vec::new();
        let number = self.clients[client].0;
        let verdict = self
            .ledger
            .set(self.now, number, resource, bytes, &mut closes);
        (verdict, self.indexes(&closes))
    }

    fn indexes(&self, closes: &[Close]) -> Vec<usize> {
        let index = |close: &Close| {
            let mut clients = self.clients.iter();
            clients.position(|(_, activity)| Rc::ptr_eq(activity, &close.activity))
        };
        closes.iter().filter_map(index).collect()
    }
}

fn clients(count: usize) -> Clients {
    let mut clients = Clients::new();
    for _ in 0..count {
        assert_eq!(clients.open(), Some(Vec::new()));
        clients.now += SHORT;
    }
    clients
}

/// Guards against a crowd of idle connections that keeps others out.
#[test]
fn open_closes_quietest_connection() {
    let mut clients = clients(3);
    clients.clients[0].1.end_statement(clients.now);
    assert_eq!(clients.open(), Some(vec![1]));
    assert_eq!(clients.ledger.connections(), 3);
}

/// Guards against the end of a session whose statement may have been sent.
#[test]
fn open_closes_no_connection_that_runs_a_statement() {
    let mut clients = clients(3);
    clients.clients[0].1.start_statement();
    assert_eq!(clients.open(), Some(vec![1]));
    for (_, activity) in &clients.clients {
        activity.start_statement();
    }
    assert_eq!(clients.open(), None);
}

/// Guards against the refusal of whoever happens to ask, while others have stopped half-way.
#[rstest]
#[case::messages(Resource::Messages)]
#[case::answers(Resource::Answers)]
#[case::state(Resource::State)]
fn set_closes_largest_stalled_client(#[case] resource: Resource) {
    let mut clients = clients(3);
    clients.set(0, resource, 30);
    clients.set(1, resource, 40);
    clients.now += LONG;
    let asked = clients.set(2, resource, 80);
    assert_eq!(asked, (Verdict::Allowed, vec![1, 0]));
    assert_eq!(clients.ledger.used_bytes(resource), 80);
}

/// Guards against the end of a large client that makes progress, for a small one that has stopped.
#[test]
fn set_closes_stalled_client_before_larger_one() {
    let mut clients = clients(3);
    clients.set(0, Resource::Messages, 30);
    clients.now += LONG;
    clients.set(1, Resource::Messages, 60);
    let asked = clients.set(2, Resource::Messages, 30);
    assert_eq!(asked, (Verdict::Allowed, vec![0]));
}

/// A session that was idle for long has not stalled in a message that it has just begun.
#[test]
fn set_counts_stall_from_first_byte() {
    let mut clients = clients(3);
    clients.now += LONG;
    clients.set(0, Resource::Messages, 60);
    assert_eq!(
        clients.set(1, Resource::Messages, 70),
        (Verdict::Refused, vec![])
    );
}

/// Without stalled clients, the largest gives way, which may be the one that asks; it keeps what it had.
#[test]
fn set_refuses_largest_client() {
    let mut clients = clients(3);
    clients.set(0, Resource::State, 40);
    clients.set(1, Resource::State, 50);
    assert_eq!(
        clients.set(1, Resource::State, 70),
        (Verdict::Refused, vec![])
    );
    assert_eq!(clients.ledger.used_bytes(Resource::State), 90);
    assert_eq!(
        clients.set(2, Resource::State, 20),
        (Verdict::Allowed, vec![1])
    );
}

/// Guards against a bound that statements which run exceed together: they are not closed, so the next one is refused.
#[test]
fn set_refuses_statement_beside_running_ones() {
    let mut clients = clients(3);
    clients.clients[0].1.start_statement();
    clients.set(0, Resource::Messages, 90);
    clients.now += LONG;
    assert_eq!(
        clients.set(1, Resource::Messages, 20),
        (Verdict::Refused, vec![])
    );
}

/// Guards against a bound that cannot be left again.
#[test]
fn set_allows_fewer_bytes_always() {
    let mut clients = clients(2);
    clients.set(0, Resource::Answers, 100);
    clients.ledger.set_bounds(PoolBounds {
        answer_bytes: 10,
        ..BOUNDS
    });
    assert_eq!(
        clients.set(0, Resource::Answers, 50),
        (Verdict::Allowed, vec![])
    );
}

#[derive(Clone, Debug)]
enum Step {
    Open,
    End(usize),
    Set(usize, Resource, usize),
    Start(usize),
    Stop(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let resource =
        prop::sample::select(vec![Resource::Messages, Resource::Answers, Resource::State]);
    prop_oneof![
        2 => Just(Step::Open),
        1 => any::<usize>().prop_map(Step::End),
        6 => (any::<usize>(), resource, 0_usize..=100)
            .prop_map(|(client, resource, bytes)| Step::Set(client, resource, bytes)),
        1 => any::<usize>().prop_map(Step::Start),
        1 => any::<usize>().prop_map(Step::Stop),
        1 => (0_u64..2_000).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(500) })]

    /// Guards against sums that drift from what clients use, and against a bound that is exceeded after a change.
    #[test]
    fn bounds_hold_after_each_step(steps in prop::collection::vec(step(), 1..80)) {
        let mut clients = Clients::new();
        for step in steps {
            let count = clients.clients.len();
            match step {
                Step::Open => drop(clients.open()),
                _ if count == 0 => {}
                Step::End(client) => {
                    let (number, _) = clients.clients.remove(client % count);
                    clients.ledger.end(number);
                }
                Step::Set(client, resource, bytes) => {
                    let (_, closed) = clients.set(client % count, resource, bytes);
                    for index in closed {
                        prop_assert!(index != client % count);
                        prop_assert!(!clients.clients[index].1.is_running());
                    }
                }
                Step::Start(client) => clients.clients[client % count].1.start_statement(),
                Step::Stop(client) => clients.clients[client % count].1.end_statement(clients.now),
                Step::Wait(ms) => clients.now += Duration::from_millis(ms),
            }
            prop_assert!(clients.ledger.connections() <= BOUNDS.connections);
            for resource in [Resource::Messages, Resource::Answers, Resource::State] {
                prop_assert!(clients.ledger.used_bytes(resource) <= BOUNDS.bytes(resource));
            }
        }
        for (number, _) in std::mem::take(&mut clients.clients) {
            clients.ledger.end(number);
        }
        prop_assert_eq!(clients.ledger.connections(), 0);
        prop_assert_eq!(clients.ledger.used_bytes(Resource::Messages), 0);
    }
}

/// Guards against readiness checks that a crowd keeps out.
#[test]
fn table_closes_connection_without_answer_for_longest_time() {
    let now = Instant::now();
    let mut table = Table::new(2);
    let (first, _) = table.open(now);
    let (second, _) = table.open(now + SHORT);
    table.answer(now + LONG, first);
    assert_eq!(table.open(now + LONG), (3, Some(second)));
    table.end(first);
    assert_eq!(table.open(now + LONG), (4, None));
}

/// Guards against bounds that exceed the VM, or are too small for a single message, answer or value of legal size.
#[rstest]
#[case::smallest_vm(160, 4_300)]
#[case::largest_vm(512, 8_192)]
#[case::few_of_both(64, 600)]
fn bounds_fit_machine(#[case] memory_mb: usize, #[case] descriptors: usize) {
    let vm_resources = VmResources {
        memory_bytes: memory_mb << 20,
        descriptors,
    };
    let bounds = Bounds::new(vm_resources);
    let pools = [bounds.callers, bounds.peers];
    let bytes: usize = pools
        .iter()
        .map(|pool| pool.message_bytes + pool.answer_bytes + pool.state_bytes)
        .sum();
    assert!(bytes <= vm_resources.memory_bytes * 3 / 5, "{bounds:?}");
    let connections = bounds.callers.connections
        + bounds.peers.connections
        + bounds.updates.connections
        + 2 * bounds.http_connections;
    // A quarter of what the platform leaves is for the process's own connections.
    assert!(connections <= (descriptors - 200) * 3 / 4, "{bounds:?}");
    for pool in pools {
        assert!(pool.message_bytes >= 4 << 20, "{bounds:?}");
        assert!(pool.answer_bytes >= 5 << 20, "{bounds:?}");
        assert!(pool.state_bytes >= 3 << 20, "{bounds:?}");
    }
}

/// Guards against lines that a crowd multiplies.
#[test]
fn line_limiter_admits_one_line_per_interval() {
    let now = Instant::now();
    let mut limiter = LineLimiter::default();
    assert_eq!(limiter.admit(now), Some(0));
    assert_eq!(limiter.admit(now + SHORT), None);
    assert_eq!(limiter.admit(now + SHORT), None);
    assert_eq!(limiter.admit(now + LONG), Some(2));
}
