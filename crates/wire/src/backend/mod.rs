//! backend
