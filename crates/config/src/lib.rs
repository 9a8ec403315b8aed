//! Configuration model, builder, schema and checks.

pub mod model;
