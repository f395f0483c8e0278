//! Settings of a node, written in JSON with comments.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use daisyyard_derive::{key, value};

use crate::scan::{self, Faults, Scan, Section, Shape};

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
    pub list: SocketAddr,
    /// Address of the platform's configuration service.
    pub store: SocketAddr,
    /// Key shared by all nodes, for the authentication of peers and stream identifiers.
    pub key: String,
    /// Services that the built-in preset covers until a document exists.
    pub services: Vec<String>,
    /// Client accounts and their credentials.
    pub accounts: Vec<Credential>,
    /// Operators and their credentials.
    pub operators: Vec<Credential>,
    /// Time limits of the request path.
    pub timing: Timing,
    /// How events are logged.
    pub log: Log,
}

/// Time limits of the request path.
#[key]
pub struct Timing {
    /// Time without bytes after which a connection to an engine is probed.
    pub stall: Duration,
    /// Time for which a generation goes on after its caller is gone.
    pub grace: Duration,
    /// Time without progress after which the stream to a slow caller is ended.
    pub slow_caller: Duration,
    /// Time for which callers keep the addresses that they were given.
    pub addresses: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            // Twice the target of 31 ms between tokens, plus 1 s.
            stall: Duration::from_millis(1_062),
            grace: Duration::from_secs(5),
            slow_caller: Duration::from_mins(1),
            addresses: Duration::from_secs(10),
        }
    }
}

/// Credential of a client account or an operator.
#[value]
pub struct Credential {
    /// Name of the client account or operator.
    pub name: String,
    /// Bearer token that is presented.
    pub token: String,
}

/// How events are logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Log {
    /// Least severe level that is logged.
    pub level: Level,
    /// Form of the lines.
    pub format: Format,
}

/// Level of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Level {
    /// Everything.
    Debug,
    /// What happens in ordinary service.
    Info,
    /// What may need an operator.
    Warn,
    /// What needs an operator.
    Error,
}

/// Form of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Lines for people.
    Text,
    /// One JSON object a line.
    Json,
}

impl Settings {
    /// How events are logged unless set.
    pub const LOG: Log = Log {
        level: Level::Info,
        format: Format::Text,
    };

    /// Returns warnings about settings that work but are probably not meant.
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

/// Loads the settings from a file.
pub fn load(path: &Path) -> anyhow::Result<Settings> {
    Ok(parse(path, &scan::read(path)?)?)
}

/// Reads the settings from the text of a file, or lists every fault.
pub fn parse(path: &Path, text: &str) -> Result<Settings, Faults> {
    let (mut scan, mut root) = Scan::open(path, text)?;
    let (s, r) = (&mut scan, &mut root);
    let settings = Settings {
        name: s.text(r, "name", "\"entry-1\""),
        zone: s.text(r, "zone", "\"costa-a\""),
        region: s.text(r, "region", "\"costa\""),
        listen: s.address(r, "listen"),
        peer: s.address(r, "peer"),
        list: s.address(r, "list"),
        store: s.address(r, "store"),
        key: s.secret(r, "key"),
        services: s.texts(r, "services", "[\"asistente\"]"),
        accounts: s.sections(
            r,
            "accounts",
            "[{ \"account\": \"a\", \"token\": \"t\" }]",
            |s, r| credential(s, r, "account"),
        ),
        operators: s.sections(
            r,
            "operators",
            "[{ \"operator\": \"o\", \"token\": \"t\" }]",
            |s, r| credential(s, r, "operator"),
        ),
        timing: s.section(r, "timing", timing).unwrap_or_default(),
        log: Log {
            level: level(s, r),
            format: format(s, r),
        },
    };
    scan.close(root);
    scan.finish(settings)
}

/// Reads one credential.
fn credential<'a>(scan: &mut Scan<'a>, section: &mut Section<'a>, key: &'static str) -> Credential {
    Credential {
        name: scan.text(section, key, "\"name\""),
        token: scan.secret(section, "token"),
    }
}

/// Reads the time limits.
fn timing<'a>(s: &mut Scan<'a>, r: &mut Section<'a>) -> Timing {
    let default = Timing::default();
    Timing {
        stall: s.millis(r, "stall_ms", 100..=60_000, default.stall),
        grace: s.millis(r, "grace_ms", 0..=600_000, default.grace),
        slow_caller: s.millis(r, "slow_caller_ms", 1_000..=3_600_000, default.slow_caller),
        addresses: s.millis(r, "addresses_ms", 100..=600_000, default.addresses),
    }
}

/// Reads the log level.
fn level<'a>(scan: &mut Scan<'a>, section: &mut Section<'a>) -> Level {
    let shape = Shape {
        expected: "one of info, debug, warn, error",
        example: "\"info\"",
    };
    let choices = [
        ("info", Level::Info),
        ("debug", Level::Debug),
        ("warn", Level::Warn),
        ("error", Level::Error),
    ];
    scan.choice(section, "log_level", shape, &choices)
}

/// Reads the form of log lines.
fn format<'a>(scan: &mut Scan<'a>, section: &mut Section<'a>) -> Format {
    let shape = Shape {
        expected: "one of text, json",
        example: "\"json\"",
    };
    scan.choice(
        section,
        "log_format",
        shape,
        &[("text", Format::Text), ("json", Format::Json)],
    )
}
