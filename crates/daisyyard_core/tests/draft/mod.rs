//! A configuration without faults, which tests change.

use std::time::Duration;

use daisyyard_core::catalog::{Kind, Limits};
use daisyyard_core::draft::{Account, Draft, Fingerprint, Route, Service};

/// Returns a route without faults.
pub fn route(name: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "desk.example".to_owned(),
        path_prefix: format!("/{name}/"),
        kind: Kind::Idempotent,
        timeout: Duration::from_secs(4),
        target_latency: Some(Duration::from_secs(1)),
        target_gap: None,
        resumable: false,
        max_attempts: 2,
        priority: 0,
        public: false,
        service: Some("desk".to_owned()),
        shares: Vec::new(),
    }
}

/// Returns a service without faults.
pub fn service(name: &str) -> Service {
    Service {
        name: name.to_owned(),
        max_connections: 10,
        engine: None,
        cold_s: 0.0,
        cold_per_s: 0.0,
    }
}

/// Returns an account with a credential.
pub fn account(name: &str, credential: &str) -> Account {
    Account {
        name: name.to_owned(),
        credentials: vec![Fingerprint::new(credential)],
        priority: None,
    }
}

/// Returns a configuration without faults.
pub fn draft() -> Draft {
    Draft {
        version: 7,
        limits: Limits {
            max_header_bytes: 16_384,
            max_body_bytes: 65_536,
            header_timeout: Some(Duration::from_secs(3)),
            idle_timeout: Duration::from_secs(15),
        },
        services: vec![service("desk")],
        routes: vec![route("read"), route("find")],
        accounts: Some(vec![account("one", "key-1"), account("two", "key-2")]),
    }
}
