//! Result of sending a request to an endpoint once.

use daisyyard_core::attempt::Progress;
use daisyyard_core::pool::Signal;
use daisyyard_http::connection::Failure;
use hyper::Response;

use crate::body::Body;

/// Result of sending a request once.
pub(crate) enum Sent {
    /// The response for the caller.
    Answered(Response<Body>),
    /// The endpoint failed; `progress` says whether it may have run the request. A response that it
    /// sent is forwarded unless a retry succeeds.
    Failed {
        /// How far the request got.
        progress: Progress,
        /// Whether the endpoint timed out.
        late: bool,
        /// Name of the failure for logs and metrics.
        reason: &'static str,
        /// Error response of the endpoint, if there is one.
        response: Option<Response<Body>>,
    },
}

/// Returns what a connection failure indicates about the endpoint.
pub(crate) fn health_signal(failure: Failure) -> Signal {
    match failure {
        Failure::Refused => Signal::Refused,
        Failure::Unreachable => Signal::Unreachable,
        Failure::Unwritten | Failure::Partial | Failure::Broken | Failure::Malformed => {
            Signal::Lost
        }
        Failure::Silent => Signal::Failed,
        Failure::Late => Signal::Neutral,
    }
}

/// Returns whether nothing of a request has certainly reached the endpoint after a failure.
pub(crate) fn is_unsent(failure: Failure) -> bool {
    match failure {
        Failure::Refused | Failure::Unreachable | Failure::Unwritten | Failure::Late => true,
        Failure::Partial | Failure::Broken | Failure::Silent | Failure::Malformed => false,
    }
}

/// Returns the result of a send whose connection failed.
pub(crate) fn connection_failed(failure: Failure) -> Sent {
    let (progress, reason) = match failure {
        Failure::Refused => (Progress::Unsent, "refused"),
        Failure::Unreachable => (Progress::Unsent, "unreachable"),
        Failure::Unwritten => (Progress::Unsent, "unwritten"),
        Failure::Late => (Progress::Unsent, "unsent"),
        // An endpoint may start to run a request before it has received all of it.
        Failure::Partial | Failure::Broken => (Progress::Written, "broken"),
        Failure::Silent => (Progress::Written, "silent"),
        Failure::Malformed => (Progress::Written, "malformed_answer"),
    };
    Sent::Failed {
        progress,
        late: failure == Failure::Silent,
        reason,
        response: None,
    }
}

/// Returns the result of a send whose response cannot be used.
pub(crate) fn answer_unusable(reason: &'static str) -> Sent {
    Sent::Failed {
        progress: Progress::Written,
        late: false,
        reason,
        response: None,
    }
}

/// Returns the result of a send that was withheld because of what became known of the endpoint.
pub(crate) fn withheld(reason: &'static str) -> Sent {
    Sent::Failed {
        progress: Progress::Unsent,
        late: false,
        reason,
        response: None,
    }
}

/// Returns the result of a send whose response has not arrived when the process ends.
pub(crate) fn stopped() -> Sent {
    Sent::Failed {
        progress: Progress::Written,
        late: true,
        reason: "stopped",
        response: None,
    }
}
