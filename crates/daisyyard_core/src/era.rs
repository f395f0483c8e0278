//! The era of the platform's store as its responses state it.

use daisyyard_derive::key;

use crate::revision::Era;

/// What a response of the store states about its era.
#[key]
pub enum Statement {
    /// Nothing.
    Absent,
    /// The era.
    Stated(Era),
    /// Something that is not a number.
    Unusable,
}

/// What a response shows about the store.
#[key]
pub enum Verdict {
    /// It belongs to the known era.
    Current,
    /// It is the first one after the store has come back from a copy; the era before is given.
    Restored(Era),
    /// It belongs to an era that has ended, so that its content must not be used.
    Outdated,
}

/// Era of a store, as far as its responses have shown it.
#[derive(Debug, Default)]
pub struct Tracker {
    /// The highest era that was stated; none before the first response.
    era: Option<Era>,
    /// Whether the last response lacked an era although earlier ones had one, or had an unusable one.
    doubtful: bool,
}

impl Tracker {
    /// Returns the current era; zero if the store states none.
    #[must_use]
    pub fn era(&self) -> Era {
        self.era.unwrap_or(0)
    }

    /// Records what a response states. One that states no usable era counts for the known one: the
    /// store may be behind a proxy that drops headers.
    pub fn record(&mut self, statement: Statement) -> Verdict {
        let Statement::Stated(stated) = statement else {
            self.era.get_or_insert(0);
            return Verdict::Current;
        };
        match self.era {
            Some(known) if stated < known => Verdict::Outdated,
            Some(known) if stated > known => {
                self.era = Some(stated);
                Verdict::Restored(known)
            }
            _ => {
                self.era = Some(stated);
                Verdict::Current
            }
        }
    }

    /// Returns whether a response is the first one in a row that lacks an era although earlier ones had one,
    /// or that has an unusable one.
    pub fn is_newly_doubtful(&mut self, statement: Statement) -> bool {
        let lacks = match statement {
            Statement::Absent => self.era() > 0,
            Statement::Stated(_) => false,
            Statement::Unusable => true,
        };
        let was_doubtful = std::mem::replace(&mut self.doubtful, lacks);
        lacks && !was_doubtful
    }
}
