//! The two deployments that the project is built for, as one group of each.

use std::time::Duration;

use serde::Serialize;

/// A failure domain.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Domain {
    /// Its name.
    pub name: &'static str,
    /// Its region.
    pub region: &'static str,
    /// Share of the proxies that run in it.
    pub proxy_share: f64,
}

/// A deployment and its load.
#[derive(Clone, Debug, Serialize)]
pub struct Profile {
    /// Name of the deployment.
    pub name: &'static str,
    /// Failure domains; one member of the group runs in each, the first is the primary, and the
    /// platform's store is in the region of the first.
    pub domains: [Domain; 3],
    /// One way within a failure domain.
    pub domain_latency: Duration,
    /// One way between failure domains of a region.
    pub region_latency: Duration,
    /// One way between regions.
    pub far_latency: Duration,
    /// One way between callers and proxies.
    pub caller_latency: Duration,
    /// Capacity of the link between regions, each way.
    pub link_bits_per_second: f64,
    /// Statements that a member runs at a time.
    pub slots: usize,
    /// Connections that a member admits.
    pub connections: u32,
    /// Time that a member takes to open a connection.
    pub connect_time: Duration,
    /// Mean time that a statement runs, exponentially distributed.
    pub service_time: Duration,
    /// Mean delay of a replica beyond the way of the entry, exponentially distributed.
    pub apply_delay: Duration,
    /// Requests a second for the whole group, Poisson.
    pub requests_per_second: f64,
    /// Share of requests that write.
    pub write_share: f64,
    /// Share of sessions that carry a token.
    pub token_share: f64,
    /// Share of requests for which a session moves to another proxy of its region.
    pub roam_share: f64,
    /// Share of writes after which the session soon reads.
    pub follow_share: f64,
    /// Mean time from such a write to its read, exponentially distributed.
    pub follow_pause: Duration,
    /// Sessions.
    pub sessions: usize,
    /// Time that callers give a request.
    pub request_timeout: Duration,
    /// Size of a statement.
    pub statement_bytes: u64,
    /// Size of a read's answer.
    pub read_bytes: u64,
    /// Size of a log entry.
    pub entry_bytes: u64,
}

impl Profile {
    /// Returns the profile with this name.
    pub fn named(name: &str) -> Option<Self> {
        let all = [Self::abyrgdarpostur(), Self::petra()];
        all.into_iter().find(|profile| profile.name == name)
    }

    /// Returns the profile of a carrier of registered letters: many writes, few connections.
    pub fn abyrgdarpostur() -> Self {
        Self {
            name: "abyrgdarpostur",
            domains: domains(["rvk-a", "rvk-b", "aey-a"], ["rvk", "aey"]),
            domain_latency: Duration::from_micros(100),
            region_latency: Duration::from_millis(1),
            far_latency: Duration::from_millis(8),
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
            follow_share: 0.5,
            follow_pause: Duration::from_millis(300),
            sessions: 500,
            request_timeout: Duration::from_secs(10),
            statement_bytes: 400,
            read_bytes: 1_000,
            entry_bytes: 600,
        }
    }

    /// Returns the profile of a template library: mostly browsing.
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

    /// Returns the one-way latency between two failure domains, by index.
    pub fn latency(&self, one: usize, other: usize) -> Duration {
        if one == other {
            self.domain_latency
        } else if self.crosses(one, other) {
            self.far_latency
        } else {
            self.region_latency
        }
    }

    /// Returns whether the way between two failure domains takes the link between regions.
    pub fn crosses(&self, one: usize, other: usize) -> bool {
        self.domains[one].region != self.domains[other].region
    }

    /// Returns the statements a second that one member can run.
    pub fn member_capacity(&self) -> f64 {
        self.slots as f64 / self.service_time.as_secs_f64()
    }

    /// Returns the failure domain of the proxy with this index among `proxies`.
    pub fn domain_of(&self, proxy: usize, proxies: usize) -> usize {
        let place = (proxy as f64 + 0.5) / proxies as f64;
        let mut sum = 0.0;
        for (index, domain) in self.domains.iter().enumerate() {
            sum += domain.proxy_share;
            if place < sum {
                return index;
            }
        }
        self.domains.len() - 1
    }
}

fn domains(names: [&'static str; 3], regions: [&'static str; 2]) -> [Domain; 3] {
    let domain = |index: usize, region: usize| Domain {
        name: names[index],
        region: regions[region],
        proxy_share: 1.0 / 3.0,
    };
    [domain(0, 0), domain(1, 0), domain(2, 1)]
}
