//! Policies measured: the reducers of all proxies of one database group, with small fakes at their
//! interfaces, on a virtual clock.

mod caller;
mod clock;
mod link;
mod member;
mod node;
mod options;
mod profile;
mod report;
mod store;
mod tally;
mod world;

use fulmarlift_core::route;

pub use options::{Fault, Options, PolicyName, Window};
pub use profile::{Domain, Profile};
pub use report::{Broken, Latency, Report, Second};

/// Runs one experiment and reports what was measured. The same arguments give the same report.
pub fn run(profile: &Profile, options: &Options) -> Report {
    match options.policy {
        PolicyName::AlwaysPrimary => run_with(profile, options, route::AlwaysPrimary),
        PolicyName::Nearest => run_with(profile, options, route::Nearest),
    }
}

/// Runs one experiment with a policy of the caller's own.
pub fn run_with<P: route::Policy + Copy>(
    profile: &Profile,
    options: &Options,
    policy: P,
) -> Report {
    let mut world = world::World::new(profile, options, policy);
    world.run();
    world.into_report()
}
