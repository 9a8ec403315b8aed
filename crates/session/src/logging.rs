//! The log: one line for each event on standard output, written by a thread of its own.
//!
//! Logging does not block the proxy: lines beyond the queue's length or the rate limit are dropped and counted. Only if
//! the thread cannot be started are lines written synchronously and without a limit.

use std::borrow::Cow;
use std::fmt::{self, Write as _};
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

/// Length of the queue to the writing thread; further lines are dropped and counted.
const UNWRITTEN_LINES_MAX: usize = 4_096;
/// Rate limit: further lines within a second are dropped and counted. 400 lines of 200 B take the refusals that a
/// busy proxy logs in a second.
const LINES_PER_S_MAX: u32 = 400;

/// Lines that are queued, or that the writing thread has taken from the queue and not yet written.
static UNWRITTEN_LINES: AtomicU64 = AtomicU64::new(0);
/// Longest time for which [`flush`] blocks the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval at which [`flush`] checks whether all lines are written.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Lines dropped since the last `event=log_dropped` line.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Most bytes of a line; the rest is cut off. The queue holds the lines in memory.
const LINE_BYTES_MAX: usize = 4_096;
/// Most bytes of a value that a caller has chosen, as [`field`] writes it, before its escapes.
const FIELD_BYTES_MAX: usize = 64;

/// A value for the log that a caller or another system has chosen, see [`field`].
#[derive(Clone, Copy, Debug)]
pub struct Field<'a>(&'a [u8]);

/// First bytes of a message, kept for the log while the message is decoded.
#[derive(Clone, Copy, Debug)]
pub struct Head {
    bytes: [u8; FIELD_BYTES_MAX],
    length: usize,
}

impl Head {
    /// Copies the first bytes.
    pub fn of(message: &[u8]) -> Self {
        let length = message.len().min(FIELD_BYTES_MAX);
        let mut bytes = [0; FIELD_BYTES_MAX];
        bytes[..length].copy_from_slice(&message[..length]);
        Self { bytes, length }
    }

    /// Returns them as a field of a line.
    pub fn field(&self) -> Field<'_> {
        field(&self.bytes[..self.length])
    }
}

/// Returns a value that stays one field of a line, whatever bytes it has: blanks, quotes, backslashes and bytes that are no
/// printable ASCII are escaped, and a long value is cut off and ends with its length. An empty one is `""`.
pub fn field(bytes: &[u8]) -> Field<'_> {
    Field(bytes)
}

/// Returns a caller's id of a statement as a field of a line; `none` if it is empty.
pub fn request_text(request: &[u8]) -> Cow<'static, str> {
    match request.is_empty() {
        true => Cow::Borrowed("none"),
        false => Cow::Owned(field(request).to_string()),
    }
}

impl fmt::Display for Field<'_> {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return out.write_str("\"\"");
        }
        let shown = &self.0[..self.0.len().min(FIELD_BYTES_MAX)];
        for &byte in shown {
            match byte {
                b'\'' => out.write_char('\'')?,
                b' ' => out.write_str("\\x20")?,
                _ => write!(out, "{}", byte.escape_ascii())?,
            }
        }
        match shown.len() < self.0.len() {
            true => write!(out, "...{}B", self.0.len()),
            false => Ok(()),
        }
    }
}

/// Returns a line with its line end, without any other control character, and of at most 4 KiB.
pub fn bounded_line(line: &[u8]) -> Cow<'_, [u8]> {
    let text = line.strip_suffix(b"\n").unwrap_or(line);
    let is_plain = text.len() < LINE_BYTES_MAX && !text.iter().any(u8::is_ascii_control);
    if is_plain && text.len() < line.len() {
        return Cow::Borrowed(line);
    }
    const CUT_OFF: &[u8] = b" cut_off=true";
    let is_long = text.len() >= LINE_BYTES_MAX;
    let mut shown = text;
    if is_long {
        shown = &text[..LINE_BYTES_MAX - CUT_OFF.len() - 1];
        let is_continuation = |byte: &u8| byte & 0xC0 == 0x80;
        while text.get(shown.len()).is_some_and(is_continuation) {
            shown = &shown[..shown.len() - 1];
        }
    }
    let printable = |&byte: &u8| if byte.is_ascii_control() { b' ' } else { byte };
    let mut bounded: Vec<u8> = shown.iter().map(printable).collect();
    if is_long {
        bounded.extend_from_slice(CUT_OFF);
    }
    bounded.push(b'\n');
    Cow::Owned(bounded)
}

/// Writes the queued lines at the end of the process.
#[derive(Debug)]
pub struct Guard(());

impl Drop for Guard {
    fn drop(&mut self) {
        flush();
    }
}

/// Starts the log, which is written to its end as long as the guard is kept. `RUST_LOG` sets the level, `info` by default.
#[must_use = "without the guard, the last lines are lost"]
pub fn init() -> Guard {
    let (sender, receiver) = sync_channel(UNWRITTEN_LINES_MAX);
    let spawned = thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&receiver));
    let target = match spawned {
        Ok(_) => env_logger::Target::Pipe(Box::new(Queue::new(sender))),
        Err(error) => {
            eprintln!("fulmarlift: cannot start the log thread, logging synchronously: {error}");
            env_logger::Target::Stdout
        }
    };
    let env = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(env)
        .format(|out, record| {
            let time = out.timestamp_millis();
            writeln!(
                out,
                "time={time} level={} {}",
                record.level(),
                record.args()
            )
        })
        .target(target)
        .init();
    log_panics();
    Guard(())
}

/// Logs panics, in place of writing them to the error output, which could block. A panic ends only the task in which it occurs,
/// so the process goes on and the line is its only trace.
fn log_panics() {
    std::panic::set_hook(Box::new(|info| {
        log::error!("event=panicked error=\"{info}\"");
        metrics::counter!("fulmarlift_panics_total").increment(1);
    }));
}

/// Blocks until all queued lines are written, for a short time at most. Only for the end of the process.
pub(crate) fn flush() {
    let deadline = Instant::now() + FLUSH_TIMEOUT;
    while UNWRITTEN_LINES.load(Ordering::Acquire) > 0 && Instant::now() < deadline {
        thread::sleep(FLUSH_POLL_INTERVAL);
    }
}

/// Passes lines to the writing thread, within the rate limit.
struct Queue {
    sender: SyncSender<Vec<u8>>,
    second_started_at: Instant,
    lines_in_second: u32,
}

impl Queue {
    fn new(sender: SyncSender<Vec<u8>>) -> Self {
        Self {
            sender,
            second_started_at: Instant::now(),
            lines_in_second: 0,
        }
    }

    /// Counts a line and returns whether it is within the rate limit.
    fn admits_line(&mut self) -> bool {
        if self.second_started_at.elapsed().as_secs() >= 1 {
            self.second_started_at = Instant::now();
            self.lines_in_second = 0;
        }
        self.lines_in_second += 1;
        self.lines_in_second <= LINES_PER_S_MAX
    }
}

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        UNWRITTEN_LINES.fetch_add(1, Ordering::AcqRel);
        let dropped = !self.admits_line()
            || matches!(
                self.sender.try_send(bounded_line(line).into_owned()),
                Err(TrySendError::Full(_) | TrySendError::Disconnected(_))
            );
        if dropped {
            UNWRITTEN_LINES.fetch_sub(1, Ordering::AcqRel);
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(receiver: &Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    while let Ok(mut batch) = receiver.recv() {
        let mut lines = 1;
        // All queued lines are written together, usually with one system call.
        while let Ok(next) = receiver.try_recv() {
            batch.extend(next);
            lines += 1;
        }
        let dropped = DROPPED_LINES.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            batch.extend(format!("level=WARN event=log_dropped lines={dropped}\n").as_bytes());
        }
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            // Standard output is closed, so that the error cannot be logged either.
            return;
        }
        UNWRITTEN_LINES.fetch_sub(lines, Ordering::AcqRel);
    }
}
