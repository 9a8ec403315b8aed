//! Real daemons before stand-ins in this process.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use fulmarlift_config::model;
use fulmarlift_lab::{load, slopes};
use fulmarlift_standin::{member, platform};
use fulmarlift_store::publish::submit;
use fulmarlift_store::{client, retry};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_postgres::NoTls;

use crate::{Failure, table};

const GROUPS: [u32; 3] = [5, 20, 80];
const DAEMONS: [u32; 3] = [2, 4, 8];
const RATES: [u32; 3] = [100, 300, 900];
const SESSIONS: [u32; 3] = [100, 1_000, 3_000];
const SETTLE: Duration = Duration::from_secs(4);
const MEASURE: Duration = Duration::from_secs(6);
const CONNECTIONS: u32 = 40;

/// A daemon's process, ended with its value.
struct Daemon {
    child: Child,
    listen: SocketAddr,
    peer: SocketAddr,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // It is this process's own child; there is nothing to do about a failure.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

struct System {
    platform: platform::Handle,
    members: Vec<member::Handle>,
    daemons: Vec<Daemon>,
    bytes: Arc<AtomicU64>,
}

struct Sample {
    cpu_ms: f64,
    resident_bytes: f64,
    member_bytes: f64,
}

/// Measures all slopes of daemons.
pub fn run(program: &Path) -> Result<(), Failure> {
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(async {
        let mut groups = Vec::new();
        for count in GROUPS {
            let system = System::start(program, count, 1).await?;
            groups.push((f64::from(count), system.sample().await?));
        }
        report("one daemon, idle", "group", &groups);
        let mut daemons = Vec::new();
        for count in DAEMONS {
            let system = System::start(program, 20, count).await?;
            daemons.push((f64::from(count), system.sample().await?));
        }
        report("20 groups, idle", "daemon", &daemons);
        requests(program).await?;
        sessions(program).await
    })
}

fn report(title: &str, x: &str, samples: &[(f64, Sample)]) {
    type Measure = (&'static str, fn(&Sample) -> f64);
    let measures: [Measure; 3] = [
        ("cpu ms per second of one daemon", |s| s.cpu_ms),
        ("resident bytes of one daemon", |s| s.resident_bytes),
        (
            "bytes per second to and from members, one daemon, without headers",
            |s| s.member_bytes,
        ),
    ];
    for (name, measure) in measures {
        let points: Vec<_> = samples.iter().map(|(at, s)| (*at, measure(s))).collect();
        table::print(title, x, name, &points);
    }
}

async fn requests(program: &Path) -> Result<(), Failure> {
    let system = System::start(program, 1, 1).await?;
    tokio::time::sleep(SETTLE).await;
    let mut samples = Vec::new();
    for rate in RATES {
        let options = load::Options {
            addresses: vec![system.daemons[0].listen],
            service: "library-0".into(),
            requests_per_second: f64::from(rate),
            roam_share: 0.0,
            length: SETTLE + MEASURE,
            ..load::Options::default()
        };
        let (report, sample) = tokio::join!(load::run(&options, |_| {}), system.sample());
        let report = report?;
        println!(
            "  planned {rate}/s, done {:.1}/s, held {}",
            report.done_per_second,
            report.passed()
        );
        samples.push((report.done_per_second, sample?));
    }
    report("one daemon, 1 group, 1 in 5 a write", "request/s", &samples);
    Ok(())
}

async fn sessions(program: &Path) -> Result<(), Failure> {
    let system = System::start(program, 1, 1).await?;
    let daemon = &system.daemons[0];
    // Callers are refused until the daemon has its configuration.
    tokio::time::sleep(SETTLE).await;
    let mut clients = Vec::new();
    let mut resident = Vec::new();
    let mut cpu = Vec::new();
    for count in SESSIONS {
        while clients.len() < count as usize {
            let settings = format!(
                "host={} port={} user=courier dbname=library-0",
                daemon.listen.ip(),
                daemon.listen.port()
            );
            let (client, connection) = tokio_postgres::connect(&settings, NoTls).await?;
            tokio::spawn(connection);
            clients.push(client);
        }
        let sample = system.sample().await?;
        resident.push((f64::from(count), sample.resident_bytes));
        cpu.push((f64::from(count), sample.cpu_ms));
    }
    table::print("idle callers", "caller", "resident bytes", &resident);
    table::print("idle callers", "caller", "cpu ms per second", &cpu);
    Ok(())
}

impl System {
    async fn start(program: &Path, groups: u32, daemons: u32) -> Result<Self, Failure> {
        let platform = platform::Platform::start(platform::Config::default()).await?;
        let mut system = Self {
            platform,
            members: Vec::new(),
            daemons: Vec::new(),
            bytes: Arc::default(),
        };
        let mut configs = Vec::new();
        for number in 0..groups {
            configs.push(system.start_group(number).await?);
        }
        system.submit(configs).await?;
        for number in 0..daemons {
            system.start_daemon(program, number)?;
        }
        Ok(system)
    }

    async fn start_group(&mut self, number: u32) -> Result<model::Group, Failure> {
        let mut handles = Vec::new();
        for index in 0..3_u32 {
            let config = member::Config {
                primary: index == 0,
                connections_max: CONNECTIONS as usize,
                ..member::Config::default()
            };
            handles.push(member::Member::start(config).await?);
        }
        let mut members = Vec::new();
        for (index, handle) in handles.iter().enumerate() {
            let others = handles.iter().filter(|h| h.address() != handle.address());
            handle.set_peers(others.map(member::Handle::as_peer).collect());
            members.push(model::Member {
                name: format!("m{index}").into(),
                address: relay(handle.address(), Arc::clone(&self.bytes))
                    .await?
                    .into(),
                domain: "rvk-a".into(),
                connections: CONNECTIONS,
                connect_ms: 12,
            });
        }
        self.members.extend(handles);
        Ok(model::Group {
            name: format!("library-{number}").into(),
            slots: 3,
            members,
        })
    }

    async fn submit(&self, groups: Vec<model::Group>) -> Result<(), Failure> {
        let service = |group: &model::Group| model::Service {
            name: group.name.clone(),
            group: group.name.clone(),
            callers: vec!["courier".into()],
            read_classes: Vec::new(),
            limits: model::Limits {
                caller_connections: 100_000,
                ..model::Limits::default()
            },
        };
        let document = model::Document {
            regions: vec![model::Region {
                name: "rvk".into(),
                domains: vec!["rvk-a".into()],
            }],
            services: groups.iter().map(service).collect(),
            groups,
            callers: vec![model::Caller {
                name: "courier".into(),
                verifier: "trust".into(),
            }],
            ..model::Document::default()
        };
        let client = client::Client::new(&format!("http://{}", self.platform.address()))?;
        let submission = submit::Submission {
            document,
            base: model::UNACCEPTED,
            who: "slopes".into(),
            when_ms: 0,
            nonce: submit::random_nonce(),
            retry: retry::Retry::default(),
        };
        submit::submit(&client, &submission).await?;
        Ok(())
    }

    fn start_daemon(&mut self, program: &Path, number: u32) -> Result<(), Failure> {
        let peers = self.daemons.iter().map(|daemon| daemon.peer.to_string());
        let peers = peers.collect::<Vec<_>>().join(",");
        let platform = format!("http://{}", self.platform.address());
        let mut child = Command::new(program)
            .args(["--name", &format!("p{number}"), "--region", "rvk"])
            .args(["--domain", "rvk-a", "--platform", &platform])
            .args(["--peers", &peers])
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()?;
        let output = child.stdout.take().ok_or("its output is piped")?;
        let mut lines = BufReader::new(output).lines();
        let mut address = |name: &str| -> Result<SocketAddr, Failure> {
            let line = lines.next().ok_or("the daemon ended")??;
            Ok(line.trim_start_matches(name).trim().parse()?)
        };
        let listen = address("ready")?;
        address("admin")?;
        let peer = address("peer")?;
        self.daemons.push(Daemon {
            child,
            listen,
            peer,
        });
        Ok(())
    }

    /// Measures the last daemon, after a time to settle.
    async fn sample(&self) -> Result<Sample, Failure> {
        tokio::time::sleep(SETTLE).await;
        let daemon = self.daemons.last().ok_or("there is a daemon")?;
        let process = daemon.child.id().to_string();
        let (before, bytes) = (
            slopes::process_usage(&process)?,
            self.bytes.load(Ordering::Relaxed),
        );
        tokio::time::sleep(MEASURE).await;
        let after = slopes::process_usage(&process)?;
        let bytes = self.bytes.load(Ordering::Relaxed) - bytes;
        let seconds = MEASURE.as_secs_f64();
        Ok(Sample {
            cpu_ms: (after.cpu - before.cpu).as_secs_f64() * 1e3 / seconds,
            resident_bytes: after.resident_bytes as f64,
            member_bytes: bytes as f64 / seconds / self.daemons.len() as f64,
        })
    }
}

impl Drop for System {
    fn drop(&mut self) {
        self.daemons.clear();
        for member in &self.members {
            member.stop();
        }
        self.platform.stop();
    }
}

/// Starts a relay that counts bytes both ways, and returns its address.
async fn relay(target: SocketAddr, bytes: Arc<AtomicU64>) -> Result<String, Failure> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?.to_string();
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let Ok(far) = TcpStream::connect(target).await else {
                continue;
            };
            let (near_in, near_out) = near.into_split();
            let (far_in, far_out) = far.into_split();
            tokio::spawn(pass(near_in, far_out, Arc::clone(&bytes)));
            tokio::spawn(pass(far_in, near_out, Arc::clone(&bytes)));
        }
    });
    Ok(address)
}

async fn pass(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    bytes: Arc<AtomicU64>,
) {
    let mut buffer = [0; 4_096];
    while let Ok(len @ 1..) = from.read(&mut buffer).await {
        bytes.fetch_add(len as u64, Ordering::Relaxed);
        if to.write_all(&buffer[..len]).await.is_err() {
            return;
        }
    }
}
