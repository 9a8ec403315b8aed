//! Bounds over all clients of a process, derived from the memory and the file descriptors that it may use.

/// File descriptors that the platform reserves for files.
const FILE_DESCRIPTORS: usize = 200;
/// Share of the other descriptors for callers. A quarter is left for members, homes and the store, and 1/16 for the listeners and as a
/// margin for connections that are being closed.
const CALLERS_SHARE: Share = Share(6, 16);
/// Share for proxies that forward statements.
const PEERS_SHARE: Share = Share(4, 16);
/// Share for proxies on the port for updates.
const UPDATES_SHARE: Share = Share(1, 16);
/// Most connections of readiness checks, and of readers of the metrics: a load balancer and its spares need one each.
const HTTP_CONNECTIONS_MAX: usize = 32;
/// Share of the descriptors for each of these two, where there are few.
const HTTP_SHARE: Share = Share(1, 64);

/// Share of the memory for each kind of bytes that callers make the process keep.
const CALLERS_BYTES_SHARE: Share = Share(1, 10);
/// The same for proxies that forward statements.
const PEERS_BYTES_SHARE: Share = Share(1, 20);
/// Least bytes for messages: a frame of a forwarding proxy is 2 MiB long, and its buffer up to twice as large.
const MESSAGE_BYTES_MIN: usize = 6 << 20;
/// Least bytes for answers: one is at most 4 MiB long.
const ANSWER_BYTES_MIN: usize = 6 << 20;
/// Least bytes for session values and prepared statements: each at most 1 MiB, counted twice.
const STATE_BYTES_MIN: usize = 4 << 20;
/// Share of the memory that callers' sessions take by themselves.
const SESSIONS_BYTES_SHARE: Share = Share(1, 5);
/// Memory of an idle session. A session with 1 KB of state takes less.
const SESSION_BYTES: usize = 24 << 10;

/// A fraction, as numerator and denominator.
#[derive(Clone, Copy, Debug)]
struct Share(usize, usize);

impl Share {
    fn of(self, whole: usize) -> usize {
        whole / self.1 * self.0
    }
}

/// Memory and file descriptors that the process may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct VmResources {
    /// Memory in bytes.
    pub memory_bytes: usize,
    /// Number of file descriptors, those for files included.
    pub descriptors: usize,
}

impl Default for VmResources {
    /// Returns more than clients inside the documented limits need, for settings without limits.
    fn default() -> Self {
        Self {
            memory_bytes: 4 << 30,
            descriptors: 65_536,
        }
    }
}

/// Bounds over all sessions of one kind of client.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PoolBounds {
    /// Most connections.
    pub connections: usize,
    /// Most bytes of messages that are unfinished or wait for their answer.
    pub message_bytes: usize,
    /// Most bytes of answers that the clients have not read.
    pub answer_bytes: usize,
    /// Most bytes of session values and prepared statements.
    pub state_bytes: usize,
}

/// Bounds of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bounds {
    /// Callers.
    pub callers: PoolBounds,
    /// Proxies that forward statements. They have bounds of their own, so that callers do not crowd them out.
    pub peers: PoolBounds,
    /// Proxies on the port for updates, of which only the number of connections is bounded.
    pub updates: PoolBounds,
    /// Most connections on the readiness port, and on that of the metrics.
    pub http_connections: usize,
}

impl Bounds {
    /// Derives the bounds of a process.
    pub fn new(vm_resources: VmResources) -> Self {
        let sockets = vm_resources.descriptors.saturating_sub(FILE_DESCRIPTORS);
        let pool = |connections: usize, share: Share| {
            let bytes = share.of(vm_resources.memory_bytes);
            PoolBounds {
                connections: connections.max(1),
                message_bytes: bytes.max(MESSAGE_BYTES_MIN),
                answer_bytes: bytes.max(ANSWER_BYTES_MIN),
                state_bytes: bytes.max(STATE_BYTES_MIN),
            }
        };
        let sessions_max = SESSIONS_BYTES_SHARE.of(vm_resources.memory_bytes) / SESSION_BYTES;
        let callers = CALLERS_SHARE.of(sockets).min(sessions_max);
        Self {
            callers: pool(callers, CALLERS_BYTES_SHARE),
            peers: pool(PEERS_SHARE.of(sockets).min(sessions_max), PEERS_BYTES_SHARE),
            updates: pool(UPDATES_SHARE.of(sockets), PEERS_BYTES_SHARE),
            http_connections: HTTP_SHARE.of(sockets).clamp(1, HTTP_CONNECTIONS_MAX),
        }
    }
}
