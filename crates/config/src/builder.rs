//! Builds a [`model::Document`] in an operator's own program.
//!
//! Each type gathers one part. [`Document::build`] checks the whole, and [`Document::print`] ends a program.

use std::process;

use crate::{check, finding, model, verifier};

/// Exit status of a program whose configuration has findings.
const EXIT_REFUSED: u8 = 1;

/// Gathers a whole configuration.
#[derive(Clone, Debug, Default)]
pub struct Document {
    document: model::Document,
}

/// Gathers a database group.
#[derive(Clone, Debug)]
pub struct Group {
    group: model::Group,
}

/// Gathers a member of a group.
#[derive(Clone, Debug)]
pub struct Member {
    member: model::Member,
}

/// Gathers a read class.
#[derive(Clone, Debug)]
pub struct ReadClass {
    class: model::ReadClass,
}

/// Gathers a service.
#[derive(Clone, Debug)]
pub struct Service {
    service: model::Service,
}

impl Document {
    /// An empty configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a region with its failure domains.
    #[must_use]
    pub fn region<'a>(mut self, name: &str, domains: impl IntoIterator<Item = &'a str>) -> Self {
        let domains = domains.into_iter().map(Into::into).collect();
        self.document.regions.push(model::Region {
            name: name.into(),
            domains,
        });
        self
    }

    /// Adds a database group.
    #[must_use]
    pub fn group(mut self, group: Group) -> Self {
        self.document.groups.push(group.group);
        self
    }

    /// Adds database groups.
    #[must_use]
    pub fn groups(self, groups: impl IntoIterator<Item = Group>) -> Self {
        groups.into_iter().fold(self, Self::group)
    }

    /// Adds a caller with what its login is verified against.
    #[must_use]
    pub fn caller(mut self, name: &str, verifier: verifier::Verifier) -> Self {
        let verifier = verifier.to_string().into();
        self.document.callers.push(model::Caller {
            name: name.into(),
            verifier,
        });
        self
    }

    /// Adds a read class.
    #[must_use]
    pub fn read_class(mut self, class: ReadClass) -> Self {
        self.document.read_classes.push(class.class);
        self
    }

    /// Adds a service.
    #[must_use]
    pub fn service(mut self, service: Service) -> Self {
        self.document.services.push(service.service);
        self
    }

    /// Adds services.
    #[must_use]
    pub fn services(self, services: impl IntoIterator<Item = Service>) -> Self {
        services.into_iter().fold(self, Self::service)
    }

    /// The configuration, once checked.
    ///
    /// # Errors
    ///
    /// All findings of [`check::check`].
    pub fn build(self) -> Result<model::Document, finding::Findings> {
        check::check(&self.document)?;
        Ok(self.document)
    }

    /// Prints the configuration to standard output, or all findings to standard error. The status is for the
    /// program's `main` to return: 0, or 1 when there are findings.
    pub fn print(self) -> process::ExitCode {
        match self.build() {
            Ok(document) => {
                println!("{}", document.to_json());
                process::ExitCode::SUCCESS
            }
            Err(findings) => {
                eprintln!("{findings}");
                process::ExitCode::from(EXIT_REFUSED)
            }
        }
    }
}

impl Group {
    /// A group with one slot and no members yet.
    pub fn new(name: &str) -> Self {
        Self {
            group: model::Group {
                name: name.into(),
                slots: 1,
                members: Vec::new(),
            },
        }
    }

    /// Sets the group's slots.
    #[must_use]
    pub fn slots(mut self, slots: u32) -> Self {
        self.group.slots = slots;
        self
    }

    /// Adds a member.
    #[must_use]
    pub fn member(mut self, member: Member) -> Self {
        self.group.members.push(member.member);
        self
    }

    /// Adds members.
    #[must_use]
    pub fn members(self, members: impl IntoIterator<Item = Member>) -> Self {
        members.into_iter().fold(self, Self::member)
    }
}

impl Member {
    /// A member at `address` (`ip:port`). Its domain and connections are to be set.
    pub fn new(name: &str, address: &str) -> Self {
        Self {
            member: model::Member {
                name: name.into(),
                address: address.into(),
                domain: "".into(),
                connections: 0,
                connect_ms: model::DEFAULT_CONNECT_MS,
            },
        }
    }

    /// Sets the failure domain.
    #[must_use]
    pub fn domain(mut self, domain: &str) -> Self {
        self.member.domain = domain.into();
        self
    }

    /// Sets how many connections the server takes, over all proxies.
    #[must_use]
    pub fn connections(mut self, connections: u32) -> Self {
        self.member.connections = connections;
        self
    }

    /// Sets how long setting up a connection takes, in ms.
    #[must_use]
    pub fn connect_ms(mut self, connect_ms: u32) -> Self {
        self.member.connect_ms = connect_ms;
        self
    }
}

impl ReadClass {
    /// A class without age and tables, which are to be set.
    pub fn new(name: &str) -> Self {
        Self {
            class: model::ReadClass {
                name: name.into(),
                max_age_ms: 0,
                tables: Vec::new(),
            },
        }
    }

    /// Sets how old an answer may be, in ms.
    #[must_use]
    pub fn max_age_ms(mut self, max_age_ms: u64) -> Self {
        self.class.max_age_ms = max_age_ms;
        self
    }

    /// Adds a table. Reads that touch only the class's tables belong to it.
    #[must_use]
    pub fn table(mut self, table: &str) -> Self {
        self.class.tables.push(table.into());
        self
    }
}

impl Service {
    /// A service on the group of that name, with the limits' defaults.
    pub fn new(name: &str, group: &str) -> Self {
        Self {
            service: model::Service {
                name: name.into(),
                group: group.into(),
                callers: Vec::new(),
                read_classes: Vec::new(),
                limits: model::Limits::default(),
            },
        }
    }

    /// Lets a caller use the service.
    #[must_use]
    pub fn caller(mut self, name: &str) -> Self {
        self.service.callers.push(name.into());
        self
    }

    /// Gives the service a read class.
    #[must_use]
    pub fn read_class(mut self, name: &str) -> Self {
        self.service.read_classes.push(name.into());
        self
    }

    /// Sets how long a request may take, in ms.
    #[must_use]
    pub fn request_timeout_ms(mut self, request_timeout_ms: u64) -> Self {
        self.service.limits.request_timeout_ms = request_timeout_ms;
        self
    }

    /// Sets how many requests may wait for a connection in a proxy.
    #[must_use]
    pub fn queue_requests(mut self, queue_requests: u32) -> Self {
        self.service.limits.queue_requests = queue_requests;
        self
    }

    /// Sets how many connections each caller may hold to a proxy.
    #[must_use]
    pub fn caller_connections(mut self, caller_connections: u32) -> Self {
        self.service.limits.caller_connections = caller_connections;
        self
    }

    /// Sets the service's share of its group's connections beside the group's other services.
    #[must_use]
    pub fn weight(mut self, weight: u32) -> Self {
        self.service.limits.weight = weight;
        self
    }

    /// Says that writes to only this table and others named so may be repeated.
    #[must_use]
    pub fn repeatable_table(mut self, table: &str) -> Self {
        self.service.limits.repeatable_tables.push(table.into());
        self
    }
}
