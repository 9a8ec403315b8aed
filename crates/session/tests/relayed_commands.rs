//! Commands of a failover to members that the claimant does not reach, with stand-ins for members on loopback addresses.

#[path = "support/commanded.rs"]
mod commanded;
#[path = "support/relay.rs"]
mod relay;

use std::cell::Cell;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::slice;
use std::time::Duration;

use bytes::BytesMut;
use commanded::{Member, Proxy, Silent, entry, peer, refusing_address};
use fulmarlift_broker::event::{Answer, Event, MemberStatus, StatementReport};
use fulmarlift_broker::revision::Revision;
use fulmarlift_broker::topology::Member as Entry;
use fulmarlift_core::floor::Point;
use fulmarlift_core::id;
use fulmarlift_session::clock;
use fulmarlift_session::peer::greeting::{self, Greeting, Service};
use relay::Relay;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time in which an attempt gets as far as a test needs, unless it never does: the duration of a claim and of the spread before it.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(6);
/// Time for which a proxy waits for the answer to a command that it has sent itself.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for which a proxy waits for the answer of others to a command, and a delay of a busy machine.
const ASK_TIMEOUT_MAX: Duration = Duration::from_millis(600);

async fn on_one_thread(test: impl Future<Output = ()>) {
    tokio::task::LocalSet::new().run_until(test).await;
}

/// Waits until a condition holds. Returns whether it does.
async fn becomes_true(condition: impl Fn() -> bool) -> bool {
    let waiting = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(ATTEMPT_TIMEOUT, waiting).await.is_ok()
}

/// A group of a leader and a replica, with the proxy that replaces the leader and another one.
struct System {
    leader: Rc<Member>,
    replica: Rc<Member>,
    claimant: Proxy,
    other: Proxy,
}

impl System {
    /// Starts the system. The claimant has these addresses of the members, and the other proxy the right ones.
    async fn start(leader: Option<SocketAddr>, replica: Option<SocketAddr>) -> Self {
        let members = (Member::start(true).await, Member::start(false).await);
        let entries = |leader, replica| {
            [
                entry("leader", "a", leader, true),
                entry("replica", "b", replica, false),
            ]
        };
        let (leader_address, replica_address) = (members.0.address, members.1.address);
        let seen_by_claimant = entries(
            leader.unwrap_or(leader_address),
            replica.unwrap_or(replica_address),
        );
        let seen_by_other = entries(leader_address, replica_address);
        Self {
            leader: members.0,
            replica: members.1,
            claimant: Proxy::start("claimant", "a", &seen_by_claimant).await,
            other: Proxy::start("other", "b", &seen_by_other).await,
        }
    }

    /// Waits until both proxies have a connection to the leader.
    async fn wait_for_connections(&self) {
        assert!(becomes_true(|| self.leader.connections.get() > 1).await);
    }

    /// Lets the claimant find that the leader leaves, so that it asks the leader to hand over.
    fn list_leader_as_leaving(&self) {
        let listed = self.claimant.shell.with_broker(|broker| {
            let entry = broker.member(id::of("leader")).cloned();
            entry.expect("the leader is listed")
        });
        let mut leaving = listed;
        leaving.leaving = true;
        self.claimant.shell.handle(Event::Listed(leaving));
    }
}

#[derive(Clone, Copy, Debug)]
enum Way {
    /// The address that the claimant knows refuses connections.
    Refused,
    /// It accepts connections and answers nothing.
    Silent,
    /// The member allows no further connection.
    Full,
}

/// A claimant that does not reach the old leader must still stop it: it would go on otherwise, with replicas that confirm its commits.
#[rstest]
#[case::refused(Way::Refused)]
#[case::silent(Way::Silent)]
#[case::full(Way::Full)]
#[tokio::test]
async fn leader_that_claimant_does_not_reach_is_stopped_through_another_proxy(#[case] way: Way) {
    on_one_thread(async {
        let silent = Silent::start().await;
        let address = match way {
            Way::Refused => Some(refusing_address()),
            Way::Silent => Some(silent.address),
            Way::Full => None,
        };
        let system = System::start(address, None).await;
        system.other.run(&[&system.claimant.peer]);
        if let Way::Full = way {
            assert!(becomes_true(|| system.leader.connections.get() > 0).await);
            system.leader.connections_max.set(1);
        }
        system.list_leader_as_leaving();
        let deaf = peer("deaf", "b", silent.address);
        system.claimant.run(&[&deaf, &system.other.peer]);
        assert!(becomes_true(|| !system.claimant.orders.0.borrow().is_empty()).await);
        assert!(system.leader.got("STATUS") && system.leader.got("DEMOTE"));
        assert_eq!(*system.claimant.orders.0.borrow(), ["replica"]);
        if let Way::Full = way {
            assert_eq!(system.leader.accepted.get(), 1);
        }
    })
    .await;
}

/// A connection that was open when the claimant was cut from the leader tells nothing until the command has got no answer.
#[tokio::test]
async fn leader_whose_answers_are_lost_is_stopped_through_another_proxy() {
    on_one_thread(async {
        let leader = Member::start(true).await;
        let replica = Member::start(false).await;
        let way = Relay::start(leader.address).await;
        let entries = |address| {
            [
                entry("leader", "a", address, true),
                entry("replica", "b", replica.address, false),
            ]
        };
        let system = System {
            claimant: Proxy::start("claimant", "a", &entries(way.address)).await,
            other: Proxy::start("other", "b", &entries(leader.address)).await,
            leader,
            replica,
        };
        system.claimant.run(&[&system.other.peer]);
        system.other.run(&[&system.claimant.peer]);
        system.wait_for_connections().await;
        way.bytes_per_s.set(1);
        system.leader.commands.borrow_mut().clear();
        system.list_leader_as_leaving();
        assert!(becomes_true(|| system.leader.got("STATUS")).await);
        let asked_at = clock::now();
        assert!(becomes_true(|| system.leader.got("DEMOTE")).await);
        let waited = clock::now().saturating_duration_since(asked_at);
        assert!(waited < ANSWER_TIMEOUT, "{waited:?}");
        assert!(becomes_true(|| !system.claimant.orders.0.borrow().is_empty()).await);
        assert!(!system.leader.status.get().leads);
        assert_eq!(*system.claimant.orders.0.borrow(), ["replica"]);
    })
    .await;
}

/// A replica that nobody holds goes on confirming the commits of the old leader. A release is not sent through another proxy, where
/// it may be late and end the hold of the next claimant.
#[tokio::test]
async fn replica_is_held_but_not_released_through_another_proxy() {
    on_one_thread(async {
        let unreachable = Some(refusing_address());
        let system = System::start(unreachable, unreachable).await;
        system.leader.silent.set(true);
        system.list_leader_as_leaving();
        system.claimant.run(&[&system.other.peer]);
        assert!(becomes_true(|| system.replica.got("HOLD")).await);
        assert_eq!(system.claimant.row.writes.get(), 1);
        // The directory does not answer, so the attempt is given up: it writes its claim and releases the members.
        assert!(becomes_true(|| system.claimant.row.writes.get() > 1).await);
        tokio::time::sleep(ASK_TIMEOUT_MAX).await;
        assert!(!system.replica.got("RELEASE"));
        assert!(system.replica.status.get().held_term > 0);
    })
    .await;
}

/// Proxies that accept the question and say nothing, as suspended ones do, hold up neither the answer of another proxy nor, where there
/// is none, the end of the command.
#[tokio::test]
async fn silent_proxies_are_not_waited_for() {
    on_one_thread(async {
        let system = System::start(Some(refusing_address()), None).await;
        let silent = Silent::start().await;
        system.list_leader_as_leaving();
        let deaf = ["deaf-1", "deaf-2"].map(|name| peer(name, "b", silent.address));
        system.claimant.run(&[&deaf[0], &deaf[1]]);
        let ended = || silent.open_for.borrow().len();
        assert!(becomes_true(|| ended() >= 4).await);
        for open_for in silent.open_for.borrow().iter() {
            assert!(*open_for < ASK_TIMEOUT_MAX, "{open_for:?}");
        }
    })
    .await;
}

/// A member whose process is gone refuses every proxy at once, and the claimant asks for its status every 100 ms.
#[tokio::test]
async fn member_that_no_proxy_reaches_is_asked_for_rarely() {
    on_one_thread(async {
        let system = System::start(Some(refusing_address()), None).await;
        let socket = TcpListener::bind("127.0.0.1:0").await;
        let socket = socket.expect("loopback is available");
        let address = socket.local_addr().expect("the listener is bound");
        let asked = Rc::new(Cell::new(0));
        let counted = Rc::clone(&asked);
        tokio::task::spawn_local(async move {
            while let Ok((mut stream, _)) = socket.accept().await {
                let is_command = is_command_question(&mut stream).await;
                counted.set(counted.get() + u32::from(is_command));
            }
        });
        system.list_leader_as_leaving();
        system.claimant.run(&[&peer("useless", "b", address)]);
        assert!(becomes_true(|| system.replica.got("HOLD")).await);
        // The survey lasts for 900 ms. What the proxy knows of the group is asked apart.
        assert!((1..=4).contains(&asked.get()), "{} questions", asked.get());
    })
    .await;
}

/// Kind of the message that asks another proxy to send a command.
const COMMAND_QUESTION: u32 = 7;

/// Returns whether the first message of a connection asks to send a command.
async fn is_command_question(stream: &mut TcpStream) -> bool {
    let mut first = BytesMut::new();
    // The proxy sends greeting and question with one call.
    let read = stream.read_buf(&mut first).await;
    read.expect("a question arrives");
    let greeting = Greeting::decode(&mut first).expect("a greeting comes first");
    greeting.expect("the greeting is complete");
    let kind = first.get(4).expect("it has a length and a kind");
    u32::from(*kind) == COMMAND_QUESTION
}

/// Name of the proxy that [`hold_question`] asks.
const ASKED: &str = "proxy";

/// Returns the question of a proxy to hold a member, as it is sent after the greeting.
fn hold_question(member: &Entry) -> Vec<u8> {
    const HOLD: u32 = 1;
    let (asker, term) = ("asker", 2_u64);
    let question = postcard::to_stdvec(&(COMMAND_QUESTION, asker, member, (HOLD, term)));
    let question = question.expect("plain values encode");
    let length = u32::try_from(question.len()).expect("the question is short");
    let mut greeting = BytesMut::new();
    Greeting::new(Service::Updates, ASKED, asker).encode(&mut greeting);
    [&greeting[..], &length.to_be_bytes(), &question].concat()
}

/// Returns the status in the answer to such a question.
async fn receive_answer(stream: &mut TcpStream) -> Option<MemberStatus> {
    let mut expected = BytesMut::new();
    greeting::Answer::new(&Ok(()), ASKED).encode(&mut expected);
    let mut accepted = vec![0; expected.len()];
    let read = stream.read_exact(&mut accepted).await;
    read.expect("the greeting is answered");
    assert_eq!(accepted, expected);
    let length = stream.read_u32().await.expect("an answer arrives");
    let mut answer = vec![0; usize::try_from(length).expect("the answer is short")];
    let read = stream.read_exact(&mut answer).await;
    read.expect("the answer is complete");
    let answer: (u32, Option<MemberStatus>) = postcard::from_bytes(&answer).expect("an answer");
    answer.1
}

/// The command must not arrive long after the question: another claimant may have released the member by then.
#[rstest]
#[case::accepted_at_once(Duration::ZERO, true)]
#[case::accepted_late(Duration::from_millis(400), false)]
#[tokio::test]
async fn relayed_command_is_sent_only_while_it_is_new(
    #[case] accept_time: Duration,
    #[case] expected: bool,
) {
    on_one_thread(async {
        let member = Member::start(false).await;
        member.accept_time.set(accept_time);
        // The proxy does not know the member.
        let proxy = Proxy::start(ASKED, "a", &[]).await;
        let connected = TcpStream::connect(proxy.peer.updates_address).await;
        let mut stream = connected.expect("the proxy takes questions");
        let question = hold_question(&entry("replica", "b", member.address, false));
        let sent = stream.write_all(&question).await;
        sent.expect("the question is sent");
        let answer = tokio::time::timeout(ASK_TIMEOUT_MAX, receive_answer(&mut stream)).await;
        let status = answer.expect("the answer is in time");
        assert_eq!(status.is_some_and(|status| status.held_term == 2), expected);
        tokio::time::sleep(ASK_TIMEOUT_MAX).await;
        assert_eq!(member.got("HOLD"), expected);
    })
    .await;
}

/// The proxy that asks has got another answer, or has given up. Here it left while the other one was suspended, or opened a connection.
#[rstest]
#[case::before_question_is_read(true)]
#[case::while_connection_opens(false)]
#[tokio::test]
async fn relayed_command_is_not_sent_once_asker_has_left(#[case] at_once: bool) {
    on_one_thread(async {
        let member = Member::start(false).await;
        let replica = entry("replica", "b", member.address, true);
        let proxy = Proxy::start(ASKED, "a", slice::from_ref(&replica)).await;
        let address = proxy.peer.updates_address;
        if at_once {
            // The proxy has an idle connection, on which it could send the command at once.
            proxy.run(&[]);
            assert!(becomes_true(|| member.got("BEGIN")).await);
            let mut stream = std::net::TcpStream::connect(address).expect("loopback is available");
            let sent = stream.write_all(&hold_question(&replica));
            sent.expect("the question is sent");
        } else {
            member.accept_time.set(Duration::from_millis(150));
            let connected = TcpStream::connect(address).await;
            let mut stream = connected.expect("the proxy takes questions");
            let sent = stream.write_all(&hold_question(&replica)).await;
            sent.expect("the question is sent");
            assert!(becomes_true(|| member.connections.get() > 0).await);
        }
        tokio::time::sleep(ASK_TIMEOUT_MAX).await;
        assert!(!member.got("HOLD"));
    })
    .await;
}

/// The connection on which a command of another proxy was sent serves the next one, and counts as one connection.
#[tokio::test]
async fn relayed_command_gives_connection_back() {
    on_one_thread(async {
        let member = Member::start(true).await;
        let leader = entry("leader", "a", member.address, true);
        let proxy = Proxy::start(ASKED, "a", slice::from_ref(&leader)).await;
        proxy.run(&[]);
        assert!(becomes_true(|| member.got("BEGIN")).await);
        tokio::time::sleep(Duration::from_millis(50)).await;
        let counts = || {
            proxy
                .shell
                .with_broker(|broker| broker.connection_and_request_counts().0)
        };
        assert_eq!(counts(), 1);
        for _ in 0..3 {
            let connected = TcpStream::connect(proxy.peer.updates_address).await;
            let mut stream = connected.expect("the proxy takes questions");
            let sent = stream.write_all(&hold_question(&leader)).await;
            sent.expect("the question is sent");
            assert!(receive_answer(&mut stream).await.is_some());
            assert_eq!((counts(), member.accepted.get()), (1, 1));
        }
        let probes = || {
            member
                .commands
                .borrow()
                .iter()
                .filter(|text| *text == "BEGIN")
                .count()
        };
        let probes_before = probes();
        assert!(becomes_true(|| probes() > probes_before).await);
        assert_eq!((counts(), member.accepted.get()), (1, 1));
    })
    .await;
}

/// Starts a takeover: the leader leaves and answers nobody. The claimant knows the replica; other proxies know a second one as well,
/// which the directory does not list.
async fn start_takeover(silent_proxies: bool) -> (System, Rc<Member>) {
    let system = System::start(None, None).await;
    system.leader.silent.set(true);
    let forgotten = Member::start(false).await;
    let entry = entry("forgotten", "b", forgotten.address, false);
    system.other.shell.handle(Event::Listed(entry));
    system.other.shell.handle(Event::Unlisted {
        name: "forgotten".into(),
        revision: Revision { era: 0, version: 2 },
    });
    system.list_leader_as_leaving();
    system.claimant.directory.0.replace(Some(Vec::new()));
    if silent_proxies {
        let silent = Silent::start().await;
        let deaf = ["deaf-1", "deaf-2"].map(|name| peer(name, "b", silent.address));
        system.claimant.run(&[&deaf[0], &deaf[1]]);
    } else {
        system.claimant.run(&[&system.other.peer]);
    }
    (system, forgotten)
}

/// Lets a proxy see the answer to a commit, with the end of the leader's log in it.
fn see_commit(proxy: &Proxy, position: id::Position) {
    let answer = Answer::Led {
        sent_at: clock::now(),
        commit: true,
    };
    proxy.shell.handle(Event::StatementEnded(StatementReport {
        member: id::of("leader"),
        answer,
        point: Some(Point::new(1, position)),
        floor: None,
        connected_at: None,
        took: Some(Duration::from_millis(1)),
    }));
}

/// A replica whose entry has lapsed may run and confirm the commits of the old leader.
#[tokio::test]
async fn member_that_only_another_proxy_knows_is_held() {
    on_one_thread(async {
        let (system, forgotten) = start_takeover(false).await;
        see_commit(&system.other, 5);
        assert!(becomes_true(|| !system.claimant.orders.0.borrow().is_empty()).await);
        assert_eq!(*system.claimant.orders.0.borrow(), ["replica"]);
        assert!(forgotten.got("HOLD"));
    })
    .await;
}

/// A claimant that has sent no commit itself must not promote a member that lacks what another proxy has seen acknowledged.
#[tokio::test]
async fn member_without_commits_that_another_proxy_saw_acknowledged_is_not_promoted() {
    on_one_thread(async {
        let (system, forgotten) = start_takeover(false).await;
        for position in [8, 9] {
            see_commit(&system.other, position);
        }
        let row = &system.claimant.row;
        assert!(becomes_true(|| forgotten.got("HOLD") && row.writes.get() >= 2).await);
        // A choice would be ordered by then.
        tokio::time::sleep(ASK_TIMEOUT_MAX).await;
        assert!(system.claimant.orders.0.borrow().is_empty());
        let mut caught_up = system.replica.status.get();
        caught_up.received = Point::new(1, 9);
        system.replica.status.set(caught_up);
        assert!(becomes_true(|| !system.claimant.orders.0.borrow().is_empty()).await);
    })
    .await;
}

/// A proxy that has failed to reach a member since its entry was removed does not name it. Its log is not awaited either, since the replica has
/// all that the proxy has seen.
#[tokio::test]
async fn member_that_another_proxy_fails_to_reach_is_not_named() {
    on_one_thread(async {
        let (system, forgotten) = start_takeover(false).await;
        see_commit(&system.other, 5);
        system
            .other
            .shell
            .handle(Event::StatementEnded(StatementReport {
                member: id::of("forgotten"),
                answer: Answer::Silent { commit: false },
                point: None,
                floor: None,
                connected_at: None,
                took: Some(ANSWER_TIMEOUT),
            }));
        assert!(becomes_true(|| !system.claimant.orders.0.borrow().is_empty()).await);
        assert!(!forgotten.got("HOLD"));
    })
    .await;
}

/// Proxies that say nothing, as suspended ones do, hold up the attempt by the time for which it waits for them, and no more.
#[tokio::test]
async fn attempt_does_not_wait_for_members_known_to_silent_proxies() {
    on_one_thread(async {
        let (system, _) = start_takeover(true).await;
        for position in [4, 5] {
            see_commit(&system.claimant, position);
        }
        assert!(becomes_true(|| !system.claimant.orders.0.borrow().is_empty()).await);
        assert_eq!(*system.claimant.orders.0.borrow(), ["replica"]);
    })
    .await;
}
