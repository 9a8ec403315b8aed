//! Configuration document: regions, database groups, callers, read classes and services.
//!
//! The document is plain data. [`crate::check`] validates it, [`crate::builder`] builds it in a Rust program, and the
//! published JSON Schema describes it to programs in other languages.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sha2::Digest;

/// Version of an accepted configuration: 1 for the first, then one more for each that follows.
pub type Version = u64;

/// Version of a document that has not been accepted yet; as the version in force or as a base, no document has been accepted
/// yet.
pub const UNACCEPTED: Version = 0;

/// Value of [`Member::connect_ms`] in a document that does not state it, in ms.
pub const DEFAULT_CONNECT_MS: u32 = 20;

/// Whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Version under which the document was accepted; 0 before that.
    #[serde(default)]
    pub version: Version,
    /// Regions and their failure domains.
    #[serde(default)]
    pub regions: Vec<Region>,
    /// Database groups.
    #[serde(default)]
    pub groups: Vec<Group>,
    /// Callers that may log in, each with its verifier.
    #[serde(default)]
    pub callers: Vec<Caller>,
    /// Read classes, each with the maximum age of its answers.
    #[serde(default)]
    pub read_classes: Vec<ReadClass>,
    /// Services, which callers name as the database when they connect.
    #[serde(default)]
    pub services: Vec<Service>,
}

/// Region: a set of failure domains that are close to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Name, unique among regions.
    pub name: Box<str>,
    /// Names of the failure domains, unique over all regions.
    pub domains: Vec<Box<str>>,
}

/// Database group: members of which one at a time is the primary and the others are its replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Name, unique among groups.
    pub name: Box<str>,
    /// Number of slots of the group. The number can be understood in more than one way; see the configuration page.
    pub slots: u32,
    /// Members: an odd number, at least three.
    pub members: Vec<Member>,
}

/// Database server of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Name, unique in the group.
    pub name: Box<str>,
    /// Address as `ip:port`, unique over all groups.
    pub address: Box<str>,
    /// Failure domain in which the server runs.
    pub domain: Box<str>,
    /// Maximum number of connections that the server accepts from all proxies together.
    pub connections: u32,
    /// Expected time to open a connection to the server, in ms.
    #[serde(default = "default_connect_ms")]
    pub connect_ms: u32,
}

/// Caller that may log in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// User name with which the caller logs in, unique among callers.
    pub name: Box<str>,
    /// `SCRAM-SHA-256$ITERATIONS:SALT$STORED:SERVER` (salt and keys in base64), or `trust`, which accepts logins
    /// without a password, but only from loopback addresses.
    pub verifier: Box<str>,
}

/// Class of reads whose answers may be outdated by a bounded age.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ReadClass {
    /// Name, unique among read classes.
    pub name: Box<str>,
    /// Maximum age of an answer, in ms.
    pub max_age_ms: u64,
    /// Tables of the class. A read belongs to the class if it uses no other tables.
    pub tables: Vec<Box<str>>,
}

/// Service, which callers name as the database when they connect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name, unique among services.
    pub name: Box<str>,
    /// Database group that holds the service's data.
    pub group: Box<str>,
    /// Callers that may use the service.
    #[serde(default)]
    pub callers: Vec<Box<str>>,
    /// Read classes of the service.
    #[serde(default)]
    pub read_classes: Vec<Box<str>>,
    /// Limits of the service's requests and connections.
    #[serde(default)]
    pub limits: Limits,
}

/// Limits of a service's requests and connections.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum time from the arrival of a request to its answer, in ms.
    pub request_timeout_ms: u64,
    /// Maximum number of the service's requests in flight at one proxy, waiting and running ones together.
    pub queue_requests: u32,
    /// Maximum number of connections that each caller may hold to a proxy.
    pub caller_connections: u32,
    /// Weight of the service relative to the other services of its group when their requests compete for connections.
    pub weight: u32,
    /// Tables to which a write may be repeated when its outcome is unknown. A write that uses any other table is never
    /// repeated.
    pub repeatable_tables: Vec<Box<str>>,
}

/// Failure to read a document from JSON text.
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
    /// [`ParseError`] with line and column if the text is not JSON, lacks a field or has an unknown one.
    pub fn parse(text: &str) -> Result<Self, ParseError> {
        Ok(serde_json::from_str(text)?)
    }

    /// Returns the document as indented JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).expect("a document has only string keys")
    }

    /// Returns the SHA-256 digest, in hex, of the document's compact JSON with version 0. The JSON has the fields in the
    /// order of their declaration.
    pub fn digest(&self) -> Box<str> {
        let unaccepted = Self {
            version: UNACCEPTED,
            ..self.clone()
        };
        let bytes = serde_json::to_vec(&unaccepted).expect("a document has only string keys");
        sha2::Sha256::digest(bytes)
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect::<String>()
            .into()
    }

    /// Returns the group of that name.
    pub fn group(&self, name: &str) -> Option<&Group> {
        self.groups.iter().find(|group| &*group.name == name)
    }

    /// Returns the caller of that name.
    pub fn caller(&self, name: &str) -> Option<&Caller> {
        self.callers.iter().find(|caller| &*caller.name == name)
    }

    /// Returns the read class of that name.
    pub fn read_class(&self, name: &str) -> Option<&ReadClass> {
        self.read_classes.iter().find(|class| &*class.name == name)
    }

    /// Returns the service of that name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| &*service.name == name)
    }

    /// Returns the read class of a read that uses these tables: of the service's classes that contain all of the tables,
    /// the one with the smallest maximum age. A read that uses no table belongs to no class.
    pub fn class_of_read(&self, service: &Service, tables: &[&str]) -> Option<&ReadClass> {
        let contains_all = |class: &&ReadClass| {
            tables
                .iter()
                .all(|table| class.tables.iter().any(|other| &**other == *table))
        };
        let classes = service
            .read_classes
            .iter()
            .filter_map(|name| self.read_class(name));
        classes
            .filter(|_| !tables.is_empty())
            .filter(contains_all)
            .min_by_key(|class| class.max_age_ms)
    }

    /// Returns the region that contains the failure domain.
    pub fn region_of(&self, domain: &str) -> Option<&Region> {
        self.regions
            .iter()
            .find(|region| region.domains.iter().any(|name| &**name == domain))
    }
}

impl Group {
    /// Returns the member of that name.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.iter().find(|member| &*member.name == name)
    }

    /// Returns the member that accepts the fewest connections, with its index.
    pub fn member_with_fewest_connections(&self) -> Option<(usize, &Member)> {
        self.members
            .iter()
            .enumerate()
            .min_by_key(|(_, member)| member.connections)
    }
}

fn default_connect_ms() -> u32 {
    DEFAULT_CONNECT_MS
}
