//! The log: one line an event on standard output, bounded, and never waited for.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

/// Lines that wait to be written; further ones are dropped and counted.
const WAITING_LINES_MAX: usize = 4_096;
/// Lines a second above which lines are dropped and counted: a busy proxy's refusals of a second, at 200 B each.
const LINES_PER_S_MAX: u32 = 400;

/// Lines that have been handed over and not yet written.
static WAITING: AtomicU64 = AtomicU64::new(0);
/// Longest time that the end of the process waits for its last lines.
const FLUSH_FOR: Duration = Duration::from_millis(100);
/// Pause between two looks whether they are written.
const FLUSH_POLL: Duration = Duration::from_millis(2);
/// Lines that were dropped since the last line that said so.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Starts the log. `RUST_LOG` sets the level, `info` by default.
pub fn init() {
    let (sender, receiver) = sync_channel(WAITING_LINES_MAX);
    let spawned = thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&receiver));
    let target = match spawned {
        Ok(_) => env_logger::Target::Pipe(Box::new(Queue::new(sender))),
        Err(error) => {
            eprintln!("fulmarlift: no thread for the log, which is written directly: {error}");
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
}

/// Waits a little until the lines so far are written; for the end of the process only.
pub fn flush() {
    let until = Instant::now() + FLUSH_FOR;
    while WAITING.load(Ordering::Acquire) > 0 && Instant::now() < until {
        thread::sleep(FLUSH_POLL);
    }
}

/// Hands lines to the writing thread.
struct Queue {
    sender: SyncSender<Vec<u8>>,
    second_began: Instant,
    lines: u32,
}

impl Queue {
    fn new(sender: SyncSender<Vec<u8>>) -> Self {
        Self {
            sender,
            second_began: Instant::now(),
            lines: 0,
        }
    }

    fn within_rate(&mut self) -> bool {
        if self.second_began.elapsed().as_secs() >= 1 {
            self.second_began = Instant::now();
            self.lines = 0;
        }
        self.lines += 1;
        self.lines <= LINES_PER_S_MAX
    }
}

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        WAITING.fetch_add(1, Ordering::AcqRel);
        let dropped = !self.within_rate()
            || matches!(
                self.sender.try_send(line.to_vec()),
                Err(TrySendError::Full(_) | TrySendError::Disconnected(_))
            );
        if dropped {
            WAITING.fetch_sub(1, Ordering::AcqRel);
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(receiver: &Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    while let Ok(mut line) = receiver.recv() {
        let mut lines = 1;
        // One system call for all lines that wait.
        while let Ok(next) = receiver.try_recv() {
            line.extend(next);
            lines += 1;
        }
        let dropped = DROPPED.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            line.extend(format!("level=WARN event=log_dropped lines={dropped}\n").as_bytes());
        }
        if out.write_all(&line).and_then(|()| out.flush()).is_err() {
            // Nobody reads the log any more, and there is nowhere to say so.
            return;
        }
        WAITING.fetch_sub(lines, Ordering::AcqRel);
    }
}
