//! A stand-in for a member on a loopback address. It answers as the test configures and records all statements.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use fulmarlift_core::floor::Point;
use fulmarlift_session::peer::Serving;
use fulmarlift_session::peer::greeting::{Answer, Greeting};
use fulmarlift_session::protocol::caller::{Codec, Message, Query, Reply, Statement};
use fulmarlift_session::protocol::{Code, Mode, TransactionState};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Delay of late answers: longer than a lease.
const LATE_ANSWER_DELAY: Duration = Duration::from_millis(600);

/// Reaction of the member to statements that read or write data.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Behavior {
    /// Runs them.
    Runs,
    /// Runs them, but closes the connection without an answer.
    LosesAnswers,
    /// Refuses them for lack of capacity, as an overloaded home does.
    Refuses,
    /// Runs them, and answers writes and commits when a lease has ended that was valid before.
    AnswersLate,
    /// Receives everything from then on, and answers nothing.
    Silent,
}

/// The stand-in. It speaks the protocol between proxies, as a home does.
pub struct Member {
    pub address: SocketAddr,
    pub behavior: Cell<Behavior>,
    /// Number of the connection, id and text of each statement and of each of the proxy's own commands.
    pub received: RefCell<Vec<(usize, String, String)>>,
    connections: Cell<usize>,
}

impl Member {
    pub async fn start() -> Rc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("the loopback address is available");
        let member = Rc::new(Self {
            address: listener.local_addr().expect("the listener is bound"),
            behavior: Cell::new(Behavior::Runs),
            received: RefCell::default(),
            connections: Cell::new(0),
        });
        let accepting = Rc::clone(&member);
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let member = Rc::clone(&accepting);
                let number = member.connections.get();
                member.connections.set(number + 1);
                tokio::task::spawn_local(async move { member.serve(stream, number).await });
            }
        });
        member
    }

    /// Returns the texts of all received statements and commands.
    pub fn texts(&self) -> Vec<String> {
        let received = self.received.borrow();
        received.iter().map(|(_, _, text)| text.clone()).collect()
    }

    async fn serve(&self, mut stream: TcpStream, number: usize) {
        let mut codec = Serving;
        let (mut inbox, mut outbox) = (BytesMut::new(), BytesMut::new());
        if stream.read_buf(&mut inbox).await.is_err() {
            return;
        }
        // Only proxies that take it for a home greet. It answers as the one that is meant.
        if let Ok(Some(greeting)) = Greeting::decode(&mut inbox) {
            Answer::new(&Ok(()), &greeting.meant).encode(&mut outbox);
        }
        let mut state = TransactionState::Idle;
        loop {
            let message = match codec.decode(&mut inbox) {
                Ok(Some(message)) => message,
                Ok(None) => match stream.read_buf(&mut inbox).await {
                    Ok(0) | Err(_) => return,
                    Ok(_) => continue,
                },
                Err(error) => panic!("{error}"),
            };
            match message {
                Message::Startup { .. } => {}
                Message::Terminate => return,
                Message::Query(query) => {
                    self.record(number, &query);
                    if self.behavior.get() == Behavior::Silent {
                        std::future::pending::<()>().await;
                    }
                    let loses_answer = self.behavior.get() == Behavior::LosesAnswers;
                    if loses_answer && matches!(query.statement, Statement::Run(_)) {
                        return;
                    }
                    let is_late = self.behavior.get() == Behavior::AnswersLate;
                    let is_write = matches!(query.statement, Statement::Run(Mode::Write));
                    if is_late && (is_write || query.statement == Statement::Commit) {
                        tokio::time::sleep(LATE_ANSWER_DELAY).await;
                    }
                    state = match query.statement {
                        Statement::Begin(_) => TransactionState::Transaction,
                        Statement::Commit | Statement::Rollback => TransactionState::Idle,
                        _ => state,
                    };
                    let refused = self.behavior.get() == Behavior::Refuses;
                    if refused && matches!(query.statement, Statement::Run(_)) {
                        codec.encode(Reply::Error(&Code::Busy, "overload"), &mut outbox);
                    } else {
                        let signature = Bytes::from_static(b"signed");
                        codec.encode(Reply::Complete(&signature), &mut outbox);
                    }
                }
            }
            codec.encode(Reply::Ready(state, Some(Point::new(1, 1))), &mut outbox);
            if stream.write_all_buf(&mut outbox).await.is_err() {
                return;
            }
        }
    }

    fn record(&self, number: usize, query: &Query) {
        let text = match &query.statement {
            Statement::Rollback => "ROLLBACK".to_owned(),
            Statement::Set { name, value } => format!("SET {name} {}", utf8(value)),
            Statement::Reset => "RESET".to_owned(),
            _ => utf8(&query.text),
        };
        self.received
            .borrow_mut()
            .push((number, utf8(&query.id), text));
    }
}

fn utf8(bytes: &Bytes) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}
