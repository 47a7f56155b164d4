//! Revisions of a store that may be restored from an older copy.

use std::fmt;

use serde::{Deserialize, Serialize};

/// `Revision` is a revision of the store: the era in which it was given, and its number.
///
/// A store that is restored from an older copy gives out numbers again, in a later era. So numbers are compared only
/// within an era, and any revision of a later era is later.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// Number of the era, which rises each time that the store is restored; `None` if it is not known.
    pub era: Option<u64>,
    /// Number of the revision within the era; zero if it is not known.
    pub number: u64,
}

impl Revision {
    /// Creates a revision, of an era that is known or not.
    pub fn new<E>(era: E, number: u64) -> Self
    where
        E: Into<Option<u64>>,
    {
        Self {
            era: era.into(),
            number,
        }
    }

    /// Returns whether the numbers of both revisions can be compared: they are of one era, as far as that is known.
    pub fn shares_era(self, other: Self) -> bool {
        self.era.is_none() || other.era.is_none() || self.era == other.era
    }

    /// Returns whether the revision was given before the store was restored to the era of another one.
    pub fn is_of_earlier_era(self, other: Self) -> bool {
        !self.shares_era(other) && self.era < other.era
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            Some(era) => write!(f, "{era}.{}", self.number),
            None => write!(f, "?.{}", self.number),
        }
    }
}
