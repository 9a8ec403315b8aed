//! The deadline of a graceful stop, which holds even while the thread of the runtime is blocked.

use std::fs;
use std::io;
use std::process;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use fulmarlift_core::sorted;
use tokio::runtime;
use tokio::signal::unix;

use crate::logging;

/// Exit status of a process that has not ended by itself in time.
pub const OVERDUE_EXIT_STATUS: i32 = 3;
/// Longest time for which the report of an overdue stop delays the end of the process.
const REPORT_TIMEOUT: Duration = Duration::from_millis(200);

/// Number by which the kernel knows a thread.
type ThreadId = u32;

/// What the kernel tells of a thread.
struct ThreadState {
    /// Name of the thread.
    name: Box<str>,
    /// State, as a letter: `R` runs or waits for a processor, `S` sleeps, `D` waits for a device, `T` is suspended.
    state: char,
    /// Kernel function in which the thread waits.
    waits_in: Box<str>,
    /// Time on a processor.
    ran: Duration,
    /// Time of waiting for a processor.
    waited: Duration,
}

/// Starts a thread that ends the process a time after SIGTERM, if the process has not ended by then.
///
/// # Errors
///
/// The thread, its runtime or its signal handler cannot be created.
pub fn enforce_deadline(limit: Duration) -> io::Result<()> {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let mut terminate = {
        let _entered = runtime.enter();
        unix::signal(unix::SignalKind::terminate())?
    };
    thread::Builder::new()
        .name("stop".to_owned())
        .spawn(move || {
            let before = runtime.block_on(async {
                terminate.recv().await;
                let before = thread_states();
                tokio::time::sleep(limit).await;
                before
            });
            report_overdue(before);
            process::exit(OVERDUE_EXIT_STATUS);
        })?;
    Ok(())
}

/// Logs what the threads do, and have done since SIGTERM. The log may be what blocks them, so another thread does this, and is
/// not waited for long.
fn report_overdue(before: sorted::Map<ThreadId, ThreadState>) {
    let (sender, reported) = mpsc::channel();
    let report = thread::Builder::new().name("report".to_owned());
    let spawned = report.spawn(move || {
        let describe = |(id, now): (ThreadId, &ThreadState)| {
            let (ran, waited) = before
                .get(id)
                .map_or_else(Default::default, |then| (then.ran, then.waited));
            format!(
                "{}:{}:{}:ran_ms={}:waited_ms={}",
                now.name,
                now.state,
                now.waits_in,
                now.ran.saturating_sub(ran).as_millis(),
                now.waited.saturating_sub(waited).as_millis()
            )
        };
        let threads: Vec<String> = thread_states().iter().map(describe).collect();
        log::error!("event=stop_overdue threads=\"{}\"", threads.join(" "));
        logging::flush();
        let _ = sender.send(());
    });
    if spawned.is_ok() {
        let _ = reported.recv_timeout(REPORT_TIMEOUT);
    }
}

/// Returns the states of the threads of the process by their ids. What cannot be read is left empty.
fn thread_states() -> sorted::Map<ThreadId, ThreadState> {
    let mut states = sorted::Map::default();
    let Ok(threads) = fs::read_dir("/proc/self/task") else {
        return states;
    };
    for thread in threads.flatten() {
        let Some(id) = thread.file_name().to_str().and_then(|id| id.parse().ok()) else {
            continue;
        };
        let read = |file| fs::read_to_string(thread.path().join(file)).unwrap_or_default();
        let (stat, times) = (read("stat"), read("schedstat"));
        let state = stat
            .rsplit_once(") ")
            .and_then(|(_, fields)| fields.chars().next());
        let mut times = times
            .split_whitespace()
            .map(|nanos| Duration::from_nanos(nanos.parse().unwrap_or_default()));
        let state = ThreadState {
            name: read("comm").trim().into(),
            state: state.unwrap_or('?'),
            waits_in: read("wchan").into(),
            ran: times.next().unwrap_or_default(),
            waited: times.next().unwrap_or_default(),
        };
        states.insert(id, state);
    }
    states
}
