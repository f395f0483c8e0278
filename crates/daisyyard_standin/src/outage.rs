//! Faults of a stand-in: down, slow, and responses that are lost after the call took effect.

use std::time::Duration;

use hyper::{Response, StatusCode};
use serde_json::json;
use tokio::sync::watch;

use daisyyard_http::{self as http, Body};

/// Faults that are in force.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Calls are refused without effect.
    pub down: bool,
    /// Time that each call waits before it takes effect.
    pub delay: Duration,
    /// Calls take effect but are not answered while this holds.
    pub lose_responses: bool,
}

/// Switch for the faults of one stand-in.
#[derive(Debug)]
pub struct Injector {
    /// Faults in force.
    plan: watch::Sender<Faults>,
}

impl Injector {
    /// Creates a switch without faults, and the view of it that handlers take.
    pub fn new() -> (Self, watch::Receiver<Faults>) {
        let (plan, current) = watch::channel(Faults::default());
        (Self { plan }, current)
    }

    /// Puts faults into force for calls that arrive from now on.
    pub fn set(&self, plan: Faults) {
        self.plan.send_replace(plan);
    }
}

/// Runs a handler under the faults in force when the call arrives.
pub async fn apply(
    mut faults: watch::Receiver<Faults>,
    handler: impl Future<Output = Response<Body>>,
) -> Response<Body> {
    let plan = *faults.borrow();
    if plan.down {
        return http::json(StatusCode::SERVICE_UNAVAILABLE, &json!({"error": "down"}));
    }
    tokio::time::sleep(plan.delay).await;
    let response = handler.await;
    if plan.lose_responses {
        // Holds the response until the fault ends, by which time the caller has given up.
        let _ = faults.wait_for(|plan| !plan.lose_responses).await;
    }
    response
}
