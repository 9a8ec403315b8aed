//! A group, a platform and proxies as processes of their own.
#![allow(dead_code)]

pub mod process;
pub mod system;
