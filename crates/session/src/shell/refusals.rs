//! Log lines and metrics of connections between proxies that one end has refused.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::clock;
use crate::deployment::Deployment;
use crate::logging;
use crate::peer::greeting;
use crate::shell;

/// Time for which lines are counted together.
const LOG_PERIOD: Duration = Duration::from_secs(1);
/// Most lines in that time: whoever takes a proxy's port for another one may try again and again.
const LINES_PER_PERIOD_MAX: u32 = 8;

/// Counts the lines of refused connections, so that they do not crowd out others.
#[derive(Debug, Default)]
pub(super) struct RefusalLog {
    period_ends_at: Cell<Option<Instant>>,
    lines: Cell<u32>,
    /// Refusals since the last line that have none.
    unlogged: Cell<u64>,
}

impl RefusalLog {
    /// Returns whether a refusal gets a line, and how many have had none since the last line.
    fn admit(&self, now: Instant) -> Option<u64> {
        if self.period_ends_at.get().is_none_or(|end| end <= now) {
            self.period_ends_at.set(Some(now + LOG_PERIOD));
            self.lines.set(0);
        }
        if self.lines.get() >= LINES_PER_PERIOD_MAX {
            self.unlogged.set(self.unlogged.get() + 1);
            return None;
        }
        self.lines.set(self.lines.get() + 1);
        Some(self.unlogged.take())
    }
}

impl<D: Deployment> shell::Shell<D> {
    /// Logs and counts a connection of another proxy that this one refuses. `meant` is the name in its greeting.
    pub(crate) fn record_refused_asker(
        &self,
        address: Option<SocketAddr>,
        meant: Option<&str>,
        refusal: &greeting::Refusal,
    ) {
        let asker = refusal.from.vm_name.as_deref();
        let names = [asker, meant, Some(self.vm_name())];
        self.record_refusal("accept", names, address, refusal);
    }

    /// Logs and counts a connection to the proxy of the VM `meant` that one of the two ends refuses.
    pub(crate) fn record_refused_peer(
        &self,
        address: SocketAddr,
        meant: &str,
        refusal: &greeting::Refusal,
    ) {
        let answering = refusal.from.vm_name.as_deref();
        let names = [Some(self.vm_name()), Some(meant), answering];
        self.record_refusal("connect", names, Some(address), refusal);
    }

    fn record_refusal(
        &self,
        side: &'static str,
        names: [Option<&str>; 3],
        address: Option<SocketAddr>,
        refusal: &greeting::Refusal,
    ) {
        let reason = refusal.reason.name();
        metrics::counter!("fulmarlift_peers_refused_total", "side" => side, "reason" => reason)
            .increment(1);
        let Some(unlogged) = self.refusal_log.admit(clock::now()) else {
            return;
        };
        let [asker, meant, answering] =
            names.map(|name| logging::field(name.unwrap_or("-").as_bytes()));
        let text = |value: Option<String>| value.unwrap_or_else(|| "-".to_owned());
        let address = text(address.map(|address| address.to_string()));
        let version = text(refusal.from.version.map(|version| version.to_string()));
        log::warn!(
            "event=peer_refused side={side} from={asker} meant={meant} at={answering} address={address} version={version} reason={reason} unlogged={unlogged}"
        );
    }
}
