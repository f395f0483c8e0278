//! Guards against refusals that state `not_run` when the request may have run, or `unknown` when it
//! certainly did not.

mod fleet;

use std::time::Duration;

use daisyyard_standin::engine;
use daisyyard_standin::fault::Fault;
use fleet::Fleet;
use hyper::StatusCode;
use serde_json::Value;

/// Prompt of the requests.
const PROMPT: &str = "is this certificate valid? length=5";

/// Returns the code and the outcome of a refusal.
fn refusal(answer: &Value) -> (&str, &str) {
    let field = |name: &str| answer["error"][name].as_str().unwrap_or_default();
    (field("code"), field("outcome"))
}

/// A request is refused as not run if every engine proves that it did not run it or accepts no
/// connection.
#[tokio::test]
async fn says_not_run() {
    let fleet = Fleet::start(2, 1, fleet::timing()).await;
    fleet.engines[0].inject(Fault::Refuse { not_run: true });
    fleet.engines[1].inject(Fault::Crash);
    let (status, answer) = fleet.request(0, PROMPT).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refusal(&answer).1, "not_run");
    let wait = answer["error"]["retry_after_ms"].as_u64();
    assert!(wait.is_some_and(|wait| wait > 0), "{answer}");
}

/// A declined request is retried until an engine accepts it.
#[tokio::test]
async fn moves_on() {
    let fleet = Fleet::start(3, 1, fleet::timing()).await;
    fleet.engines[0].inject(Fault::Refuse { not_run: true });
    fleet.engines[1].inject(Fault::Crash);
    for _ in 0..5 {
        let (_, answer) = fleet.request(0, PROMPT).await;
        assert_eq!(fleet::text(&answer), engine::text(PROMPT));
    }
}

/// An error status without the proof `x-not-run` is neither retried nor reported as `not_run`.
#[tokio::test]
async fn needs_proof() {
    let fleet = Fleet::start(3, 1, fleet::timing()).await;
    fleet.fault(&Fault::Refuse { not_run: false });
    let (status, answer) = fleet.request(0, PROMPT).await;
    assert_eq!(status, StatusCode::BAD_GATEWAY);
    assert_eq!(refusal(&answer), ("rejected", "unknown"));
}

/// When one of several attempts may have run, the refusal says so even if the last attempt was
/// declined with proof.
#[tokio::test]
async fn remembers_unknown() {
    let fleet = Fleet::start(2, 1, fleet::timing()).await;
    fleet.fault(&Fault::Delay(Duration::from_mins(1)));
    let fault = async {
        let busy = fleet.busy_engine().await.address;
        for engine in &fleet.engines {
            if engine.address != busy {
                engine.inject(Fault::Refuse { not_run: true });
            }
        }
        for engine in &fleet.engines {
            if engine.address == busy {
                engine.inject(Fault::Crash);
            }
        }
    };
    let ((status, answer), ()) = tokio::join!(fleet.request(0, PROMPT), fault);
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refusal(&answer).1, "unknown");
}
