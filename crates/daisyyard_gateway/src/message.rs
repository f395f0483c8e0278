//! Messages to the actor that owns the gateway's view of endpoints and of other gateways.

use std::sync::Arc;
use std::time::Instant;

use daisyyard_core::allowance::{self, Bound};
use daisyyard_core::backlog::Due;
use daisyyard_core::endpoint::Endpoint;
use daisyyard_core::id::{EndpointId, InstanceId, RequestId, Revision, ServiceId};
use daisyyard_core::load::{Load, Need};
use daisyyard_core::pool::Signal;
use tokio::sync::{mpsc, oneshot};
use xtra::WeakAddress;

use crate::dialect::Fact;
use crate::pool::Pool;

/// What happens to the endpoint of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Notice {
    /// The endpoint leaves soon, or has left the list.
    Leaving,
}

/// Asks for an endpoint.
#[derive(Debug)]
pub(crate) struct Claim {
    /// What the request needs.
    pub(crate) need: Need,
    /// When the request is due.
    pub(crate) due: Due,
    /// Endpoints that are not asked again.
    pub(crate) excluded: Vec<EndpointId>,
    /// Receives the endpoint; dropped if none has room in time.
    pub(crate) reply: oneshot::Sender<Grant>,
}

/// An endpoint that a request may be sent to; dropping it frees the room.
#[derive(Debug)]
pub(crate) struct Grant {
    /// Identifier of the run.
    pub(crate) run: RequestId,
    /// Endpoint that runs the request.
    pub(crate) endpoint: Arc<Endpoint>,
    /// Engine that keeps a copy of the run's memory.
    pub(crate) backup: Option<Arc<Endpoint>>,
    /// Share of the endpoint's memory that was reserved with the request.
    pub(crate) filled: f64,
    /// What happens to the endpoint.
    pub(crate) notices: mpsc::Receiver<Notice>,
    /// How the run ended, as far as is known.
    pub(crate) sign: Signal,
    /// Address of the actor.
    pub(crate) pool: WeakAddress<Pool>,
}

impl Drop for Grant {
    fn drop(&mut self) {
        let (pool, done) = (self.pool.clone(), Done(self.run, self.sign));
        // The actor outlives requests except when the process ends.
        tokio::spawn(async move {
            let _ = pool.send(done).await;
        });
    }
}

/// Says that a run has ended.
#[derive(Debug)]
pub(crate) struct Done(pub(crate) RequestId, pub(crate) Signal);

/// Says that the first token of a run has arrived.
#[derive(Debug)]
pub(crate) struct First(pub(crate) RequestId);

/// Makes the engine with the copy the endpoint of a run, and asks for an engine for a new copy.
#[derive(Debug)]
pub(crate) struct Hop(pub(crate) RequestId);

/// Takes a hop back: the run stays at its engine, and the other one keeps the copy.
#[derive(Debug)]
pub(crate) struct Undo(
    pub(crate) RequestId,
    pub(crate) EndpointId,
    pub(crate) EndpointId,
);

/// Gives up the engine with the copy of a run; it is not chosen for this run again.
#[derive(Debug)]
pub(crate) struct Abandon(pub(crate) RequestId);

/// Asks how a run can get away from an engine that leaves; room for it is reserved.
#[derive(Debug)]
pub(crate) struct Escape(pub(crate) RequestId);

/// How a run can get away from its engine.
#[derive(Debug, Clone)]
pub(crate) enum Way {
    /// It goes on at the engine that keeps a copy.
    Backup,
    /// Its memory is moved to an engine with room.
    Move(Arc<Endpoint>),
    /// No engine has room now.
    Nowhere,
}

/// Asks whether a request may be sent once more to a service.
#[derive(Debug)]
pub(crate) struct Repeat(pub(crate) ServiceId);

/// Counts a request for a service.
#[derive(Debug)]
pub(crate) struct Count(pub(crate) ServiceId);

/// Asks which addresses a caller in a zone may use.
#[derive(Debug)]
pub(crate) struct Offer(pub(crate) String);

/// Says that this gateway is leaving.
#[derive(Debug)]
pub(crate) struct Leave;

/// Replaces the bound on repeated sends.
#[derive(Debug)]
pub(crate) struct Rebind(pub(crate) Bound);

/// Changes of the store.
#[derive(Debug)]
pub(crate) struct Facts {
    /// What the keys say.
    pub(crate) list: Vec<Fact>,
    /// Until when an entry that is missing may come back, if the store was away.
    pub(crate) doubt: Option<Instant>,
    /// Whether the facts are a complete list, so that what it does not name is gone.
    pub(crate) complete: bool,
    /// Revision of the store up to which the facts are complete.
    pub(crate) revision: Revision,
    /// Version of the configuration in force; none before the first is known.
    pub(crate) version: Option<Revision>,
}

/// Asks for this gateway's digest.
#[derive(Debug)]
pub(crate) struct Digest;

/// The loads of one gateway.
#[derive(Debug)]
pub(crate) struct Report {
    /// Gateway that has the loads.
    pub(crate) from: InstanceId,
    /// Whether it is leaving.
    pub(crate) leaving: bool,
    /// Version of the configuration in force there; zero before the first is known.
    pub(crate) version: Revision,
    /// Revision of the store at which the newest endpoint was listed.
    pub(crate) arrival: Revision,
    /// Endpoints that began to leave, with the revisions of the store that say so.
    pub(crate) departures: Vec<(EndpointId, Revision)>,
    /// Endpoints that it leaves out because its requests failed there.
    pub(crate) ejections: Vec<EndpointId>,
    /// Whether the report has nothing but further loads of the one before.
    pub(crate) rest: bool,
    /// Its loads.
    pub(crate) loads: Vec<(EndpointId, Load)>,
    /// Its requests and repeated sends.
    pub(crate) counts: Vec<(ServiceId, allowance::Count)>,
}
