//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Checks, publishes and shows the configuration, and asks proxies what they see.
    ///
    /// Exit status: 0 done, 1 refused or failed, 2 wrong usage. Log lines go to standard error; the variable
    /// FULMARLIFT_LOG sets their level (error, warn, info, debug).
    cmd fulmarlift {
        /// Print JSON, for programs.
        optional --json
        /// The platform, such as http://127.0.0.1:7070 (or the variable FULMARLIFT_PLATFORM).
        optional --platform url: String

        /// Print the version, when no subcommand is given.
        default cmd about {
            /// Print the version.
            optional --version
        }

        /// Check a configuration and print all findings.
        cmd check {
            /// The file; /dev/stdin for standard input.
            optional file: PathBuf
            /// Print the JSON Schema of configurations instead.
            optional --schema
        }

        /// Run a platform, a group of three members and two proxies in this process, and show what holds.
        cmd demo {
            /// Stay up until SIGTERM instead of running the tour.
            optional --serve
            /// Where the first proxy listens, IP:PORT; the second takes the next port. Any free ports when not given.
            optional --listen address: SocketAddr
        }

        /// Put load on proxies that run on this machine, and check that sessions read their own writes.
        cmd load {
            /// A proxy's address for callers, a loopback IP:PORT; may be repeated.
            repeated --proxy address: SocketAddr
            /// Caller that logs in, without a password (courier when not given).
            optional --caller name: String
            /// Service that is asked (ledger when not given).
            optional --service name: String
            /// Number of sessions (50 when not given).
            optional --sessions count: u32
            /// Requests a second over all sessions (200 when not given).
            optional --rate per_second: f64
            /// Seconds during which requests arrive (10 when not given).
            optional --seconds seconds: u64
            /// Share of requests that write (0.2 when not given).
            optional --write-share share: f64
            /// Share of sessions that carry their token (0.5 when not given).
            optional --token-share share: f64
            /// Share of requests before which a session moves to another proxy (0.1 when not given).
            optional --roam-share share: f64
            /// Seed of every random number (1 when not given).
            optional --seed seed: u64
        }

        /// Run one policy experiment on a virtual clock and print its figures as JSON.
        cmd experiment {
            /// Profile: petra or abyrgdarpostur.
            required profile: String
            /// Send every request to the primary.
            optional --naive
            /// Seed (1 when not given).
            optional --seed seed: u64
            /// Seconds measured (20 when not given).
            optional --seconds seconds: u64
            /// Load as a multiple of the profile's.
            optional --load load: f64
            /// Number of proxies (8 when not given).
            optional --proxies count: usize
            /// Fault: lag, rush, kill-primary, kill-proxy, silence or leaving; may be repeated.
            repeated --fault name: String
        }

        /// Run one policy experiment and write a page and a plot of both measures over time.
        cmd report {
            /// Profile: petra or abyrgdarpostur.
            required profile: String
            /// Folder for PROFILE.md and PROFILE.svg.
            required --out folder: PathBuf
            /// Seed (1 when not given).
            optional --seed seed: u64
            /// Seconds measured (20 when not given).
            optional --seconds seconds: u64
            /// Fault: lag, rush, kill-primary, kill-proxy, silence or leaving; may be repeated.
            repeated --fault name: String
        }

        /// Check a configuration and make it the version that is in force.
        cmd submit {
            /// The file; /dev/stdin for standard input.
            required file: PathBuf
            /// The version it is based on, which must be in force; 0 for the first.
            required --base version: u64
            /// Who submits, for the audit trail (or the variables FULMARLIFT_WHO, USER).
            optional --who name: String
        }

        /// Show the configuration in force, or another version.
        cmd show {
            /// The version to show.
            optional --version version: u64
        }

        /// Show who changed the configuration, when and how, and which proxies claimed terms, the newest first.
        cmd audit {
            /// How many changes and claims to show (20 when not given).
            optional --limit count: u32
        }

        /// Show what a proxy sees: groups, terms, positions, lag, connections, other proxies.
        cmd status {
            /// The proxy's admin port, such as http://127.0.0.1:9090 (or the variable FULMARLIFT_PROXY).
            optional --proxy url: String
        }

        /// Show where a proxy would send a statement, and why.
        cmd explain {
            /// The statement.
            required sql: String
            /// The proxy's admin port, such as http://127.0.0.1:9090 (or the variable FULMARLIFT_PROXY).
            optional --proxy url: String
            /// The service that the statement is for.
            required --service name: String
        }
    }
}
