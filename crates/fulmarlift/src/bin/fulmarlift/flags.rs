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
