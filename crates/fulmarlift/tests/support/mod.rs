//! A group, a platform and proxies as processes of their own.
#![allow(dead_code)]

pub mod document;
pub mod load;
pub mod process;
pub mod standin;
pub mod system;
pub mod wait;
