//! PostgreSQL protocol 3 for both sides of the proxy.
//!
//! - [`frame`]: whole protocol messages with their tag, cut and decoded on demand.
//! - [`stream`]: plain or TLS byte streams and a framed reader and writer with lazy buffers.
//! - [`tls`]: TLS acceptors and connectors from PEM files.
//! - [`scram`]: SCRAM-SHA-256 verifiers and the server's side of the exchange.
//! - [`handshake`]: the start of a caller's connection, up to the login.
//! - [`backend`]: connections to database members.
//! - [`member`]: the control functions of a database member.
//! - [`parameter`]: run-time parameters as sorted pairs.
//! - [`class`]: what a statement does, from its SQL text.
//! - [`answer`]: errors and notices that the proxy itself sends.
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
pub mod scram;
pub mod stream;
pub mod tls;
