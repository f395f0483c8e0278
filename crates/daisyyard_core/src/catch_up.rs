//! How a node that is behind the store catches up: by the changes that it has missed, or by the current
//! state.
//!
//! The load that this answers: large values that change often, read over slow links. Each missed change
//! of a value repeats all of it, and a read that fails is repeated with yet more of them, so that
//! nodes might never be up to date again. The state does not grow with the time that a node was away.

/// Size of the changes in bytes below which they are read in any case. A state that was read early may
/// be far smaller than the current one.
const MIN_CHANGE_BYTES: usize = 64 << 10;
/// Maximum size of the changes, in sizes of the state. Reading the state instead takes a further call.
const MAX_CHANGE_STATES: usize = 2;

/// How a read of changes has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The changes were read.
    Complete,
    /// The store did not answer, or rejected the call.
    Unanswered,
    /// The response began, but was too large or broke off.
    Abandoned,
    /// The store has discarded some of the changes.
    Discarded,
}

/// What to read next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// The changes since the last read.
    Changes,
    /// The whole state.
    State,
}

/// How one node catches up.
#[derive(Debug, Default)]
pub struct CatchUp {
    /// Size of the state in bytes when it was last read.
    state_bytes: usize,
}

impl CatchUp {
    /// Records that the whole state was read.
    pub fn record_state(&mut self, bytes: usize) {
        self.state_bytes = bytes;
    }

    /// Returns the size in bytes above which changes are not read.
    #[must_use]
    pub fn max_change_bytes(&self) -> usize {
        let bytes = self.state_bytes.saturating_mul(MAX_CHANGE_STATES);
        bytes.max(MIN_CHANGE_BYTES)
    }
}

impl End {
    /// Returns what to read next.
    #[must_use]
    pub fn next(self) -> Next {
        match self {
            Self::Complete | Self::Unanswered => Next::Changes,
            Self::Abandoned | Self::Discarded => Next::State,
        }
    }
}
