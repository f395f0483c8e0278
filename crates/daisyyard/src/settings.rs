//! Settings of a node, written in JSON with comments.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use anyhow::Context;
use jsonc_parser::ParseOptions;
use serde::Deserialize;

/// Settings of one node.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance.
    pub name: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Region of the availability zone.
    pub region: String,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for other nodes.
    pub peer: SocketAddr,
    /// Address of the platform's instance list.
    pub list: SocketAddr,
    /// Address of the platform's configuration service.
    pub store: SocketAddr,
    /// Key shared by all nodes, for the authentication of peers and stream identifiers.
    pub key: String,
    /// Client accounts and their credentials.
    pub accounts: Vec<Credential>,
    /// Time limits of the request path.
    #[serde(default)]
    pub timing: Timing,
}

/// Time limits of the request path, in milliseconds.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// Time without bytes after which a connection to an engine is probed.
    pub stall_ms: u64,
    /// Time for which a generation goes on after its caller is gone.
    pub grace_ms: u64,
    /// Time without progress after which the stream to a slow caller is ended.
    pub slow_caller_ms: u64,
    /// Time for which callers keep the addresses that they were given.
    pub addresses_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            // Twice the target of 31 ms between tokens, plus 1 s.
            stall_ms: 1_062,
            grace_ms: 5_000,
            slow_caller_ms: 60_000,
            addresses_ms: 5_000,
        }
    }
}

impl Timing {
    /// Returns the stall limit.
    pub fn stall(&self) -> Duration {
        Duration::from_millis(self.stall_ms)
    }

    /// Returns the grace period after a caller is gone.
    pub fn grace(&self) -> Duration {
        Duration::from_millis(self.grace_ms)
    }

    /// Returns the limit on slow callers.
    pub fn slow_caller(&self) -> Duration {
        Duration::from_millis(self.slow_caller_ms)
    }

    /// Returns the time to live of address answers.
    pub fn addresses(&self) -> Duration {
        Duration::from_millis(self.addresses_ms)
    }
}

/// Credential of one client account.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Credential {
    /// Name of the client account.
    pub account: String,
    /// Bearer token that the account's callers present.
    pub token: String,
}

/// Loads the settings from a file.
pub fn load(path: &Path) -> anyhow::Result<Settings> {
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("cannot read {}; give a readable file", path.display()))?;
    let value = jsonc_parser::parse_to_serde_value(&text, &ParseOptions::default())
        .with_context(|| format!("{} is not JSON with comments", path.display()))?;
    let value: serde_json::Value = value;
    serde_json::from_value(value).with_context(|| path.display().to_string())
}
