//! Guards against metrics that miss requests, name accounts, or get a series for each value that
//! callers send.

mod fleet;

use std::time::Duration;

use bytes::Bytes;
use daisyyard_standin::engine::Options;
use daisyyard_standin::fault::Fault;
use fleet::{Caller, Event, Fleet};
use hyper::{Method, StatusCode};
use serde_json::json;

/// Returns the metrics text of the first node; the endpoint requires no credential.
async fn scrape(fleet: &Fleet) -> String {
    let address = fleet.nodes[0].address;
    let answer = daisyyard_http::call(address, Method::GET, "/metrics", &[], "").await;
    let (status, body) = answer.expect("an answer");
    assert_eq!(status, StatusCode::OK);
    String::from_utf8(body.to_vec()).expect("text")
}

/// Returns the value of the first series that has this name and all labels.
fn value(text: &str, name: &str, labels: &[&str]) -> Option<f64> {
    let is_series = |line: &&str| line.starts_with(&format!("{name}{{"));
    let line = text
        .lines()
        .filter(is_series)
        .find(|line| labels.iter().all(|label| line.contains(label)))?;
    line.rsplit_once(' ')?.1.parse().ok()
}

/// Waits until a series has the expected value and returns the metrics; a request is counted only
/// after its caller was answered.
async fn wait_for_value(fleet: &Fleet, name: &str, labels: &[&str], expected: f64) -> String {
    let mut text = String::new();
    for _ in 0..500 {
        text = scrape(fleet).await;
        if value(&text, name, labels) == Some(expected) {
            return text;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("{name} {labels:?} is not {expected} in:\n{text}");
}

/// Requests, tokens, times and calls are counted by their labels, and no account is named.
#[tokio::test]
async fn counts_work() {
    let fleet = Fleet::start(1, 1, fleet::timing()).await;
    for _ in 0..3 {
        fleet
            .request(0, "is this certificate valid? length=5")
            .await;
    }
    let address = fleet.nodes[0].address;
    let headers = [
        ("authorization", "Bearer token-member-0001"),
        ("idempotency-key", "duty-1"),
    ];
    for _ in 0..2 {
        let path = "/services/libro-socios/payments";
        let call = daisyyard_http::call(address, Method::POST, path, &headers, "{}");
        assert_eq!(call.await.expect("an answer").0, StatusCode::OK);
    }
    fleet.fault(&Fault::Refuse { not_run: true });
    fleet
        .request(0, "is this certificate valid? length=5")
        .await;

    let name = "daisyyard_requests_total";
    let service = "service=\"asistente\"";
    wait_for_value(&fleet, name, &[service, "verdict=\"refused\""], 1.0).await;
    let text = wait_for_value(&fleet, name, &[service, "verdict=\"met\""], 3.0).await;
    let found = |name: &str, labels: &[&str]| value(&text, name, labels);
    let rank = "rank=\"deferrable\"";
    assert_eq!(
        found("daisyyard_tokens_delivered_total", &[service, rank]),
        Some(15.0)
    );
    assert_eq!(
        found("daisyyard_first_token_seconds_count", &[rank]),
        Some(3.0)
    );
    assert_eq!(
        found("daisyyard_first_token_seconds_bucket", &["le=\"0.51\""]),
        Some(3.0)
    );
    assert_eq!(
        found("daisyyard_token_gap_seconds_count", &[rank]),
        Some(12.0)
    );
    assert!(found("daisyyard_token_gap_seconds_bucket", &["le=\"0.031\""]).is_some());
    assert!(found("daisyyard_admission_wait_seconds_count", &[rank]) >= Some(4.0));
    assert_eq!(found("daisyyard_open_streams", &[rank]), Some(0.0));
    let plain = "service=\"libro-socios\"";
    for verdict in ["verdict=\"answered\"", "verdict=\"replayed\""] {
        assert_eq!(found("daisyyard_calls_total", &[plain, verdict]), Some(1.0));
    }
    assert!(!text.contains("member"), "an account is named");
}

/// Every metric that the node exposes is documented on the metrics page.
#[tokio::test]
async fn documented_names() {
    let fleet = Fleet::start(1, 1, fleet::timing()).await;
    fleet.request(0, "length=2").await;
    let text = scrape(&fleet).await;
    let page = include_str!("../../../docs/metrics.md");
    for line in text.lines() {
        if let Some(rest) = line.strip_prefix("# TYPE ") {
            let name = rest.split(' ').next().unwrap_or_default();
            assert!(
                page.contains(&format!("| `{name}` |")),
                "{name} is not documented"
            );
        }
    }
}

/// Open streams, dropped duplicate tokens and interruptions are counted.
#[tokio::test]
async fn counts_faults() {
    let options = Options {
        step_time: Duration::from_millis(10),
        ..Options::default()
    };
    let fleet = Fleet::start_with_options(options, 1, 1, fleet::timing()).await;
    let mut caller = fleet.stream(0, "a declaration length=60").await;
    caller.read_tokens(3).await;
    let open = ["rank=\"deferrable\""];
    wait_for_value(&fleet, "daisyyard_open_streams", &open, 1.0).await;
    let again = "id: 0\ndata: {\"choices\":[{\"delta\":{\"content\":\"again\"}}]}\n\n";
    fleet.engines[0].inject(Fault::Garbage(Bytes::from(again)));
    let labels = ["rank=\"deferrable\"", "reason=\"duplicate\""];
    wait_for_value(&fleet, "daisyyard_tokens_dropped_total", &labels, 1.0).await;
    fleet.engines[0].inject(Fault::Crash);
    let (_, _, last) = caller.read_to_end().await;
    assert!(matches!(last, Event::Error(_)), "{last:?}");
    wait_for_value(&fleet, "daisyyard_interruptions_total", &open, 1.0).await;
    let interrupted = ["verdict=\"interrupted\""];
    wait_for_value(&fleet, "daisyyard_requests_total", &interrupted, 1.0).await;
}

/// An attempt on another engine after a refusal counts as a retry.
#[tokio::test]
async fn counts_retries() {
    let fleet = Fleet::start(2, 1, fleet::timing()).await;
    fleet.engines[0].inject(Fault::Refuse { not_run: true });
    // The first engine is chosen at random; the retry budget allows the first few retries.
    for _ in 0..20 {
        fleet.request(0, "length=2").await;
        let text = scrape(&fleet).await;
        let retries = value(&text, "daisyyard_retries_total", &["rank=\"deferrable\""]);
        if retries > Some(0.0) {
            return;
        }
    }
    panic!("no retry in 20 requests, half of which go to an engine that declines");
}

/// Unknown service names that callers send share one label.
#[tokio::test]
async fn bounded_labels() {
    let fleet = Fleet::start(1, 1, fleet::timing()).await;
    for index in 0..20 {
        let mut body = fleet::body("length=2", true);
        body["model"] = json!(format!("invented-{index}"));
        Caller::post(fleet.nodes[0].address, &body).await;
    }
    let labels = ["service=\"other\"", "verdict=\"uncovered\""];
    let text = wait_for_value(&fleet, "daisyyard_requests_total", &labels, 20.0).await;
    assert!(!text.contains("invented"));
}
