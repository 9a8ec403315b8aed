//! Experiments that measure routing policies. A routing policy chooses the member that serves a request. The reducers
//! of all proxies of one database group run on a virtual clock; their callers, the members, the network and the
//! platform are simulated.

mod caller;
mod clock;
mod member;
mod network;
mod options;
mod profile;
mod proxy;
mod report;
mod store;
mod tally;
mod world;

use fulmarlift_core::route;

pub use options::{Fault, Options, PolicyName, Window};
pub use profile::{Domain, Profile};
pub use report::{Latency, Report, Second, Violation};

/// Runs one experiment and returns its measurements. The same arguments give the same report.
pub fn run(profile: &Profile, options: &Options) -> Report {
    match options.policy {
        PolicyName::AlwaysPrimary => run_with(profile, options, route::AlwaysPrimary),
        PolicyName::Nearest => run_with(profile, options, route::Nearest),
    }
}

/// Runs one experiment with the given policy in place of that in `options`.
pub fn run_with<P: route::Policy + Copy>(
    profile: &Profile,
    options: &Options,
    policy: P,
) -> Report {
    let mut world = world::World::new(profile, options, policy);
    world.run();
    world.into_report()
}
