//! The configuration document: regions, database groups, callers, read classes and services.
//!
//! The document is plain data. [`crate::check`] says whether it makes sense, [`crate::builder`] writes it from
//! a Rust program, and the published JSON Schema lets programs in other languages print it.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sha2::Digest;

/// The version of an accepted configuration: 1 for the first, then one more each time.
pub type Version = u64;

/// The version of a document that was not accepted yet.
pub const UNACCEPTED: Version = 0;

/// The time a member's connection may take to be set up when the document doesn't say, in ms.
pub const DEFAULT_CONNECT_MS: u32 = 20;

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The version under which the document was accepted, 0 before.
    #[serde(default)]
    pub version: Version,
    /// The regions and their failure domains.
    #[serde(default)]
    pub regions: Vec<Region>,
    /// The database groups.
    #[serde(default)]
    pub groups: Vec<Group>,
    /// The callers, each with what its login is verified against.
    #[serde(default)]
    pub callers: Vec<Caller>,
    /// The read classes, each with the age its answers may have.
    #[serde(default)]
    pub read_classes: Vec<ReadClass>,
    /// The services: what a caller names as its database.
    #[serde(default)]
    pub services: Vec<Service>,
}

/// A region: failure domains close to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// The name, unique among regions.
    pub name: Box<str>,
    /// The names of the failure domains, unique over all regions.
    pub domains: Vec<Box<str>>,
}

/// A database group: one primary and its replicas, by turns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// The name, unique among groups.
    pub name: Box<str>,
    /// The group's slots. The number has more than one reading; see the configuration page.
    pub slots: u32,
    /// The members: an odd number, at least three.
    pub members: Vec<Member>,
}

/// A database server of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// The name, unique in its group.
    pub name: Box<str>,
    /// The address as `ip:port`, unique over all groups.
    pub address: Box<str>,
    /// The failure domain the server stands in.
    pub domain: Box<str>,
    /// How many connections the server takes, over all proxies.
    pub connections: u32,
    /// How long setting up a connection to the server takes, in ms.
    #[serde(default = "default_connect_ms")]
    pub connect_ms: u32,
}

/// Who may log in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// The user name the caller logs in with, unique among callers.
    pub name: Box<str>,
    /// `SCRAM-SHA-256$ITERATIONS:SALT$STORED:SERVER` (salt and keys in base64), or `trust`, which lets in
    /// loopback peers only, without a password.
    pub verifier: Box<str>,
}

/// A class of reads that may be answered with a bounded age.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ReadClass {
    /// The name, unique among read classes.
    pub name: Box<str>,
    /// How old an answer may be, in ms.
    pub max_age_ms: u64,
    /// Reads that touch only these tables belong to the class.
    pub tables: Vec<Box<str>>,
}

/// What a caller names as its database.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name, unique among services.
    pub name: Box<str>,
    /// The database group that holds the service's data.
    pub group: Box<str>,
    /// The callers that may use the service.
    #[serde(default)]
    pub callers: Vec<Box<str>>,
    /// The read classes of the service.
    #[serde(default)]
    pub read_classes: Vec<Box<str>>,
    /// The service's limits.
    #[serde(default)]
    pub limits: Limits,
}

/// The limits of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// How long a request may take from its arrival to its answer, in ms.
    pub request_timeout_ms: u64,
    /// How many requests may wait for a connection in a proxy.
    pub queue_requests: u32,
    /// How many connections each caller may hold to a proxy.
    pub caller_connections: u32,
    /// The service's share of its group's connections beside the group's other services.
    pub weight: u32,
    /// Writes to only these tables may be repeated when their outcome is unknown.
    pub repeatable_tables: Vec<Box<str>>,
}

/// Why a document could not be read.
#[derive(Debug, thiserror::Error)]
#[error("not a configuration document: {0}")]
pub struct ParseError(#[from] serde_json::Error);

impl Default for Limits {
    fn default() -> Self {
        Self {
            request_timeout_ms: 5_000,
            queue_requests: 256,
            caller_connections: 200,
            weight: 1,
            repeatable_tables: Vec::new(),
        }
    }
}

impl Document {
    /// Reads a document from JSON text.
    ///
    /// # Errors
    ///
    /// [`ParseError`] with line and column when the text is no JSON, lacks a field or has an unknown one.
    pub fn parse(text: &str) -> Result<Self, ParseError> {
        Ok(serde_json::from_str(text)?)
    }

    /// The document as indented JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).expect("a document has only text keys")
    }

    /// The SHA-256 of the compact JSON with version 0, in hex. Field order is the declaration's.
    pub fn digest(&self) -> Box<str> {
        let unaccepted = Self {
            version: UNACCEPTED,
            ..self.clone()
        };
        let bytes = serde_json::to_vec(&unaccepted).expect("a document has only text keys");
        sha2::Sha256::digest(bytes)
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect::<String>()
            .into()
    }

    /// The group of that name.
    pub fn group(&self, name: &str) -> Option<&Group> {
        self.groups.iter().find(|group| &*group.name == name)
    }

    /// The caller of that name.
    pub fn caller(&self, name: &str) -> Option<&Caller> {
        self.callers.iter().find(|caller| &*caller.name == name)
    }

    /// The read class of that name.
    pub fn read_class(&self, name: &str) -> Option<&ReadClass> {
        self.read_classes.iter().find(|class| &*class.name == name)
    }

    /// The service of that name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| &*service.name == name)
    }

    /// The read class of a read that touches these tables: of the service's classes that hold all of them, the
    /// one with the smallest age. A read that touches no table belongs to none.
    pub fn class_of_read(&self, service: &Service, tables: &[&str]) -> Option<&ReadClass> {
        let holds = |class: &&ReadClass| {
            tables
                .iter()
                .all(|table| class.tables.iter().any(|held| &**held == *table))
        };
        let classes = service
            .read_classes
            .iter()
            .filter_map(|name| self.read_class(name));
        classes
            .filter(|_| !tables.is_empty())
            .filter(holds)
            .min_by_key(|class| class.max_age_ms)
    }

    /// The region in which the failure domain lies.
    pub fn region_of(&self, domain: &str) -> Option<&Region> {
        self.regions
            .iter()
            .find(|region| region.domains.iter().any(|name| &**name == domain))
    }
}

impl Group {
    /// The member of that name.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.iter().find(|member| &*member.name == name)
    }

    /// The member with the fewest connections, with its index.
    pub fn scarcest_member(&self) -> Option<(usize, &Member)> {
        self.members
            .iter()
            .enumerate()
            .min_by_key(|(_, member)| member.connections)
    }
}

fn default_connect_ms() -> u32 {
    DEFAULT_CONNECT_MS
}
