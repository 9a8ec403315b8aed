//! A scripted member: it answers as the text of a query tells it to, in and out of turn.

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

/// What the member has seen.
#[derive(Debug, Default)]
pub struct Seen {
    /// Writes that were executed, in order.
    pub writes: Vec<Box<str>>,
    /// Texts that came on a connection after it had misbehaved.
    pub misused: Vec<Box<str>>,
    /// Connections so far.
    pub connections: usize,
    /// Refusals still to be given to writes.
    pub refusals: usize,
    /// Cancel requests that have come and hit the next text on their connection.
    pub cancels: Vec<i32>,
}

/// A running member.
#[derive(Clone, Debug)]
pub struct Fake {
    /// Its address.
    pub address: SocketAddr,
    /// What it has seen.
    pub seen: Arc<Mutex<Seen>>,
}

impl Fake {
    /// Starts a member that is the primary of its group.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let fake = Self {
            address,
            seen: Arc::default(),
        };
        let served = fake.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let fake = served.clone();
                tokio::spawn(async move { fake.serve(stream).await });
            }
        });
        fake
    }

    async fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let length = stream.read_u32().await.ok()?;
        let mut startup = vec![0; length as usize - 4];
        stream.read_exact(&mut startup).await.ok()?;
        if startup.starts_with(&CANCEL_CODE.to_be_bytes()) {
            let pid = startup[4..8].try_into().map(i32::from_be_bytes).ok()?;
            self.seen.lock().expect("no panic").cancels.push(pid);
            return None;
        }
        let pid = {
            let mut seen = self.seen.lock().expect("no panic");
            seen.connections += 1;
            seen.connections as i32
        };
        let mut connection = Connection {
            framed: Framed::new(Stream::Plain(stream), Codec::default()),
            fake: self.clone(),
            pid,
            misbehaved: false,
            stray: false,
        };
        connection.greet().await?;
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
    fake: Fake,
    pid: i32,
    misbehaved: bool,
    stray: bool,
}

impl Connection {
    fn put(&mut self, message: Message) {
        self.framed.feed(&frame::backend(&message));
    }

    async fn flush(&mut self) -> Option<()> {
        self.framed.flush().await.ok()
    }

    async fn greet(&mut self) -> Option<()> {
        self.put(Message::Authentication(startup::Authentication::Ok));
        let secret = startup::SecretKey::I32(7);
        self.put(Message::BackendKeyData(startup::BackendKeyData::new(
            self.pid, secret,
        )));
        self.ready().await
    }

    async fn ready(&mut self) -> Option<()> {
        self.put(ready());
        self.flush().await
    }

    async fn answer(&mut self, text: &str) -> Option<()> {
        if text.contains("group_status") {
            return self.status().await;
        }
        // The proxy's own question, whose answer shows the connection to be out of step.
        let is_proxys = text == "DISCARD ALL";
        if self.misbehaved && !is_proxys {
            let mut seen = self.fake.seen.lock().expect("no panic");
            seen.misused.push(text.into());
        }
        if std::mem::take(&mut self.stray) {
            // What now comes first, or came late, answers nothing.
            self.misbehaved = true;
            self.put(ready());
        }
        if is_proxys {
            self.put(complete(text));
            return self.ready().await;
        }
        if self.is_cancelled() {
            self.put(Message::ErrorResponse(info("57014", "canceled")));
            return self.ready().await;
        }
        match text.split_whitespace().next() {
            Some("INSERT") => self.write(text).await,
            _ => self.read(text).await,
        }
    }

    fn is_cancelled(&self) -> bool {
        let mut seen = self.fake.seen.lock().expect("no panic");
        let before = seen.cancels.len();
        seen.cancels.retain(|pid| *pid != self.pid);
        seen.cancels.len() < before
    }

    async fn read(&mut self, text: &str) -> Option<()> {
        let value = text.rsplit(' ').next().unwrap_or_default();
        if text.contains("slow") {
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        if text.contains("notice") {
            self.put(Message::NoticeResponse(info("00000", "by the way")));
        }
        if text.contains("unasked") {
            let message = response::NotificationResponse::new(1, "channel".into(), "x".into());
            self.put(Message::NotificationResponse(message));
        }
        if text.contains("only_ready") {
            self.misbehaved = true;
            return self.ready().await;
        }
        self.put(columns());
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
        self.put(row(value));
        self.put(complete("SELECT 1"));
        if text.contains("extra_ready") {
            self.misbehaved = true;
            self.put(ready());
        }
        if text.contains("row_after_ready") {
            self.misbehaved = true;
            self.put(ready());
            self.put(row("stray"));
            return self.flush().await;
        }
        if text.contains("late_row") {
            self.ready().await?;
            // One text may come before the stray row has.
            self.stray = true;
            tokio::time::sleep(Duration::from_millis(20)).await;
            self.put(row("stray"));
            return self.flush().await;
        }
        self.stray = text.contains("stray_next");
        self.ready().await
    }

    async fn write(&mut self, text: &str) -> Option<()> {
        if self.refuse() {
            self.put(Message::ErrorResponse(info("25006", "not the primary")));
            return self.ready().await;
        }
        let position = {
            let mut seen = self.fake.seen.lock().expect("no panic");
            seen.writes.push(text.into());
            seen.writes.len()
        };
        if text.contains("die") {
            return None;
        }
        self.put(complete("INSERT 0 1"));
        if text.contains("silent") {
            self.flush().await?;
            self.misbehaved = true;
            tokio::time::sleep(Duration::from_millis(1_500)).await;
            return self.ready().await;
        }
        let value = format!("1:{position}");
        let status = startup::ParameterStatus::new("group_position".into(), value);
        self.put(Message::ParameterStatus(status));
        self.ready().await
    }

    fn refuse(&self) -> bool {
        let mut seen = self.fake.seen.lock().expect("no panic");
        let refuses = seen.refusals > 0;
        seen.refusals = seen.refusals.saturating_sub(1);
        refuses
    }

    async fn status(&mut self) -> Option<()> {
        let position = self.fake.seen.lock().expect("no panic").writes.len();
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
        self.put(Message::RowDescription(data::RowDescription::new(fields)));
        self.put(values_row(&values));
        self.put(complete("SELECT 1"));
        self.ready().await
    }
}

fn field(name: &str) -> data::FieldDescription {
    data::FieldDescription::new(name.into(), 0, 0, 25, -1, -1, 0)
}

fn columns() -> Message {
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

fn info<T: From<pgwire::error::ErrorInfo>>(code: &str, message: &str) -> T {
    pgwire::error::ErrorInfo::new("ERROR".into(), code.into(), message.into()).into()
}
