//! Log points, and floors: the points that a session's reads must have reached.

use base64::Engine;
use base64::prelude::BASE64_URL_SAFE_NO_PAD;
use serde::{Deserialize, Serialize};

use crate::id;
use crate::sorted;

/// The point of a log entry: the term whose primary wrote it, and its position.
///
/// Points order by term first. A log whose last entry is at or past the point of an acknowledged entry contains that
/// entry: a failover promotes the member whose log is the most advanced among a majority of members, so the history
/// of every later term contains all acknowledged entries.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
)]
pub struct Point {
    /// Term of the primary that wrote the entry.
    pub term: id::Term,
    /// Position of the entry in the log.
    pub position: id::Position,
}

impl Point {
    /// Returns the point at this term and position.
    pub fn new(term: id::Term, position: id::Position) -> Self {
        Self { term, position }
    }
}

/// The floor of a session: for each database group, the point that the session's reads must have reached.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Floor {
    points: sorted::Map<id::GroupId, Point>,
}

/// Why a text cannot be decoded as a session token.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum TokenError {
    /// The text was not made by [`Floor::token`].
    #[error("the session token is malformed")]
    Malformed,
}

impl Floor {
    /// Returns the point that reads of the group must have reached; `None` if the floor does not name the group.
    pub fn point(&self, group: id::GroupId) -> Option<Point> {
        self.points.get(group).copied()
    }

    /// Returns whether the floor is empty or names at least one group for which `known` returns true. A floor that
    /// names only unknown groups is refused, while an empty one demands nothing.
    pub fn is_known(&self, known: impl Fn(id::GroupId) -> bool) -> bool {
        self.points.is_empty() || self.points.keys().any(known)
    }

    /// Raises the point of the group; a lower `point` changes nothing.
    pub fn raise(&mut self, group: id::GroupId, point: Point) {
        let entry = self.points.entry(group);
        *entry = point.max(*entry);
    }

    /// Raises the point of each group in `other` to the one there, if that is higher or this floor does not name the
    /// group.
    pub fn join(&mut self, other: &Self) {
        for (group, point) in other.points.iter() {
            self.raise(group, *point);
        }
    }

    /// Iterates over the groups and their points.
    pub fn iter(&self) -> impl Iterator<Item = (id::GroupId, Point)> + '_ {
        self.points.iter().map(|(group, point)| (group, *point))
    }

    /// Returns whether the floor names no group.
    pub fn is_empty(&self) -> bool {
        self.points.is_empty()
    }

    /// Encodes the floor as a token, which the caller presents to the next proxy.
    pub fn token(&self) -> Box<str> {
        let bytes = postcard::to_stdvec(self).expect("a floor of plain numbers always encodes");
        BASE64_URL_SAFE_NO_PAD.encode(bytes).into_boxed_str()
    }

    /// Decodes a token into a floor.
    ///
    /// # Errors
    ///
    /// Returns [`TokenError::Malformed`] when the text is not a token made by [`Floor::token`].
    pub fn from_token(token: &str) -> Result<Self, TokenError> {
        let bytes = BASE64_URL_SAFE_NO_PAD
            .decode(token)
            .map_err(|_| TokenError::Malformed)?;
        let (floor, rest) =
            postcard::take_from_bytes::<Self>(&bytes).map_err(|_| TokenError::Malformed)?;
        // The caller may have sent the entries in any order. Collecting sorts them by group, as lookups require.
        let points: sorted::Map<_, _> = floor.iter().collect();
        if rest.is_empty() {
            Ok(Self { points })
        } else {
            Err(TokenError::Malformed)
        }
    }
}
