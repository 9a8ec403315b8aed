//! Timer with a finer resolution than tokio's timer, whose ticks are 1 ms apart.

use std::io;
use std::sync;
use std::time::Instant;

use tokio::sync::oneshot;

struct Wait {
    due: Instant,
    wake: oneshot::Sender<()>,
}

#[derive(Default)]
struct State {
    /// Waits in descending order of due time, so that the last is due first.
    waits: Vec<Wait>,
    stopped: bool,
}

#[derive(Default)]
struct Inner {
    state: sync::Mutex<State>,
    changed: sync::Condvar,
}

/// Thread that wakes tasks at their deadlines.
pub struct Timer {
    inner: sync::Arc<Inner>,
}

impl Timer {
    /// Starts the timer thread.
    pub fn start() -> io::Result<Self> {
        let inner = sync::Arc::<Inner>::default();
        let thread_inner = sync::Arc::clone(&inner);
        std::thread::Builder::new()
            .name("timer".into())
            .spawn(move || thread_inner.run())?;
        Ok(Self { inner })
    }

    /// Waits until the deadline.
    pub async fn sleep_until(&self, due: Instant) {
        if due <= Instant::now() {
            return;
        }
        let (wake, woken) = oneshot::channel();
        self.inner.add(Wait { due, wake });
        // An error would mean that the timer was dropped, but it outlives the tasks that wait for it.
        let _ = woken.await;
    }
}

impl Drop for Timer {
    fn drop(&mut self) {
        self.inner.state().stopped = true;
        self.inner.changed.notify_one();
    }
}

impl Inner {
    fn add(&self, wait: Wait) {
        let mut state = self.state();
        let index = state.waits.partition_point(|other| other.due >= wait.due);
        let is_earliest = index == state.waits.len();
        state.waits.insert(index, wait);
        if is_earliest {
            self.changed.notify_one();
        }
    }

    fn run(&self) {
        let mut state = self.state();
        while !state.stopped {
            state = match state.waits.last().map(|next| next.due) {
                None => self.changed.wait(state).expect(LOCK_NOT_POISONED),
                Some(due) if due > Instant::now() => {
                    let remaining = due.saturating_duration_since(Instant::now());
                    self.changed
                        .wait_timeout(state, remaining)
                        .expect(LOCK_NOT_POISONED)
                        .0
                }
                Some(_) => {
                    if let Some(wait) = state.waits.pop() {
                        // The waiting task may have been dropped.
                        let _ = wait.wake.send(());
                    }
                    state
                }
            };
        }
    }

    fn state(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().expect(LOCK_NOT_POISONED)
    }
}

const LOCK_NOT_POISONED: &str = "no holder of the lock panics";
