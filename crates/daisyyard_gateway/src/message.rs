//! Messages to the pool actor, which owns the gateway's state of endpoints and other gateways.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use daisyyard_core::backlog::Schedule;
use daisyyard_core::catalog::Client;
use daisyyard_core::continuation::{Holder, Standby};
use daisyyard_core::crash;
use daisyyard_core::endpoint::Endpoint;
use daisyyard_core::evacuation::Order;
use daisyyard_core::forecast::Stream;
use daisyyard_core::gate::Waiting;
use daisyyard_core::id::{EndpointId, Fingerprint, InstanceId, RequestId, ServiceId, Version};
use daisyyard_core::knowledge;
use daisyyard_core::load::{Load, Need};
use daisyyard_core::migration::RunState;
use daisyyard_core::pool::Signal;
use daisyyard_core::rate;
use daisyyard_core::refusals::Refused;
use daisyyard_core::revision::{Era, Revision};
use daisyyard_core::roster::Role;
use daisyyard_core::shared_retry_budget::{self, Limits};
use daisyyard_core::statement::Leaver;
use daisyyard_core::throttle;
use daisyyard_core::turn::Ask;
use daisyyard_core::warmup::{self, Allowance, ColdStart};
use daisyyard_core::workload::Part;
use tokio::sync::{mpsc, oneshot};
use xtra::WeakAddress;

use crate::codec::{Item, Record};
use crate::pool::Pool;

/// A change of the endpoint on which a run executes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Notice {
    /// The endpoint is leaving or its entry was deleted.
    Leaving,
}

/// Asks for an endpoint for a request.
#[derive(Debug)]
pub(crate) struct Claim {
    /// Resources that the request needs.
    pub(crate) need: Need,
    /// Priority and times of the request.
    pub(crate) schedule: Schedule,
    /// What the request asks for if the gateway admits by costs.
    pub(crate) ask: Ask,
    /// Client account of the request.
    pub(crate) client: Option<Arc<Client>>,
    /// Endpoints that must not be chosen again.
    pub(crate) excluded: Vec<EndpointId>,
    /// Fingerprints of what the caller asks for.
    pub(crate) contents: Arc<[Fingerprint]>,
    /// Whether the request has waited because endpoints were cold.
    pub(crate) waited_for_cold: bool,
    /// Receives the placement; dropped if no endpoint has capacity in time.
    pub(crate) reply: oneshot::Sender<Placement>,
}

/// Where a request may run.
#[derive(Debug)]
pub(crate) enum Placement {
    /// It may run at this endpoint.
    Granted(Grant),
    /// It crashes endpoints and is refused for this time.
    Refused(Duration),
    /// All endpoints that might run it are in evacuated availability zones.
    Evacuated,
    /// No capacity is expected for it in time; it should return after this time.
    Shed(Duration),
    /// All endpoints turn requests away; it should return after this time.
    TurnedAway(Duration),
}

/// A reservation of an endpoint for a request; dropping it releases the capacity.
#[derive(Debug)]
pub(crate) struct Grant {
    /// Identifier of the run.
    pub(crate) run: RequestId,
    /// Endpoint that runs the request.
    pub(crate) endpoint: Arc<Endpoint>,
    /// Engine that keeps a backup of the run's KV cache.
    pub(crate) backup: Option<Arc<Endpoint>>,
    /// Share of the endpoint's KV cache that was reserved after the request was added.
    pub(crate) memory_share: f64,
    /// When the endpoint was chosen.
    pub(crate) placed_at: Instant,
    /// Place in the rate of a cold or limited endpoint; none once the request may have left.
    pub(crate) place: Option<rate::Place>,
    /// Receives changes of the endpoint.
    pub(crate) notices: mpsc::Receiver<Notice>,
    /// What the end of the run indicates about the endpoint.
    pub(crate) signal: Signal,
    /// Address of the pool actor.
    pub(crate) pool: WeakAddress<Pool>,
}

impl Drop for Grant {
    fn drop(&mut self) {
        let (pool, done) = (self.pool.clone(), Release(self.run, self.signal));
        let place = self.place.map(|place| GiveBack(self.endpoint.id, place));
        // The pool outlives all requests unless the process ends.
        tokio::spawn(async move {
            if let Some(place) = place {
                let _ = pool.send(place).await;
            }
            let _ = pool.send(done).await;
        });
    }
}

/// Releases the reservation of a run that has ended.
#[derive(Debug)]
pub(crate) struct Release(pub(crate) RequestId, pub(crate) Signal);

/// Gives back a place in the rate of an endpoint, because the request has certainly not left.
#[derive(Debug)]
pub(crate) struct GiveBack(pub(crate) EndpointId, pub(crate) rate::Place);

/// Asks for a place in the rate of an endpoint at which a run is to resume.
#[derive(Debug)]
pub(crate) struct Enter(pub(crate) EndpointId);

/// Reports that an incarnation of an endpoint has stated for how long it is still cold.
#[derive(Debug)]
pub(crate) struct LearnCold(pub(crate) EndpointId, pub(crate) u64, pub(crate) Duration);

/// Replaces what cold endpoints tolerate, by service.
#[derive(Debug)]
pub(crate) struct SetColdStarts(pub(crate) HashMap<ServiceId, ColdStart>);

/// Replaces how far requests to cold endpoints may exceed that.
#[derive(Debug)]
pub(crate) struct SetColdAllowance(pub(crate) Option<Allowance>);

/// Reports that the first token of a run has arrived.
#[derive(Debug)]
pub(crate) struct FirstToken(pub(crate) RequestId);

/// Reports that the endpoint of a run has broken it off, and for how long it had sent data.
#[derive(Debug)]
pub(crate) struct Break(pub(crate) RequestId, pub(crate) Duration);

/// Reports that the endpoint of a run has sent data for some time.
#[derive(Debug)]
pub(crate) struct Progress(pub(crate) RequestId, pub(crate) Duration);

/// Reports gaps between events of a run.
#[derive(Debug)]
pub(crate) struct ObserveGaps(pub(crate) RequestId, pub(crate) Vec<Duration>);

/// Makes another engine the endpoint of a run: the one that holds a copy of its memory or is to receive
/// it. Asks for an engine for a new backup.
#[derive(Debug)]
pub(crate) struct Failover {
    /// The run.
    pub(crate) run: RequestId,
    /// What its end indicates about the previous endpoint.
    pub(crate) signal: Signal,
    /// The previous endpoint, as it was when it took the run.
    pub(crate) source: Holder,
    /// Whether an engine without a copy may be chosen, to which the run is moved.
    pub(crate) moves: bool,
}

/// Engines of a run that another engine takes over.
#[derive(Debug)]
pub(crate) struct Takeover {
    /// Engine that continues the run.
    pub(crate) engine: Arc<Endpoint>,
    /// What was known of the copy of the run's memory.
    pub(crate) standby: Standby,
    /// Engine for a new backup of the run's KV cache.
    pub(crate) backup: Option<Arc<Endpoint>>,
    /// Whether the previous engine accepts requests, as far as is known.
    pub(crate) source_open: bool,
}

/// Asks whether an engine is in service and has not been started anew.
#[derive(Debug)]
pub(crate) struct Confirm(pub(crate) Holder);

/// Reports that an event shows that the endpoint of a run has taken it.
#[derive(Debug)]
pub(crate) struct Taken(pub(crate) RequestId);

/// Reports that a copy of a run to an engine has ended.
#[derive(Debug)]
pub(crate) struct Copied {
    /// The run.
    pub(crate) run: RequestId,
    /// Engine that holds the copy.
    pub(crate) target: EndpointId,
    /// Handle of the copy.
    pub(crate) handle: String,
    /// Until when the engines keep the copy if it is not used.
    pub(crate) until: Instant,
}

/// How a run that is being moved goes on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Outlook {
    /// Time that its engine is expected to have left.
    pub(crate) left: Duration,
    /// Whether the target is still in service.
    pub(crate) target_open: bool,
}

/// Asks for another engine at which a run starts anew. The signal is that of the previous endpoint.
#[derive(Debug)]
pub(crate) struct Restart(pub(crate) RequestId, pub(crate) Signal);

/// Engines of a run that starts anew.
#[derive(Debug)]
pub(crate) enum Place {
    /// The engine that executes the run, and the one that receives a backup of its KV cache.
    Engine(Arc<Endpoint>, Option<Arc<Endpoint>>),
    /// All other engines are full at the moment.
    Full,
    /// There is no other engine.
    Missing,
}

/// Reverts a failover: the run stays at the first engine, and this is known of its copy.
#[derive(Debug)]
pub(crate) struct Rollback(
    pub(crate) RequestId,
    pub(crate) EndpointId,
    pub(crate) Standby,
);

/// Gives up the copy of a run, and excludes its engine from further choices for this run.
#[derive(Debug)]
pub(crate) struct Abandon(pub(crate) RequestId);

/// Asks how a run can migrate away from a leaving engine, and reserves capacity for it.
#[derive(Debug)]
pub(crate) struct Migrate(pub(crate) RequestId, pub(crate) RunState);

/// How a run can migrate away from its engine.
#[derive(Debug, Clone)]
pub(crate) enum Plan {
    /// The run stays: it ends in time, has a backup from which it continues once its engine ends, waits
    /// for others that are moved first, or no engine has capacity at the moment.
    Stay,
    /// The KV cache moves to this engine, which has capacity.
    Move(Arc<Endpoint>),
}

/// Asks whether the retry budget of a service allows another send.
#[derive(Debug)]
pub(crate) struct Retry(pub(crate) ServiceId);

/// Gives back a send that the retry budget allowed and that reached no endpoint.
#[derive(Debug)]
pub(crate) struct ReturnRetry(pub(crate) ServiceId);

/// Counts a request to a service toward its retry budget.
#[derive(Debug)]
pub(crate) struct Count(pub(crate) ServiceId);

/// Asks for the gateway addresses that a caller in a zone may use.
#[derive(Debug)]
pub(crate) struct Offer(pub(crate) String);

/// Marks this gateway as leaving.
#[derive(Debug)]
pub(crate) struct Leave;

/// Replaces the limits of the retry budget.
#[derive(Debug)]
pub(crate) struct SetRetryLimits(pub(crate) Limits);

/// Records that the watcher has read from the store.
#[derive(Debug)]
pub(crate) struct Update {
    /// Decoded contents of the keys.
    pub(crate) records: Vec<Record>,
    /// Changes among the records that may be passed on.
    pub(crate) items: Vec<Item>,
    /// Until when a missing entry may be registered again, if the store was unavailable.
    pub(crate) relist_deadline: Option<Instant>,
    /// Whether the records are a complete list, so that entries missing from it no longer exist.
    pub(crate) complete: bool,
    /// When the records were complete; none if they may have been old when they were read.
    pub(crate) complete_at: Option<Instant>,
    /// Revision of the store up to which the records are complete.
    pub(crate) revision: Revision,
    /// Version of the current configuration; `None` until the first one is read.
    pub(crate) version: Option<Version>,
}

/// Reports whether this gateway reaches the store.
#[derive(Debug)]
pub(crate) struct StoreReach(pub(crate) bool);

/// What the watcher has to know about this gateway's part in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Standing {
    /// Number of known gateways, including this one.
    pub(crate) gateways: usize,
    /// Part of this gateway in the fleet.
    pub(crate) role: Role,
    /// Whether digests arrive from other gateways.
    pub(crate) connected: bool,
    /// Whether the store may have changed for so long that this gateway must read it.
    pub(crate) stale: bool,
    /// Latest era of the store that this or another gateway has read.
    pub(crate) era: Era,
}

impl Default for Standing {
    /// Returns the part of a gateway that knows no other one.
    fn default() -> Self {
        Self {
            gateways: 1,
            role: Role::Reader,
            connected: false,
            stale: true,
            era: 0,
        }
    }
}

impl Standing {
    /// Returns whether other gateways tell this one what changes in the store.
    pub(crate) fn is_told(&self) -> bool {
        self.connected && self.role != Role::Reader && !self.stale
    }
}

/// Asks for this gateway's digest and its recipients.
#[derive(Debug)]
pub(crate) struct Digest;

/// Asks for the crashes and proofs of contents that this gateway reports.
#[derive(Debug)]
pub(crate) struct ShareEvidence;

/// Crashes and proofs of contents that a gateway reports.
#[derive(Debug, Default)]
pub(crate) struct EvidenceReport {
    /// Identifier of the gateway.
    pub(crate) from: InstanceId,
    /// Changes with each observation of the gateway.
    pub(crate) revision: u64,
    /// Records for the gateways that serve callers.
    pub(crate) recent: Vec<crash::Record>,
    /// Records for the gateways in reserve.
    pub(crate) refused: Vec<crash::Record>,
}

/// Asks for the identifier of this gateway and the gateways that rely on its news of the store.
#[derive(Debug)]
pub(crate) struct ShareNews;

/// What a gateway cannot reach.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Lost {
    /// Whether the store does not answer it.
    pub(crate) store: bool,
    /// Whether it is cut off from the endpoints.
    pub(crate) endpoints: bool,
}

/// The digest of one gateway.
#[derive(Debug)]
pub(crate) struct Report {
    /// Gateway that sent the digest.
    pub(crate) from: InstanceId,
    /// Whether the sender is leaving.
    pub(crate) leaving: bool,
    /// What the sender cannot reach.
    pub(crate) lost: Lost,
    /// Version of the sender's current configuration; zero until it has read the first one.
    pub(crate) version: Version,
    /// Age of what the sender knows of the configuration; none if it is stale.
    pub(crate) knowledge: Option<knowledge::Report>,
    /// Era of the store that the sender has read; zero if it knows none.
    pub(crate) era: Era,
    /// Leaving endpoints, with the revisions of the store at which they began to leave.
    pub(crate) departures: Vec<(EndpointId, Revision)>,
    /// Endpoints that the sender has ejected because its requests to them failed.
    pub(crate) ejections: Vec<EndpointId>,
    /// Cold endpoints that the sender knows by itself.
    pub(crate) cold: Vec<warmup::Report>,
    /// Incarnations that have stated to the sender that they leave.
    pub(crate) leavers: Vec<Leaver>,
    /// What endpoints have stated to the sender on their limits.
    pub(crate) limits: Vec<throttle::Report>,
    /// What endpoints have stated to the sender on their brittleness.
    pub(crate) brittle: Vec<throttle::Report>,
    /// Identifies the set of endpoints that the readers of the store know; zero if it is unknown.
    pub(crate) listing: u64,
    /// Newest orders to evacuate availability zones that the sender knows.
    pub(crate) evacuations: Vec<Order>,
    /// Revision of the store up to which other zones are not evacuated.
    pub(crate) evacuations_at: Revision,
    /// Whether the report only continues the loads of the previous one.
    pub(crate) continuation: bool,
    /// Load of the sender at each endpoint.
    pub(crate) loads: Vec<(EndpointId, Load)>,
    /// Time between two events at each engine that the sender has observed.
    pub(crate) paces: Vec<(EndpointId, Duration)>,
    /// Changes that the sender has read from the store.
    pub(crate) news: Vec<Item>,
    /// Time for which a deleted entry among these may be written again.
    pub(crate) relist_time: Duration,
    /// Requests and retries of the sender for each service.
    pub(crate) counts: Vec<(ServiceId, shared_retry_budget::Count)>,
    /// Crashes and proofs of contents that the sender reports.
    pub(crate) evidence: Vec<crash::Record>,
    /// Demand of the sender and of its waiting and refused requests.
    pub(crate) demand: Demand,
}

/// Demand of one gateway, empty unless it admits by costs.
#[derive(Debug, Clone, Default)]
pub(crate) struct Demand {
    /// Requests that wait, by kind.
    pub(crate) waiting: Vec<Waiting>,
    /// Requests that were refused lately.
    pub(crate) refused: Vec<Refused>,
    /// Work of the heaviest accounts and of the rest.
    pub(crate) accounts: Vec<Part>,
    /// Requests that arrive and start, by kind.
    pub(crate) streams: Vec<Stream>,
}

/// Asks for this gateway's work by account and kind; none unless it admits by costs.
#[derive(Debug)]
pub(crate) struct ShareDemand;
