//! handshake
