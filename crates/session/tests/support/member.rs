//! A member on a loopback address that answers as the test says and keeps what it was sent.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use fulmarlift_core::floor::Point;
use fulmarlift_session::peer::Serving;
use fulmarlift_session::protocol::caller::{Codec, Message, Query, Reply, Statement};
use fulmarlift_session::protocol::{Code, TransactionState};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What a member does with statements that read or write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Manner {
    /// It runs them.
    Runs,
    /// It runs them and closes the connection without an answer.
    LosesAnswers,
    /// It refuses them, as an overloaded home does.
    Refuses,
}

pub struct Member {
    pub address: SocketAddr,
    pub manner: Cell<Manner>,
    /// The connection, the id and the text of each statement.
    pub seen: RefCell<Vec<(usize, String, String)>>,
    connections: Cell<usize>,
}

impl Member {
    pub async fn start() -> Rc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("loopback is there");
        let member = Rc::new(Self {
            address: listener.local_addr().expect("it is bound"),
            manner: Cell::new(Manner::Runs),
            seen: RefCell::default(),
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

    pub fn texts(&self) -> Vec<String> {
        let seen = self.seen.borrow();
        seen.iter().map(|(_, _, text)| text.clone()).collect()
    }

    async fn serve(&self, mut stream: TcpStream, number: usize) {
        let mut codec = Serving;
        let (mut inbox, mut outbox) = (BytesMut::new(), BytesMut::new());
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
                    self.keep(number, &query);
                    let lost = self.manner.get() == Manner::LosesAnswers;
                    if lost && matches!(query.statement, Statement::Run(_)) {
                        return;
                    }
                    state = match query.statement {
                        Statement::Begin(_) => TransactionState::Transaction,
                        Statement::Commit | Statement::Rollback => TransactionState::Idle,
                        _ => state,
                    };
                    let refused = self.manner.get() == Manner::Refuses;
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

    fn keep(&self, number: usize, query: &Query) {
        let text = match &query.statement {
            Statement::Rollback => "ROLLBACK".to_owned(),
            Statement::Set { name, value } => format!("SET {name} {}", utf8(value)),
            Statement::Reset => "RESET".to_owned(),
            _ => utf8(&query.text),
        };
        self.seen.borrow_mut().push((number, utf8(&query.id), text));
    }
}

fn utf8(bytes: &Bytes) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}
