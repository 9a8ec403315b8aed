//! Findings of [`crate::check`], each with its path in the document.

use std::fmt;

use serde::{Serialize, ser::SerializeStruct};

use crate::verifier;

/// Problem at one path of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Path of the invalid value in the document, such as `groups[1].members[0].address`. Serialized as `place`.
    pub path: Box<str>,
    /// Problem at this path.
    pub problem: Problem,
}

/// All findings about a document, in the order in which the checks made them.
#[derive(Clone, Debug, Default, PartialEq, Eq, thiserror::Error)]
pub struct Findings(pub Vec<Finding>);

/// Kind of an item that has a name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Region of failure domains.
    Region,
    /// Failure domain of a region.
    Domain,
    /// Database group.
    Group,
    /// Member of a database group.
    Member,
    /// Caller that may log in.
    Caller,
    /// Read class.
    ReadClass,
    /// Service on a database group.
    Service,
    /// Database table that a read class or a service's limits name.
    Table,
}

/// Problem of a value in a document.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Problem {
    /// The name refers to an item that the document does not define.
    #[error("unknown {item_kind} {name:?}")]
    UnknownName {
        /// Kind of the item that the name refers to.
        #[serde(rename = "of")]
        item_kind: Kind,
        /// Unknown name.
        name: Box<str>,
    },
    /// The name occurs earlier in the same list or, for failure domains, in an earlier region.
    #[error("duplicate {item_kind} {name:?}, first at {first}")]
    DuplicateName {
        /// Kind of the item that the name belongs or refers to.
        #[serde(rename = "of")]
        item_kind: Kind,
        /// Repeated name.
        name: Box<str>,
        /// Path of the first occurrence of the name.
        first: Box<str>,
    },
    /// The name is empty, too long, or has characters that names may not have.
    #[error(
        "malformed {item_kind} {name:?}: expected 1 to 63 bytes of letters, digits, `-`, `_` and `.`, \
         the first a letter or digit"
    )]
    MalformedName {
        /// Kind of the item that has the name.
        #[serde(rename = "of")]
        item_kind: Kind,
        /// Malformed name.
        name: Box<str>,
    },
    /// The name of a table is empty.
    #[error("empty table name")]
    EmptyTable,
    /// The address is not `ip:port` with a port above 0.
    #[error("malformed address {address:?}: expected IP:PORT with a port above 0")]
    MalformedAddress {
        /// Malformed address.
        address: Box<str>,
    },
    /// Another member has the same address.
    #[error("duplicate address {address}, first at {first}")]
    DuplicateAddress {
        /// Repeated address.
        address: Box<str>,
        /// Path of the first member's address.
        first: Box<str>,
    },
    /// The region has no failure domain.
    #[error("no failure domain")]
    NoDomains,
    /// The group has too few members to keep a majority when one member fails.
    #[error("{members} member(s), expected at least {min}", min = crate::check::MIN_MEMBERS)]
    TooFewMembers {
        /// Number of members of the group.
        members: usize,
    },
    /// The group has an even number of members. With one member less, the group would tolerate as many failed members,
    /// and a majority would need one member less.
    #[error("{members} members, expected an odd number")]
    EvenMembers {
        /// Number of members of the group.
        members: usize,
    },
    /// The group has more slots than one of its members has connections.
    #[error("{slots} slots, but {member} has {connections} connection(s)")]
    SlotsAboveConnections {
        /// Number of slots of the group.
        slots: u32,
        /// Path of the member with the fewest connections.
        member: Box<str>,
        /// Number of connections that this member accepts.
        connections: u32,
    },
    /// More services use a group than one of its members has connections, so that some services would never get a
    /// connection there.
    #[error("{services} services on group {group:?}, but {member} has {connections} connection(s)")]
    ServicesAboveConnections {
        /// Name of the group.
        group: Box<str>,
        /// Number of services that use the group.
        services: usize,
        /// Path of the member with the fewest connections.
        member: Box<str>,
        /// Number of connections that this member accepts.
        connections: u32,
    },
    /// The verifier of a caller cannot be parsed.
    #[error("malformed verifier: {cause}")]
    MalformedVerifier {
        /// Reason why the verifier cannot be parsed. The finding does not repeat the verifier itself.
        #[serde(serialize_with = "as_text")]
        cause: verifier::ParseError,
    },
    /// The read class states a maximum age but has no tables, so that no read belongs to it.
    #[error("age of {max_age_ms} ms for no reads: class {class:?} has no tables")]
    AgeWithoutReads {
        /// Name of the read class.
        class: Box<str>,
        /// Maximum age of the read class, in ms.
        max_age_ms: u64,
    },
    /// No service uses the read class.
    #[error("read class {class:?} is used by no service")]
    UnusedReadClass {
        /// Name of the read class.
        class: Box<str>,
    },
    /// A number is 0 that must be above 0.
    #[error("must be above 0")]
    Zero,
}

impl Findings {
    /// Returns whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.path, self.problem)
    }
}

/// Serializes the path as `place`, the problem's text as `message`, and the problem with its fields as `problem`.
impl Serialize for Finding {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut fields = serializer.serialize_struct("Finding", 3)?;
        fields.serialize_field("place", &self.path)?;
        fields.serialize_field("message", &self.problem.to_string())?;
        fields.serialize_field("problem", &self.problem)?;
        fields.end()
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} finding(s)", self.0.len())?;
        self.0
            .iter()
            .try_for_each(|finding| write!(formatter, "\n  {finding}"))
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Region => "region",
            Self::Domain => "failure domain",
            Self::Group => "group",
            Self::Member => "member",
            Self::Caller => "caller",
            Self::ReadClass => "read class",
            Self::Service => "service",
            Self::Table => "table",
        })
    }
}

fn as_text<S: serde::Serializer>(
    cause: &verifier::ParseError,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_str(cause)
}
