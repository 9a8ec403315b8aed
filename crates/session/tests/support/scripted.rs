//! A member on a loopback address that speaks lines and deviates where the test says so. It judges what it runs: each statement by
//! the transaction of its connection, and each write by whether it is kept.
//!
//! The id of a caller's statement names its operation up to the first dot: `t…` for a transaction, `s…` for a single statement.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use fulmarlift_broker::event::MemberStatus;
use fulmarlift_core::floor::Point;
use fulmarlift_session::protocol::member::{Codec, Command, Frame, ReadBack};
use fulmarlift_session::protocol::{Code, TransactionState, WireError, Withheld};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Size of the member's receive buffer and segments, so that a proxy's write stalls soon after the member stops reading.
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;
const SEGMENT_BYTES: u32 = 1_000;
const READY_IDLE: &str = "READY I 1.1\r\n";

/// The proxy's side of the lines.
#[derive(Debug, Default)]
pub struct Lines;

impl Codec for Lines {
    fn encode(&mut self, command: Command<'_>, outbox: &mut BytesMut) -> Result<(), Withheld> {
        let after = |floor: Option<Point>| match floor {
            Some(point) => format!("AFTER {}.{} ", point.term, point.position),
            None => String::new(),
        };
        let line = match command {
            Command::Startup { group, member, .. } => format!("STARTUP {group} proxy {member}"),
            Command::Run {
                id, text, floor, ..
            } => format!("QUERY {} {}{}", utf8(id), after(floor), utf8(text)),
            Command::Execute { id, arguments, .. } => {
                format!("QUERY {} EXECUTE name {}", utf8(id), utf8(arguments))
            }
            Command::Begin => "QUERY - BEGIN".into(),
            Command::Rollback => "QUERY - ROLLBACK".into(),
            Command::Set { name, value } => format!("QUERY - SET {name} {}", utf8(value)),
            Command::Prepare { .. } => "QUERY - PREPARE".into(),
            Command::Deallocate(_) => "QUERY - DEALLOCATE".into(),
            Command::Reset => "QUERY - RESET".into(),
            Command::Status | Command::Hold(_) | Command::Release | Command::Demote(_) => {
                "QUERY - STATUS".into()
            }
            Command::Terminate => "TERMINATE".into(),
        };
        outbox.put_slice(line.as_bytes());
        outbox.put_slice(b"\r\n");
        Ok(())
    }

    fn read_back<'a>(&self, _message: &'a [u8]) -> ReadBack<'a> {
        ReadBack::Opaque
    }

    fn decode(&mut self, inbox: &mut BytesMut) -> Result<Option<Frame>, WireError> {
        let Some(line) = take_line(inbox) else {
            return Ok(None);
        };
        let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
        let frame = match word {
            "DATAROW" => Frame::Row(rest.to_owned().into()),
            "COMPLETE" => Frame::Complete(rest.to_owned().into()),
            "ERROR" => Frame::Error(code(rest), "stand-in".into()),
            "READY" => {
                let state = match rest.chars().next() {
                    Some('I') => TransactionState::Idle,
                    Some('T') => TransactionState::Transaction,
                    _ => TransactionState::Failed,
                };
                Frame::Ready(state, Some(Point::new(1, 1)))
            }
            _ => return Err(WireError::Malformed("unknown word")),
        };
        Ok(Some(frame))
    }

    fn member_status(&self, _row: &Bytes) -> Option<MemberStatus> {
        None
    }
}

fn code(word: &str) -> Code {
    match word {
        "BUSY" => Code::Busy,
        "ABORTED" => Code::Aborted,
        "FAILED" => Code::Failed,
        "MALFORMED" => Code::Malformed,
        _ => Code::Other(word.into()),
    }
}

/// Where the member deviates from the protocol, or uses it to its limits, at one statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reaction {
    /// Runs the statement and sends the answer twice, in one write.
    AnswersTwice,
    /// Runs the statement and sends these bytes behind the answer, in one write.
    SendsMore(&'static str),
    /// Runs the statement and sends these bytes between the result and the state.
    SendsBehindResult(&'static str),
    /// Runs the statement, then rolls the transaction back.
    EndsTransactionAfter,
    /// Runs the statement, then rolls the transaction back, and answers after the proxy's time-out.
    EndsTransactionAndAnswersLate,
    /// Rolls the transaction back, then runs the statement outside of it.
    EndsTransactionBefore,
    /// Refuses the statement with this code, and leaves the transaction as it is.
    Refuses(&'static str),
    /// Refuses the statement with this code, and rolls the transaction back.
    RefusesAndEnds(&'static str),
    /// Refuses the statement with this code; the transaction has failed.
    RefusesAndFails(&'static str),
    /// Reports success and does nothing, so that the transaction stays as it is.
    Pretends,
    /// Runs the statement and answers after the proxy's time-out.
    AnswersLate,
    /// Runs the statement and sends the answer byte by byte, the end of it after the proxy's time-out.
    AnswersInPieces,
    /// Runs the statement, closes the connection without an answer, and rolls the transaction back.
    ClosesConnection,
    /// Runs the statement and never answers.
    LosesAnswer,
    /// Runs the statement, answers it, and then reads nothing for this time.
    StopsReading(Duration),
}

/// Time after which the proxy no longer waits for an answer.
pub const LATE: Duration = Duration::from_millis(350);

/// Transaction of a connection.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Open {
    None,
    /// Operation that has begun the transaction, with the writes in it.
    By(String, Vec<String>),
    Failed(String),
}

/// The stand-in.
pub struct Member {
    pub address: SocketAddr,
    /// Start of a statement's id and text, and the reaction to the first statement with that start.
    pub script: RefCell<Vec<(&'static str, Reaction)>>,
    /// Ids and texts that callers have sent.
    pub sent: RefCell<Vec<(String, String)>>,
    /// Ids of the writes that have taken effect.
    pub kept: RefCell<Vec<String>>,
    /// Ids and texts of what the member has received.
    pub received: RefCell<Vec<(String, String)>>,
    /// What no proxy may do.
    pub violations: RefCell<Vec<String>>,
    /// Connections that have been accepted.
    pub connections: Cell<usize>,
}

impl Member {
    pub async fn start() -> Rc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
        let socket = socket2::SockRef::from(&listener);
        socket
            .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
            .expect("the option is valid");
        socket
            .set_tcp_mss(SEGMENT_BYTES)
            .expect("the option is valid");
        let member = Rc::new(Self {
            address: listener.local_addr().expect("the listener is bound"),
            script: RefCell::default(),
            sent: RefCell::default(),
            kept: RefCell::default(),
            received: RefCell::default(),
            violations: RefCell::default(),
            connections: Cell::new(0),
        });
        let accepting = Rc::clone(&member);
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                accepting.connections.set(accepting.connections.get() + 1);
                let member = Rc::clone(&accepting);
                tokio::task::spawn_local(async move { member.serve(stream).await });
            }
        });
        member
    }

    /// Returns whether the write or transaction of an operation has taken effect.
    pub fn has_kept(&self, operation: &str) -> bool {
        let kept = self.kept.borrow();
        kept.iter().any(|id| operation_of(id) == operation)
    }

    async fn serve(&self, mut stream: TcpStream) {
        let mut inbox = BytesMut::new();
        let mut open = Open::None;
        loop {
            let Some(line) = take_line(&mut inbox) else {
                match stream.read_buf(&mut inbox).await {
                    Ok(0) | Err(_) => return,
                    Ok(_) => continue,
                }
            };
            if line.starts_with("STARTUP ") {
                if stream.write_all(READY_IDLE.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            let Some((id, text)) = line
                .strip_prefix("QUERY ")
                .and_then(|query| query.split_once(' '))
            else {
                if line != "TERMINATE" {
                    self.violate(format!("unknown message {line:.40}"));
                }
                return;
            };
            let reaction = self.take_reaction(id, text);
            let answer = self.react(&mut open, id, text, reaction);
            if reaction == Some(Reaction::ClosesConnection) {
                return;
            }
            if self.send(&mut stream, &answer, reaction).await.is_err() {
                return;
            }
            if let Some(Reaction::StopsReading(pause)) = reaction {
                tokio::time::sleep(pause).await;
            }
        }
    }

    fn take_reaction(&self, id: &str, text: &str) -> Option<Reaction> {
        let statement = format!("{id} {text:.20}");
        let mut script = self.script.borrow_mut();
        let index = script
            .iter()
            .position(|(start, _)| statement.starts_with(start))?;
        Some(script.remove(index).1)
    }

    /// Runs a statement, or not, and returns the answer.
    fn react(&self, open: &mut Open, id: &str, text: &str, reaction: Option<Reaction>) -> String {
        self.received
            .borrow_mut()
            .push((id.to_owned(), text.chars().take(40).collect()));
        let result = match reaction {
            Some(Reaction::Refuses(code)) => format!("ERROR {code}\r\n"),
            Some(Reaction::RefusesAndEnds(code)) => {
                *open = Open::None;
                format!("ERROR {code}\r\n")
            }
            Some(Reaction::RefusesAndFails(code)) => {
                if let Open::By(operation, _) = open {
                    *open = Open::Failed(operation.clone());
                }
                format!("ERROR {code}\r\n")
            }
            Some(Reaction::Pretends) => format!("COMPLETE {id}\r\n"),
            Some(Reaction::EndsTransactionBefore) => {
                *open = Open::None;
                let deviates = true;
                self.run(open, id, text, deviates)
            }
            Some(Reaction::EndsTransactionAfter | Reaction::EndsTransactionAndAnswersLate) => {
                let result = self.run(open, id, text, false);
                *open = Open::None;
                result
            }
            _ => self.run(open, id, text, false),
        };
        let state = match open {
            Open::None => 'I',
            Open::By(..) => 'T',
            Open::Failed(_) => 'E',
        };
        let behind_result = match reaction {
            Some(Reaction::SendsBehindResult(more)) => more,
            _ => "",
        };
        format!("{result}{behind_result}READY {state} 1.1\r\n")
    }

    /// Runs a statement as the page says. `deviates` tells that the member itself has taken the statement out of its transaction.
    fn run(&self, open: &mut Open, id: &str, text: &str, deviates: bool) -> String {
        let operation = operation_of(id).to_owned();
        let text = strip_after(text);
        let word = text.split(' ').next().unwrap_or_default();
        if id != "-" {
            let sent = self.sent.borrow();
            let asked =
                |(sent_id, sent_text): &(String, String)| sent_id == id && sent_text == text;
            if !sent.iter().any(asked) {
                self.violate(format!("{id} {text:.40}: sent by nobody"));
            }
        }
        if matches!(open, Open::Failed(_)) && word != "ROLLBACK" && word != "COMMIT" {
            return "ERROR MALFORMED\r\n".to_owned();
        }
        match word {
            "BEGIN" if *open == Open::None => *open = Open::By(operation, Vec::new()),
            "BEGIN" => return "ERROR MALFORMED\r\n".to_owned(),
            "ROLLBACK" => *open = Open::None,
            "COMMIT" => match std::mem::replace(open, Open::None) {
                Open::By(begun_by, writes) => {
                    if begun_by != operation {
                        self.violate(format!("{id} commits the transaction of {begun_by}"));
                    }
                    self.kept.borrow_mut().extend(writes);
                }
                Open::Failed(_) => return "ERROR ABORTED\r\n".to_owned(),
                Open::None => return "ERROR MALFORMED\r\n".to_owned(),
            },
            "READ" | "WRITE" => {
                let inside = match open {
                    Open::By(begun_by, _) => Some(begun_by.clone()),
                    _ => None,
                };
                let expected = operation.starts_with('t').then(|| operation.clone());
                // A statement behind the proxy's own rollback, which the member has not carried out, is never kept.
                let behind_proxy = inside.as_deref() == Some("-");
                if inside != expected && !deviates && !behind_proxy {
                    self.violate(format!("{id} {text:.20} ran inside {inside:?}"));
                }
                if word == "WRITE" {
                    match open {
                        Open::By(_, writes) => writes.push(id.to_owned()),
                        _ => self.kept.borrow_mut().push(id.to_owned()),
                    }
                }
            }
            _ => {}
        }
        format!("COMPLETE {id}\r\n")
    }

    async fn send(
        &self,
        stream: &mut TcpStream,
        answer: &str,
        reaction: Option<Reaction>,
    ) -> std::io::Result<()> {
        match reaction {
            Some(Reaction::LosesAnswer) => Ok(()),
            Some(Reaction::AnswersTwice) => {
                stream
                    .write_all(format!("{answer}{answer}").as_bytes())
                    .await
            }
            Some(Reaction::SendsMore(more)) => {
                stream.write_all(format!("{answer}{more}").as_bytes()).await
            }
            Some(Reaction::AnswersLate | Reaction::EndsTransactionAndAnswersLate) => {
                tokio::time::sleep(LATE).await;
                stream.write_all(answer.as_bytes()).await
            }
            Some(Reaction::AnswersInPieces) => {
                let pause = LATE / u32::try_from(answer.len()).unwrap_or(1);
                for byte in answer.bytes() {
                    stream.write_all(&[byte]).await?;
                    tokio::time::sleep(pause).await;
                }
                Ok(())
            }
            _ => stream.write_all(answer.as_bytes()).await,
        }
    }

    pub fn violate(&self, violation: String) {
        self.violations.borrow_mut().push(violation);
    }
}

/// Returns the operation of a statement's id.
pub fn operation_of(id: &str) -> &str {
    id.split('.').next().unwrap_or(id)
}

fn strip_after(text: &str) -> &str {
    match text.strip_prefix("AFTER ") {
        Some(rest) => rest.split_once(' ').map_or("", |(_, text)| text),
        None => text,
    }
}

/// Removes the next line from the buffer.
fn take_line(inbox: &mut BytesMut) -> Option<String> {
    let length = inbox.windows(2).position(|end| end == b"\r\n")?;
    let line = inbox.split_to(length);
    inbox.advance(2);
    Some(String::from_utf8_lossy(&line).into_owned())
}

fn utf8(bytes: &Bytes) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}
