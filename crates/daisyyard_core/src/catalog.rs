//! Routes, services, client accounts and limits of one configuration version.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use daisyyard_derive::{key, value};

use crate::account::Account;
use crate::id::{Revision, ServiceId, Tokens};
use crate::warmup::ColdStart;

/// Priority of a request; zero is the highest.
pub type Priority = u8;

/// Whether a request may be repeated, and how it is answered.
#[key]
pub enum Kind {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run at most once.
    NonIdempotent,
    /// The request is answered with a stream of events. It may run at most once, unless the stream
    /// may be resumed.
    Streaming,
}

/// How requests below one path prefix are served.
#[value]
pub struct Route {
    /// Name shown to operators.
    pub name: String,
    /// Path prefix, which begins and ends with a slash.
    pub path_prefix: String,
    /// Whether requests may be repeated.
    pub kind: Kind,
    /// Time limit for the complete answer.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, has its full worth.
    pub target_latency: Duration,
    /// Longest pause between two events of a stream for which it has its full worth, if the route
    /// sets one.
    pub target_gap: Option<Duration>,
    /// Whether a stream may be resumed after an event, at any endpoint.
    pub resumable: bool,
    /// Number of endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Priority of the requests.
    pub priority: Priority,
    /// Whether requests need no credential.
    pub public: bool,
    /// Services that answer the requests, with their relative shares of the traffic.
    pub shares: Vec<(ServiceId, u32)>,
}

/// A service that routes send requests to.
#[key]
pub struct Service {
    /// Identifier derived from the name.
    pub id: ServiceId,
    /// Number of connections that one endpoint accepts from all clients.
    pub max_connections: u32,
    /// Properties of the engines, if the endpoints are engines.
    pub engine: Option<Engine>,
    /// What endpoints tolerate while they are cold, if that is limited.
    pub cold_start: Option<ColdStart>,
}

/// Properties that all engines of a service have in common.
#[key]
pub struct Engine {
    /// Tokens of context that fit into the memory of an engine.
    pub memory: Tokens,
    /// Whether an engine can replicate the memory of a run to another engine during the run.
    pub backups: bool,
    /// Whether an engine can migrate a run to another engine.
    pub moves: bool,
    /// Time for which engines keep a copy that is not used.
    pub handle_time: Duration,
    /// Time that the link of an engine needs for the memory of one token.
    pub token_time: Duration,
}

/// A client account and its priority, to which a credential maps.
#[value]
pub struct Client {
    /// The account.
    pub account: Account,
    /// Priority that overrides that of the route.
    pub priority: Option<Priority>,
}

/// Limits on requests and connections of clients.
#[key]
pub struct Limits {
    /// Largest header section of a request, in bytes.
    pub max_header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Time within which a head must be complete, if the configuration sets it.
    pub header_timeout: Option<Duration>,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// Result of the access check of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Access {
    /// The route needs no credential, and no known one was given.
    Open,
    /// The credential belongs to a client account.
    Granted(Arc<Client>),
    /// The credential is missing or not known.
    Denied,
}

/// A configuration version, indexed for lookups.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Catalog {
    /// Version of the configuration, which never decreases.
    pub version: Revision,
    /// Limits on clients.
    pub limits: Limits,
    /// Services by identifier.
    services: HashMap<ServiceId, Service>,
    /// Routes by lower-case host, longest prefix first.
    hosts: HashMap<String, Vec<Arc<Route>>>,
    /// Clients by credential; absent if the configuration contains no clients.
    clients: Option<HashMap<String, Arc<Client>>>,
}

impl Catalog {
    /// Indexes a configuration version. Each route is given with its host, each client with its
    /// credentials.
    pub fn new(
        version: Revision,
        limits: Limits,
        services: Vec<Service>,
        routes: Vec<(String, Route)>,
        clients: Option<Vec<(Client, Vec<String>)>>,
    ) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for (host, route) in routes {
            let routes = hosts.entry(host.to_ascii_lowercase()).or_default();
            routes.push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let clients = clients.map(|clients| {
            let credentials = clients.into_iter().flat_map(|(client, credentials)| {
                let client = Arc::new(client);
                let grant = move |credential| (credential, Arc::clone(&client));
                credentials.into_iter().map(grant)
            });
            credentials.collect()
        });
        Self {
            version,
            limits,
            services: services
                .into_iter()
                .map(|service| (service.id, service))
                .collect(),
            hosts,
            clients,
        }
    }

    /// Returns the route of a host with the longest prefix that matches a path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(&name.to_ascii_lowercase())?;
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Checks whether a credential gives access to a route.
    pub fn access(&self, route: &Route, credential: Option<&str>) -> Access {
        let Some(clients) = &self.clients else {
            return Access::Open;
        };
        let client = credential.and_then(|credential| clients.get(credential));
        match client {
            Some(client) => Access::Granted(Arc::clone(client)),
            None if route.public => Access::Open,
            None => Access::Denied,
        }
    }

    /// Returns the service with the given identifier.
    pub fn service(&self, id: ServiceId) -> Option<&Service> {
        self.services.get(&id)
    }

    /// Returns what cold endpoints tolerate, by service.
    pub fn cold_starts(&self) -> HashMap<ServiceId, ColdStart> {
        let services = self.services.values();
        let limited = services.filter_map(|service| Some((service.id, service.cold_start?)));
        limited.collect()
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}

impl Route {
    /// Returns whether a request may run more than once: it is idempotent, or a stream that may be
    /// resumed.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::NonIdempotent => false,
            Kind::Streaming => self.resumable,
        }
    }

    /// Returns the service at a point of the traffic split, from 0 (inclusive) to 1 (exclusive).
    pub fn service(&self, point: f64) -> Option<ServiceId> {
        let total: u32 = self.shares.iter().map(|(_, share)| share).sum();
        let mut left = point * f64::from(total);
        let found = self.shares.iter().find(|(_, share)| {
            left -= f64::from(*share);
            left < 0.0
        });
        found.or(self.shares.last()).map(|(service, _)| *service)
    }
}
