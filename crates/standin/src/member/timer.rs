//! A timer that is finer than the runtime's, whose ticks are a millisecond apart.

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
    /// The next to wake is the last.
    waits: Vec<Wait>,
    stopped: bool,
}

#[derive(Default)]
struct Inner {
    state: sync::Mutex<State>,
    changed: sync::Condvar,
}

/// A thread that wakes tasks when they are due.
pub struct Timer {
    inner: sync::Arc<Inner>,
}

impl Timer {
    /// Starts a timer.
    pub fn start() -> io::Result<Self> {
        let inner = sync::Arc::<Inner>::default();
        let thread_inner = sync::Arc::clone(&inner);
        std::thread::Builder::new()
            .name("timer".into())
            .spawn(move || thread_inner.run())?;
        Ok(Self { inner })
    }

    /// Waits until a deadline.
    pub async fn sleep_until(&self, due: Instant) {
        if due <= Instant::now() {
            return;
        }
        let (wake, woken) = oneshot::channel();
        self.inner.add(Wait { due, wake });
        // The timer outlives the tasks that wait for it, so that an error has no one to see it.
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
        let place = state.waits.partition_point(|other| other.due >= wait.due);
        let is_next = place == state.waits.len();
        state.waits.insert(place, wait);
        if is_next {
            self.changed.notify_one();
        }
    }

    fn run(&self) {
        let mut state = self.state();
        while !state.stopped {
            state = match state.waits.last().map(|next| next.due) {
                None => self.changed.wait(state).expect(NO_PANIC),
                Some(due) if due > Instant::now() => {
                    let left = due.saturating_duration_since(Instant::now());
                    self.changed.wait_timeout(state, left).expect(NO_PANIC).0
                }
                Some(_) => {
                    if let Some(wait) = state.waits.pop() {
                        // A task that was dropped is not there to wake.
                        let _ = wait.wake.send(());
                    }
                    state
                }
            };
        }
    }

    fn state(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().expect(NO_PANIC)
    }
}

const NO_PANIC: &str = "no holder of the lock panics";
