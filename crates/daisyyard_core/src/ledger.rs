//! The ledger of one engine, kept by the engine's home node: admission by slots and memory.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use daisyyard_derive::{record, value};

use crate::contract::Rank;
use crate::endpoint::{Endpoint, Load};
use crate::id::{AccountId, EndpointId, InstanceId, RequestId, ServiceId, Tokens};
use crate::preset::Terms;

/// Time after which a grant ends unless progress renews it.
pub const GRANT_LIFETIME: Duration = Duration::from_secs(10);

/// A node's request to run a generation on the engine.
#[value]
pub struct Ask {
    /// Request that asks.
    pub request: RequestId,
    /// Node that holds the request.
    pub node: InstanceId,
    /// Client account of the request.
    pub account: AccountId,
    /// Rank of the request.
    pub rank: Rank,
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Prompt tokens that the engine is likely to have cached.
    pub cached: Tokens,
    /// Output tokens that the node expects, from what it has seen.
    pub expected: Tokens,
    /// Time after which an admission is of no use to the caller.
    pub deadline: Instant,
}

/// Answer to an [`Ask`].
#[value]
pub enum Answer {
    /// Send the request to the engine now.
    Grant,
    /// Keep the request; a [`Next::Grant`] or [`Next::Refuse`] follows.
    Wait,
    /// Refuse the request or ask another engine.
    Refuse {
        /// When asking again may help.
        retry_after: Duration,
    },
}

/// What the home node must do after time passed or capacity changed.
#[value]
pub enum Next {
    /// Tell the node that its waiting request is granted.
    Grant {
        /// Node that holds the request.
        node: InstanceId,
        /// Request that is granted.
        request: RequestId,
    },
    /// Tell the node that its waiting request is refused.
    Refuse {
        /// Node that holds the request.
        node: InstanceId,
        /// Request that is refused.
        request: RequestId,
        /// When asking again may help.
        retry_after: Duration,
    },
    /// Tell the node to give up a running generation, because memory runs out.
    Yield {
        /// Node that holds the request.
        node: InstanceId,
        /// Request that is given up.
        request: RequestId,
    },
}

/// State of the engine that the home shares with nodes, for their routing.
#[record]
pub struct Digest {
    /// Engine that the digest describes.
    pub endpoint: EndpointId,
    /// Granted generations.
    pub running: u32,
    /// Requests that wait for a grant.
    pub queued: u32,
    /// Tokens of memory that are neither used nor promised.
    pub free: Tokens,
    /// Mean time between tokens in the last load report.
    pub gap: Duration,
}

/// A generation that holds a share of the engine.
#[derive(Debug)]
struct Grant {
    /// Node that holds the request.
    node: InstanceId,
    /// Tokens of memory promised to the generation.
    reserved: Tokens,
    /// When the grant ends unless progress renews it.
    expires: Instant,
}

/// The ledger of one engine.
#[derive(Debug)]
pub struct Ledger {
    /// Engine that the ledger describes.
    endpoint: EndpointId,
    /// Terms of the engine's service in the preset in force.
    terms: Terms,
    /// Generations that the engine may run at the same time.
    slots: u32,
    /// Tokens that the engine's memory holds.
    memory: Tokens,
    /// Running generations.
    grants: HashMap<RequestId, Grant>,
    /// Requests that wait, first come first served within each rank.
    queues: [VecDeque<(Ask, Instant)>; 2],
    /// Last load report.
    load: Option<Load>,
}

impl Ledger {
    /// Creates the ledger of an engine.
    pub fn new(endpoint: &Endpoint, terms: Terms, _now: Instant) -> Self {
        Self {
            endpoint: endpoint.id,
            terms,
            slots: endpoint.slots,
            memory: endpoint.memory,
            grants: HashMap::new(),
            queues: [VecDeque::new(), VecDeque::new()],
            load: None,
        }
    }

    /// Takes the terms of a new preset into force.
    pub fn adopt(&mut self, terms: Terms) {
        self.terms = terms;
    }

    /// Returns the service of the engine.
    pub fn service(&self) -> ServiceId {
        self.terms.service
    }

    /// Answers a node that asks to run a generation.
    pub fn ask(&mut self, ask: Ask, now: Instant) -> Answer {
        if self.queues.iter().all(VecDeque::is_empty) && self.fits(&ask) {
            self.grant(&ask, now);
            return Answer::Grant;
        }
        self.queues[ask.rank as usize].push_back((ask, now));
        Answer::Wait
    }

    /// Records the tokens that a generation has made and renews its grant.
    pub fn progress(&mut self, request: RequestId, made: Tokens, now: Instant) {
        if let Some(grant) = self.grants.get_mut(&request) {
            grant.reserved = grant.reserved.max(made);
            grant.expires = now + GRANT_LIFETIME;
        }
    }

    /// Ends a generation or withdraws a waiting request.
    pub fn release(&mut self, request: RequestId, _made: Tokens, _now: Instant) {
        self.grants.remove(&request);
        for queue in &mut self.queues {
            queue.retain(|(ask, _)| ask.request != request);
        }
    }

    /// Takes a load report of the engine.
    pub fn report(&mut self, load: Load, _now: Instant) {
        self.memory = load.memory;
        self.load = Some(load);
    }

    /// Grants and refuses waiting requests after time passed or capacity changed.
    pub fn tick(&mut self, now: Instant) -> Vec<Next> {
        self.grants.retain(|_, grant| grant.expires > now);
        let mut next = Vec::new();
        for rank in Rank::ALL {
            self.admit(rank, now, &mut next);
        }
        next
    }

    /// Returns what nodes need to know for their routing.
    pub fn digest(&self, _now: Instant) -> Digest {
        Digest {
            endpoint: self.endpoint,
            running: self.grants.len() as u32,
            queued: self.queues.iter().map(|queue| queue.len() as u32).sum(),
            free: self.free(),
            gap: self.load.as_ref().map_or(Duration::ZERO, |load| load.gap),
        }
    }

    /// Grants waiting requests of one rank while they fit and refuses those that waited too long.
    fn admit(&mut self, rank: Rank, now: Instant, next: &mut Vec<Next>) {
        let patience = self.terms.contract(rank).queue;
        while let Some((ask, since)) = self.queues[rank as usize].pop_front() {
            if now > ask.deadline || now.saturating_duration_since(since) > patience {
                let (node, request) = (ask.node, ask.request);
                next.push(Next::Refuse {
                    node,
                    request,
                    retry_after: patience,
                });
            } else if self.fits(&ask) {
                self.grant(&ask, now);
                next.push(Next::Grant {
                    node: ask.node,
                    request: ask.request,
                });
            } else {
                self.queues[rank as usize].push_front((ask, since));
                return;
            }
        }
    }

    /// Returns whether a generation fits the free slots and memory.
    fn fits(&self, ask: &Ask) -> bool {
        let slots = self.grants.len() < self.slots as usize;
        slots && (self.grants.is_empty() || ask.prompt + ask.expected <= self.free())
    }

    /// Returns the tokens of memory that are neither used nor promised.
    fn free(&self) -> Tokens {
        let reserved = self.grants.values().map(|grant| grant.reserved).sum();
        self.memory.saturating_sub(reserved)
    }

    /// Gives a request its share of the engine.
    fn grant(&mut self, ask: &Ask, now: Instant) {
        let reserved = ask.prompt + ask.expected;
        let expires = now + GRANT_LIFETIME;
        self.grants.insert(
            ask.request,
            Grant {
                node: ask.node,
                reserved,
                expires,
            },
        );
    }

    /// Returns the requests of a node that hold a grant.
    pub fn held_by(&self, node: InstanceId) -> Vec<RequestId> {
        let held = self.grants.iter().filter(|(_, grant)| grant.node == node);
        held.map(|(request, _)| *request).collect()
    }
}
