//! The catalog: the routes, services, client accounts and limits of one configuration version.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use daisyyard_derive::{key, value};

use crate::account::Account;
use crate::id::{Revision, ServiceId, Tokens};

/// Rank of a request among others; zero is the most urgent.
pub type Priority = u8;

/// What may be repeated of a request.
#[key]
pub enum Kind {
    /// May run any number of times.
    Idempotent,
    /// May run once.
    Once,
    /// May run once, and is answered with a stream of events.
    Streaming,
}

/// How requests of one path are served.
#[value]
pub struct Route {
    /// Name that operators use.
    pub name: String,
    /// Start of the paths; it begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that a caller is kept waiting for the end of its answer.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, is of full worth.
    pub target: Duration,
    /// Endpoints that one request may be run by.
    pub attempts: u32,
    /// Rank of the requests.
    pub priority: Priority,
    /// Whether callers need no credential.
    pub public: bool,
    /// Services that answer, with their relative shares.
    pub shares: Vec<(ServiceId, u32)>,
}

/// A service that routes lead to.
#[key]
pub struct Service {
    /// Identifier derived from the name.
    pub id: ServiceId,
    /// Connections that one endpoint accepts from all callers together.
    pub connections: u32,
    /// Traits of the engines, if the endpoints are engines.
    pub engine: Option<Engine>,
}

/// Traits that all engines of a service share.
#[key]
pub struct Engine {
    /// Tokens of context that the memory holds.
    pub memory: Tokens,
    /// Whether an engine copies the memory of a run to another engine while it runs.
    pub backups: bool,
    /// Whether an engine moves a run to another engine when asked.
    pub moves: bool,
}

/// A client account with its rank, as a credential grants it.
#[value]
pub struct Client {
    /// The account.
    pub account: Account,
    /// Rank that takes precedence over that of the route.
    pub priority: Option<Priority>,
}

/// Limits on what callers may send, and how long they may take.
#[key]
pub struct Limits {
    /// Longest head of a request in bytes.
    pub head: usize,
    /// Longest body of a request in bytes.
    pub body: usize,
    /// Time for which a connection may be idle.
    pub idle: Duration,
}

/// Whether a request may use a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Access {
    /// The route needs no credential, and none is known.
    Open,
    /// The credential belongs to a client account.
    Granted(Arc<Client>),
    /// The credential is missing or unknown.
    Denied,
}

/// One configuration version, prepared for lookups.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Catalog {
    /// Version of the configuration; it only grows.
    pub version: Revision,
    /// Limits on callers.
    pub limits: Limits,
    /// Services by identifier.
    services: HashMap<ServiceId, Service>,
    /// Routes by lower-case host, longest prefix first.
    hosts: HashMap<String, Vec<Arc<Route>>>,
    /// Clients by credential; absent if the configuration names none.
    clients: Option<HashMap<String, Arc<Client>>>,
}

impl Catalog {
    /// Prepares a configuration version; routes are given with their hosts, clients with their
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
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
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
            services: services.into_iter().map(|one| (one.id, one)).collect(),
            hosts,
            clients,
        }
    }

    /// Returns the route with the longest prefix of a path among those of a host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(&name.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Decides whether a credential may use a route.
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

    /// Returns a service.
    pub fn service(&self, id: ServiceId) -> Option<&Service> {
        self.services.get(&id)
    }

    /// Returns the number of routes.
    pub fn routes(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}

impl Route {
    /// Returns the service at a point of the shares, from zero to below one.
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
