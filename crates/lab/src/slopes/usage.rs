//! Resource usage of processes, as Linux reports it under `/proc`.

use std::time::Duration;
use std::{fs, io};

/// Unit of processor times in `/proc`, which is the same on all Linux systems.
const CPU_TICK: Duration = Duration::from_millis(10);
/// Indices of the processor times in user mode and in the kernel, among the fields of `/proc/PID/stat` after the
/// program's name.
const CPU_TIME_FIELDS: [usize; 2] = [11, 12];
const BYTES_PER_KIB: u64 = 1_024;

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Usage {
    /// Resident memory in bytes.
    pub resident_bytes: u64,
    /// Processor time since the start of the process, in user mode and in the kernel.
    pub cpu: Duration,
}

/// Returns the current usage of the process with this identifier, or of this process for `self`.
///
/// # Errors
///
/// Returns an error if the process does not exist or the kernel's files have an unknown format.
pub fn process_usage(process: &str) -> io::Result<Usage> {
    let status = fs::read_to_string(format!("/proc/{process}/status"))?;
    let stat = fs::read_to_string(format!("/proc/{process}/stat"))?;
    let usage = parse_resident_bytes(&status).zip(parse_cpu_time(&stat));
    let (resident_bytes, cpu) = usage.ok_or(io::ErrorKind::InvalidData)?;
    Ok(Usage {
        resident_bytes,
        cpu,
    })
}

fn parse_resident_bytes(status: &str) -> Option<u64> {
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kib * BYTES_PER_KIB)
}

fn parse_cpu_time(stat: &str) -> Option<Duration> {
    let (_, after_name) = stat.rsplit_once(')')?;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks =
        CPU_TIME_FIELDS.map(|field| fields.get(field).and_then(|text| text.parse::<u32>().ok()));
    Some(CPU_TICK * (ticks[0]? + ticks[1]?))
}
