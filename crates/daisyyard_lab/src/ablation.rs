//! Ablation: parts of the decisions that an experiment can leave out to measure their effect.

use daisyyard_derive::key;

/// Part of the decisions that an experiment can leave out.
#[key]
pub enum Part {
    /// Capacity shares guaranteed to each rank under overload by the other.
    Floors,
    /// Fair queuing between accounts; without it, all requests belong to one account.
    FairQueue,
    /// Counting of the node's own sends since the last digest in the load of an engine.
    OwnSends,
    /// Preference for engines that have the prompt prefix cached.
    PrefixLocality,
    /// Asking another engine after a refusal.
    SecondEngine,
    /// Preference for engines in the node's availability zone.
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

    /// Returns the name used on the command line.
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

    /// Returns the part with the given name, if there is one.
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|part| part.name() == name)
    }
}
