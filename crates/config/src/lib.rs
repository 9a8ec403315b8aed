//! Configuration model, builder, schema and checks.
