//! Simulates one database group, its proxies and the platform's claim row on a virtual clock. The proxies are
//! real reducers; everything around them is a small fake.

// Each test and example uses only a part of the module.
#![allow(dead_code)]

pub mod member;
pub mod network;
pub mod platform;
pub mod run;
pub mod shell;
pub mod world;
