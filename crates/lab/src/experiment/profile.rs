//! Profiles: one database group, with its load, of each of the two deployments that the project is built for.

use std::time::Duration;

use serde::Serialize;

/// A failure domain.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Domain {
    /// Name of the failure domain.
    pub name: &'static str,
    /// Name of the region that the failure domain is part of.
    pub region: &'static str,
    /// Share of the proxies that run in the failure domain.
    pub proxy_share: f64,
}

/// A database group of a deployment, and the load on it.
#[derive(Clone, Debug, Serialize)]
pub struct Profile {
    /// Name of the deployment.
    pub name: &'static str,
    /// Failure domains. One member of the group runs in each; the primary and the platform's store are in the first.
    pub domains: [Domain; 3],
    /// One-way latency within a failure domain.
    pub domain_latency: Duration,
    /// One-way latency between failure domains of one region.
    pub region_latency: Duration,
    /// One-way latency between regions.
    #[serde(rename = "far_latency")]
    pub cross_region_latency: Duration,
    /// One-way latency between callers and proxies.
    pub caller_latency: Duration,
    /// Capacity of the link between regions in each direction.
    pub link_bits_per_second: f64,
    /// Number of statements that a member runs at a time.
    pub slots: usize,
    /// Number of connections that a member accepts.
    pub connections: u32,
    /// Time that a member takes to open a connection, without the latency.
    pub connect_time: Duration,
    /// Mean run time of a statement; the times are exponentially distributed.
    pub service_time: Duration,
    /// Mean time from the arrival of a log entry at a replica until the replica applies it; the times are
    /// exponentially distributed.
    pub apply_delay: Duration,
    /// Mean rate of requests to the whole group; the arrivals are a Poisson process.
    pub requests_per_second: f64,
    /// Share of requests that write; the others read.
    pub write_share: f64,
    /// Share of sessions that carry a token.
    pub token_share: f64,
    /// Share of requests before which a session moves to another proxy of its failure domain.
    pub roam_share: f64,
    /// Share of acknowledged writes that are followed by a read of the same session.
    #[serde(rename = "follow_share")]
    pub read_after_write_share: f64,
    /// Mean time from the acknowledgement of a write to the read that follows it; the times are exponentially
    /// distributed.
    #[serde(rename = "follow_pause")]
    pub read_after_write_delay: Duration,
    /// Number of sessions at the start; a request that finds no idle session opens another one.
    pub sessions: usize,
    /// Time after its arrival at the proxy until which a request must be answered.
    pub request_timeout: Duration,
    /// Size of a statement in bytes.
    pub statement_bytes: u64,
    /// Size of the answer to a read in bytes.
    pub read_bytes: u64,
    /// Size of a log entry in bytes.
    pub entry_bytes: u64,
}

impl Profile {
    /// Returns the profile with this name, or `None` if there is none.
    pub fn named(name: &str) -> Option<Self> {
        let all = [Self::abyrgdarpostur(), Self::petra()];
        all.into_iter().find(|profile| profile.name == name)
    }

    /// Returns the profile of a carrier of registered letters, which has many writes and few connections.
    pub fn abyrgdarpostur() -> Self {
        Self {
            name: "abyrgdarpostur",
            domains: domains(["rvk-a", "rvk-b", "aey-a"], ["rvk", "aey"]),
            domain_latency: Duration::from_micros(100),
            region_latency: Duration::from_millis(1),
            cross_region_latency: Duration::from_millis(8),
            caller_latency: Duration::from_millis(3),
            link_bits_per_second: 30e6,
            slots: 2,
            connections: 16,
            connect_time: Duration::from_millis(12),
            service_time: Duration::from_millis(2),
            apply_delay: Duration::from_millis(2),
            requests_per_second: 150.0,
            write_share: 0.4,
            token_share: 0.8,
            roam_share: 0.05,
            read_after_write_share: 0.5,
            read_after_write_delay: Duration::from_millis(300),
            sessions: 500,
            request_timeout: Duration::from_secs(10),
            statement_bytes: 400,
            read_bytes: 1_000,
            entry_bytes: 600,
        }
    }

    /// Returns the profile of a template library, which mostly reads.
    pub fn petra() -> Self {
        Self {
            name: "petra",
            domains: domains(["amman-a", "amman-b", "aqaba-a"], ["amman", "aqaba"]),
            region_latency: Duration::from_micros(500),
            slots: 3,
            connections: 40,
            connect_time: Duration::from_millis(30),
            requests_per_second: 300.0,
            write_share: 0.08,
            read_bytes: 8_000,
            entry_bytes: 4_000,
            ..Self::abyrgdarpostur()
        }
    }

    /// Returns the one-way latency between two failure domains, which are given by index.
    pub fn latency(&self, one: usize, other: usize) -> Duration {
        if one == other {
            self.domain_latency
        } else if self.crosses_regions(one, other) {
            self.cross_region_latency
        } else {
            self.region_latency
        }
    }

    /// Returns whether messages between two failure domains cross the link between regions.
    pub fn crosses_regions(&self, one: usize, other: usize) -> bool {
        self.domains[one].region != self.domains[other].region
    }

    /// Returns the mean number of statements per second that one member can run.
    pub fn member_capacity(&self) -> f64 {
        self.slots as f64 / self.service_time.as_secs_f64()
    }

    /// Returns the index of the failure domain in which a proxy runs, out of `proxies` proxies. Consecutive proxies
    /// fill the failure domains in order, each with its share.
    pub fn domain_of_proxy(&self, proxy: usize, proxies: usize) -> usize {
        let fraction = (proxy as f64 + 0.5) / proxies as f64;
        let mut sum = 0.0;
        for (index, domain) in self.domains.iter().enumerate() {
            sum += domain.proxy_share;
            if fraction < sum {
                return index;
            }
        }
        self.domains.len() - 1
    }
}

/// Returns three failure domains, of which the first two are in the first region. Each has a third of the proxies.
fn domains(names: [&'static str; 3], regions: [&'static str; 2]) -> [Domain; 3] {
    let domain = |index: usize, region: usize| Domain {
        name: names[index],
        region: regions[region],
        proxy_share: 1.0 / 3.0,
    };
    [domain(0, 0), domain(1, 0), domain(2, 1)]
}
