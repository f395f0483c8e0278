//! Operator commands for presets, status and drain, which call the admin interface of a node.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Context, bail};
use getopts::Options;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};

/// Exit code if the node did not do what was asked.
const EXIT_NOT_ACCEPTED: u8 = 1;
/// Exit code if a change may have been made.
const EXIT_UNKNOWN: u8 = 3;
/// Limit on the answer of a node, which retries an unanswered change for up to about 15 s.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Help text of the operator commands.
pub(crate) const HELP: &str = "\
Operator commands:
  preset list           list the presets and mark the one in force
  preset show NAME      show a preset
  preset put FILE       add or replace a preset from a JSON file with comments
  preset use NAME       put a preset in force
  preset diff A B       show where two presets differ
  preset history        show the latest changes
  status                show a node's members, links and configuration
  drain                 stop a node without interrupting requests

Options of the operator commands:
  --node ADDR           address of a node, such as 127.0.0.1:8080
  --token T             operator credential
  --seen REVISION       revision that the change is based on (put, use); without it, the
                        revision that the node has when the command starts
  --json                print the answer as JSON

Exit codes of the operator commands:
  0  success; a change was accepted
  1  not accepted; nothing was changed
  2  wrong usage
  3  unknown; the message names the command that shows the result
";

/// Output and exit code of a command.
#[derive(Debug, PartialEq)]
pub struct Report {
    /// Text for standard output.
    pub text: String,
    /// Exit code.
    pub code: u8,
}

/// Node that a command is sent to.
#[derive(Debug)]
struct Target {
    /// Address of the node.
    node: SocketAddr,
    /// Bearer token of the operator.
    token: String,
}

/// Result of a call to a node.
#[derive(Debug)]
enum Reply {
    /// The node answered with this status and body.
    Answer(StatusCode, Value),
    /// The request had no effect at the node, for this reason.
    Unsent(String),
    /// No complete answer arrived, so that the request may have taken effect.
    Unanswered,
}

/// Runs an operator command on a runtime and prints its report.
pub(crate) fn run(
    arguments: &[String],
    runtime: &tokio::runtime::Runtime,
) -> anyhow::Result<ExitCode> {
    let report = runtime.block_on(execute(arguments))?;
    println!("{}", report.text);
    Ok(ExitCode::from(report.code))
}

/// Runs an operator command; an error means wrong usage.
pub async fn execute(arguments: &[String]) -> anyhow::Result<Report> {
    let mut options = Options::new();
    options.optopt("n", "node", "address of a node", "ADDR");
    options.optopt("t", "token", "operator credential", "T");
    options.optopt(
        "s",
        "seen",
        "revision that the change is based on",
        "REVISION",
    );
    options.optflag("j", "json", "print the answer as JSON");
    options.optflag("h", "help", "show this help");
    let matches = options.parse(arguments)?;
    if matches.opt_present("help") {
        let text = HELP.trim_end().to_owned();
        return Ok(Report { text, code: 0 });
    }
    let node = matches
        .opt_str("node")
        .context("name a node: --node ADDR")?;
    let node = node.parse();
    let target = Target {
        node: node.context("--node takes an address such as 127.0.0.1:8080")?,
        token: matches
            .opt_str("token")
            .context("give a credential: --token T")?,
    };
    let seen: Option<u64> = matches.opt_get("seen").context("--seen takes a number")?;
    let words: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    let json = matches.opt_present("json");
    match words[..] {
        ["preset", "list"] => Ok(target.read("/admin/presets", json, describe_presets).await),
        ["preset", "show", name] => Ok(target
            .read(&preset_path(name)?, json, |value| format!("{value:#}"))
            .await),
        ["preset", "history"] => Ok(target.read("/admin/history", json, describe_history).await),
        ["preset", "diff", one, two] => target.diff(one, two, json).await,
        ["preset", "put", file] => {
            let preset = load_preset(Path::new(file))?;
            Ok(target.change("/admin/presets", &preset, seen, json).await)
        }
        ["preset", "use", name] => {
            let body = json!({"name": name});
            Ok(target.change("/admin/current", &body, seen, json).await)
        }
        ["status"] => Ok(target.read("/admin/status", json, describe_status).await),
        ["drain"] => {
            let reply = target.call(Method::POST, "/admin/drain", "").await;
            Ok(report(&reply, json, |_| "draining".to_owned()))
        }
        _ => bail!("unknown operator command; `daisyyard help` lists the commands"),
    }
}

impl Target {
    /// Sends a request to the node.
    async fn call(&self, method: Method, path: &str, body: impl Into<String>) -> Reply {
        let authorization = format!("Bearer {}", self.token);
        let headers = [("authorization", authorization.as_str())];
        let call = daisyyard_http::call(self.node, method, path, &headers, body.into());
        match tokio::time::timeout(RESPONSE_TIMEOUT, call).await {
            Ok(Ok((status, bytes))) => match serde_json::from_slice(&bytes) {
                Ok(value) => Reply::Answer(status, value),
                Err(_) => Reply::Unanswered,
            },
            Ok(Err(error)) if error.downcast_ref::<std::io::Error>().is_some() => {
                Reply::Unsent(format!("{error:#}"))
            }
            _ => Reply::Unanswered,
        }
    }

    /// Reads from the node; `format_value` turns a successful answer into text.
    async fn read(
        &self,
        path: &str,
        json: bool,
        format_value: impl Fn(&Value) -> String,
    ) -> Report {
        let reply = self.call(Method::GET, path, "").await;
        // A read changes nothing, so its result is never unknown.
        let reply = match reply {
            Reply::Unanswered => Reply::Unsent("the node did not answer".to_owned()),
            reply => reply,
        };
        report(&reply, json, format_value)
    }

    /// Makes a change based on revision `seen`, or on the current revision of the node.
    async fn change(&self, path: &str, body: &Value, seen: Option<u64>, json: bool) -> Report {
        let seen = match seen {
            Some(seen) => seen,
            None => match self.call(Method::GET, "/admin/presets", "").await {
                Reply::Answer(StatusCode::OK, value) => value["revision"].as_u64().unwrap_or(0),
                Reply::Unanswered => {
                    let reply = Reply::Unsent("the node did not answer".to_owned());
                    return report(&reply, json, describe_accepted);
                }
                reply => return report(&reply, json, describe_accepted),
            },
        };
        let path = format!("{path}?seen={seen}");
        let reply = self.call(Method::PUT, &path, body.to_string()).await;
        report(&reply, json, describe_accepted)
    }

    /// Compares two presets key by key.
    async fn diff(&self, one: &str, two: &str, json: bool) -> anyhow::Result<Report> {
        let mut sides = Vec::new();
        for name in [one, two] {
            match self.call(Method::GET, &preset_path(name)?, "").await {
                Reply::Answer(StatusCode::OK, value) => sides.push(flatten(&value)),
                Reply::Answer(StatusCode::NOT_FOUND, _) => {
                    let message = format!("no preset is called {name}");
                    return Ok(report(&Reply::Unsent(message), json, describe_accepted));
                }
                Reply::Unanswered => {
                    let message = "the node did not answer".to_owned();
                    return Ok(report(&Reply::Unsent(message), json, describe_accepted));
                }
                reply => return Ok(report(&reply, json, describe_accepted)),
            }
        }
        let keys: std::collections::BTreeSet<&String> =
            sides.iter().flat_map(BTreeMap::keys).collect();
        let differs = |key: &&&String| sides[0].get(**key) != sides[1].get(**key);
        let differences: Vec<Value> = keys
            .iter()
            .filter(differs)
            .map(|key| json!({"key": key, one: sides[0].get(*key), two: sides[1].get(*key)}))
            .collect();
        let line = |value: &Value| {
            let key = value["key"].as_str().unwrap_or_default();
            format!("{key}: {} -> {}", value[one], value[two])
        };
        let value = json!({"differences": differences});
        let format_value = |_: &Value| match differences.len() {
            0 => "no differences".to_owned(),
            _ => differences.iter().map(line).collect::<Vec<_>>().join("\n"),
        };
        Ok(report(
            &Reply::Answer(StatusCode::OK, value),
            json,
            format_value,
        ))
    }
}

/// Returns the report of a result; `format_value` turns a successful answer into text.
fn report(reply: &Reply, json: bool, format_value: impl Fn(&Value) -> String) -> Report {
    let message = "the node did not answer; `daisyyard preset history` shows whether the change \
                was made";
    let unanswered = json!({"outcome": "unknown", "message": message});
    let (value, code) = match reply {
        Reply::Answer(StatusCode::OK, value) => (value.clone(), 0),
        Reply::Answer(_, value) if value["outcome"] == "unknown" => (value.clone(), EXIT_UNKNOWN),
        Reply::Answer(_, value) => (value.clone(), EXIT_NOT_ACCEPTED),
        Reply::Unsent(message) => {
            let value = json!({"outcome": "not_accepted", "message": message});
            (value, EXIT_NOT_ACCEPTED)
        }
        Reply::Unanswered => (unanswered, EXIT_UNKNOWN),
    };
    let text = match code {
        _ if json => value.to_string(),
        0 => format_value(&value),
        _ => describe_failure(&value),
    };
    Report { text, code }
}

/// Describes a failure, with the faults of a preset or the changes that came first.
fn describe_failure(value: &Value) -> String {
    let outcome = value["outcome"].as_str().unwrap_or("not_accepted");
    let message = value["message"].as_str().unwrap_or_default();
    let mut lines = vec![format!("{}: {message}", outcome.replace('_', " "))];
    for fault in value["faults"].as_array().into_iter().flatten() {
        lines.push(format!("  {}", fault.as_str().unwrap_or_default()));
    }
    if value["won"].is_object() {
        lines.push(format!(
            "the newest change is {}",
            describe_change(&value["won"])
        ));
        lines.push("changes since the revision that you saw:".to_owned());
        for entry in value["changes"].as_array().into_iter().flatten() {
            lines.push(format!("  {}", describe_change(entry)));
        }
    }
    lines.join("\n")
}

/// Describes the state after an accepted change.
fn describe_accepted(value: &Value) -> String {
    let current = value["current"].as_str().unwrap_or_default();
    format!(
        "accepted: revision {}, {current} is in force",
        value["revision"]
    )
}

/// Lists the presets and marks the one in force.
fn describe_presets(value: &Value) -> String {
    let mut lines = vec![format!("revision {}", value["revision"])];
    for name in value["presets"].as_array().into_iter().flatten() {
        let mark = if *name == value["current"] { "*" } else { " " };
        lines.push(format!("{mark} {}", name.as_str().unwrap_or_default()));
    }
    lines.join("\n")
}

/// Lists the latest changes, one per line.
fn describe_history(value: &Value) -> String {
    let changes = value["changes"].as_array().into_iter().flatten();
    let lines: Vec<String> = changes.map(describe_change).collect();
    if lines.is_empty() {
        return "no changes; the built-in preset is in force".to_owned();
    }
    lines.join("\n")
}

/// Describes a change in one line.
fn describe_change(value: &Value) -> String {
    let by = value["by"].as_str().unwrap_or_default();
    let summary = value["summary"].as_str().unwrap_or_default();
    let (revision, write, at) = (&value["revision"], &value["write"], &value["at_ms"]);
    format!("revision {revision}: {summary}, by {by}, at {at} ms, write {write}")
}

/// Describes the configuration and links of a node, and lists its members.
fn describe_status(value: &Value) -> String {
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let mut lines = vec![
        format!("node {}", text(&value["node"])),
        format!(
            "revision {}, {} is in force, from {}",
            value["revision"],
            text(&value["current"]),
            text(&value["source"])
        ),
        format!("links {}, watching {}", value["links"], value["watching"]),
    ];
    for member in value["members"].as_array().into_iter().flatten() {
        let (name, zone) = (text(&member["name"]), text(&member["zone"]));
        let (state, address) = (text(&member["state"]), text(&member["address"]));
        lines.push(format!("  {name} {zone} {address} {state}"));
    }
    lines.join("\n")
}

/// Flattens a JSON object into values by dotted key, without `name`.
fn flatten(value: &Value) -> BTreeMap<String, Value> {
    let Value::Object(object) = value else {
        return BTreeMap::from([(String::new(), value.clone())]);
    };
    let mut values = BTreeMap::new();
    for (key, value) in object.iter().filter(|(key, _)| *key != "name") {
        for (rest, value) in flatten(value) {
            let dot = if rest.is_empty() { "" } else { "." };
            values.insert(format!("{key}{dot}{rest}"), value);
        }
    }
    values
}

/// Returns the path of a preset in the admin interface.
fn preset_path(name: &str) -> anyhow::Result<String> {
    let valid = |c: char| c.is_ascii_alphanumeric() || c == '-';
    if name.is_empty() || !name.chars().all(valid) {
        bail!("{name:?} is not the name of a preset; use letters, digits and hyphens");
    }
    Ok(format!("/admin/presets/{name}"))
}

/// Loads a preset from a JSON file with comments.
fn load_preset(path: &Path) -> anyhow::Result<Value> {
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("cannot read {}; give a readable file", path.display()))?;
    let options = jsonc_parser::ParseOptions::default();
    let value = jsonc_parser::parse_to_serde_value(&text, &options);
    value.with_context(|| format!("{} is not JSON with comments", path.display()))
}
