//! Stand-ins for a database member and the platform.
