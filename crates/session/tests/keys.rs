//! Callers' keys in sessions. The callers' protocol of these tests has no field for a key, so callers have the empty one.

mod support;

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use fulmarlift_broker::event::Event;
use fulmarlift_broker::topology::{Consistency, Group, Route, Topology};
use fulmarlift_broker::workspace::{KeyDigest, Registry, Workspace};
use fulmarlift_core::id;
use fulmarlift_session::peer::Forwarding;
use fulmarlift_session::protocol::Code;
use fulmarlift_session::protocol::caller::StatementOptions;
use fulmarlift_session::protocol::member::{Codec, Command, Frame, Verb};
use fulmarlift_session::protocol::{Mode, TransactionState};
use fulmarlift_session::serve;
use fulmarlift_session::session::ShutdownGrace;
use fulmarlift_session::shell::Shell;
use rstest::rstest;
use support::TestDeployment;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const GROUP: &str = "ledger";
const GRACE: ShutdownGrace = ShutdownGrace {
    idle_delay: Duration::ZERO,
    idle_spread: Duration::ZERO,
    transaction_timeout: Duration::from_millis(300),
    statement_timeout: Duration::from_millis(600),
};

/// Returns a configuration in which the empty key belongs to this workspace, or to none.
fn topology(version: u64, owner: Option<&str>, allows_anonymous: bool) -> Topology {
    let route = Route {
        database: GROUP.into(),
        group: id::of(GROUP),
        consistency: Consistency::Leader,
        statement_timeout_ms: 300,
        objective_ms: 300,
        priority: 1,
        allows_anonymous,
    };
    let group = Group {
        name: GROUP.into(),
        connections_max: 8,
        sync_replicas: 0,
    };
    let mut topology = Topology::new(version, vec![route], vec![(id::of(GROUP), group)]);
    let keys = vec![KeyDigest::of(b"")];
    let workspaces = owner.map(|name| Workspace {
        name: name.into(),
        limit: None,
        keys,
    });
    topology.workspaces = Some(Registry::from(Vec::from_iter(workspaces)));
    topology
}

struct Caller {
    stream: TcpStream,
    inbox: BytesMut,
}

impl Caller {
    async fn connect(shell: &Rc<Shell<TestDeployment>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        tokio::task::spawn_local(serve::accept_callers(Rc::clone(shell), listener, GRACE));
        let stream = TcpStream::connect(address).await.expect("accepted");
        let mut caller = Self {
            stream,
            inbox: BytesMut::new(),
        };
        let (group, member) = (GROUP, "any");
        let startup = Command::Startup {
            group,
            member,
            workspace: None,
        };
        caller.send(startup).await;
        caller
    }

    async fn send(&mut self, command: Command<'_>) {
        let mut outbox = BytesMut::new();
        Forwarding.encode(command, &mut outbox).expect("short");
        self.stream.write_all_buf(&mut outbox).await.expect("taken");
    }

    async fn run(&mut self, verb: Verb) {
        let (id, text) = (Bytes::from_static(b"1"), Bytes::from_static(b"READ a"));
        let options = Some(StatementOptions {
            consistency: Consistency::Leader,
            timeout_ms: 300,
            objective_ms: 300,
            priority: 1,
            workspace: None,
        });
        let floor = None;
        self.send(Command::Run {
            id: &id,
            text: &text,
            verb,
            floor,
            options,
        })
        .await;
    }

    /// Returns the next frame; none once the proxy has closed the connection.
    async fn frame(&mut self) -> Option<Frame> {
        loop {
            if let Some(frame) = Forwarding.decode(&mut self.inbox).expect("valid") {
                return Some(frame);
            }
            let read = self.stream.read_buf(&mut self.inbox);
            if read.await.is_ok_and(|bytes| bytes == 0) {
                return None;
            }
        }
    }

    async fn is_unauthorized(&mut self) -> bool {
        let refused = matches!(
            self.frame().await,
            Some(Frame::Error(Code::Unauthorized, _))
        );
        refused && self.frame().await.is_none()
    }

    async fn state(&mut self) -> Option<TransactionState> {
        loop {
            match self.frame().await? {
                Frame::Ready(state, _) => return Some(state),
                Frame::Error(Code::Unauthorized, _) => return None,
                _ => {}
            }
        }
    }
}

/// A session with an unknown key was opened.
#[rstest]
#[case::known(Some("mill"), false, true)]
#[case::unknown(None, false, false)]
#[case::unknown_on_anonymous_route(None, true, true)]
#[tokio::test]
async fn session_starts_with_key(
    #[case] owner: Option<&str>,
    #[case] allows_anonymous: bool,
    #[case] expected: bool,
) {
    let test = async {
        let shell = support::shell("proxy-1");
        shell.handle(Event::Configured(topology(1, owner, allows_anonymous)));
        let mut caller = Caller::connect(&shell).await;
        match expected {
            true => assert_eq!(caller.state().await, Some(TransactionState::Idle)),
            false => assert!(caller.is_unauthorized().await),
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// An open session went on after its key had been removed, or had been given to another workspace during its transaction.
#[rstest]
#[case::removed(None, Verb::Run(Mode::Read), false)]
#[case::removed_before_begin(None, Verb::Begin(Mode::Read), false)]
#[case::removed_in_transaction(None, Verb::Run(Mode::Read), true)]
#[case::removed_before_commit(None, Verb::Commit, true)]
#[case::moved_in_transaction(Some("port"), Verb::Commit, true)]
#[tokio::test]
async fn session_ends_without_key(
    #[case] owner: Option<&str>,
    #[case] verb: Verb,
    #[case] in_transaction: bool,
) {
    let test = async {
        let shell = support::shell("proxy-1");
        shell.handle(Event::Configured(topology(1, Some("mill"), false)));
        let mut caller = Caller::connect(&shell).await;
        assert_eq!(caller.state().await, Some(TransactionState::Idle));
        if in_transaction {
            caller.run(Verb::Begin(Mode::Write)).await;
            assert_eq!(caller.state().await, Some(TransactionState::Transaction));
        }
        shell.handle(Event::Configured(topology(2, owner, false)));
        caller.run(verb).await;
        assert!(caller.is_unauthorized().await);
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
