//! Revisions of the platform's store.
//!
//! The store counts its changes. After it has come back from an older copy, it gives out numbers again
//! that it had given out before, in a new era. A number therefore means nothing outside its era, and
//! whatever belongs to a later era is newer, whatever its number.

use daisyyard_derive::key;

/// Era of a store, which rises by one each time the store comes back from an older copy; zero for a
/// store that states none.
pub type Era = u64;

/// Revision of a store. Revisions are ordered by their eras first.
#[key]
#[derive(Default)]
pub struct Revision {
    /// Era in which the revision was given out.
    pub era: Era,
    /// Number of the revision; the first one in a store is above zero.
    pub number: u64,
}

impl Revision {
    /// Returns the revision with a number in an era.
    #[must_use]
    pub fn new(era: Era, number: u64) -> Self {
        Self { era, number }
    }

    /// Returns whether this is not a revision of any change.
    #[must_use]
    pub fn is_unknown(self) -> bool {
        self.number == 0
    }

    /// Returns the number if the revision belongs to an era; `None` if it belongs to another one.
    #[must_use]
    pub fn number_in(self, era: Era) -> Option<u64> {
        (self.era == era).then_some(self.number)
    }
}

impl From<u64> for Revision {
    /// Returns a revision of a store that states no era.
    fn from(number: u64) -> Self {
        Self::new(0, number)
    }
}

impl std::fmt::Display for Revision {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.era {
            0 => write!(f, "{}", self.number),
            era => write!(f, "{era}.{}", self.number),
        }
    }
}
