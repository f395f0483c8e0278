//! Configuration, endpoint entries and gateway settings of a small test deployment.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// API key of the client account.
pub const CREDENTIAL: &str = "secret-of-member-1";
/// Host name that all routes match.
pub const HOST: &str = "desk.example";

/// Returns a configuration with two streaming routes to engines, of which `check` may be resumed,
/// and three routes to plain endpoints.
pub fn config(version: u64) -> Value {
    let route = |name: &str, kind: &str, service: &str, attempts: u32, public: bool| {
        json!({
            "name": name, "host": HOST, "path_prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": 6000, "target_latency_ms": 1500, "priority": 0, "service": service,
            "max_attempts": attempts, "public": public, "sticky": false, "resumable": false,
        })
    };
    let mut check = route("check", "streaming", "model", 2, false);
    check["resumable"] = true.into();
    json!({
        "version": version,
        "routes": [
            route("draft", "streaming", "model", 1, false),
            route("book", "non_idempotent", "desk", 1, false),
            route("stock", "idempotent", "desk", 2, false),
            route("open", "idempotent", "desk", 1, true),
            check,
        ],
        "services": [
            {
                "name": "model", "health_path": "/healthz", "max_connections": 100,
                "protocol": "h1", "tls": false,
                "engine": {
                    "slots": 8, "kv_cache_tokens": 40000, "kv_bytes": 1, "link_mbps": 1.0,
                    "moves": true, "backups": true, "stride": 4, "most": 4, "pin_ms": 1.0,
                    "hold_ms": 1.0, "handle_s": 5.0, "models": [{ "name": "m" }],
                },
            },
            { "name": "desk", "health_path": "/healthz", "max_connections": 100 },
        ],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{ "name": "member-1", "api_keys": [CREDENTIAL], "priority": 1 }],
    })
}

/// Returns the store entry of an engine or a plain endpoint.
pub fn entry(service: &str, address: SocketAddr, state: &str) -> Value {
    let mut entry = json!({
        "service": service, "address": address.to_string(), "zone": "zone-a",
        "version": "v1", "slots": 8, "state": state, "cold_remaining_ms": 0, "sequence": 1,
    });
    if service == "model" {
        entry["stage"] = json!("prefill_decode");
    }
    entry
}

/// Returns the settings of a gateway. The listen addresses are those for requests, readiness, the
/// directory, digests and metrics, in this order.
pub fn settings(store: SocketAddr, number: usize, listen: [SocketAddr; 5]) -> Value {
    let [requests, ready, directory, digests, metrics] = listen.map(|one| one.to_string());
    json!({
        "name": format!("gateway-{number}"), "zone": "zone-a", "region": "region-a",
        "zones": [
            { "zone": "zone-a", "region": "region-a" },
            { "zone": "zone-b", "region": "region-a" },
        ],
        "store": store.to_string(),
        "listen": {
            "requests": requests, "ready": ready, "directory": directory, "digests": digests,
            "metrics": metrics,
        },
        "bounds": { "contact_ms": 3000, "config_ms": 2000, "grace_s": 8, "directory_s": 5 },
        "repeats": { "ratio": 0.2, "slack": 52, "window_s": 10 },
    })
}

/// Returns the body of a stream with the given number of events.
pub fn events(count: u64) -> String {
    let event = |number| format!("id: {number}\ndata: piece {number}\n\n");
    (1..=count).map(event).collect()
}
