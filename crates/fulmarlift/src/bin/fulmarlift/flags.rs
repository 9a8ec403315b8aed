//! Command line of the operators' command.

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Checks, publishes and shows the configuration, and queries the status of proxies.
    ///
    /// Exit status: 0 done, 1 refused or failed, 2 wrong usage. Log lines go to standard error; the variable
    /// FULMARLIFT_LOG sets their level (error, warn, info, debug).
    cmd fulmarlift {
        /// Print JSON instead of text.
        optional --json
        /// URL of the platform, such as http://127.0.0.1:7070 (or the variable FULMARLIFT_PLATFORM).
        optional --platform url: String

        /// Print the version, when no subcommand is given.
        default cmd about {
            /// Print the version.
            optional --version
        }

        /// Check a configuration and print all findings.
        cmd check {
            /// Configuration file; /dev/stdin for standard input.
            optional file: PathBuf
            /// Print the JSON Schema of configurations instead.
            optional --schema
        }

        /// Run a platform, a group of three members and two proxies in this process, and check session consistency.
        cmd demo {
            /// Serve until SIGTERM instead of running the checks.
            optional --serve
            /// Address of the first proxy, IP:PORT; the second proxy takes the next port (any free ports when not given).
            optional --listen address: SocketAddr
        }

        /// Put load on proxies that run on this machine, and check that sessions read their own writes.
        cmd load {
            /// Address of a proxy for callers, a loopback IP:PORT; may be repeated.
            repeated --proxy address: SocketAddr
            /// Caller to log in as, without a password (courier when not given).
            optional --caller name: String
            /// Service to connect to (ledger when not given).
            optional --service name: String
            /// Number of sessions (50 when not given).
            optional --sessions count: u32
            /// Requests per second over all sessions (200 when not given).
            optional --rate per_second: f64
            /// Length of the load in seconds (10 when not given).
            optional --seconds seconds: u64
            /// Share of requests that write (0.2 when not given).
            optional --write-share share: f64
            /// Share of sessions that send their token (0.5 when not given).
            optional --token-share share: f64
            /// Share of requests before which the session moves to another proxy (0.1 when not given).
            optional --roam-share share: f64
            /// Seed of the random numbers (1 when not given).
            optional --seed seed: u64
        }

        /// Run one policy experiment on a virtual clock and print its figures as JSON.
        cmd experiment {
            /// Profile of the load: petra or abyrgdarpostur.
            required profile: String
            /// Send every request to the primary, as a baseline.
            optional --naive
            /// Seed of the random numbers (1 when not given).
            optional --seed seed: u64
            /// Length of the measurement in seconds (20 when not given).
            optional --seconds seconds: u64
            /// Load as a multiple of the profile's load.
            optional --load load: f64
            /// Number of proxies (8 when not given).
            optional --proxies count: usize
            /// Fault: lag, rush, kill-primary, kill-proxy, silence or leaving; may be repeated.
            repeated --fault name: String
        }

        /// Run one policy experiment, and write a page and a plot of both measures over time.
        cmd report {
            /// Profile of the load: petra or abyrgdarpostur.
            required profile: String
            /// Folder to write PROFILE.md and PROFILE.svg to.
            required --out folder: PathBuf
            /// Seed of the random numbers (1 when not given).
            optional --seed seed: u64
            /// Length of the measurement in seconds (20 when not given).
            optional --seconds seconds: u64
            /// Fault: lag, rush, kill-primary, kill-proxy, silence or leaving; may be repeated.
            repeated --fault name: String
        }

        /// Check a configuration and make it the version in force.
        cmd submit {
            /// Configuration file; /dev/stdin for standard input.
            required file: PathBuf
            /// Version that the file is based on, which must be in force; 0 for the first version.
            required --base version: u64
            /// Name of the submitter in the audit trail (or the variables FULMARLIFT_WHO, USER).
            optional --who name: String
        }

        /// Show the configuration in force, or another version.
        cmd show {
            /// Version to show (the one in force when not given).
            optional --version version: u64
        }

        /// Show who changed the configuration, when and how, and which proxies claimed terms, newest first.
        cmd audit {
            /// Maximum number of changes and claims to show (20 when not given).
            optional --limit count: u32
        }

        /// Show the status of a proxy: groups, terms, positions, lag, connections, other proxies.
        cmd status {
            /// URL of the proxy's admin port, such as http://127.0.0.1:9090 (or the variable FULMARLIFT_PROXY).
            optional --proxy url: String
        }

        /// Show to which member a proxy would send a statement, and why.
        cmd explain {
            /// SQL statement to explain.
            required sql: String
            /// URL of the proxy's admin port, such as http://127.0.0.1:9090 (or the variable FULMARLIFT_PROXY).
            optional --proxy url: String
            /// Service for which the statement is sent.
            required --service name: String
        }
    }
}
