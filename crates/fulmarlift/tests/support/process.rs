//! One child process.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};

/// A process that is killed when it leaves scope.
pub struct Process {
    child: Child,
    lines: BufReader<ChildStdout>,
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
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        let lines = BufReader::new(child.stdout.take().expect("its output is piped"));
        Self { child, lines }
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
        self.child.wait().expect("it is a child")
    }

    /// Returns whether it still runs.
    pub fn runs(&mut self) -> bool {
        self.child.try_wait().expect("it is a child").is_none()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns an address that is free now.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("it is bound")
}
