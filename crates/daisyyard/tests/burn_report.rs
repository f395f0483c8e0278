//! Guards against burn reports that count requests twice or not at all, do not alert when targets
//! are missed, or hide that a node could not be read.

mod fleet;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::Duration;

use assert_matches::assert_matches;
use daisyyard::editor::Outcome;
use daisyyard_core::preset::{Edit, Preset};
use daisyyard_core::{burn, id};
use daisyyard_standin::engine::Options;
use daisyyard_standin::fault::Fault;
use fleet::{COMPLETIONS, Fleet, MODEL, PLAIN};
use hyper::{Method, StatusCode};
use serde_json::Value;

/// Prompt of the requests.
const PROMPT: &str = "is this certificate valid? length=5";

/// Runs `daisyyard report` on another thread, so that the fleet keeps running.
async fn report(arguments: &[&str]) -> Output {
    let arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();
    let mut command = Command::new(env!("CARGO_BIN_EXE_daisyyard"));
    command.arg("report").args(arguments);
    let output = tokio::task::spawn_blocking(move || command.output()).await;
    output.expect("no panic").expect("the report runs")
}

/// Runs `daisyyard report burn --json` and returns the exit code and the report.
async fn json(arguments: &[&str]) -> (i32, Value) {
    let output = report(&[&["burn", "--json"], arguments].concat()).await;
    let value = serde_json::from_slice(&output.stdout);
    let message = String::from_utf8_lossy(&output.stderr);
    let value = value.unwrap_or_else(|_| panic!("no report: {message}"));
    (output.status.code().expect("an exit code"), value)
}

/// Waits until a node has counted exactly `requests` requests and returns its snapshot as text.
async fn wait_until_counted(address: SocketAddr, requests: u64) -> String {
    for _ in 0..500 {
        let answer = daisyyard_http::call(address, Method::GET, "/burn", &[], "").await;
        let (status, body) = answer.expect("an answer");
        assert_eq!(status, StatusCode::OK);
        let value: Value = serde_json::from_slice(&body).expect("a snapshot");
        let counts = value["counts"].as_array().expect("counts");
        let verdicts = counts.iter().filter_map(|one| one["verdicts"].as_array());
        let total: u64 = verdicts.flatten().filter_map(Value::as_u64).sum();
        if total == requests {
            return value.to_string();
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("{address} did not count {requests} requests");
}

/// Returns the row of a rank for the accounts of all classes.
fn row<'a>(report: &'a Value, rank: &str) -> &'a Value {
    let rows = report["rows"].as_array().expect("rows");
    let is_row = |row: &&Value| row["class"] == "all" && row["rank"] == rank;
    rows.iter().find(is_row).expect("a row")
}

/// Returns the path of a temporary file of this process.
fn temporary_path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("daisyyard-burn-{}-{name}", std::process::id()))
}

/// The counts of two nodes add up exactly, from live nodes and from files, and a node that is given
/// twice is counted once.
#[tokio::test]
async fn merges_nodes() {
    let fleet = Fleet::start(2, 2, fleet::timing()).await;
    for (node, requests) in [(0, 3), (1, 5)] {
        for _ in 0..requests {
            fleet.request(node, PROMPT).await;
        }
        let text = wait_until_counted(fleet.nodes[node].address, requests).await;
        assert!(!text.contains("member"), "an account is named");
    }
    let nodes = [0, 1].map(|node| fleet.nodes[node].address.to_string());
    let (saved, page) = (temporary_path("saved.json"), temporary_path("page.html"));
    let (path, html) = (saved.to_string_lossy(), page.to_string_lossy());
    let both = ["--node", &nodes[0], "--node", &nodes[1]];
    let (code, live) = json(&[&both[..], &["--save", &path, "--html", &html]].concat()).await;
    let (stored_code, stored) = json(&["--snapshot", &path, "--snapshot", &path]).await;
    let (mixed_code, mixed) = json(&[&both[..], &["--snapshot", &path]].concat()).await;
    assert_eq!((code, stored_code, mixed_code), (0, 0, 0));
    for report in [&live, &stored, &mixed] {
        let row = row(report, "deferrable");
        assert_eq!(report["nodes"], 2);
        assert_eq!(row["requests"], 8);
        assert_eq!(row["verdicts"]["met"], 8);
        assert_eq!(row["budget_left"], 1.0);
        assert_eq!(report["times"][0]["first_token_ms"]["count"], 8);
        assert_eq!(report["times"][0]["token_gap_ms"]["count"], 32);
    }
    let text = std::fs::read_to_string(&page).expect("a page");
    assert_eq!(text.matches("<svg").count(), 3);
    assert!(!text.contains("http-equiv") && !text.contains("<script"));
    std::fs::remove_file(saved).expect("the saved file is there");
    std::fs::remove_file(page).expect("the page is there");
}

/// Refusals spend the error budget, raise the alert `page` and are named as the cause.
#[tokio::test]
async fn alerts_refusals() {
    let fleet = Fleet::start(1, 1, fleet::timing()).await;
    fleet.fault(&Fault::Refuse { not_run: true });
    for _ in 0..burn::MIN_ALERT_REQUESTS {
        fleet.request(0, PROMPT).await;
    }
    let address = fleet.nodes[0].address;
    wait_until_counted(address, burn::MIN_ALERT_REQUESTS).await;
    let (code, report) = json(&["--node", &address.to_string()]).await;
    let row = row(&report, "deferrable");
    assert_eq!(code, 1);
    assert_eq!(row["alert"], "page");
    assert_eq!(row["burned_by"][0], "refused");
    assert_eq!(row["attainment"], 0.0);
}

/// Tokens slower than the contract of their rank count as `slow_tokens`.
#[tokio::test]
async fn judges_rank() {
    let options = Options {
        step_time: Duration::from_millis(45),
        ..Options::default()
    };
    let fleet = Fleet::start_with_options(options, 1, 1, fleet::timing()).await;
    let address = fleet.nodes[0].address;
    for rank in ["urgent", "deferrable"] {
        let headers = [
            ("authorization", "Bearer token-member-0001"),
            ("x-rank", rank),
        ];
        let body = fleet::body(PROMPT, false).to_string();
        let call = daisyyard_http::call(address, Method::POST, COMPLETIONS, &headers, body);
        assert_eq!(call.await.expect("an answer").0, StatusCode::OK);
    }
    wait_until_counted(address, 2).await;
    let (_, report) = json(&["--node", &address.to_string()]).await;
    assert_eq!(row(&report, "urgent")["verdicts"]["slow_tokens"], 1);
    assert_eq!(row(&report, "deferrable")["verdicts"]["met"], 1);
}

/// Requests are judged by the active preset, and requests that ended under an earlier one keep
/// their verdict.
#[tokio::test]
async fn follows_preset() {
    let fleet = Fleet::start(1, 1, fleet::timing()).await;
    let node = &fleet.nodes[0];
    fleet.request(0, PROMPT).await;
    wait_until_counted(node.address, 1).await;
    let mut strict = Preset::ordinary(&[MODEL, PLAIN]);
    let terms = strict.terms.get_mut(&id::of(MODEL)).expect("the service");
    terms.deferrable.token_gap = Duration::from_millis(1);
    let outcome = node.edit(Edit::Put(strict), "ines", 0).await;
    assert_matches!(outcome, Outcome::Accepted(_));
    let mut text = String::new();
    for _ in 0..500 {
        text = wait_until_counted(node.address, 1).await;
        if text.contains("\"token_gap_us\":[31000,1000]") {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(text.contains("[31000,1000]"), "the targets stayed: {text}");
    fleet.request(0, PROMPT).await;
    wait_until_counted(node.address, 2).await;
    let (_, report) = json(&["--node", &node.address.to_string()]).await;
    let verdicts = &row(&report, "deferrable")["verdicts"];
    assert_eq!(verdicts["met"], 1);
    assert_eq!(verdicts["slow_tokens"], 1);
}

/// A node that does not answer is named in the error output, and the report exits with code 2.
#[tokio::test]
async fn names_missing() {
    let fleet = Fleet::start(1, 1, fleet::timing()).await;
    let node = fleet.nodes[0].address.to_string();
    let output = report(&["burn", "--node", &node, "--node", "127.0.0.1:1"]).await;
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("127.0.0.1:1"));
    let output = report(&["burn", "--node", &node]).await;
    assert_eq!(output.status.code(), Some(0));
}

/// Wrong usage exits with code 2 and an error message; the help lists the exit codes.
#[tokio::test]
async fn wrong_usage() {
    let invalid: [&[&str]; 5] = [
        &[],
        &["burn"],
        &["burn", "--node", "here"],
        &["burn", "--unknown"],
        &["burn", "--snapshot", "/missing.json"],
    ];
    for arguments in invalid {
        let output = report(arguments).await;
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        assert!(!output.stderr.is_empty(), "{arguments:?}");
    }
    let output = report(&["burn", "--help"]).await;
    assert_eq!(output.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&output.stdout).contains("Exit codes"));
}
