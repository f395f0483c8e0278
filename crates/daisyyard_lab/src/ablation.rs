//! Parts of the decisions that an experiment can leave out, to measure what each is worth.

use daisyyard_derive::key;

/// A part of the decisions that is left out.
#[key]
pub enum Part {
    /// Shares that each rank keeps in a flood of the other.
    Floors,
    /// Fairness between accounts: all requests count for one account.
    FairQueue,
    /// Own sends since the last digest, in the load of an engine.
    OwnSends,
    /// Preference for engines that have a prompt prefix cached.
    PrefixLocality,
    /// Asking another engine when one refuses.
    SecondEngine,
    /// Preference for engines in the node's own zone.
    Zones,
}

impl Part {
    /// All parts.
    pub const ALL: [Self; 6] = [
        Self::Floors,
        Self::FairQueue,
        Self::OwnSends,
        Self::PrefixLocality,
        Self::SecondEngine,
        Self::Zones,
    ];

    /// Returns the name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Floors => "floors",
            Self::FairQueue => "fair-queue",
            Self::OwnSends => "own-sends",
            Self::PrefixLocality => "prefix-locality",
            Self::SecondEngine => "second-engine",
            Self::Zones => "zones",
        }
    }

    /// Returns the part with the given name.
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|part| part.name() == name)
    }
}
