//! Facade
