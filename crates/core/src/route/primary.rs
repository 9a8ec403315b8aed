//! A policy without read routing, as the baseline for comparing other policies.

use crate::route::{Choice, Policy, RoutingInput};

/// Sends every request to the primary.
#[derive(Clone, Copy, Debug, Default)]
pub struct AlwaysPrimary;

impl Policy for AlwaysPrimary {
    fn name(&self) -> &'static str {
        "always-primary"
    }

    fn choose(&self, input: &RoutingInput<'_>) -> Choice {
        match input.primary() {
            Some(primary) => Choice::Member(primary.member),
            None => Choice::Park,
        }
    }
}
