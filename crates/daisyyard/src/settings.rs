//! Settings of a node, read from a JSON file with comments.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use daisyyard_derive::{key, value};

use crate::settings_parser::{self, Expectation, Faults, Parser, Section};

/// Settings of one node.
#[value]
pub struct Settings {
    /// Name of the instance.
    pub name: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Region of the availability zone.
    pub region: String,
    /// Address for callers and operators.
    pub listen: SocketAddr,
    /// Address for other nodes.
    pub peer: SocketAddr,
    /// Address of the platform's instance list.
    pub instance_list: SocketAddr,
    /// Address of the platform's configuration service.
    pub store: SocketAddr,
    /// Key shared by all nodes, which authenticates peers and signs generation ids.
    pub key: String,
    /// Services of the built-in preset, which is in force until a preset document exists.
    pub services: Vec<String>,
    /// Client accounts and their credentials.
    pub accounts: Vec<Credential>,
    /// Operators and their credentials.
    pub operators: Vec<Credential>,
    /// Timeouts of the request path.
    pub timing: Timing,
    /// Level and format of the log.
    pub log: Log,
}

/// Timeouts of the request path.
#[key]
pub struct Timing {
    /// Time without bytes on an engine's connection after which the engine is probed.
    pub stall_timeout: Duration,
    /// Time for which a generation continues without a caller, so that the caller can reconnect.
    pub reconnect_grace: Duration,
    /// Time without progress after which the stream to a slow caller is ended.
    pub slow_caller_timeout: Duration,
    /// Time for which callers may cache the answer of `GET /addresses`.
    pub addresses_ttl: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            // 1 s plus twice the target of 31 ms between tokens.
            stall_timeout: Duration::from_millis(1_062),
            reconnect_grace: Duration::from_secs(5),
            slow_caller_timeout: Duration::from_mins(1),
            addresses_ttl: Duration::from_secs(10),
        }
    }
}

/// Credential of a client account or an operator.
#[value]
pub struct Credential {
    /// Name of the client account or operator.
    pub name: String,
    /// Bearer token that authenticates the holder.
    pub token: String,
}

/// Level and format of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Log {
    /// Lowest severity that is logged.
    pub level: Level,
    /// Format of the lines.
    pub format: Format,
}

/// Severity of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Level {
    /// Diagnostics for developers.
    Debug,
    /// Changes of state in normal operation.
    Info,
    /// Conditions that may need an operator.
    Warn,
    /// Failures that need an operator.
    Error,
}

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Human-readable lines.
    Text,
    /// One JSON object per line.
    Json,
}

impl Settings {
    /// Level and format of the log unless the settings name others.
    pub const DEFAULT_LOG: Log = Log {
        level: Level::Info,
        format: Format::Text,
    };

    /// Returns warnings about settings that are valid but probably unintended.
    pub fn warnings(&self) -> Vec<String> {
        let mut warnings = Vec::new();
        if self.accounts.is_empty() {
            warnings.push("accounts is empty: every caller will be refused".to_owned());
        }
        if self.operators.is_empty() {
            warnings.push("operators is empty: no preset can be changed here".to_owned());
        }
        if self.services.is_empty() {
            warnings.push("services is empty: nothing is served before a preset exists".to_owned());
        }
        warnings
    }
}

/// Reads and parses a settings file.
pub fn load(path: &Path) -> anyhow::Result<Settings> {
    Ok(parse(path, &settings_parser::read_file(path)?)?)
}

/// Parses the text of a settings file; the error lists every fault.
pub fn parse(path: &Path, text: &str) -> Result<Settings, Faults> {
    let (mut parser, mut root) = Parser::open(path, text)?;
    let (s, r) = (&mut parser, &mut root);
    let settings = Settings {
        name: s.string(r, "name", "\"entry-1\""),
        zone: s.string(r, "zone", "\"costa-a\""),
        region: s.string(r, "region", "\"costa\""),
        listen: s.address(r, "listen"),
        peer: s.address(r, "peer"),
        instance_list: s.address(r, "list"),
        store: s.address(r, "store"),
        key: s.secret(r, "key"),
        services: s.strings(r, "services", "[\"asistente\"]"),
        accounts: s.objects(
            r,
            "accounts",
            "[{ \"account\": \"a\", \"token\": \"t\" }]",
            |s, r| credential(s, r, "account"),
        ),
        operators: s.objects(
            r,
            "operators",
            "[{ \"operator\": \"o\", \"token\": \"t\" }]",
            |s, r| credential(s, r, "operator"),
        ),
        timing: s.optional_object(r, "timing", timing).unwrap_or_default(),
        log: Log {
            level: level(s, r),
            format: format(s, r),
        },
    };
    parser.reject_unknown_keys(root);
    parser.finish(settings)
}

/// Parses one credential; `key` names the key that holds the account or operator.
fn credential<'a>(
    parser: &mut Parser<'a>,
    section: &mut Section<'a>,
    key: &'static str,
) -> Credential {
    Credential {
        name: parser.string(section, key, "\"name\""),
        token: parser.secret(section, "token"),
    }
}

/// Parses the timeouts and their bounds; a missing key takes the default.
fn timing<'a>(s: &mut Parser<'a>, r: &mut Section<'a>) -> Timing {
    let default = Timing::default();
    Timing {
        stall_timeout: s.millis(r, "stall_ms", 100..=60_000, default.stall_timeout),
        reconnect_grace: s.millis(r, "grace_ms", 0..=600_000, default.reconnect_grace),
        slow_caller_timeout: s.millis(
            r,
            "slow_caller_ms",
            1_000..=3_600_000,
            default.slow_caller_timeout,
        ),
        addresses_ttl: s.millis(r, "addresses_ms", 100..=600_000, default.addresses_ttl),
    }
}

/// Parses the log level, `info` by default.
fn level<'a>(parser: &mut Parser<'a>, section: &mut Section<'a>) -> Level {
    let expectation = Expectation {
        expected: "one of info, debug, warn, error",
        example: "\"info\"",
    };
    let choices = [
        ("info", Level::Info),
        ("debug", Level::Debug),
        ("warn", Level::Warn),
        ("error", Level::Error),
    ];
    parser.choice(section, "log_level", expectation, &choices)
}

/// Parses the log format, `text` by default.
fn format<'a>(parser: &mut Parser<'a>, section: &mut Section<'a>) -> Format {
    let expectation = Expectation {
        expected: "one of text, json",
        example: "\"json\"",
    };
    parser.choice(
        section,
        "log_format",
        expectation,
        &[("text", Format::Text), ("json", Format::Json)],
    )
}
