//! Error responses to callers, with a stable code and whether the request was run.

use std::time::Duration;

use daisyyard_core::attempt::Outcome;
use daisyyard_derive::value;
use daisyyard_http::Body;
use hyper::header::RETRY_AFTER;
use hyper::{Response, StatusCode};
use serde_json::json;

/// `Retry-After` of refusals without a better estimate.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// An error response to a request.
#[value]
pub(crate) struct Refusal {
    /// Kind, which determines the code and the HTTP status.
    pub(crate) kind: Kind,
    /// What went wrong and what the caller can do about it.
    pub(crate) message: String,
    /// Whether the request was run.
    pub(crate) outcome: Outcome,
    /// Time after which the caller may retry.
    pub(crate) retry_after: Option<Duration>,
}

/// Kinds of refusal, each with a stable code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// The request is malformed.
    Malformed,
    /// The credential is missing or unknown.
    Unauthorized,
    /// No such path, service or stream exists.
    Missing,
    /// The fleet has no room for the request in time.
    Overloaded,
    /// The endpoint failed or disconnected while the request was in progress.
    Interrupted,
    /// No endpoint took the request.
    Unavailable,
    /// The endpoint answered with something other than a stream.
    Rejected,
    /// The request is suspected of crashing endpoints.
    Suspected,
    /// The idempotency key was already used with another request body.
    KeyReused,
    /// An earlier call with the same idempotency key may have run.
    Uncertain,
    /// An earlier call with the same idempotency key ran, but its answer was too long to store.
    NotKept,
}

impl Kind {
    /// Returns the code in the response, which stays stable across versions.
    pub(crate) fn code(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::Unauthorized => "unauthorized",
            Self::Missing => "missing",
            Self::Overloaded => "overloaded",
            Self::Interrupted => "interrupted",
            Self::Unavailable => "unavailable",
            Self::Rejected => "rejected",
            Self::Suspected => "suspected_crash",
            Self::KeyReused => "key_reused",
            Self::Uncertain => "uncertain",
            Self::NotKept => "answer_not_kept",
        }
    }

    /// Returns the default time after which to retry, for kinds that a retry can help.
    fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Overloaded | Self::Unavailable | Self::Uncertain => Some(DEFAULT_RETRY_AFTER),
            _ => None,
        }
    }

    /// Returns the HTTP status of the response.
    fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::Missing => StatusCode::NOT_FOUND,
            Self::Overloaded | Self::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
            Self::Interrupted | Self::Rejected => StatusCode::BAD_GATEWAY,
            Self::Suspected | Self::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::Uncertain | Self::NotKept => StatusCode::CONFLICT,
        }
    }
}

impl Refusal {
    /// Creates a refusal of a request that was not run.
    pub(crate) fn not_run(kind: Kind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            outcome: Outcome::NotRun,
            retry_after: kind.retry_after(),
        }
    }

    /// Creates a refusal of a request that may have run.
    pub(crate) fn unknown(kind: Kind, message: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Unknown,
            ..Self::not_run(kind, message)
        }
    }

    /// Returns the JSON form of the refusal.
    pub(crate) fn json(&self) -> serde_json::Value {
        json!({
            "code": self.kind.code(),
            "message": self.message,
            "outcome": self.outcome.name(),
            "retry_after_ms": self.retry_after.map(|wait| wait.as_millis() as u64),
        })
    }
}

impl From<Refusal> for Response<Body> {
    fn from(refusal: Refusal) -> Self {
        let body = json!({"error": refusal.json()});
        let mut response = daisyyard_http::json(refusal.kind.status(), &body);
        if let Some(wait) = refusal.retry_after {
            // The header has whole seconds; rounded up, because an early retry is refused again.
            let seconds = wait.as_millis().div_ceil(1000) as u64;
            response.headers_mut().insert(RETRY_AFTER, seconds.into());
        }
        response
    }
}
