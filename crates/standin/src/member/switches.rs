//! The switches of the stand-in: delays and faults.

use std::io;
use std::str::FromStr;
use std::sync;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use tokio::sync::watch;

use crate::member::timer;

/// Which connections are cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Cut {
    /// None.
    #[default]
    None,
    /// Those between members.
    Peers,
    /// Those with callers, control connections included.
    Callers,
    /// All.
    All,
}

impl Cut {
    /// Whether it covers the connections between members.
    pub fn covers_peers(self) -> bool {
        matches!(self, Cut::Peers | Cut::All)
    }

    /// Whether it covers the connections with callers.
    pub fn covers_callers(self) -> bool {
        matches!(self, Cut::Callers | Cut::All)
    }
}

/// A change of a switch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Switch {
    /// Delays each replicated entry.
    LagMs(u64),
    /// Delays each request and each answer.
    LatencyUs(u64),
    /// Delays each startup.
    ConnectMs(u64),
    /// Cuts connections.
    Cut(Cut),
    /// Stops all processing for a time.
    FreezeMs(u64),
    /// Makes the connections that are open go silent for good.
    Silent,
    /// Ends the connections of the next commits that wrote without an answer.
    LoseAnswers(u64),
}

/// A switch that is not known, or a value that it does not take.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("no switch '{name}' with value '{value}'")]
pub struct SwitchError {
    name: Box<str>,
    value: Box<str>,
}

impl Switch {
    /// Reads a switch by its name and value, as `member_switch` takes them.
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

/// The switches as they stand.
pub struct Switches {
    lag_ms: AtomicU64,
    latency_us: AtomicU64,
    connect_ms: AtomicU64,
    silences: AtomicU64,
    lose_answers: AtomicU64,
    cut: watch::Sender<Cut>,
    thaw: sync::Mutex<Instant>,
    timer: timer::Timer,
}

impl Switches {
    /// Switches with delays and no faults.
    pub fn new(lag_ms: u64, latency_us: u64, connect_ms: u64) -> io::Result<Self> {
        Ok(Self {
            lag_ms: AtomicU64::new(lag_ms),
            latency_us: AtomicU64::new(latency_us),
            connect_ms: AtomicU64::new(connect_ms),
            silences: AtomicU64::new(0),
            lose_answers: AtomicU64::new(0),
            cut: watch::Sender::new(Cut::None),
            thaw: sync::Mutex::new(Instant::now()),
            timer: timer::Timer::start()?,
        })
    }

    /// Turns a switch.
    pub fn set(&self, switch: Switch) {
        match switch {
            Switch::LagMs(value) => self.lag_ms.store(value, Ordering::Relaxed),
            Switch::LatencyUs(value) => self.latency_us.store(value, Ordering::Relaxed),
            Switch::ConnectMs(value) => self.connect_ms.store(value, Ordering::Relaxed),
            Switch::Cut(value) => {
                self.cut.send_replace(value);
            }
            Switch::FreezeMs(value) => {
                *self.thaw_mut() = Instant::now() + Duration::from_millis(value);
            }
            Switch::LoseAnswers(value) => self.lose_answers.store(value, Ordering::Relaxed),
            Switch::Silent => {
                self.silences.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    /// The delay of each replicated entry.
    pub fn lag(&self) -> Duration {
        Duration::from_millis(self.lag_ms.load(Ordering::Relaxed))
    }

    /// The delay of each request and each answer.
    pub fn latency(&self) -> Duration {
        Duration::from_micros(self.latency_us.load(Ordering::Relaxed))
    }

    /// The delay of each startup.
    pub fn connect_time(&self) -> Duration {
        Duration::from_millis(self.connect_ms.load(Ordering::Relaxed))
    }

    /// Whether the answer of a commit is to be lost; counts it.
    pub fn take_lost_answer(&self) -> bool {
        let less = |count: u64| count.checked_sub(1);
        self.lose_answers
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, less)
            .is_ok()
    }

    /// Which connections are cut.
    pub fn cut(&self) -> Cut {
        *self.cut.borrow()
    }

    /// Changes with the cut.
    pub fn watch_cut(&self) -> watch::Receiver<Cut> {
        self.cut.subscribe()
    }

    /// The time until which all processing stands still; in the past when nothing is frozen.
    pub fn thaw(&self) -> Instant {
        *self.thaw_mut()
    }

    /// Waits while the member is frozen.
    pub async fn wait_thaw(&self) {
        while self.thaw() > Instant::now() {
            self.sleep_until(self.thaw()).await;
        }
    }

    /// Waits until a deadline.
    pub async fn sleep_until(&self, deadline: Instant) {
        self.timer.sleep_until(deadline).await;
    }

    fn thaw_mut(&self) -> sync::MutexGuard<'_, Instant> {
        self.thaw.lock().expect("no holder of the lock panics")
    }
}

/// How the switches bear on one caller's connection.
pub struct Link {
    switches: sync::Arc<Switches>,
    silences_seen: u64,
    exempt: AtomicBool,
    lost: AtomicBool,
}

impl Link {
    /// The link of a connection that opens now.
    pub fn new(switches: sync::Arc<Switches>) -> Self {
        let silences_seen = switches.silences.load(Ordering::Relaxed);
        Self {
            switches,
            silences_seen,
            exempt: AtomicBool::new(false),
            lost: AtomicBool::new(false),
        }
    }

    /// Spares the connection from cuts and silence, so that it can turn the switches back.
    pub fn exempt(&self) {
        self.exempt.store(true, Ordering::Relaxed);
    }

    /// Whether bytes are dropped now; a connection that dropped some is marked.
    pub fn drops(&self) -> bool {
        if self.exempt.load(Ordering::Relaxed) {
            return false;
        }
        if !self.is_silent() && !self.switches.cut().covers_callers() {
            return false;
        }
        self.lost.store(true, Ordering::Relaxed);
        true
    }

    /// Whether the connection dropped bytes in a cut that is over, after which it can't go on.
    pub fn is_broken(&self) -> bool {
        self.lost.load(Ordering::Relaxed)
            && !self.is_silent()
            && !self.switches.cut().covers_callers()
    }

    fn is_silent(&self) -> bool {
        self.silences_seen < self.switches.silences.load(Ordering::Relaxed)
    }
}

const MS_PER_S: f64 = 1000.0;
