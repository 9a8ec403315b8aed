//! Measurements of real daemons. Their members and their platform are stand-ins that run in this process.

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

use crate::{Error, table};

const GROUPS: [u32; 3] = [5, 20, 80];
const DAEMONS: [u32; 3] = [2, 4, 8];
const RATES: [u32; 3] = [100, 300, 900];
const SESSIONS: [u32; 3] = [100, 1_000, 3_000];
/// Time before a measurement, in which the daemons get their configuration and open their connections.
const WARM_UP: Duration = Duration::from_secs(4);
/// Duration of a measurement.
const MEASUREMENT: Duration = Duration::from_secs(6);
/// Number of connections that each member accepts.
const MEMBER_CONNECTIONS: u32 = 40;

/// A daemon's process, which is killed when the value is dropped.
struct Daemon {
    child: Child,
    /// Address for callers.
    caller_address: SocketAddr,
    /// Address for peers.
    peer_address: SocketAddr,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // Killing a child of this process fails only if it has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A platform, members of groups, and daemons that use them.
struct System {
    platform: platform::Handle,
    members: Vec<member::Handle>,
    daemons: Vec<Daemon>,
    /// Bytes that all daemons and members have sent to each other.
    member_bytes: Arc<AtomicU64>,
}

/// Measurements of one daemon.
struct Sample {
    /// Processor time per second, in milliseconds.
    cpu_ms: f64,
    /// Resident memory in bytes.
    resident_bytes: f64,
    /// Bytes per second to and from members, on average over the daemons.
    member_bytes: f64,
}

/// Measures daemons by groups, daemons, requests and callers, and prints the results.
pub fn run(program: &Path) -> Result<(), Error> {
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
        measure_requests(program).await?;
        measure_sessions(program).await
    })
}

/// Prints the measurements of the samples, which are given with their value of x.
fn report(title: &str, x_name: &str, samples: &[(f64, Sample)]) {
    type Measure = (&'static str, fn(&Sample) -> f64);
    let measures: [Measure; 3] = [
        ("cpu ms per second of one daemon", |sample| sample.cpu_ms),
        ("resident bytes of one daemon", |sample| {
            sample.resident_bytes
        }),
        (
            "bytes per second to and from members, one daemon, without headers",
            |sample| sample.member_bytes,
        ),
    ];
    for (name, measure) in measures {
        let points: Vec<_> = samples
            .iter()
            .map(|(x, sample)| (*x, measure(sample)))
            .collect();
        table::print(title, x_name, name, &points);
    }
}

/// Measures one daemon under loads of several rates.
async fn measure_requests(program: &Path) -> Result<(), Error> {
    let system = System::start(program, 1, 1).await?;
    tokio::time::sleep(WARM_UP).await;
    let mut samples = Vec::new();
    for rate in RATES {
        let options = load::Options {
            addresses: vec![system.daemons[0].caller_address],
            service: "library-0".into(),
            requests_per_second: f64::from(rate),
            roam_share: 0.0,
            length: WARM_UP + MEASUREMENT,
            ..load::Options::default()
        };
        let (report, sample) = tokio::join!(load::run(&options, |_| {}), system.sample());
        let report = report?;
        println!(
            "  planned {rate}/s, done {:.1}/s, passed {}",
            report.done_per_second,
            report.passed()
        );
        samples.push((report.done_per_second, sample?));
    }
    report("one daemon, 1 group, 1 in 5 a write", "request/s", &samples);
    Ok(())
}

/// Measures one daemon with several numbers of idle callers.
async fn measure_sessions(program: &Path) -> Result<(), Error> {
    let system = System::start(program, 1, 1).await?;
    let daemon = &system.daemons[0];
    // The daemon refuses callers until it has its configuration.
    tokio::time::sleep(WARM_UP).await;
    let mut clients = Vec::new();
    let mut resident = Vec::new();
    let mut cpu = Vec::new();
    for count in SESSIONS {
        while clients.len() < count as usize {
            let settings = format!(
                "host={} port={} user=courier dbname=library-0",
                daemon.caller_address.ip(),
                daemon.caller_address.port()
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
    /// Starts a system with these numbers of groups and daemons.
    async fn start(program: &Path, groups: u32, daemons: u32) -> Result<Self, Error> {
        let platform = platform::Platform::start(platform::Config::default()).await?;
        let mut system = Self {
            platform,
            members: Vec::new(),
            daemons: Vec::new(),
            member_bytes: Arc::default(),
        };
        let mut group_configs = Vec::new();
        for number in 0..groups {
            group_configs.push(system.start_group(number).await?);
        }
        system.submit(group_configs).await?;
        for number in 0..daemons {
            system.start_daemon(program, number)?;
        }
        Ok(system)
    }

    /// Starts the members of a group and returns its configuration, in which each member has the address of a relay.
    async fn start_group(&mut self, number: u32) -> Result<model::Group, Error> {
        let mut handles = Vec::new();
        for index in 0..3_u32 {
            let config = member::Config {
                primary: index == 0,
                connections_max: MEMBER_CONNECTIONS as usize,
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
                address: relay(handle.address(), Arc::clone(&self.member_bytes))
                    .await?
                    .into(),
                domain: "rvk-a".into(),
                connections: MEMBER_CONNECTIONS,
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

    /// Submits a configuration with these groups, and a service for each, to the platform.
    async fn submit(&self, groups: Vec<model::Group>) -> Result<(), Error> {
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
            submitter: "slopes".into(),
            submitted_at_ms: 0,
            nonce: submit::random_nonce(),
            retry: retry::Retry::default(),
        };
        submit::submit(&client, &submission).await?;
        Ok(())
    }

    /// Starts a daemon, which prints its addresses when it listens, and gives it those of the daemons before as peers.
    fn start_daemon(&mut self, program: &Path, number: u32) -> Result<(), Error> {
        let peers = self
            .daemons
            .iter()
            .map(|daemon| daemon.peer_address.to_string());
        let peers = peers.collect::<Vec<_>>().join(",");
        let platform = format!("http://{}", self.platform.address());
        let mut child = Command::new(program)
            .args(["--name", &format!("p{number}"), "--region", "rvk"])
            .args(["--domain", "rvk-a", "--platform", &platform])
            .args(["--peers", &peers])
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()?;
        let output = child
            .stdout
            .take()
            .ok_or("the daemon's output is not piped")?;
        let mut lines = BufReader::new(output).lines();
        let mut read_address = |name: &str| -> Result<SocketAddr, Error> {
            let line = lines
                .next()
                .ok_or("the daemon ended before it printed its addresses")??;
            Ok(line.trim_start_matches(name).trim().parse()?)
        };
        let caller_address = read_address("ready")?;
        read_address("admin")?;
        let peer_address = read_address("peer")?;
        self.daemons.push(Daemon {
            child,
            caller_address,
            peer_address,
        });
        Ok(())
    }

    /// Measures the daemon that was started last, after the warm-up.
    async fn sample(&self) -> Result<Sample, Error> {
        tokio::time::sleep(WARM_UP).await;
        let daemon = self.daemons.last().ok_or("the system has no daemon")?;
        let process = daemon.child.id().to_string();
        let (before, bytes_before) = (
            slopes::process_usage(&process)?,
            self.member_bytes.load(Ordering::Relaxed),
        );
        tokio::time::sleep(MEASUREMENT).await;
        let after = slopes::process_usage(&process)?;
        let bytes = self.member_bytes.load(Ordering::Relaxed) - bytes_before;
        let seconds = MEASUREMENT.as_secs_f64();
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

/// Starts a relay to the target that counts the bytes of both directions, and returns its address.
async fn relay(target: SocketAddr, bytes: Arc<AtomicU64>) -> Result<String, Error> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?.to_string();
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let Ok(server) = TcpStream::connect(target).await else {
                continue;
            };
            let (client_read, client_write) = client.into_split();
            let (server_read, server_write) = server.into_split();
            tokio::spawn(copy(client_read, server_write, Arc::clone(&bytes)));
            tokio::spawn(copy(server_read, client_write, Arc::clone(&bytes)));
        }
    });
    Ok(address)
}

/// Copies one direction of a relayed connection until either side closes it, and counts the bytes.
async fn copy(
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
