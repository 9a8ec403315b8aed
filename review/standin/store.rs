//! The platform's store and its promotion interface, over HTTP.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::group::{Group, SERVICE};
use crate::json::{from_base64, to_base64, Json};
use crate::record::Record;

/// Time of an answer, and of a transaction (site files: `transaction-ms` 8).
const ANSWER: Duration = Duration::from_millis(4);
const TRANSACTION: Duration = Duration::from_millis(8);
/// Three heartbeat intervals of 1.2 s, after which the entry of a silent member is removed.
const ENTRY_LIFETIME: Duration = Duration::from_millis(3_600);

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    revision: u64,
    rows: BTreeMap<Key, (Option<Vec<u8>>, u64)>,
}

pub struct Store {
    rows: Mutex<Rows>,
    pub group: Arc<Group>,
    pub record: Arc<Record>,
    /// Number of promotion orders that still get no answer.
    pub unanswered: AtomicUsize,
    /// Delay after which an unanswered order is carried out.
    pub late_by: Duration,
    /// Target of the first order, once it has arrived.
    pub first_target: Mutex<Option<String>>,
    /// Address in the members' entries and the one of a relay that some proxies read in its place.
    pub relayed: Mutex<Option<(String, String)>>,
}

struct Request {
    path: String,
    query: HashMap<String, String>,
    headers: HashMap<String, String>,
    body: String,
}

impl Store {
    pub fn new(group: Arc<Group>, record: Arc<Record>, late_by: Duration) -> Arc<Self> {
        Arc::new(Self {
            rows: Mutex::default(),
            group,
            record,
            unanswered: AtomicUsize::new(0),
            late_by,
            first_target: Mutex::new(None),
            relayed: Mutex::new(None),
        })
    }

    /// Listens at a free port, and returns it.
    pub fn listen(self: &Arc<Self>) -> u16 {
        let port = self.accept(false);
        let store = Arc::clone(self);
        thread::spawn(move || store.register());
        port
    }

    fn accept(self: &Arc<Self>, relayed: bool) -> u16 {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let port = listener.local_addr().expect("bound").port();
        let store = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&store);
                thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    let _ = store.serve(stream, relayed);
                });
            }
        });
        port
    }

    /// Listens for promotion orders at a free port of its own, and returns it.
    pub fn listen_promotions(self: &Arc<Self>) -> u16 {
        self.accept(false)
    }

    /// Listens for proxies that read a relay's address in place of a member's, and returns the port.
    pub fn listen_relayed(self: &Arc<Self>) -> u16 {
        self.accept(true)
    }

    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let mut rows = self.rows.lock().unwrap();
        rows.revision += 1;
        let revision = rows.revision;
        let key = (table.to_owned(), String::new(), key.to_owned());
        rows.rows.insert(key, (value.map(|value| value.as_bytes().to_vec()), revision));
    }

    /// Keeps the members' entries up to date.
    fn register(&self) {
        let mut written: HashMap<String, Option<String>> = HashMap::new();
        loop {
            let members = self.group.state.lock().unwrap().members.clone();
            for member in members {
                let role = if member.leads { "primary" } else { "replica" };
                let state = if member.draining { "draining" } else { "ready" };
                let entry = format!(
                    "{{\"service\":\"{SERVICE}\",\"address\":\"127.0.0.1:{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":4,\"state\":\"{state}\",\"cold-remaining-ms\":0,\"sequence\":1,\"database-role\":\"{role}\",\"born\":{}}}",
                    member.port, member.zone, member.born_ms
                );
                let current = match member.gone_since {
                    None => Some(entry),
                    Some(since) if member.left || since.elapsed() > ENTRY_LIFETIME => None,
                    Some(_) => continue,
                };
                if written.get(&member.id) != Some(&current) {
                    self.record.line(&format!("entry of {}: {}", member.id, current.as_deref().unwrap_or("removed")));
                    self.put("servers", &member.id, current.as_deref());
                    written.insert(member.id.clone(), current);
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn serve(self: &Arc<Self>, mut stream: TcpStream, relayed: bool) -> std::io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = read_request(&mut reader)? {
            let Some((status, body)) = self.answer(&request, relayed) else {
                // No answer: the connection delivers nothing further.
                let mut rest = Vec::new();
                let _ = reader.read_to_end(&mut rest);
                return Ok(());
            };
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            stream.write_all(head.as_bytes())?;
            stream.write_all(body.as_bytes())?;
        }
        Ok(())
    }

    fn answer(self: &Arc<Self>, request: &Request, relayed: bool) -> Option<(u16, String)> {
        let relay = self.relayed.lock().unwrap().clone().filter(|_| relayed);
        let row_json = |row: (&Key, &(Option<Vec<u8>>, u64))| row_json(row, relay.as_ref());
        let field = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        match request.path.as_str() {
            "/v1/rows-get" => {
                thread::sleep(ANSWER);
                let (table, part, from) = (field("table"), field("part"), field("from"));
                let limit = field("limit").parse().unwrap_or(500);
                let rows = self.rows.lock().unwrap();
                let found = rows.rows.iter().filter(|(key, (value, _))| {
                    key.0 == table && key.1 == part && key.2 >= from && value.is_some()
                });
                let found: Vec<String> = found.take(limit).map(&row_json).collect();
                Some((200, self.rows_json(&found, rows.revision)))
            }
            "/v1/rows-feed" => {
                thread::sleep(ANSWER);
                let after: u64 = field("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(field("wait-timeout-ms").parse().unwrap_or(0));
                let until = Instant::now() + wait;
                loop {
                    let rows = self.rows.lock().unwrap();
                    let mut changed: Vec<_> = rows
                        .rows
                        .iter()
                        .filter(|(key, (_, revision))| key.0 == field("table") && *revision > after)
                        .collect();
                    if !changed.is_empty() || Instant::now() >= until {
                        changed.sort_by_key(|(_, (_, revision))| *revision);
                        let found: Vec<String> = changed.into_iter().map(&row_json).collect();
                        return Some((200, self.rows_json(&found, rows.revision)));
                    }
                    drop(rows);
                    thread::sleep(Duration::from_millis(10));
                }
            }
            "/v1/rows-tx" => {
                thread::sleep(ANSWER + TRANSACTION);
                Some(self.transact(&Json::parse(&request.body)))
            }
            "/promotion" => {
                thread::sleep(ANSWER);
                let body = Json::parse(&request.body);
                let token = request.headers.get("x-fencing-token");
                let token: u64 = token.and_then(|token| token.parse().ok()).unwrap_or(0);
                let id = body.field("id").text().to_owned();
                let holder = request.headers.get("x-lease-holder").cloned().unwrap_or_default();
                self.record.line(&format!("order arrives: {id}, token {token}, holder {holder}"));
                self.first_target.lock().unwrap().get_or_insert(id.clone());
                let takes_one = |left: usize| left.checked_sub(1);
                let lost = self.unanswered.fetch_update(Ordering::SeqCst, Ordering::SeqCst, takes_one).is_ok();
                if lost {
                    self.record.line(&format!("this order gets no answer and is carried out {} s later", self.late_by.as_secs()));
                    let (group, late_by) = (Arc::clone(&self.group), self.late_by);
                    thread::spawn(move || {
                        thread::sleep(late_by);
                        group.order(&id, token);
                    });
                    return None;
                }
                Some((self.group.order(&id, token), "{}".to_owned()))
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn transact(&self, transaction: &Json) -> (u16, String) {
        let key = |row: &Json| {
            let text = |name: &str| row.field(name).text().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let mut rows = self.rows.lock().unwrap();
        for expected in transaction.field("expected").list() {
            let present = rows.rows.get(&key(expected)).filter(|(value, _)| value.is_some());
            if present.map_or(0, |(_, revision)| *revision) != expected.field("record-version").number() {
                return (412, self.rows_json(&[], rows.revision));
            }
        }
        rows.revision += 1;
        let revision = rows.revision;
        for write in transaction.field("writes").list() {
            let value = from_base64(write.field("value").text());
            if write.field("table").text() == "claims" {
                let text: String = value.iter().map(|byte| if byte.is_ascii_graphic() { *byte as char } else { '.' }).collect();
                self.record.line(&format!("claim row of {}: {text}", write.field("part").text()));
            }
            rows.rows.insert(key(write), (Some(value), revision));
        }
        (200, self.rows_json(&[], revision))
    }

    fn rows_json(&self, rows: &[String], revision: u64) -> String {
        let now_ms = self.record.elapsed().as_millis() + 1_000;
        format!("{{\"rows\":[{}],\"has-more\":false,\"record-version\":{revision},\"now-ms\":{now_ms}}}", rows.join(","))
    }
}

fn row_json((key, (value, revision)): (&Key, &(Option<Vec<u8>>, u64)), relay: Option<&(String, String)>) -> String {
    let deleted = value.is_none();
    let value = value.as_deref().unwrap_or_default();
    let value = match relay {
        Some((address, seen)) if key.0 == "servers" => {
            to_base64(String::from_utf8_lossy(value).replace(&format!("\"{address}\""), &format!("\"{seen}\"")).as_bytes())
        }
        _ => to_base64(value),
    };
    format!(
        "{{\"table\":\"{}\",\"part\":\"{}\",\"key\":\"{}\",\"value\":\"{value}\",\"record-version\":{revision},\"deleted\":{deleted}}}",
        key.0, key.1, key.2
    )
}

fn read_request(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let target = line.split(' ').nth(1).unwrap_or("/").to_owned();
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 || line.trim().is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (name.to_owned(), decode_percent(value))).collect();
    Ok(Some(Request {
        path: path.to_owned(),
        query,
        headers,
        body: String::from_utf8_lossy(&body).into_owned(),
    }))
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
