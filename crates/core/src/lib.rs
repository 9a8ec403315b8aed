//! Coordination decisions of fulmarlift as one reducer, without I/O.
