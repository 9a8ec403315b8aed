//! Helpers for tests that run a platform, members and proxies, each as a process.
#![allow(dead_code)]

pub mod document;
pub mod load;
pub mod process;
pub mod standin;
pub mod system;
pub mod wait;
