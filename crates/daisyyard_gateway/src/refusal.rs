//! Responses that the gateway sends on its own behalf.

use std::time::Duration;

use daisyyard_core::attempt::Outcome;
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::json;

use crate::body::{self, Body};

/// Delay before a retry at another gateway or endpoint.
const RETRY_ELSEWHERE_DELAY: Duration = Duration::from_millis(50);
/// Delay before a retry when all endpoints are at capacity.
const RETRY_FULL_DELAY: Duration = Duration::from_secs(1);
/// Delay before a retry when no configuration is known. The store has been unavailable for some
/// time, and a caller may retry only once.
const RETRY_UNCONFIGURED_DELAY: Duration = Duration::from_secs(3);

/// Delay before a retry when all endpoints are in evacuated zones. A mistaken order is revoked within
/// seconds at best, and a caller may retry only once.
const RETRY_EVACUATED_DELAY: Duration = Duration::from_secs(2);
/// Delay before a retry when the gateway has no memory left. Other gateways may have some, and this one
/// has it again when the bodies in progress have arrived.
const RETRY_EXHAUSTED_DELAY: Duration = Duration::from_millis(250);

/// Reason why the gateway answers a request itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Refusal {
    /// The request lacks a host or an attempt identifier.
    #[error("the request lacks a host or an attempt identifier; add it")]
    Malformed,
    /// The position from which to resume a stream is not an event number.
    #[error("the position in the stream is not an event number; send that of the last event")]
    Misplaced,
    /// The body was incomplete or arrived too slowly.
    #[error("the body broke off or came too slowly; send it again")]
    Unread,
    /// The body exceeds the configured size.
    #[error("the body is longer than the configuration allows; shorten it")]
    TooLong,
    /// No route matches the host and path.
    #[error("no route leads to this host and path; check both")]
    Missing,
    /// The credential is missing or unknown.
    #[error("the credential is missing or unknown; use one that is in force")]
    Denied,
    /// The gateway has not read a configuration yet.
    #[error("the gateway has no configuration yet; ask again soon")]
    Unconfigured,
    /// The known configuration does not allow the request, but a newer one may.
    #[error(
        "the configuration here may be old and does not allow the request; ask another gateway"
    )]
    Outdated,
    /// The gateway is leaving.
    #[error("the gateway is leaving; ask another one")]
    Leaving,
    /// Another gateway has relayed the request, but this one does not reach the endpoints either.
    #[error("the gateway reaches no endpoint; ask another one")]
    Isolated,
    /// No endpoint had capacity in time.
    #[error("no endpoint had room in time; ask again later")]
    Full,
    /// All endpoints are in evacuated availability zones.
    #[error("all endpoints are in evacuated zones; ask again when an evacuation has ended")]
    Evacuated,
    /// The gateway has no memory or no connection left for the request.
    #[error("the gateway has no memory left for the request; ask again soon")]
    Exhausted,
    /// No capacity is expected for the request in time; it should return after this time.
    #[error("no endpoint is expected to have room in time; ask again after the stated delay")]
    Shed(Duration),
    /// All endpoints turn requests away; the request should return after this time.
    #[error("all endpoints turn requests away; ask again after the stated delay")]
    TurnedAway(Duration),
    /// The request is likely to crash the endpoint that runs it; it is refused for this time.
    #[error("endpoints crashed when they ran this request; change it before you send it again")]
    Suspected(Duration),
    /// None of the endpoints to which the request was sent has run it.
    #[error("the endpoints that were asked did not run the request; ask again")]
    Declined,
    /// An endpoint may have run the request, but its response was lost.
    #[error("the answer was lost; the request may have run")]
    Lost,
    /// An endpoint may have run the request, but did not answer in time.
    #[error("no answer came in time; the request may have run")]
    Late,
}

impl Refusal {
    /// Returns the refusal that matches the known outcome of a request that was sent.
    pub(crate) fn after_send(outcome: Outcome, late: bool) -> Self {
        match outcome {
            Outcome::NotRun => Self::Declined,
            Outcome::Run | Outcome::Unknown if late => Self::Late,
            Outcome::Run | Outcome::Unknown => Self::Lost,
        }
    }

    /// Returns the refusal of a request that a configuration does not allow, which may be outdated. A
    /// caller does not come back after 401 or 404, although another gateway may serve it.
    pub(crate) fn by_configuration(self, outdated: bool) -> Self {
        match self {
            Self::Missing | Self::Denied if outdated => Self::Outdated,
            refusal => refusal,
        }
    }

    /// Returns the name of the reason for logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Evacuated => "evacuated",
            Self::Leaving => "leaving",
            Self::Isolated => "isolated",
            Self::Declined => "declined",
            Self::Late => "late",
            Self::Suspected(_) => "suspected",
            Self::Shed(_) => "shed",
            Self::TurnedAway(_) => "turned_away",
            _ => "lost",
        }
    }

    /// Returns the status code of the response.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::Malformed | Self::Misplaced => StatusCode::BAD_REQUEST,
            Self::Unread => StatusCode::REQUEST_TIMEOUT,
            Self::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Missing => StatusCode::NOT_FOUND,
            Self::Denied => StatusCode::UNAUTHORIZED,
            Self::Unconfigured
            | Self::Outdated
            | Self::Leaving
            | Self::Isolated
            | Self::Full
            | Self::Evacuated
            | Self::Declined
            | Self::Exhausted
            | Self::Shed(_)
            | Self::TurnedAway(_)
            | Self::Suspected(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::Late => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the delay before the caller should retry, if a retry can help.
    fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Outdated | Self::Leaving | Self::Isolated | Self::Declined => {
                Some(RETRY_ELSEWHERE_DELAY)
            }
            Self::Unconfigured => Some(RETRY_UNCONFIGURED_DELAY),
            Self::Full => Some(RETRY_FULL_DELAY),
            Self::Evacuated => Some(RETRY_EVACUATED_DELAY),
            Self::Exhausted => Some(RETRY_EXHAUSTED_DELAY),
            Self::Suspected(time) | Self::Shed(time) | Self::TurnedAway(time) => Some(time),
            _ => None,
        }
    }

    /// Returns whether another gateway may serve the request at once.
    pub(crate) fn is_local(self) -> bool {
        matches!(
            self,
            Self::Unconfigured | Self::Outdated | Self::Leaving | Self::Isolated | Self::Exhausted
        )
    }

    /// Returns whether the connection is closed, because the rest of the body is not worth reading.
    fn closes_connection(self) -> bool {
        matches!(self, Self::Unread | Self::TooLong | Self::Exhausted)
    }

    /// Builds the response with its JSON error body.
    pub(crate) fn response(self) -> Response<Body> {
        let text = json!({ "error": self.to_string() }).to_string();
        let mut response = body::json(text);
        *response.status_mut() = self.status();
        response.extensions_mut().insert(self);
        if self.closes_connection() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        if let Some(time) = self.retry_after() {
            let seconds = format!("{:.3}", time.as_secs_f64());
            let seconds = HeaderValue::from_str(&seconds).expect("a number is a valid header");
            response.headers_mut().insert(RETRY_AFTER, seconds);
        }
        response
    }
}
