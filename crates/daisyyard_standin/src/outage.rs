//! Fault injection for a stand-in: outages, delays, and responses lost after the call took effect.

use std::time::Duration;

use hyper::{Response, StatusCode};
use serde_json::json;
use tokio::sync::watch;

use daisyyard_http::{self as http, Body};

/// A set of faults; the default is none.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Calls fail with status 503 and have no effect.
    pub down: bool,
    /// Delay before each call takes effect.
    pub delay: Duration,
    /// Calls take effect, but their responses are held until this is unset.
    pub lose_responses: bool,
}

/// Sets the faults of one stand-in.
#[derive(Debug)]
pub struct Injector {
    /// Channel to the handlers with the current faults.
    faults: watch::Sender<Faults>,
}

impl Injector {
    /// Creates an injector without faults, and the receiver that handlers read the faults from.
    pub fn new() -> (Self, watch::Receiver<Faults>) {
        let (faults, receiver) = watch::channel(Faults::default());
        (Self { faults }, receiver)
    }

    /// Replaces the faults, for calls that arrive from now on.
    pub fn set(&self, faults: Faults) {
        self.faults.send_replace(faults);
    }
}

/// Runs a handler with the faults that are set when the call arrives.
pub async fn apply(
    mut faults: watch::Receiver<Faults>,
    handler: impl Future<Output = Response<Body>>,
) -> Response<Body> {
    let current = *faults.borrow();
    if current.down {
        return http::json(StatusCode::SERVICE_UNAVAILABLE, &json!({"error": "down"}));
    }
    tokio::time::sleep(current.delay).await;
    let response = handler.await;
    if current.lose_responses {
        // The response is held until the fault is unset; by then the caller has timed out.
        let _ = faults.wait_for(|faults| !faults.lose_responses).await;
    }
    response
}
