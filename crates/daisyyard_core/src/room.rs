//! Room at the endpoints of a service as one node sees it.

use std::time::Instant;

use daisyyard_derive::key;

use crate::access::{Access, Reason};
use crate::candidate::Candidate;
use crate::endpoint::Kind;
use crate::id::{EndpointId, ServiceId, Tokens};
use crate::pool::Pool;

/// Share of the memory of an engine that new long runs may reserve where room for short ones is kept by a
/// forecast. The rest is for outputs that are longer than expected: runs at different stages need
/// more than the reserved share of their outputs by about a fiftieth of the memory, rarely twice that.
pub const FORECAST_LONG_RUN_SHARE: f64 = 0.95;
/// Number of prompt tokens that wait at an engine above which no further request is sent to it. It
/// keeps an engine that reads some 14 tokens in a millisecond busy until others know of its load,
/// and the rest waits at the nodes, where its order can still change.
pub const MAX_WAITING_PREFILL: Tokens = 5_000;

/// Room at the endpoints of a service that may receive requests.
#[key]
#[derive(Default)]
pub struct Room {
    /// Memory of all endpoints.
    pub memory: Tokens,
    /// Memory that is reserved.
    pub held: Tokens,
    /// Number of short requests for which there is room.
    pub short_places: usize,
    /// Whether an endpoint is idle.
    pub idle: bool,
    /// Most free memory of an endpoint.
    pub most: Tokens,
    /// Endpoint with the most free memory.
    pub roomiest: Option<EndpointId>,
}

impl Pool {
    /// Returns the room at a service whose engines have this memory; places are counted for
    /// short requests of a size.
    pub fn room(
        &self,
        service: ServiceId,
        memory: Tokens,
        short_size: Tokens,
        now: Instant,
    ) -> Room {
        let mut room = Room::default();
        for (id, candidate) in &self.candidates {
            if candidate.endpoint.service != service {
                continue;
            }
            let (memory, held, places) = match candidate.access(now) {
                Access::Open => candidate.sizes(memory, short_size, now),
                Access::Closed(Reason::Brittle, _) => {
                    // It has room again once a run ends.
                    let (memory, _, _) = candidate.sizes(memory, short_size, now);
                    (memory, memory, 0)
                }
                Access::Closed(..) => continue,
            };
            room.memory += memory;
            room.held += held;
            room.short_places += places;
            room.idle |= held == 0;
            let free = memory.saturating_sub(held);
            if free > room.most {
                room.most = free;
                room.roomiest = Some(*id);
            }
        }
        room
    }

    /// Sets limits of all engines: the share of the memory that long runs may reserve, and the prompt
    /// tokens that may wait when a request is sent.
    pub fn limit_engines(&mut self, max_long_share: f64, max_prefill: Tokens) {
        for candidate in self.candidates.values_mut() {
            candidate.max_long_share = max_long_share;
            candidate.max_prefill = max_prefill;
        }
    }
}

impl Candidate {
    /// Returns the memory, the reserved memory and the number of places of a size; the memory of an
    /// engine is given.
    fn sizes(&self, memory: Tokens, size: Tokens, now: Instant) -> (Tokens, Tokens, usize) {
        let load = self.load(now);
        match self.endpoint.kind {
            Kind::Engine => {
                let by_memory = memory.saturating_sub(load.tokens) / size.max(1);
                let by_slots = u64::from(self.endpoint.slots.saturating_sub(load.runs));
                (memory, load.tokens, by_memory.min(by_slots) as usize)
            }
            Kind::Plain => {
                let memory = self.max_plain_runs(now);
                let free = memory.saturating_sub(load.runs);
                (memory.into(), load.runs.into(), free as usize)
            }
        }
    }
}
