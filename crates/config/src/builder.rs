//! Builds a [`model::Document`] in an operator's Rust program.
//!
//! Each type builds one part of the document. [`Document::build`] checks the whole document, and [`Document::print`]
//! prints it and returns the exit code of the program.

use std::process;

use crate::{check, finding, model, verifier};

/// Exit code of a program whose configuration has findings.
const EXIT_FINDINGS: u8 = 1;

/// Builder of a whole configuration.
#[derive(Clone, Debug, Default)]
pub struct Document {
    document: model::Document,
}

/// Builder of a database group.
#[derive(Clone, Debug)]
pub struct Group {
    group: model::Group,
}

/// Builder of a member of a group.
#[derive(Clone, Debug)]
pub struct Member {
    member: model::Member,
}

/// Builder of a read class.
#[derive(Clone, Debug)]
pub struct ReadClass {
    class: model::ReadClass,
}

/// Builder of a service.
#[derive(Clone, Debug)]
pub struct Service {
    service: model::Service,
}

impl Document {
    /// Starts an empty configuration.
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

    /// Adds a caller with the verifier of its login.
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

    /// Checks the configuration and returns it.
    ///
    /// # Errors
    ///
    /// All findings of [`check::check`].
    pub fn build(self) -> Result<model::Document, finding::Findings> {
        check::check(&self.document)?;
        Ok(self.document)
    }

    /// Prints the configuration to standard output or, if it has findings, all findings to standard error. Returns the
    /// exit code for the program's `main`: 0 without findings, 1 with findings.
    pub fn print(self) -> process::ExitCode {
        match self.build() {
            Ok(document) => {
                println!("{}", document.to_json());
                process::ExitCode::SUCCESS
            }
            Err(findings) => {
                eprintln!("{findings}");
                process::ExitCode::from(EXIT_FINDINGS)
            }
        }
    }
}

impl Group {
    /// Starts a group with one slot and no members.
    pub fn new(name: &str) -> Self {
        Self {
            group: model::Group {
                name: name.into(),
                slots: 1,
                members: Vec::new(),
            },
        }
    }

    /// Sets the number of slots of the group.
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
    /// Starts a member at `address` (`ip:port`). [`Self::domain`] and [`Self::connections`] must be set.
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

    /// Sets the maximum number of connections that the server accepts from all proxies together.
    #[must_use]
    pub fn connections(mut self, connections: u32) -> Self {
        self.member.connections = connections;
        self
    }

    /// Sets the expected time to open a connection to the server, in ms.
    #[must_use]
    pub fn connect_ms(mut self, connect_ms: u32) -> Self {
        self.member.connect_ms = connect_ms;
        self
    }
}

impl ReadClass {
    /// Starts a read class. [`Self::max_age_ms`] must be set, and [`Self::table`] must add at least one table.
    pub fn new(name: &str) -> Self {
        Self {
            class: model::ReadClass {
                name: name.into(),
                max_age_ms: 0,
                tables: Vec::new(),
            },
        }
    }

    /// Sets the maximum age of an answer, in ms.
    #[must_use]
    pub fn max_age_ms(mut self, max_age_ms: u64) -> Self {
        self.class.max_age_ms = max_age_ms;
        self
    }

    /// Adds a table. A read belongs to the class if it uses only tables of the class.
    #[must_use]
    pub fn table(mut self, table: &str) -> Self {
        self.class.tables.push(table.into());
        self
    }
}

impl Service {
    /// Starts a service on the group of that name, with default limits.
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

    /// Allows a caller to use the service.
    #[must_use]
    pub fn caller(mut self, name: &str) -> Self {
        self.service.callers.push(name.into());
        self
    }

    /// Adds a read class to the service.
    #[must_use]
    pub fn read_class(mut self, name: &str) -> Self {
        self.service.read_classes.push(name.into());
        self
    }

    /// Sets the maximum time from the arrival of a request to its answer, in ms.
    #[must_use]
    pub fn request_timeout_ms(mut self, request_timeout_ms: u64) -> Self {
        self.service.limits.request_timeout_ms = request_timeout_ms;
        self
    }

    /// Sets the maximum number of the service's requests in flight at one proxy, waiting and running ones together.
    #[must_use]
    pub fn queue_requests(mut self, queue_requests: u32) -> Self {
        self.service.limits.queue_requests = queue_requests;
        self
    }

    /// Sets the maximum number of connections that each caller may hold to a proxy.
    #[must_use]
    pub fn caller_connections(mut self, caller_connections: u32) -> Self {
        self.service.limits.caller_connections = caller_connections;
        self
    }

    /// Sets the weight of the service relative to the other services of its group when their requests compete for
    /// connections.
    #[must_use]
    pub fn weight(mut self, weight: u32) -> Self {
        self.service.limits.weight = weight;
        self
    }

    /// Adds a table to which a write may be repeated when its outcome is unknown. A write that uses any table not added
    /// here is never repeated.
    #[must_use]
    pub fn repeatable_table(mut self, table: &str) -> Self {
        self.service.limits.repeatable_tables.push(table.into());
        self
    }
}
