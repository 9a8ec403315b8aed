//! What [`crate::check`] finds, each finding with its place in the document.

use std::fmt;

use serde::{Serialize, ser::SerializeStruct};

use crate::verifier;

/// Something wrong at a place in a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The path in the document, such as `groups[1].members[0].address`.
    pub place: Box<str>,
    /// What is wrong there.
    pub problem: Problem,
}

/// All that is wrong with a document, in its order.
#[derive(Clone, Debug, Default, PartialEq, Eq, thiserror::Error)]
pub struct Findings(pub Vec<Finding>);

/// What a name names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A region.
    Region,
    /// A failure domain.
    Domain,
    /// A database group.
    Group,
    /// A member of a database group.
    Member,
    /// A caller.
    Caller,
    /// A read class.
    ReadClass,
    /// A service.
    Service,
    /// A table.
    Table,
}

/// What is wrong at a place.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Problem {
    /// A name that nothing in the document has.
    #[error("unknown {of} {name:?}")]
    UnknownName {
        /// What the name should name.
        of: Kind,
        /// The name.
        name: Box<str>,
    },
    /// A name that stands elsewhere already.
    #[error("duplicate {of} {name:?}, first at {first}")]
    DuplicateName {
        /// What the name names.
        of: Kind,
        /// The name.
        name: Box<str>,
        /// The place where it stands first.
        first: Box<str>,
    },
    /// A name that is empty, too long, or has characters which names can't have.
    #[error(
        "malformed {of} {name:?}: expected 1 to 63 bytes of letters, digits, `-`, `_` and `.`, \
         the first a letter or digit"
    )]
    MalformedName {
        /// What the name names.
        of: Kind,
        /// The name.
        name: Box<str>,
    },
    /// A table's name that is empty.
    #[error("empty table name")]
    EmptyTable,
    /// An address that is no `ip:port`.
    #[error("malformed address {address:?}: expected IP:PORT with a port above 0")]
    MalformedAddress {
        /// The address.
        address: Box<str>,
    },
    /// An address that another member has.
    #[error("duplicate address {address}, first at {first}")]
    DuplicateAddress {
        /// The address.
        address: Box<str>,
        /// The place where it stands first.
        first: Box<str>,
    },
    /// A region without a failure domain.
    #[error("no failure domain")]
    NoDomains,
    /// Too few members for a majority that outlives one of them.
    #[error("{members} member(s), expected at least {min}", min = crate::check::MIN_MEMBERS)]
    TooFewMembers {
        /// How many there are.
        members: usize,
    },
    /// A member that adds to the majority needed, but not to the failures outlived.
    #[error("{members} members, expected an odd number")]
    EvenMembers {
        /// How many there are.
        members: usize,
    },
    /// More slots than a member of the group has connections.
    #[error("{slots} slots, but {member} has {connections} connection(s)")]
    SlotsAboveConnections {
        /// The group's slots.
        slots: u32,
        /// The place of the member with the fewest connections.
        member: Box<str>,
        /// How many it has.
        connections: u32,
    },
    /// More services on a group than a member has connections: some would never get one.
    #[error("{services} services on group {group:?}, but {member} has {connections} connection(s)")]
    ServicesAboveConnections {
        /// The group.
        group: Box<str>,
        /// How many services stand on the group.
        services: usize,
        /// The place of the member with the fewest connections.
        member: Box<str>,
        /// How many it has.
        connections: u32,
    },
    /// A verifier that doesn't parse.
    #[error("malformed verifier: {cause}")]
    MalformedVerifier {
        /// What is wrong with it. The verifier itself is not repeated.
        #[serde(serialize_with = "as_text")]
        cause: verifier::ParseError,
    },
    /// An age that holds for no reads, as the class has no tables.
    #[error("age of {max_age_ms} ms for no reads: class {class:?} has no tables")]
    AgeWithoutReads {
        /// The read class.
        class: Box<str>,
        /// Its age.
        max_age_ms: u64,
    },
    /// A read class that no service uses.
    #[error("read class {class:?} is used by no service")]
    UnusedReadClass {
        /// The read class.
        class: Box<str>,
    },
    /// A number that must be above 0.
    #[error("must be above 0")]
    Zero,
}

impl Findings {
    /// Whether nothing is wrong.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.place, self.problem)
    }
}

/// As place, message, and the problem with its fields.
impl Serialize for Finding {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut fields = serializer.serialize_struct("Finding", 3)?;
        fields.serialize_field("place", &self.place)?;
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
