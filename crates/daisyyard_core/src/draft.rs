//! A configuration version as its author wrote it, before it becomes a catalog.
//!
//! A [`Catalog`](crate::catalog::Catalog) is indexed for lookups and no longer has names of services,
//! duplicates or values without effect. A draft keeps them, so that they can be reported.

use std::fmt;
use std::time::Duration;

use daisyyard_derive::{key, record, value};
use sha2::{Digest, Sha256};

use crate::catalog::{Kind, Limits, Priority};
use crate::id::{Revision, Tokens};

/// Number of bytes of a fingerprint that are shown: enough to tell credentials apart, too few to find
/// one.
const SHOWN_BYTES: usize = 4;

/// A configuration version in the order of its entries.
#[record]
pub struct Draft {
    /// Version of the configuration.
    pub version: Revision,
    /// Limits on clients.
    pub limits: Limits,
    /// Services.
    pub services: Vec<Service>,
    /// Routes.
    pub routes: Vec<Route>,
    /// Client accounts; absent if requests need no credential.
    pub accounts: Option<Vec<Account>>,
}

/// A route as it is written.
#[record]
pub struct Route {
    /// Name shown to operators.
    pub name: String,
    /// Host that requests must name.
    pub host: String,
    /// Path prefix.
    pub path_prefix: String,
    /// Whether requests may be repeated.
    pub kind: Kind,
    /// Time limit for the complete answer.
    pub timeout: Duration,
    /// Target latency, if it is written.
    pub target_latency: Option<Duration>,
    /// Longest pause between two events that is in time, if it is written.
    pub target_gap: Option<Duration>,
    /// Whether a stream may be resumed after an event.
    pub resumable: bool,
    /// Number of endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Priority of the requests.
    pub priority: Priority,
    /// Whether requests need no credential.
    pub public: bool,
    /// The only service, if it is written.
    pub service: Option<String>,
    /// Services that share the traffic, with their weights; they replace the only service.
    pub shares: Vec<(String, f64)>,
}

/// A service as it is written.
#[record]
pub struct Service {
    /// Name that routes refer to.
    pub name: String,
    /// Number of connections that one endpoint accepts.
    pub max_connections: u32,
    /// Properties of the engines, if the endpoints are engines.
    pub engine: Option<Engine>,
    /// Time after a start for which an endpoint is cold, in seconds.
    pub cold_s: f64,
    /// Requests per second that a cold endpoint tolerates.
    pub cold_per_s: f64,
}

/// Properties of engines as they are written.
#[record]
pub struct Engine {
    /// Tokens of context that fit into the memory of an engine.
    pub memory: Tokens,
    /// Time for which engines keep a copy that is not used, in seconds.
    pub handle_s: f64,
    /// Memory of one token in bytes.
    pub token_bytes: f64,
    /// Rate of the link between engines in Mbit/s.
    pub link_mbps: f64,
    /// Whether an engine can migrate a run.
    pub moves: bool,
    /// Whether an engine can replicate the memory of a run.
    pub backups: bool,
}

/// A client account as it is written.
#[value]
pub struct Account {
    /// Name of the account.
    pub name: String,
    /// Fingerprints of its credentials.
    pub credentials: Vec<Fingerprint>,
    /// Priority that overrides that of the route.
    pub priority: Option<Priority>,
}

/// Fingerprint of a credential, which stands for it wherever it is compared or shown.
#[key]
pub struct Fingerprint([u8; 32]);

/// Place of an entry in a configuration.
#[key]
pub enum Entry {
    /// The version.
    Version,
    /// A limit on clients.
    Limits(Field),
    /// A route by its position.
    Route(usize, Field),
    /// A service by its position.
    Service(usize, Field),
    /// All client accounts.
    Accounts,
    /// A client account by its position.
    Account(usize, Field),
}

/// Part of an entry.
#[key]
pub enum Field {
    /// The entry as a whole.
    Whole,
    /// Name.
    Name,
    /// Host of a route.
    Host,
    /// Path prefix of a route.
    PathPrefix,
    /// Kind of a route.
    Kind,
    /// Time limit of a route.
    Timeout,
    /// Target latency of a route.
    TargetLatency,
    /// Longest pause between two events.
    TargetGap,
    /// Whether streams may be resumed.
    Resumable,
    /// Number of endpoints that one request may be sent to.
    MaxAttempts,
    /// Priority of a route or an account.
    Priority,
    /// Whether requests need no credential.
    Public,
    /// The only service of a route.
    Service,
    /// Services that share the traffic of a route.
    Shares,
    /// Service of one share by its position.
    ShareService(usize),
    /// Weight of one share by its position.
    ShareWeight(usize),
    /// Number of connections that one endpoint accepts.
    MaxConnections,
    /// Memory of an engine.
    Memory,
    /// Time for which engines keep a copy.
    HandleTime,
    /// Memory of one token.
    TokenBytes,
    /// Rate of the link between engines.
    LinkRate,
    /// Whether an engine can migrate a run.
    Moves,
    /// Whether an engine can replicate the memory of a run.
    Backups,
    /// Time for which an endpoint is cold.
    ColdTime,
    /// Rate that a cold endpoint tolerates.
    ColdRate,
    /// Credentials of an account.
    Credentials,
    /// One credential by its position.
    Credential(usize),
    /// Largest header section.
    MaxHeaderBytes,
    /// Largest body.
    MaxBodyBytes,
    /// Time within which a head must be complete.
    HeaderTimeout,
    /// Time after which an idle connection is closed.
    IdleTimeout,
}

impl Draft {
    /// Returns whether requests of a route need a credential.
    pub(crate) fn is_guarded(&self, route: &Route) -> bool {
        self.accounts.is_some() && !route.public
    }
}

impl Route {
    /// Returns whether a request may run more than once.
    pub(crate) fn is_repeatable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::NonIdempotent => false,
            Kind::Streaming => self.resumable,
        }
    }

    /// Returns the services that it leads to, with the fields that name them.
    pub(crate) fn targets(&self) -> Vec<(Field, &str)> {
        if self.shares.is_empty() {
            let only = self.service.iter();
            return only.map(|name| (Field::Service, name.as_str())).collect();
        }
        let shares = self.shares.iter().enumerate();
        shares
            .map(|(index, (name, _))| (Field::ShareService(index), name.as_str()))
            .collect()
    }
}

impl Fingerprint {
    /// Returns the fingerprint of a credential.
    pub fn new(credential: &str) -> Self {
        Self(Sha256::digest(credential.as_bytes()).into())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "sha256:")?;
        let mut shown = self.0.iter().take(SHOWN_BYTES);
        shown.try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
