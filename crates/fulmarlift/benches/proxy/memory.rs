//! Memory of the daemon: a large answer, and callers that do nothing.

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

/// Callers that read the large answer, one after the other.
const LARGE_ANSWERS: usize = 3;
/// Callers that do nothing.
const IDLE_CALLERS: usize = 1_000;
/// Time in which the daemon comes to rest.
const REST: Duration = Duration::from_secs(2);

/// A program that ends with its scope.
struct Process {
    child: Child,
    address: SocketAddr,
}

impl Process {
    /// Starts a program that prints `ready ADDRESS`.
    fn start(program: &str, arguments: &[&str]) -> Self {
        let mut command = Command::new(program);
        command
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(Stdio::null());
        let mut child = command.spawn().expect("the program starts");
        let mut line = String::new();
        let output = child.stdout.take().expect("its output is piped");
        BufReader::new(output)
            .read_line(&mut line)
            .expect("its output is text");
        let address = line
            .trim()
            .strip_prefix("ready ")
            .expect("the expected line");
        let address = address.parse().expect("an address");
        Self { child, address }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Prints what memory the daemon takes.
pub async fn report(member: SocketAddr) {
    let listen = ["--listen", "127.0.0.1:0"];
    let platform = Process::start(env!("CARGO_BIN_EXE_fulmarlift-platform"), &listen);
    submit(platform.address, member).await;
    let platform_address = format!("http://{}", platform.address);
    let flags = ["--platform", &platform_address];
    let proxy = Process::start(env!("CARGO_BIN_EXE_fulmarliftd"), &flags);
    let address = proxy.address;
    target::until_ready(address).await;
    for _ in 0..LARGE_ANSWERS {
        let before_kb = peak_kb(&proxy);
        let bytes = read_large(address).await;
        println!(
            "answer of {} MB: peak memory grew by {} KB",
            bytes / 1_000_000,
            peak_kb(&proxy) - before_kb
        );
    }
    tokio::time::sleep(REST).await;
    let before_kb = now_kb(&proxy);
    let idle = (0..IDLE_CALLERS).map(|_| target::connect(address));
    let mut idle = future::join_all(idle).await;
    tokio::time::sleep(REST).await;
    let kept = idle.iter().filter(|caller| caller.is_ok()).count();
    let each = |kb: i64| kb as f64 / kept as f64;
    println!(
        "{kept} idle callers that logged in: {:.1} KB each",
        each(now_kb(&proxy) - before_kb)
    );
    for caller in idle.iter_mut().flatten() {
        let deadline = tokio::time::Instant::now() + target::PATIENCE;
        let sql = "SELECT v FROM t WHERE id = 1";
        let answer = fulmarlift_wire::backend::query(caller, sql, deadline).await;
        answer.expect("it is answered");
    }
    tokio::time::sleep(REST).await;
    println!(
        "{kept} idle callers that have read once: {:.1} KB each",
        each(now_kb(&proxy) - before_kb)
    );
}

async fn submit(platform: SocketAddr, member: SocketAddr) {
    let document = target::document(member);
    let digest = document.digest();
    let client = client::Client::new(&format!("http://{platform}")).expect("an address");
    let name = format!("config-1-{digest}");
    let text = document.to_json();
    let put = client.put_object(&name, text.as_bytes());
    put.await.expect("the platform is up");
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
    put.expect("the platform is up");
}

async fn read_large(address: SocketAddr) -> usize {
    let mut caller = target::connect(address).await.expect("it serves");
    let query = simplequery::Query::new("SELECT v AS large FROM t".into());
    let query = frame::encode_frontend(&PgWireFrontendMessage::Query(query));
    caller.framed.send(&query).await.expect("it is open");
    let mut bytes = 0;
    loop {
        let frame = caller.framed.read_frame().await.expect("it is open");
        let frame = frame.expect("it is open");
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

fn now_kb(process: &Process) -> i64 {
    field_kb(process, "VmRSS:")
}

fn field_kb(process: &Process, name: &str) -> i64 {
    let path = format!("/proc/{}/status", process.child.id());
    let status = std::fs::read_to_string(path).expect("it runs");
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let value = line.expect("the field is there").trim();
    value.trim_end_matches(" kB").parse().expect("a number")
}
