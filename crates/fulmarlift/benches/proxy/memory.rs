//! Measures the memory of the daemon while it sends a large answer and while it serves idle callers.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use fulmarlift_store::platform::Platform;
use fulmarlift_store::{client, message};
use futures::future;
use pgwire::messages::{PgWireFrontendMessage, simplequery};

use crate::target;
use fulmarlift_wire::frame::{self, tag};

/// Number of callers that read the large answer, one after the other.
const LARGE_ANSWERS: usize = 3;
/// Number of idle callers.
const IDLE_CALLERS: usize = 1_000;
/// Delay before the memory is read, in which the daemon finishes its work.
const SETTLE_DELAY: Duration = Duration::from_secs(2);

/// Child process that is killed when it is dropped.
struct Process {
    child: Child,
    address: SocketAddr,
}

impl Process {
    /// Starts a program and reads its address from the line `ready ADDRESS`.
    fn start(program: &str, arguments: &[&str]) -> Self {
        let mut command = Command::new(program);
        command
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(Stdio::null());
        let mut child = command.spawn().expect("the program starts");
        let mut line = String::new();
        let output = child.stdout.take().expect("standard output is piped");
        BufReader::new(output)
            .read_line(&mut line)
            .expect("standard output is text");
        let address = line
            .trim()
            .strip_prefix("ready ")
            .expect("the first line starts with `ready`");
        let address = address.parse().expect("the line holds an address");
        Self { child, address }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Prints how much the memory of a daemon grows for large answers and for idle callers.
pub async fn report(member: SocketAddr) {
    let listen = ["--listen", "127.0.0.1:0"];
    let platform = Process::start(env!("CARGO_BIN_EXE_fulmarlift-platform"), &listen);
    submit(platform.address, member).await;
    let platform_address = format!("http://{}", platform.address);
    let flags = ["--platform", &platform_address];
    let proxy = Process::start(env!("CARGO_BIN_EXE_fulmarliftd"), &flags);
    let address = proxy.address;
    target::wait_until_ready(address).await;
    for _ in 0..LARGE_ANSWERS {
        let before_kb = peak_kb(&proxy);
        let bytes = read_large(address).await;
        println!(
            "answer of {} MB: peak memory grew by {} KB",
            bytes / 1_000_000,
            peak_kb(&proxy) - before_kb
        );
    }
    tokio::time::sleep(SETTLE_DELAY).await;
    let before_kb = current_kb(&proxy);
    let idle = (0..IDLE_CALLERS).map(|_| target::connect(address));
    let mut idle = future::join_all(idle).await;
    tokio::time::sleep(SETTLE_DELAY).await;
    let connected = idle.iter().filter(|caller| caller.is_ok()).count();
    let kb_per_caller = |kb: i64| kb as f64 / connected as f64;
    println!(
        "{connected} idle callers that logged in: {:.1} KB each",
        kb_per_caller(current_kb(&proxy) - before_kb)
    );
    for caller in idle.iter_mut().flatten() {
        let deadline = tokio::time::Instant::now() + target::ANSWER_TIMEOUT;
        let sql = "SELECT v FROM t WHERE id = 1";
        let answer = fulmarlift_wire::backend::query(caller, sql, deadline).await;
        answer.expect("the proxy answers the read");
    }
    tokio::time::sleep(SETTLE_DELAY).await;
    println!(
        "{connected} idle callers that have read once: {:.1} KB each",
        kb_per_caller(current_kb(&proxy) - before_kb)
    );
}

async fn submit(platform: SocketAddr, member: SocketAddr) {
    let document = target::document(member);
    let digest = document.digest();
    let client = client::Client::new(&format!("http://{platform}")).expect("the URL is valid");
    let name = format!("config-1-{digest}");
    let text = document.to_json();
    let put = client.put_object(&name, text.as_bytes());
    put.await.expect("the platform stores the object");
    let transaction = message::Transaction {
        puts: vec![message::Put {
            table: "config".into(),
            key: "head".into(),
            value: serde_json::json!({
                "version": 1, "digest": digest, "base": 0, "who": "bench",
            }),
        }],
        ..message::Transaction::default()
    };
    let put = client.transact(&transaction).await;
    put.expect("the platform commits the transaction");
}

async fn read_large(address: SocketAddr) -> usize {
    let mut caller = target::connect(address)
        .await
        .expect("the proxy accepts the login");
    let query = simplequery::Query::new("SELECT v AS large FROM t".into());
    let query = frame::encode_frontend(&PgWireFrontendMessage::Query(query));
    caller
        .framed
        .send(&query)
        .await
        .expect("the connection is open");
    let mut bytes = 0;
    loop {
        let frame = caller
            .framed
            .read_frame()
            .await
            .expect("the connection is open");
        let frame = frame.expect("the connection is open");
        assert_ne!(frame.tag, tag::backend::ERROR_RESPONSE);
        bytes += frame.bytes.len();
        if frame.tag == tag::backend::READY_FOR_QUERY {
            return bytes;
        }
    }
}

fn peak_kb(process: &Process) -> i64 {
    field_kb(process, "VmHWM:")
}

fn current_kb(process: &Process) -> i64 {
    field_kb(process, "VmRSS:")
}

fn field_kb(process: &Process, name: &str) -> i64 {
    let path = format!("/proc/{}/status", process.child.id());
    let status = std::fs::read_to_string(path).expect("the process runs");
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let value = line.expect("the kernel reports the field").trim();
    value
        .trim_end_matches(" kB")
        .parse()
        .expect("the value is a number")
}
