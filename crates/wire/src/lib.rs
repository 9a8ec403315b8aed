//! PostgreSQL protocol streams, statement classes and SCRAM.
