//! Refusals: what a caller is told when it does not get its answer.

use std::time::Duration;

use daisyyard_core::attempt::Outcome;
use daisyyard_derive::value;
use daisyyard_http::Body;
use hyper::header::RETRY_AFTER;
use hyper::{Response, StatusCode};
use serde_json::json;

/// Time after which asking again may help if nothing better is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why a request was not answered.
#[value]
pub(crate) struct Refusal {
    /// Kind of the refusal.
    pub(crate) kind: Kind,
    /// What the caller can do about it.
    pub(crate) message: String,
    /// Whether the request was run.
    pub(crate) outcome: Outcome,
    /// When asking again may help.
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
    /// The endpoint was lost while the request was in progress.
    Interrupted,
    /// No endpoint took the request.
    Unavailable,
    /// The endpoint answered with something other than a stream.
    Rejected,
    /// The request crashed endpoints.
    Suspected,
    /// The idempotency key was used with another body.
    KeyReused,
    /// An earlier call with the same key may have run.
    Uncertain,
    /// An earlier call with the same key ran, and its answer was too long to keep.
    NotKept,
}

impl Kind {
    /// Returns the stable code.
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

    /// Returns when asking again may help if nothing better is known.
    fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Overloaded | Self::Unavailable | Self::Uncertain => Some(DEFAULT_RETRY_AFTER),
            _ => None,
        }
    }

    /// Returns the HTTP status.
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

    /// Returns the refusal's JSON form.
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
            // The header counts whole seconds; a caller that comes too early is refused again.
            let seconds = wait.as_millis().div_ceil(1000) as u64;
            response.headers_mut().insert(RETRY_AFTER, seconds.into());
        }
        response
    }
}
