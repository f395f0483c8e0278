//! Endpoints that crash at the same moment, such as those of a lost rack.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

use crate::crash::Crash;
use crate::id::EndpointId;

/// Number of endpoints that must crash at a moment for it to say nothing about the contents that were in
/// progress. Otherwise a few such losses in a row would refuse what many sound requests share.
const MIN_COMMON_LOSSES: usize = 3;
/// Time by which such crashes may differ. Contents that crash endpoints do so at unrelated times.
const COMMON_LOSS_TIME: Duration = Duration::from_millis(100);
/// Largest number of crashes that are kept.
const MAX_LOSSES: usize = 64;

/// The latest crashes of endpoints, whatever they ran.
#[derive(Debug, Default)]
pub(crate) struct Losses(VecDeque<Crash>);

impl Losses {
    /// Adds a crash; returns whether it was not known.
    pub(crate) fn add(&mut self, crash: Crash) -> bool {
        if self.0.iter().any(|known| known.is_same(&crash)) {
            return false;
        }
        self.0.push_back(crash);
        if self.0.len() > MAX_LOSSES {
            self.0.pop_front();
        }
        true
    }

    /// Returns whether many endpoints crashed at the moment of a crash.
    pub(crate) fn are_many_with(&self, crash: &Crash) -> bool {
        let losses = self.0.iter().filter(|loss| coincide(loss, crash));
        let endpoints: HashSet<EndpointId> = losses.map(|loss| loss.endpoint).collect();
        endpoints.len() >= MIN_COMMON_LOSSES
    }
}

/// Returns whether two crashes occurred at the same moment, and neither run was sent after the crash of the
/// other one.
fn coincide(one: &Crash, other: &Crash) -> bool {
    let (first, last) = (one.at.min(other.at), one.at.max(other.at));
    let sent = one.sent_at.max(other.sent_at);
    last.saturating_duration_since(first) <= COMMON_LOSS_TIME && sent <= first
}
