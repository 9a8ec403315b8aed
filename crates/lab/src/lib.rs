//! Load tool, policy experiments and reports.
