//! A member whose answers follow words in the text of each query, including messages that no request asked for.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::BytesMut;
use fulmarlift_wire::frame::{self, Codec};
use fulmarlift_wire::stream::{Framed, Stream};
use pgwire::messages::{PgWireBackendMessage as Message, data, response, startup};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

/// Code of a cancel request.
const CANCEL_CODE: i32 = 80_877_102;

/// What the member has received, and the refusals that it still has to send.
#[derive(Debug, Default)]
pub struct ScriptedState {
    /// Texts of the writes that the member has executed, in order.
    pub writes: Vec<Box<str>>,
    /// Texts of queries that arrived on a connection after the member had misbehaved on it.
    pub queries_after_misbehavior: Vec<Box<str>>,
    /// Number of connections accepted so far.
    pub connections: usize,
    /// Number of writes that the member still has to refuse because it is not the primary.
    pub refusals: usize,
    /// Process IDs of the cancel requests that have not hit a query yet; each hits the next query on its connection.
    pub cancels: Vec<i32>,
}

/// A running member.
#[derive(Clone, Debug)]
pub struct ScriptedMember {
    /// Address on which the member accepts connections.
    pub address: SocketAddr,
    /// State that all connections share.
    pub state: Arc<Mutex<ScriptedState>>,
}

impl ScriptedMember {
    /// Starts a member that is the primary of its group.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let member = Self {
            address,
            state: Arc::default(),
        };
        let accepting = member.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let member = accepting.clone();
                tokio::spawn(async move { member.serve(stream).await });
            }
        });
        member
    }

    async fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let length = stream.read_u32().await.ok()?;
        let mut startup = vec![0; length as usize - 4];
        stream.read_exact(&mut startup).await.ok()?;
        if startup.starts_with(&CANCEL_CODE.to_be_bytes()) {
            let pid = startup[4..8].try_into().map(i32::from_be_bytes).ok()?;
            self.state.lock().expect("no panic").cancels.push(pid);
            return None;
        }
        let pid = {
            let mut state = self.state.lock().expect("no panic");
            state.connections += 1;
            state.connections as i32
        };
        let mut connection = Connection {
            framed: Framed::new(Stream::Plain(stream), Codec::default()),
            member: self.clone(),
            pid,
            misbehaved: false,
            stray_ready_pending: false,
        };
        connection.accept_login().await?;
        loop {
            let query = connection.framed.read_frame().await.ok()??;
            if query.tag != frame::tag::frontend::QUERY {
                continue;
            }
            let text = String::from_utf8_lossy(query.body());
            connection.answer(text.trim_end_matches('\0')).await?;
        }
    }
}

struct Connection {
    framed: Framed<Stream>,
    member: ScriptedMember,
    /// Process ID in the connection's cancel key.
    pid: i32,
    /// Whether the member has sent messages that no request asked for, or has left an answer incomplete.
    misbehaved: bool,
    /// Whether the answer to the next query starts with a ReadyForQuery that no request asked for.
    stray_ready_pending: bool,
}

impl Connection {
    fn feed(&mut self, message: Message) {
        self.framed.feed(&frame::encode_backend(&message));
    }

    async fn flush(&mut self) -> Option<()> {
        self.framed.flush().await.ok()
    }

    async fn accept_login(&mut self) -> Option<()> {
        self.feed(Message::Authentication(startup::Authentication::Ok));
        let secret = startup::SecretKey::I32(7);
        self.feed(Message::BackendKeyData(startup::BackendKeyData::new(
            self.pid, secret,
        )));
        self.send_ready().await
    }

    async fn send_ready(&mut self) -> Option<()> {
        self.feed(ready());
        self.flush().await
    }

    async fn answer(&mut self, text: &str) -> Option<()> {
        if text.contains("group_status") {
            return self.answer_status().await;
        }
        // The proxy resets the connection; the answer shows the proxy that the connection is out of step.
        let is_reset = text == "DISCARD ALL";
        if self.misbehaved && !is_reset {
            let mut state = self.member.state.lock().expect("no panic");
            state.queries_after_misbehavior.push(text.into());
        }
        if std::mem::take(&mut self.stray_ready_pending) {
            // No request asked for this ReadyForQuery, nor for the row that the member may have sent late.
            self.misbehaved = true;
            self.feed(ready());
        }
        if is_reset {
            self.feed(complete(text));
            return self.send_ready().await;
        }
        if self.is_cancelled() {
            self.feed(Message::ErrorResponse(error_info("57014", "canceled")));
            return self.send_ready().await;
        }
        match text.split_whitespace().next() {
            Some("INSERT") => self.answer_write(text).await,
            _ => self.answer_read(text).await,
        }
    }

    fn is_cancelled(&self) -> bool {
        let mut state = self.member.state.lock().expect("no panic");
        let before = state.cancels.len();
        state.cancels.retain(|pid| *pid != self.pid);
        state.cancels.len() < before
    }

    async fn answer_read(&mut self, text: &str) -> Option<()> {
        let value = text.rsplit(' ').next().unwrap_or_default();
        if text.contains("slow") {
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        if text.contains("notice") {
            self.feed(Message::NoticeResponse(error_info("00000", "by the way")));
        }
        if text.contains("unasked") {
            let message = response::NotificationResponse::new(1, "channel".into(), "x".into());
            self.feed(Message::NotificationResponse(message));
        }
        if text.contains("only_ready") {
            self.misbehaved = true;
            return self.send_ready().await;
        }
        self.feed(row_description());
        if text.contains("half_row") {
            self.framed.feed_bytes(&[b'D', 0, 0, 0, 100, 0]);
            self.flush().await?;
            return None;
        }
        if text.contains("half_large") {
            let mut bytes = vec![b'D', 0, 16, 0, 0];
            bytes.resize(300_000, b'x');
            self.framed.feed_bytes(&bytes);
            self.flush().await?;
            return None;
        }
        self.feed(row(value));
        self.feed(complete("SELECT 1"));
        if text.contains("extra_ready") {
            self.misbehaved = true;
            self.feed(ready());
        }
        if text.contains("row_after_ready") {
            self.misbehaved = true;
            self.feed(ready());
            self.feed(row("stray"));
            return self.flush().await;
        }
        if text.contains("late_row") {
            self.send_ready().await?;
            // One query may arrive before the stray row has reached the proxy.
            self.stray_ready_pending = true;
            tokio::time::sleep(Duration::from_millis(20)).await;
            self.feed(row("stray"));
            return self.flush().await;
        }
        self.stray_ready_pending = text.contains("stray_next");
        self.send_ready().await
    }

    async fn answer_write(&mut self, text: &str) -> Option<()> {
        if self.consume_refusal() {
            self.feed(Message::ErrorResponse(error_info(
                "25006",
                "not the primary",
            )));
            return self.send_ready().await;
        }
        let position = {
            let mut state = self.member.state.lock().expect("no panic");
            state.writes.push(text.into());
            state.writes.len()
        };
        if text.contains("die") {
            return None;
        }
        self.feed(complete("INSERT 0 1"));
        if text.contains("silent") {
            self.flush().await?;
            self.misbehaved = true;
            tokio::time::sleep(Duration::from_millis(1_500)).await;
            return self.send_ready().await;
        }
        let value = format!("1:{position}");
        let status = startup::ParameterStatus::new("group_position".into(), value);
        self.feed(Message::ParameterStatus(status));
        self.send_ready().await
    }

    fn consume_refusal(&self) -> bool {
        let mut state = self.member.state.lock().expect("no panic");
        let is_refused = state.refusals > 0;
        state.refusals = state.refusals.saturating_sub(1);
        is_refused
    }

    async fn answer_status(&mut self) -> Option<()> {
        let position = self.member.state.lock().expect("no panic").writes.len();
        let names = [
            "term",
            "claimant",
            "role",
            "last_term",
            "position",
            "term_start",
            "connections_used",
            "connections_max",
        ];
        let position = position.to_string();
        let values = ["1", "", "primary", "1", &position, "0", "0", "16"];
        let fields = names.into_iter().map(field).collect();
        self.feed(Message::RowDescription(data::RowDescription::new(fields)));
        self.feed(values_row(&values));
        self.feed(complete("SELECT 1"));
        self.send_ready().await
    }
}

fn field(name: &str) -> data::FieldDescription {
    data::FieldDescription::new(name.into(), 0, 0, 25, -1, -1, 0)
}

fn row_description() -> Message {
    Message::RowDescription(data::RowDescription::new(vec![field("value")]))
}

fn row(value: &str) -> Message {
    values_row(&[value])
}

fn values_row(values: &[&str]) -> Message {
    let mut bytes = BytesMut::new();
    for value in values {
        bytes.extend_from_slice(&(value.len() as i32).to_be_bytes());
        bytes.extend_from_slice(value.as_bytes());
    }
    Message::DataRow(data::DataRow::new(bytes, values.len() as i16))
}

fn complete(tag: &str) -> Message {
    Message::CommandComplete(response::CommandComplete::new(tag.into()))
}

fn ready() -> Message {
    let status = response::TransactionStatus::Idle;
    Message::ReadyForQuery(response::ReadyForQuery::new(status))
}

fn error_info<T: From<pgwire::error::ErrorInfo>>(code: &str, message: &str) -> T {
    pgwire::error::ErrorInfo::new("ERROR".into(), code.into(), message.into()).into()
}
