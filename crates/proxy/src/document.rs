//! The configuration in force, and its form for decisions.

use std::sync::Arc;
use std::time::Duration;

use fulmarlift_config::model;
use fulmarlift_core::{id, peer, sorted, topology};

/// A configuration document that was accepted.
#[derive(Clone, Debug, Default)]
pub struct Accepted {
    /// The document.
    pub document: model::Document,
    /// Its text as the object store holds it.
    pub text: Box<str>,
    /// Version and digest.
    pub head: peer::Head,
    /// Its form for decisions.
    pub topology: topology::Topology,
    services: sorted::Map<id::ServiceId, usize>,
    callers: sorted::Map<id::CallerId, usize>,
}

/// Why a document was not taken.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The text is not a document.
    #[error("the configuration does not parse")]
    Parse(#[from] model::ParseError),
    /// The text is not the one that the head names.
    #[error("the configuration has digest {found}, not {expected}")]
    Digest {
        /// Digest that the head names.
        expected: Box<str>,
        /// Digest of the text.
        found: Box<str>,
    },
}

impl Accepted {
    /// Reads the document that a head names.
    ///
    /// # Errors
    ///
    /// Returns an error when the text does not parse or has another digest.
    pub fn parse(text: &str, head: peer::Head) -> Result<Arc<Self>, Error> {
        let mut document = model::Document::parse(text)?;
        let found = document.digest();
        if found != head.digest {
            let expected = head.digest;
            return Err(Error::Digest { expected, found });
        }
        document.version = head.version;
        let topology = topology(&document);
        let services = places(document.services.iter().map(|service| &service.name));
        let callers = places(document.callers.iter().map(|caller| &caller.name));
        Ok(Arc::new(Self {
            document,
            text: text.into(),
            head,
            topology,
            services,
            callers,
        }))
    }

    /// Returns the service of that name.
    pub fn service(&self, name: &str) -> Option<&model::Service> {
        let place = self.services.get(id::of(name))?;
        self.document.services.get(*place)
    }

    /// Returns the caller of that name.
    pub fn caller(&self, name: &str) -> Option<&model::Caller> {
        let place = self.callers.get(id::of(name))?;
        self.document.callers.get(*place)
    }

    /// Returns the age that a read of these tables may have, by the service's read classes.
    pub fn max_age(
        &self,
        service: &str,
        class: Option<&str>,
        tables: &[Box<str>],
    ) -> Option<Duration> {
        let class = self.read_class(service, class, tables)?;
        Some(Duration::from_millis(class.max_age_ms))
    }

    /// Returns the service's read class of this name or, without a name, the one that the tables belong to.
    pub fn read_class(
        &self,
        service: &str,
        class: Option<&str>,
        tables: &[Box<str>],
    ) -> Option<&model::ReadClass> {
        let service = self.service(service)?;
        let Some(name) = class else {
            let tables: Vec<&str> = tables.iter().map(AsRef::as_ref).collect();
            return self.document.class_of_read(service, &tables);
        };
        let offered = service
            .read_classes
            .iter()
            .any(|known| known.as_ref() == name);
        self.document.read_class(name).filter(|_| offered)
    }
}

/// Returns the places of names in a list, by their identifiers.
fn places<'a>(names: impl Iterator<Item = &'a Box<str>>) -> sorted::Map<u64, usize> {
    let places = names.enumerate();
    places.map(|(place, name)| (id::of(name), place)).collect()
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
