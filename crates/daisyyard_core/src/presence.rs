//! Presence in the instance list: when an endpoint that is no longer listed is gone.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use daisyyard_derive::key;

use crate::id::EndpointId;

/// Time of absence after which an endpoint is gone.
const GONE: Duration = Duration::from_secs(10);
/// Answers in which an endpoint must be absent before it is gone; one answer may be cut short.
const ANSWERS: u32 = 3;
/// Time of absence after which an endpoint is forgotten; until then its streams can be resumed.
const FORGET: Duration = Duration::from_mins(2);

/// What to do with an endpoint that is not listed.
#[key]
pub enum Next {
    /// Give the endpoint no new work.
    Leave(EndpointId),
    /// Remove all that is known about the endpoint.
    Forget(EndpointId),
}

/// Endpoints that the list has shown and shows no more.
#[derive(Debug, Default)]
pub struct Presence {
    /// When each was first absent, and in how many answers.
    absent: HashMap<EndpointId, (Instant, u32)>,
}

impl Presence {
    /// Creates a presence that has seen no list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Compares the known endpoints with an answer of the list. An empty answer is no evidence.
    pub fn compare(
        &mut self,
        known: &[EndpointId],
        listed: &[EndpointId],
        now: Instant,
    ) -> Vec<Next> {
        if listed.is_empty() {
            return Vec::new();
        }
        self.absent
            .retain(|id, _| known.contains(id) && !listed.contains(id));
        let mut next = Vec::new();
        for id in known.iter().filter(|id| !listed.contains(id)) {
            let (since, answers) = self.absent.entry(*id).or_insert((now, 0));
            *answers += 1;
            let absence = now.duration_since(*since);
            if absence >= FORGET {
                next.push(Next::Forget(*id));
            } else if absence >= GONE && *answers >= ANSWERS {
                next.push(Next::Leave(*id));
            }
        }
        next
    }
}
