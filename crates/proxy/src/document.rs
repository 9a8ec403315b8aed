//! Configuration documents, and the topology that the reducer decides with.
//!
//! Each document has a *head*: its version and its digest. The store and peers announce the head; the proxy then
//! fetches the document.

use std::sync::Arc;
use std::time::Duration;

use fulmarlift_config::model;
use fulmarlift_core::{id, peer, sorted, topology};

/// A parsed configuration document whose digest is that of its head.
///
/// The default has version 0, which means that no configuration is in force.
#[derive(Clone, Debug, Default)]
pub struct Accepted {
    /// Parsed document, with the version of the head.
    pub document: model::Document,
    /// Text of the document as the object store keeps it; peers fetch this text.
    pub text: Box<str>,
    /// Head of the document.
    pub head: peer::Head,
    /// Groups, members and services in the form that the reducer uses.
    pub topology: topology::Topology,
    /// Indices into `document.services`.
    services: sorted::Map<id::ServiceId, usize>,
    /// Indices into `document.callers`.
    callers: sorted::Map<id::CallerId, usize>,
}

/// Reason for rejecting a configuration document.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The text is not a valid configuration document.
    #[error("the configuration does not parse")]
    Parse(#[from] model::ParseError),
    /// The text does not have the digest in the head.
    #[error("the configuration has digest {found}, expected {expected}")]
    Digest {
        /// Digest in the head.
        expected: Box<str>,
        /// Digest of the text.
        found: Box<str>,
    },
}

impl Accepted {
    /// Parses the document that a head names and verifies its digest.
    ///
    /// # Errors
    ///
    /// Returns an error when the text does not parse or does not have the digest in the head.
    pub fn parse(text: &str, head: peer::Head) -> Result<Arc<Self>, Error> {
        let mut document = model::Document::parse(text)?;
        let found = document.digest();
        if found != head.digest {
            let expected = head.digest;
            return Err(Error::Digest { expected, found });
        }
        document.version = head.version;
        let topology = topology(&document);
        let services = indices_by_id(document.services.iter().map(|service| &service.name));
        let callers = indices_by_id(document.callers.iter().map(|caller| &caller.name));
        Ok(Arc::new(Self {
            document,
            text: text.into(),
            head,
            topology,
            services,
            callers,
        }))
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&model::Service> {
        let index = self.services.get(id::of(name))?;
        self.document.services.get(*index)
    }

    /// Returns the caller with this name.
    pub fn caller(&self, name: &str) -> Option<&model::Caller> {
        let index = self.callers.get(id::of(name))?;
        self.document.callers.get(*index)
    }

    /// Returns the maximum age of the data that a read of these tables may return, if a read class of the service
    /// applies to the read. `class_name` is the read class that the session has named, if any.
    pub fn max_age(
        &self,
        service: &str,
        class_name: Option<&str>,
        tables: &[Box<str>],
    ) -> Option<Duration> {
        let class = self.read_class(service, class_name, tables)?;
        Some(Duration::from_millis(class.max_age_ms))
    }

    /// Returns the service's read class with the name `class_name`, if the service has it. Without a name, returns the
    /// read class of the service that applies to these tables.
    pub fn read_class(
        &self,
        service: &str,
        class_name: Option<&str>,
        tables: &[Box<str>],
    ) -> Option<&model::ReadClass> {
        let service = self.service(service)?;
        let Some(name) = class_name else {
            let tables: Vec<&str> = tables.iter().map(AsRef::as_ref).collect();
            return self.document.class_of_read(service, &tables);
        };
        let is_offered = service
            .read_classes
            .iter()
            .any(|known| known.as_ref() == name);
        self.document.read_class(name).filter(|_| is_offered)
    }
}

/// Maps the identifier of each name to the index of the name.
fn indices_by_id<'a>(names: impl Iterator<Item = &'a Box<str>>) -> sorted::Map<u64, usize> {
    let indexed = names.enumerate();
    indexed.map(|(index, name)| (id::of(name), index)).collect()
}

fn topology(document: &model::Document) -> topology::Topology {
    let groups = document.groups.iter();
    let services = document.services.iter();
    topology::Topology {
        version: document.version,
        groups: groups
            .map(|config| (id::of(&config.name), group(document, config)))
            .collect(),
        services: services
            .map(|config| (id::of(&config.name), service(config)))
            .collect(),
    }
}

fn group(document: &model::Document, config: &model::Group) -> topology::Group {
    let group = id::of(&config.name);
    let members = config.members.iter().map(|settings| {
        let region = document.region_of(&settings.domain);
        let member = topology::Member {
            name: settings.name.clone(),
            address: settings.address.clone(),
            place: topology::Place {
                region: region.map(|r| r.name.clone()).unwrap_or_default(),
                domain: settings.domain.clone(),
            },
            connections: settings.connections,
            connect_time: Duration::from_millis(settings.connect_ms.into()),
        };
        (id::member(group, &settings.name), member)
    });
    topology::Group {
        name: config.name.clone(),
        slots: config.slots,
        members: members.collect(),
    }
}

fn service(config: &model::Service) -> topology::Service {
    topology::Service {
        name: config.name.clone(),
        group: id::of(&config.group),
        limits: topology::Limits {
            request_timeout: Duration::from_millis(config.limits.request_timeout_ms),
            queue_requests: config.limits.queue_requests,
            weight: config.limits.weight,
        },
    }
}
