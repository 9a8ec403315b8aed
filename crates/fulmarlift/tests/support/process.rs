//! One child process.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, ChildStderr, ChildStdout, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time after which the wait for an end fails. Nothing is measured by it.
const LIMIT: Duration = Duration::from_secs(30);
/// Time between two looks at whether a process has ended.
const POLL: Duration = Duration::from_millis(10);

/// A process that is killed when it leaves scope.
pub struct Process {
    child: Child,
    lines: BufReader<ChildStdout>,
    log: Arc<Mutex<Vec<String>>>,
}

impl Process {
    /// Starts a program of this workspace; `--flag=value` stands for a flag and its value.
    pub fn start(program: &str, arguments: &[String]) -> Self {
        let arguments = arguments
            .iter()
            .flat_map(|argument| argument.splitn(2, '='));
        let mut child = Command::new(program)
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let lines = BufReader::new(child.stdout.take().expect("its output is piped"));
        let log = Arc::default();
        collect(
            child.stderr.take().expect("its log is piped"),
            Arc::clone(&log),
        );
        Self { child, lines, log }
    }

    /// Returns whether a line of its log holds all of these texts.
    pub fn logged(&self, texts: &[&str]) -> bool {
        let log = self.log.lock().expect("no holder panics");
        log.iter()
            .any(|line| texts.iter().all(|text| line.contains(text)))
    }

    /// Returns how many lines of its log hold this text.
    pub fn count_logged(&self, text: &str) -> usize {
        let log = self.log.lock().expect("no holder panics");
        log.iter().filter(|line| line.contains(text)).count()
    }

    /// Returns its log.
    pub fn log(&self) -> String {
        self.log.lock().expect("no holder panics").join("\n")
    }

    /// Reads `NAME ADDRESS` from its output.
    pub fn address(&mut self, name: &str) -> SocketAddr {
        let mut line = String::new();
        self.lines.read_line(&mut line).expect("its output is text");
        let address = line.trim().strip_prefix(name).expect("the expected line");
        address.trim().parse().expect("an address")
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &pid]).status();
        assert!(status.expect("kill runs").success());
    }

    /// Waits for its end.
    pub fn wait(&mut self) -> ExitStatus {
        let give_up_at = Instant::now() + LIMIT;
        loop {
            if let Some(status) = self.child.try_wait().expect("it is a child") {
                return status;
            }
            assert!(Instant::now() < give_up_at, "it never ended");
            std::thread::sleep(POLL);
        }
    }

    /// Returns whether it still runs.
    pub fn runs(&mut self) -> bool {
        self.child.try_wait().expect("it is a child").is_none()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if std::thread::panicking() {
            // The log of a test that failed once may be all that there is to trace it.
            eprintln!("log of process {}:\n{}", self.child.id(), self.log());
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn collect(stderr: ChildStderr, log: Arc<Mutex<Vec<String>>>) {
    std::thread::spawn(move || {
        for line in BufReader::new(stderr).lines().map_while(Result::ok) {
            log.lock().expect("no holder panics").push(line);
        }
    });
}

/// Lowest port that is given to children, below those that the system gives out by itself.
const PORT_MIN: u32 = 10_000;
/// Number of ports that are given to children.
const PORTS: u32 = 20_000;
/// Ports that one test binary may use before it meets those of the next process number.
const PORTS_PER_PROCESS: u32 = 151;

/// Returns an address that is free, and that no other socket takes by asking for any free port.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let offset = (std::process::id() * PORTS_PER_PROCESS + step) % PORTS;
        let port = u16::try_from(PORT_MIN + offset).expect("the range is below 65,536");
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
