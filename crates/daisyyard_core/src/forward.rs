//! Forwarding of admission requests to the home of their engine, with a local fallback.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use daisyyard_derive::key;

use crate::home;
use crate::id::{EndpointId, InstanceId, RequestId};

/// Time within which the home of an engine must answer, at least that it has queued the request.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a home that did not answer is asked again.
const HOME_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The node that decides on an admission request, and within which limits.
#[key]
pub enum Authority {
    /// This node, as the home of the engine.
    Local,
    /// Another node, as the home of the engine.
    Home(InstanceId),
    /// This node, within its local share of the engine, because the home does not answer.
    Share,
}

/// What to do with a request that was forwarded to another node.
#[key]
pub enum Action {
    /// Decide the request at this node, on the given authority.
    Decide(RequestId, Authority),
    /// Forward the request to another home, because the home of its engine has changed.
    Forward {
        /// Request to forward.
        request: RequestId,
        /// Present home.
        home: InstanceId,
        /// Home to which the request was forwarded before.
        previous: InstanceId,
    },
}

/// A request that waits for the answer of another node.
#[derive(Debug)]
struct Pending {
    /// Engine that the request is for.
    endpoint: EndpointId,
    /// Home to which the request was forwarded.
    home: InstanceId,
    /// Time at which the request was forwarded.
    forwarded_at: Instant,
    /// Whether the home has queued the request.
    queued: bool,
}

/// Requests of one node that wait for the answers of other nodes.
#[derive(Debug)]
pub struct Relay {
    /// Identifier of this node.
    local: InstanceId,
    /// Nodes that may be the home of an engine.
    homes: Vec<InstanceId>,
    /// Forwarded requests that wait for an answer.
    pending: HashMap<RequestId, Pending>,
    /// Homes that did not answer, with the time at which this was last noticed.
    unresponsive: HashMap<InstanceId, Instant>,
}

impl Relay {
    /// Creates a relay at a node that knows of no other node.
    pub fn new(local: InstanceId) -> Self {
        Self {
            local,
            homes: vec![local],
            pending: HashMap::new(),
            unresponsive: HashMap::new(),
        }
    }

    /// Returns the number of nodes that share an engine. It is at least one, also while all nodes
    /// are leaving and none may be the home of an engine.
    pub fn node_count(&self) -> usize {
        self.homes.len().max(1)
    }

    /// Returns the home of an engine.
    pub fn home(&self, endpoint: EndpointId) -> InstanceId {
        home::of(endpoint, self.homes.iter().copied()).unwrap_or(self.local)
    }

    /// Returns whether this node is the home of an engine.
    pub fn is_home(&self, endpoint: EndpointId) -> bool {
        self.home(endpoint) == self.local
    }

    /// Returns the authority for a request, and records the request as forwarded if this is
    /// another node.
    pub fn assign(&mut self, request: RequestId, endpoint: EndpointId, now: Instant) -> Authority {
        let home = self.home(endpoint);
        if home == self.local {
            return Authority::Local;
        }
        let recent = |since: &Instant| now.saturating_duration_since(*since) < HOME_RETRY_DELAY;
        if self.unresponsive.get(&home).is_some_and(recent) {
            return Authority::Share;
        }
        let pending = Pending {
            endpoint,
            home,
            forwarded_at: now,
            queued: false,
        };
        self.pending.insert(request, pending);
        Authority::Home(home)
    }

    /// Records that a home has queued a request.
    pub fn queued(&mut self, request: RequestId, home: InstanceId) {
        if let Some(pending) = self.pending.get_mut(&request)
            && pending.home == home
        {
            pending.queued = true;
        }
    }

    /// Ends the wait for a home that answered. Returns false if the request was not forwarded to
    /// this home last.
    pub fn answered(&mut self, request: RequestId, home: InstanceId) -> bool {
        let asked = self.pending.get(&request).map(|pending| pending.home);
        if asked != Some(home) {
            return false;
        }
        self.unresponsive.remove(&home);
        self.pending.remove(&request).is_some()
    }

    /// Withdraws a request and returns the home to which it was forwarded, if any.
    pub fn withdraw(&mut self, request: RequestId) -> Option<InstanceId> {
        self.pending.remove(&request).map(|pending| pending.home)
    }

    /// Handles the loss of the link to a home: its requests fall back to the local share.
    pub fn link_lost(&mut self, home: InstanceId, now: Instant) -> Vec<Action> {
        let actions = self.fall_back(|pending| pending.home == home);
        // The loss of an idle link does not mean that the home is unresponsive.
        if !actions.is_empty() {
            self.unresponsive.insert(home, now);
        }
        actions
    }

    /// Replaces the homes and forwards requests again whose engine now has another home.
    pub fn update_homes(&mut self, homes: Vec<InstanceId>, now: Instant) -> Vec<Action> {
        self.homes = homes;
        self.unresponsive
            .retain(|home, _| self.homes.contains(home));
        let mut actions = Vec::new();
        for (request, pending) in &mut self.pending {
            let home = home::of(pending.endpoint, self.homes.iter().copied());
            let home = home.unwrap_or(self.local);
            if home == pending.home {
                continue;
            }
            if home == self.local {
                actions.push(Action::Decide(*request, Authority::Local));
                continue;
            }
            actions.push(Action::Forward {
                request: *request,
                home,
                previous: pending.home,
            });
            *pending = Pending {
                home,
                forwarded_at: now,
                queued: false,
                ..*pending
            };
        }
        for decided in &actions {
            if let Action::Decide(request, _) = decided {
                self.pending.remove(request);
            }
        }
        actions
    }

    /// Returns the requests whose home did not answer in time; they fall back to the local share.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let late = |pending: &Pending| {
            !pending.queued && now.saturating_duration_since(pending.forwarded_at) >= ANSWER_TIMEOUT
        };
        for pending in self.pending.values().filter(|pending| late(pending)) {
            self.unresponsive.insert(pending.home, now);
        }
        self.fall_back(late)
    }

    /// Ends the wait of the matching requests, which fall back to the local share.
    fn fall_back(&mut self, matches: impl Fn(&Pending) -> bool) -> Vec<Action> {
        let chosen = self.pending.iter().filter(|(_, pending)| matches(pending));
        let chosen: Vec<RequestId> = chosen.map(|(request, _)| *request).collect();
        for request in &chosen {
            self.pending.remove(request);
        }
        let decide = |request| Action::Decide(request, Authority::Share);
        chosen.into_iter().map(decide).collect()
    }
}
