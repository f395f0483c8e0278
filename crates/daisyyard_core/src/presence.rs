//! Absence of endpoints from the instance list, and when it means that they are gone.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use daisyyard_derive::key;

use crate::id::EndpointId;

/// Time of absence after which an endpoint is gone.
const GONE_AFTER: Duration = Duration::from_secs(10);
/// Answers of the list in which an endpoint must be absent before it is gone; a single answer may
/// be truncated.
const MIN_ABSENT_ANSWERS: u32 = 3;
/// Time of absence after which an endpoint is forgotten; until then, its streams can be resumed.
const FORGET_AFTER: Duration = Duration::from_mins(2);

/// What to do with an endpoint that is not listed.
#[key]
pub enum Action {
    /// Treat the endpoint as gone and send it no new requests.
    Gone(EndpointId),
    /// Remove all state of the endpoint.
    Forget(EndpointId),
}

/// Known endpoints that are absent from the instance list.
#[derive(Debug, Default)]
pub struct Presence {
    /// Time of the first absence of each endpoint, and the number of answers without it since then.
    absent: HashMap<EndpointId, (Instant, u32)>,
}

impl Presence {
    /// Creates a presence without absent endpoints.
    pub fn new() -> Self {
        Self::default()
    }

    /// Compares the known endpoints with an answer of the instance list. An empty answer is no
    /// evidence of absence and is ignored.
    pub fn compare(
        &mut self,
        known: &[EndpointId],
        listed: &[EndpointId],
        now: Instant,
    ) -> Vec<Action> {
        if listed.is_empty() {
            return Vec::new();
        }
        self.absent
            .retain(|id, _| known.contains(id) && !listed.contains(id));
        let mut actions = Vec::new();
        for id in known.iter().filter(|id| !listed.contains(id)) {
            let (since, answers) = self.absent.entry(*id).or_insert((now, 0));
            *answers += 1;
            let absence = now.duration_since(*since);
            if absence >= FORGET_AFTER {
                actions.push(Action::Forget(*id));
            } else if absence >= GONE_AFTER && *answers >= MIN_ABSENT_ANSWERS {
                actions.push(Action::Gone(*id));
            }
        }
        actions
    }
}
