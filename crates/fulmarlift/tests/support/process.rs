//! Child processes and free ports for them.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, ChildStderr, ChildStdout, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time after which the wait for the exit of a process fails. It only keeps a failing test from hanging.
const EXIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which [`Process::wait`] checks whether the process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Child process that is killed when it is dropped.
pub struct Process {
    child: Child,
    stdout: BufReader<ChildStdout>,
    log: Arc<Mutex<Vec<String>>>,
}

impl Process {
    /// Starts a program of this workspace; each argument `--flag=value` is passed as two arguments.
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
        let stdout = BufReader::new(child.stdout.take().expect("standard output is piped"));
        let log = Arc::default();
        collect_lines(
            child.stderr.take().expect("standard error is piped"),
            Arc::clone(&log),
        );
        Self { child, stdout, log }
    }

    /// Returns whether some line of the log contains all of these texts.
    pub fn has_logged(&self, texts: &[&str]) -> bool {
        let log = self.log.lock().expect("no thread panics with the lock");
        log.iter()
            .any(|line| texts.iter().all(|text| line.contains(text)))
    }

    /// Returns how many lines of the log contain this text.
    pub fn count_logged(&self, text: &str) -> usize {
        let log = self.log.lock().expect("no thread panics with the lock");
        log.iter().filter(|line| line.contains(text)).count()
    }

    /// Returns the lines that the process has written to standard error.
    pub fn log(&self) -> String {
        self.log
            .lock()
            .expect("no thread panics with the lock")
            .join("\n")
    }

    /// Reads the next line of standard output, which must be `NAME ADDRESS`, and returns the address.
    pub fn read_address(&mut self, name: &str) -> SocketAddr {
        let mut line = String::new();
        self.stdout
            .read_line(&mut line)
            .expect("standard output is text");
        let address = line
            .trim()
            .strip_prefix(name)
            .expect("the line starts with the name");
        address.trim().parse().expect("the line holds an address")
    }

    /// Sends the signal with this name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &pid]).status();
        assert!(status.expect("the command `kill` runs").success());
    }

    /// Waits until the process exits.
    pub fn wait(&mut self) -> ExitStatus {
        let deadline = Instant::now() + EXIT_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().expect("the process is a child") {
                return status;
            }
            assert!(
                Instant::now() < deadline,
                "the process did not exit in time"
            );
            std::thread::sleep(EXIT_POLL_INTERVAL);
        }
    }

    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        self.child
            .try_wait()
            .expect("the process is a child")
            .is_none()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if std::thread::panicking() {
            // A rare failure may not occur again, so the log is printed for every failed test.
            eprintln!("log of process {}:\n{}", self.child.id(), self.log());
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn collect_lines(stderr: ChildStderr, log: Arc<Mutex<Vec<String>>>) {
    std::thread::spawn(move || {
        for line in BufReader::new(stderr).lines().map_while(Result::ok) {
            log.lock()
                .expect("no thread panics with the lock")
                .push(line);
        }
    });
}

/// Lowest port for child processes; all are below the ports that the system assigns by itself.
const PORT_MIN: u32 = 10_000;
/// Number of ports for child processes.
const PORT_COUNT: u32 = 20_000;
/// Number of ports that a test process can use before they overlap with those of the next process id.
const PORTS_PER_PROCESS: u32 = 151;

/// Returns a free loopback address whose port the system does not assign to sockets that ask for any free port.
pub fn free_address() -> SocketAddr {
    static NEXT_OFFSET: AtomicU32 = AtomicU32::new(0);
    loop {
        let step = NEXT_OFFSET.fetch_add(1, Ordering::Relaxed);
        let offset = (std::process::id() * PORTS_PER_PROCESS + step) % PORT_COUNT;
        let port = u16::try_from(PORT_MIN + offset).expect("the range is below 65,536");
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
