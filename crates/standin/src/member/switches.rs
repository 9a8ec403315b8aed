//! Switches of the member stand-in: delays and injected faults.

use std::io;
use std::str::FromStr;
use std::sync;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use tokio::sync::watch;

use crate::member::timer;

/// Connections that a network cut affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Cut {
    /// No connections.
    #[default]
    None,
    /// Connections between members.
    Peers,
    /// Connections with callers, including control connections.
    Callers,
    /// All connections.
    All,
}

impl Cut {
    /// Returns whether the cut affects connections between members.
    pub fn covers_peers(self) -> bool {
        matches!(self, Cut::Peers | Cut::All)
    }

    /// Returns whether the cut affects connections with callers.
    pub fn covers_callers(self) -> bool {
        matches!(self, Cut::Callers | Cut::All)
    }
}

/// New value of one switch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Switch {
    /// Delay between the commit of an entry on the primary and its application on this member, in ms.
    LagMs(u64),
    /// Delay of each request and each answer, in µs.
    LatencyUs(u64),
    /// Delay of each connection startup, in ms.
    ConnectMs(u64),
    /// Connections that are cut: bytes from and to callers are dropped, replication connections end, and
    /// new connections are closed.
    Cut(Cut),
    /// Stops all processing for this time, in ms.
    FreezeMs(u64),
    /// Drops all bytes on the caller connections that are open now, control connections included; the connections stay
    /// open. New connections are not affected.
    Silent,
    /// Number of write commits, from now on, that take effect but whose connection closes without an answer.
    LoseAnswers(u64),
}

/// Unknown switch, or a value that the switch does not accept.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("no switch '{name}' with value '{value}'")]
pub struct SwitchError {
    name: Box<str>,
    value: Box<str>,
}

impl Switch {
    /// Parses the name and value of a switch, as in a call of the SQL function `member_switch`.
    pub fn parse(name: &str, value: &str) -> Result<Self, SwitchError> {
        let switch = match name {
            "lag_ms" => value.parse().ok().map(Switch::LagMs),
            "latency_ms" => latency_us(value).map(Switch::LatencyUs),
            "connect_ms" => value.parse().ok().map(Switch::ConnectMs),
            "cut" => value.parse().ok().map(Switch::Cut),
            "freeze" => value.parse().ok().map(Switch::FreezeMs),
            "lose_answers" => value.parse().ok().map(Switch::LoseAnswers),
            "silent" => Some(Switch::Silent),
            _ => None,
        };
        switch.ok_or_else(|| SwitchError {
            name: name.into(),
            value: value.into(),
        })
    }
}

impl FromStr for Cut {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "none" => Ok(Cut::None),
            "peers" => Ok(Cut::Peers),
            "callers" => Ok(Cut::Callers),
            "all" => Ok(Cut::All),
            _ => Err(()),
        }
    }
}

fn latency_us(value: &str) -> Option<u64> {
    let latency = Duration::try_from_secs_f64(value.parse::<f64>().ok()? / MS_PER_S).ok()?;
    u64::try_from(latency.as_micros()).ok()
}

/// Current values of the switches.
pub struct Switches {
    lag_ms: AtomicU64,
    latency_us: AtomicU64,
    connect_ms: AtomicU64,
    /// Number of times that [`Switch::Silent`] was set. A connection is silent if it was opened at a lower count.
    silence_count: AtomicU64,
    /// Number of commits whose answers are still to be lost.
    lose_answers: AtomicU64,
    cut: watch::Sender<Cut>,
    frozen_until: sync::Mutex<Instant>,
    timer: timer::Timer,
}

impl Switches {
    /// Creates switches with the given delays and no faults.
    pub fn new(lag_ms: u64, latency_us: u64, connect_ms: u64) -> io::Result<Self> {
        Ok(Self {
            lag_ms: AtomicU64::new(lag_ms),
            latency_us: AtomicU64::new(latency_us),
            connect_ms: AtomicU64::new(connect_ms),
            silence_count: AtomicU64::new(0),
            lose_answers: AtomicU64::new(0),
            cut: watch::Sender::new(Cut::None),
            frozen_until: sync::Mutex::new(Instant::now()),
            timer: timer::Timer::start()?,
        })
    }

    /// Sets one switch.
    pub fn set(&self, switch: Switch) {
        match switch {
            Switch::LagMs(value) => self.lag_ms.store(value, Ordering::Relaxed),
            Switch::LatencyUs(value) => self.latency_us.store(value, Ordering::Relaxed),
            Switch::ConnectMs(value) => self.connect_ms.store(value, Ordering::Relaxed),
            Switch::Cut(value) => {
                self.cut.send_replace(value);
            }
            Switch::FreezeMs(value) => {
                *self.lock_frozen_until() = Instant::now() + Duration::from_millis(value);
            }
            Switch::LoseAnswers(value) => self.lose_answers.store(value, Ordering::Relaxed),
            Switch::Silent => {
                self.silence_count.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    /// Returns the delay of each replicated entry.
    pub fn lag(&self) -> Duration {
        Duration::from_millis(self.lag_ms.load(Ordering::Relaxed))
    }

    /// Returns the delay of each request and each answer.
    pub fn latency(&self) -> Duration {
        Duration::from_micros(self.latency_us.load(Ordering::Relaxed))
    }

    /// Returns the delay of each connection startup.
    pub fn connect_time(&self) -> Duration {
        Duration::from_millis(self.connect_ms.load(Ordering::Relaxed))
    }

    /// Returns whether the member must drop the answer to a commit, and counts it as dropped.
    pub fn consume_lost_answer(&self) -> bool {
        let decrement = |count: u64| count.checked_sub(1);
        self.lose_answers
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement)
            .is_ok()
    }

    /// Returns the connections that are cut.
    pub fn cut(&self) -> Cut {
        *self.cut.borrow()
    }

    /// Returns a channel that changes with the cut.
    pub fn watch_cut(&self) -> watch::Receiver<Cut> {
        self.cut.subscribe()
    }

    /// Returns the time until which all processing is frozen; a time in the past when nothing is frozen.
    pub fn frozen_until(&self) -> Instant {
        *self.lock_frozen_until()
    }

    /// Waits while the member is frozen.
    pub async fn wait_while_frozen(&self) {
        while self.frozen_until() > Instant::now() {
            self.sleep_until(self.frozen_until()).await;
        }
    }

    /// Waits until the deadline.
    pub async fn sleep_until(&self, deadline: Instant) {
        self.timer.sleep_until(deadline).await;
    }

    fn lock_frozen_until(&self) -> sync::MutexGuard<'_, Instant> {
        self.frozen_until
            .lock()
            .expect("no holder of the lock panics")
    }
}

/// Effect of the switches on one caller's connection.
pub struct Link {
    switches: sync::Arc<Switches>,
    silence_count_at_open: u64,
    exempt: AtomicBool,
    dropped_bytes: AtomicBool,
}

impl Link {
    /// Creates the link of a newly opened connection.
    pub fn new(switches: sync::Arc<Switches>) -> Self {
        let silence_count_at_open = switches.silence_count.load(Ordering::Relaxed);
        Self {
            switches,
            silence_count_at_open,
            exempt: AtomicBool::new(false),
            dropped_bytes: AtomicBool::new(false),
        }
    }

    /// Exempts the connection from cuts and silence, so that it can reset the switches.
    pub fn exempt(&self) {
        self.exempt.store(true, Ordering::Relaxed);
    }

    /// Returns whether the connection drops bytes now, and records that it did.
    pub fn should_drop_bytes(&self) -> bool {
        if self.exempt.load(Ordering::Relaxed) {
            return false;
        }
        if !self.is_silent() && !self.switches.cut().covers_callers() {
            return false;
        }
        self.dropped_bytes.store(true, Ordering::Relaxed);
        true
    }

    /// Returns whether the connection dropped bytes in a cut that has ended. Such a connection must close.
    pub fn is_broken(&self) -> bool {
        self.dropped_bytes.load(Ordering::Relaxed)
            && !self.is_silent()
            && !self.switches.cut().covers_callers()
    }

    fn is_silent(&self) -> bool {
        self.silence_count_at_open < self.switches.silence_count.load(Ordering::Relaxed)
    }
}

const MS_PER_S: f64 = 1000.0;
