//! Log points, and the floor that a session's reads must have reached.

use base64::Engine;
use base64::prelude::BASE64_URL_SAFE_NO_PAD;
use serde::{Deserialize, Serialize};

use crate::id;
use crate::sorted;

/// The last entry of a log: the term whose primary wrote it, and its number.
///
/// Points order by term first. A log whose last entry is at or past an acknowledged point contains
/// that point: a promotion takes the most advanced log of a majority, so acknowledged entries
/// are in the history of every later term.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
)]
pub struct Point {
    /// Term of the primary that wrote the entry.
    pub term: id::Term,
    /// Number of the entry.
    pub position: id::Position,
}

impl Point {
    /// Creates a point.
    pub fn new(term: id::Term, position: id::Position) -> Self {
        Self { term, position }
    }
}

/// For each database group the point that a session's reads must have reached.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Floor {
    points: sorted::Map<id::GroupId, Point>,
}

/// Why a token was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum TokenError {
    /// The text is not a token that a proxy has issued.
    #[error("the session token is malformed")]
    Malformed,
}

impl Floor {
    /// Returns the point for the group.
    pub fn point(&self, group: id::GroupId) -> Option<Point> {
        self.points.get(group).copied()
    }

    /// Returns whether the floor is empty or names a group that is known.
    pub fn is_known(&self, known: impl Fn(id::GroupId) -> bool) -> bool {
        self.points.is_empty() || self.points.keys().any(known)
    }

    /// Raises the point for the group; a lower point leaves it as it is.
    pub fn raise(&mut self, group: id::GroupId, point: Point) {
        let entry = self.points.entry(group);
        *entry = point.max(*entry);
    }

    /// Raises every point to at least the other floor's.
    pub fn join(&mut self, other: &Self) {
        for (group, point) in other.points.iter() {
            self.raise(group, *point);
        }
    }

    /// Iterates over groups and points.
    pub fn iter(&self) -> impl Iterator<Item = (id::GroupId, Point)> + '_ {
        self.points.iter().map(|(group, point)| (group, *point))
    }

    /// Returns whether the floor demands nothing.
    pub fn is_empty(&self) -> bool {
        self.points.is_empty()
    }

    /// Encodes the floor as the text that callers carry between proxies.
    pub fn token(&self) -> Box<str> {
        let bytes = postcard::to_stdvec(self).expect("a floor of plain numbers always encodes");
        BASE64_URL_SAFE_NO_PAD.encode(bytes).into_boxed_str()
    }

    /// Decodes a token.
    ///
    /// # Errors
    ///
    /// Returns [`TokenError::Malformed`] when the text was not made by [`Floor::token`].
    pub fn from_token(token: &str) -> Result<Self, TokenError> {
        let bytes = BASE64_URL_SAFE_NO_PAD
            .decode(token)
            .map_err(|_| TokenError::Malformed)?;
        let (floor, rest) =
            postcard::take_from_bytes::<Self>(&bytes).map_err(|_| TokenError::Malformed)?;
        let points: sorted::Map<_, _> = floor.iter().collect();
        // Re-collecting restores the order that lookups rely on, whatever the caller sent.
        if rest.is_empty() {
            Ok(Self { points })
        } else {
            Err(TokenError::Malformed)
        }
    }
}
