//! Guards against requests that take the wrong route, or are allowed with an invalid credential.

use std::time::Duration;

use assert_matches::assert_matches;
use daisyyard_core::account::Account;
use daisyyard_core::catalog::{Access, Catalog, Client, Kind, Limits, Route};
use daisyyard_core::id;

/// Returns a route with the given path prefix.
fn route(name: &str, prefix: &str, public: bool) -> Route {
    Route {
        name: name.to_owned(),
        path_prefix: prefix.to_owned(),
        kind: Kind::NonIdempotent,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_secs(1),
        target_gap: None,
        resumable: false,
        max_attempts: 1,
        priority: 0,
        public,
        shares: vec![(id::of("one"), 90), (id::of("two"), 10)],
    }
}

/// Returns a catalog with two routes for one host.
fn catalog(clients: Option<Vec<(Client, Vec<String>)>>) -> Catalog {
    let limits = Limits {
        max_header_bytes: 1,
        max_body_bytes: 1,
        header_timeout: None,
        idle_timeout: Duration::ZERO,
    };
    let routes = vec![
        ("Desk.example".to_owned(), route("short", "/a/", false)),
        ("desk.example".to_owned(), route("long", "/a/b/", true)),
    ];
    Catalog::new(1, limits, Vec::new(), routes, clients)
}

/// The longest matching prefix is selected, hosts match regardless of case and port, and a prefix
/// includes its final slash.
#[test]
fn longest_prefix() {
    let catalog = catalog(None);
    let name = |host, path| catalog.route(host, path).map(|route| route.name.clone());
    assert_eq!(name("desk.example", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(name("DESK.example:80", "/a/c").as_deref(), Some("short"));
    assert_eq!(name("desk.example", "/a/bc").as_deref(), Some("short"));
    assert_eq!(name("desk.example", "/a"), None);
    assert_eq!(name("other.example", "/a/b"), None);
}

/// Only a listed credential grants access; public routes and catalogs without client accounts
/// need none.
#[test]
fn credential_access() {
    let client = Client {
        account: Account::new("member"),
        priority: Some(1),
    };
    let guarded = catalog(Some(vec![(client.clone(), vec!["key".to_owned()])]));
    let route = guarded.route("desk.example", "/a/c").expect("a route");
    assert_matches!(guarded.access(route, Some("key")), Access::Granted(found) if *found == client);
    assert_eq!(guarded.access(route, Some("another")), Access::Denied);
    assert_eq!(guarded.access(route, None), Access::Denied);
    let public = guarded.route("desk.example", "/a/b/c").expect("a route");
    assert_eq!(guarded.access(public, None), Access::Open);
    assert_eq!(catalog(None).access(route, None), Access::Open);
    let without_clients = catalog(Some(Vec::new()));
    assert_eq!(without_clients.access(route, None), Access::Denied);
}

/// A point in 0..1 selects a service in proportion to the shares of the route.
#[test]
fn traffic_shares() {
    let route = route("split", "/", false);
    assert_eq!(route.service(0.0), Some(id::of("one")));
    assert_eq!(route.service(0.89), Some(id::of("one")));
    assert_eq!(route.service(0.91), Some(id::of("two")));
    assert_eq!(route.service(1.0), Some(id::of("two")));
}
