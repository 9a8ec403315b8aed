//! Tokio shell that runs the effects of the reducer.
