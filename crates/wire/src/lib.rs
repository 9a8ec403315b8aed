//! PostgreSQL protocol 3 for both sides of the proxy.
//!
//! *Callers* are the clients of the proxy. *Members* are the database servers that the proxy connects to; they form
//! *groups*, of one primary and the replicas of its log. The modules that need nothing but the protocol call them
//! databases.
//!
//! - [`frame`]: splits byte streams into protocol messages and decodes them on demand.
//! - [`stream`]: plain and TLS byte streams, and a framed reader and writer that has no buffers while idle.
//! - [`tls`]: TLS acceptors and connectors configured from PEM files.
//! - [`scram`]: SCRAM-SHA-256 verifiers and the server side of the exchange.
//! - [`handshake`]: TLS, startup and login on connections from callers.
//! - [`backend`]: connections from the proxy to database members.
//! - [`member`]: calls of a database member's control functions.
//! - [`parameter`]: run-time parameters as sorted name and value pairs.
//! - [`quote`]: quotes texts for SQL.
//! - [`class`]: classifies SQL statements as reads, writes, transaction control and session commands.
//! - [`statement`]: names of prepared statements on connections to databases.
//! - [`answer`]: errors and notices that the proxy itself creates.
//!
//! ```
//! use fulmarlift_wire::class;
//!
//! let statements = class::classify("BEGIN READ ONLY; SELECT id FROM handover");
//! assert_eq!(statements[0].kind, class::Kind::Begin { read_only: true });
//! assert_eq!(statements[1].kind, class::Kind::Read);
//! assert_eq!(&*statements[1].tables[0], "handover");
//! ```

pub mod answer;
pub mod backend;
pub mod class;
pub mod frame;
pub mod handshake;
pub mod member;
pub mod parameter;
pub mod quote;
pub mod scram;
pub mod statement;
pub mod stream;
pub mod tls;
