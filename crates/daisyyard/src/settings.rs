//! Settings of a node, written in JSON with comments.

use std::net::SocketAddr;
use std::path::Path;

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
    /// Operators and their credentials.
    #[serde(default)]
    pub operators: Vec<Credential>,
    /// Services of the built-in preset, which is in force until a document exists.
    #[serde(default)]
    pub services: Vec<String>,
}

/// Credential of one client account or operator.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Credential {
    /// Name of the client account or operator.
    pub account: String,
    /// Bearer token that its holder presents.
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
