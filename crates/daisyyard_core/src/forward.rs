//! Requests for admission that another node decides: where to ask, and what to do without answer.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use daisyyard_derive::key;

use crate::home;
use crate::id::{EndpointId, InstanceId, RequestId};

/// Time until the home of an engine must have answered, at least that the request waits.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which a home that did not answer is not asked again.
const AVOID: Duration = Duration::from_secs(1);

/// Who decides on a request for admission.
#[key]
pub enum Place {
    /// This node is the engine's home.
    Here,
    /// This other node is the engine's home.
    Home(InstanceId),
    /// The home does not answer; this node decides within its local share of the engine.
    Share,
}

/// What to do with a request that waits for another node.
#[key]
pub enum Next {
    /// Decide it here, within the place given.
    Decide(RequestId, Place),
    /// Ask this home instead of the other one.
    Ask {
        /// Request that asks.
        request: RequestId,
        /// Home that is asked now.
        home: InstanceId,
        /// Home that was asked before.
        before: InstanceId,
    },
}

/// A request that waits for another node.
#[derive(Debug)]
struct Pending {
    /// Engine that is asked for.
    endpoint: EndpointId,
    /// Home that was asked.
    home: InstanceId,
    /// When the home was asked.
    asked: Instant,
    /// Whether the home has the request in its queue.
    queued: bool,
}

/// Requests of one node that wait for other nodes.
#[derive(Debug)]
pub struct Relay {
    /// This node.
    me: InstanceId,
    /// Nodes that may be home of an engine, this one among them.
    homes: Vec<InstanceId>,
    /// Requests that wait.
    pending: HashMap<RequestId, Pending>,
    /// When a home was last found not to answer.
    lost: HashMap<InstanceId, Instant>,
}

impl Relay {
    /// Creates an empty relay at a node that knows only itself.
    pub fn new(me: InstanceId) -> Self {
        Self {
            me,
            homes: vec![me],
            pending: HashMap::new(),
            lost: HashMap::new(),
        }
    }

    /// Returns the number of nodes that share an engine, at least one: when all nodes are leaving,
    /// none may be home of an engine.
    pub fn nodes(&self) -> usize {
        self.homes.len().max(1)
    }

    /// Returns the home of an engine.
    pub fn home(&self, endpoint: EndpointId) -> InstanceId {
        home::of(endpoint, self.homes.iter().copied()).unwrap_or(self.me)
    }

    /// Returns whether this node is the home of an engine.
    pub fn is_home(&self, endpoint: EndpointId) -> bool {
        self.home(endpoint) == self.me
    }

    /// Returns who decides on a request; a request for another node is noted as asked.
    pub fn place(&mut self, request: RequestId, endpoint: EndpointId, now: Instant) -> Place {
        let home = self.home(endpoint);
        if home == self.me {
            return Place::Here;
        }
        let recent = |at: &Instant| now.saturating_duration_since(*at) < AVOID;
        if self.lost.get(&home).is_some_and(recent) {
            return Place::Share;
        }
        let pending = Pending {
            endpoint,
            home,
            asked: now,
            queued: false,
        };
        self.pending.insert(request, pending);
        Place::Home(home)
    }

    /// Notes that the home keeps the request in its queue.
    pub fn queued(&mut self, request: RequestId, home: InstanceId) {
        if let Some(pending) = self.pending.get_mut(&request)
            && pending.home == home
        {
            pending.queued = true;
        }
    }

    /// Ends the wait for a home that answered; false if this home was not asked last.
    pub fn answered(&mut self, request: RequestId, home: InstanceId) -> bool {
        let asked = self.pending.get(&request).map(|pending| pending.home);
        if asked != Some(home) {
            return false;
        }
        self.lost.remove(&home);
        self.pending.remove(&request).is_some()
    }

    /// Withdraws a request and returns the home that was asked, if any.
    pub fn withdraw(&mut self, request: RequestId) -> Option<InstanceId> {
        self.pending.remove(&request).map(|pending| pending.home)
    }

    /// Takes the loss of the link to a home: its requests are decided in the local share.
    pub fn lose(&mut self, home: InstanceId, now: Instant) -> Vec<Next> {
        let next = self.share(|pending| pending.home == home);
        // An idle link that was closed says nothing about the home.
        if !next.is_empty() {
            self.lost.insert(home, now);
        }
        next
    }

    /// Takes new homes: requests whose engine has another home now are asked again.
    pub fn adopt(&mut self, homes: Vec<InstanceId>, now: Instant) -> Vec<Next> {
        self.homes = homes;
        self.lost.retain(|home, _| self.homes.contains(home));
        let mut next = Vec::new();
        for (request, pending) in &mut self.pending {
            let home = home::of(pending.endpoint, self.homes.iter().copied());
            let home = home.unwrap_or(self.me);
            if home == pending.home {
                continue;
            }
            if home == self.me {
                next.push(Next::Decide(*request, Place::Here));
                continue;
            }
            next.push(Next::Ask {
                request: *request,
                home,
                before: pending.home,
            });
            *pending = Pending {
                home,
                asked: now,
                queued: false,
                ..*pending
            };
        }
        for decided in &next {
            if let Next::Decide(request, _) = decided {
                self.pending.remove(request);
            }
        }
        next
    }

    /// Returns the requests whose home did not answer in time, to decide in the local share.
    pub fn tick(&mut self, now: Instant) -> Vec<Next> {
        let late = |pending: &Pending| {
            !pending.queued && now.saturating_duration_since(pending.asked) >= ANSWER_TIMEOUT
        };
        for pending in self.pending.values().filter(|pending| late(pending)) {
            self.lost.insert(pending.home, now);
        }
        self.share(late)
    }

    /// Ends the wait of some requests and returns them to be decided in the local share.
    fn share(&mut self, which: impl Fn(&Pending) -> bool) -> Vec<Next> {
        let chosen = self.pending.iter().filter(|(_, pending)| which(pending));
        let chosen: Vec<RequestId> = chosen.map(|(request, _)| *request).collect();
        for request in &chosen {
            self.pending.remove(request);
        }
        let decide = |request| Next::Decide(request, Place::Share);
        chosen.into_iter().map(decide).collect()
    }
}
