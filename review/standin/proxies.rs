//! Entry proxies as separate processes, with the settings of a small deployment.

use std::fs::{self, File};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

pub struct Proxy {
    pub caller_port: u16,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Proxy {
    pub fn start(folder: &Path, name: &str, zone: &str, store: u16, promotions: u16, fenced: bool) -> std::io::Result<Self> {
        let first = free_ports(6);
        let settings = folder.join(format!("{name}.toml"));
        fs::write(
            &settings,
            format!(
                "node-name = \"{name}\"\nzone = \"{zone}\"\nregion = \"north\"\nip-address = \"127.0.0.1\"\n\
                 internal-port-range = [{first}, {}]\n[zones]\na = \"north\"\nb = \"north\"\nc = \"north\"\n\
                 [listen-addresses]\nfrontend = \"127.0.0.1:{}\"\nready = \"127.0.0.1:{}\"\n\
                 [bounds]\ndrain-timeout-ms = 7000\ngrace-period-s = 6\nrequire-fencing = {fenced}\n\
                 [platform]\naddress = \"127.0.0.1:{store}\"\n[cloud-api]\naddress = \"127.0.0.1:{promotions}\"\n",
                first + 3,
                first + 4,
                first + 5
            ),
        )?;
        let mut proxy = Self {
            caller_port: first + 4,
            settings,
            log: folder.join(format!("{name}.log")),
            child: None,
        };
        proxy.spawn()?;
        Ok(proxy)
    }

    pub fn spawn(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/fulmarlift-entry")
            .env("FULMARLIFT_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Finds consecutive free ports below the system's ephemeral ports.
fn free_ports(count: u16) -> u16 {
    use std::sync::atomic::{AtomicU16, Ordering};
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let offset = (std::process::id() % 900) as u16 * 10;
    loop {
        let first = 20_000 + (offset + NEXT.fetch_add(count, Ordering::Relaxed)) % 11_000;
        let free = |port: u16| TcpListener::bind(("127.0.0.1", port)).is_ok();
        if (first..first + count).all(free) {
            return first;
        }
    }
}
