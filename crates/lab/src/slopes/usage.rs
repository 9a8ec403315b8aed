//! What the kernel says of a process.

use std::time::Duration;
use std::{fs, io};

/// Length of a tick of processor time, which Linux fixes for user space.
const CPU_TICK: Duration = Duration::from_millis(10);
/// Fields of `/proc/PID/stat` after the program's name: time in user mode, then in the kernel.
const CPU_FIELDS: [usize; 2] = [11, 12];
const BYTES_PER_KIB: u64 = 1_024;

/// What a process uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Usage {
    /// Resident memory.
    pub resident_bytes: u64,
    /// Processor time since its start.
    pub cpu: Duration,
}

/// Returns what the process uses now; `self` names this one.
///
/// # Errors
///
/// Returns an error when the process does not exist or the kernel's text is not as known.
pub fn usage(process: &str) -> io::Result<Usage> {
    let status = fs::read_to_string(format!("/proc/{process}/status"))?;
    let stat = fs::read_to_string(format!("/proc/{process}/stat"))?;
    let usage = resident_bytes(&status).zip(cpu(&stat));
    let (resident_bytes, cpu) = usage.ok_or(io::ErrorKind::InvalidData)?;
    Ok(Usage {
        resident_bytes,
        cpu,
    })
}

fn resident_bytes(status: &str) -> Option<u64> {
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kib * BYTES_PER_KIB)
}

fn cpu(stat: &str) -> Option<Duration> {
    let (_, after_name) = stat.rsplit_once(')')?;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = CPU_FIELDS.map(|field| fields.get(field).and_then(|text| text.parse::<u32>().ok()));
    Some(CPU_TICK * (ticks[0]? + ticks[1]?))
}
