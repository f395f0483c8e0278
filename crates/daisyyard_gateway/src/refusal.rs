//! Answers of the gateway's own.

use std::time::Duration;

use daisyyard_core::attempt::Outcome;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::json;

use crate::body::{self, Body};

/// Time after which another gateway or endpoint can be asked.
const RETRY_ELSEWHERE_DELAY: Duration = Duration::from_millis(50);
/// Time after which an endpoint may have room.
const RETRY_FULL_DELAY: Duration = Duration::from_secs(1);
/// Time after which a configuration may be known. The store has been away for a while, and callers
/// may come back only once.
const RETRY_UNCONFIGURED_DELAY: Duration = Duration::from_secs(3);

/// Why the gateway answers a request itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Refusal {
    /// The request is malformed.
    #[error("the request lacks a host or an attempt identifier; add it")]
    Malformed,
    /// The body did not arrive as announced.
    #[error("the body broke off or came too slowly; send it again")]
    Unread,
    /// The body is too long.
    #[error("the body is longer than the configuration allows; shorten it")]
    TooLong,
    /// No route leads to the path.
    #[error("no route leads to this host and path; check both")]
    Missing,
    /// The credential is missing or unknown.
    #[error("the credential is missing or unknown; use one that is in force")]
    Denied,
    /// No configuration is known yet.
    #[error("the gateway has no configuration yet; ask again soon")]
    Unconfigured,
    /// The gateway is leaving.
    #[error("the gateway is leaving; ask another one")]
    Leaving,
    /// No endpoint had room in time.
    #[error("no endpoint had room in time; ask again later")]
    Full,
    /// The endpoints that were asked did not run the request.
    #[error("the endpoints that were asked did not run the request; ask again")]
    Declined,
    /// An endpoint may have run the request, and its answer was lost.
    #[error("the answer was lost; the request may have run")]
    Lost,
    /// An endpoint may have run the request, and did not answer in time.
    #[error("no answer came in time; the request may have run")]
    Late,
}

impl Refusal {
    /// Returns the refusal that tells the truth about a request that was sent.
    pub(crate) fn after_send(outcome: Outcome, late: bool) -> Self {
        match outcome {
            Outcome::NotRun => Self::Declined,
            Outcome::Run | Outcome::Unknown if late => Self::Late,
            Outcome::Run | Outcome::Unknown => Self::Lost,
        }
    }

    /// Returns the status that callers receive.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::Unread => StatusCode::REQUEST_TIMEOUT,
            Self::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Missing => StatusCode::NOT_FOUND,
            Self::Denied => StatusCode::UNAUTHORIZED,
            Self::Unconfigured | Self::Leaving | Self::Full | Self::Declined => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::Late => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns when a caller may ask again.
    fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Leaving | Self::Declined => Some(RETRY_ELSEWHERE_DELAY),
            Self::Unconfigured => Some(RETRY_UNCONFIGURED_DELAY),
            Self::Full => Some(RETRY_FULL_DELAY),
            _ => None,
        }
    }

    /// Returns the answer.
    pub(crate) fn response(self) -> Response<Body> {
        let text = json!({ "error": self.to_string() }).to_string();
        let mut response = body::json(text);
        *response.status_mut() = self.status();
        if let Some(time) = self.retry_after() {
            let seconds = format!("{:.3}", time.as_secs_f64());
            let seconds = HeaderValue::from_str(&seconds).expect("a number is a valid header");
            response.headers_mut().insert(RETRY_AFTER, seconds);
        }
        response
    }
}
