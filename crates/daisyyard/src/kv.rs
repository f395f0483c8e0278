//! Client calls to the platform's configuration service: reads, watches and compare-and-swap writes
//! of a key.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use daisyyard_core::call::Outcome;
use daisyyard_core::id::Revision;
use http_body_util::BodyExt;
use hyper::{Method, StatusCode};
use serde::Deserialize;

/// Timeout of a read or write; a watch adds its wait to it.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A value and its revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Entry {
    /// Revision that the service assigned to the value.
    pub(crate) revision: Revision,
    /// Bytes of the value.
    pub(crate) value: Bytes,
}

/// Answer of the service.
#[derive(Debug)]
pub(crate) enum Answer {
    /// The key's value, if it exists.
    Value(Option<Entry>),
    /// The watched key has not changed.
    Unchanged,
    /// The value was written with this revision.
    Written(Revision),
}

impl Answer {
    /// Returns the value that a read found.
    pub(crate) fn value(self) -> Result<Option<Entry>, Error> {
        match self {
            Self::Value(entry) => Ok(entry),
            Self::Unchanged | Self::Written(_) => Err(Error::Unanswered),
        }
    }

    /// Returns the revision of a write.
    pub(crate) fn written(self) -> Result<Revision, Error> {
        match self {
            Self::Written(revision) => Ok(revision),
            Self::Value(_) | Self::Unchanged => Err(Error::Unanswered),
        }
    }
}

/// Error of a call to the configuration service.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Error {
    /// The key has another revision than the expected one; nothing was written.
    #[error("the key has revision {0}; read it and decide again")]
    Conflict(Revision),
    /// The call did not reach the service.
    #[error("the configuration service is not reachable; nothing was sent, try again later")]
    Unsent,
    /// No usable answer arrived; the call may have taken effect.
    #[error("the configuration service did not answer; read the key to see the result")]
    Unanswered,
    /// The service answered with another status.
    #[error("the configuration service declined the call with status {0}; check its address")]
    Declined(u16),
}

/// One HTTP call to the configuration service.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    /// HTTP method.
    method: Method,
    /// Path and query.
    path: String,
    /// Request body.
    body: Bytes,
    /// Time limit for the complete answer.
    timeout: Duration,
}

/// Body of the answer to a write.
#[derive(Debug, Deserialize)]
struct Stored {
    /// Current revision of the key.
    revision: Revision,
}

impl Call {
    /// Reads a key.
    pub(crate) fn get(key: &str) -> Self {
        Self {
            method: Method::GET,
            path: format!("/kv/{key}"),
            body: Bytes::new(),
            timeout: CALL_TIMEOUT,
        }
    }

    /// Waits until a key's revision differs from `after`, for at most `wait`.
    pub(crate) fn watch(key: &str, after: Revision, wait: Duration) -> Self {
        Self {
            method: Method::GET,
            path: format!("/kv/{key}?after={after}&wait_ms={}", wait.as_millis()),
            body: Bytes::new(),
            timeout: wait + CALL_TIMEOUT,
        }
    }

    /// Writes a key if it has the expected revision; zero means that the key must not exist.
    pub(crate) fn put(key: &str, expected: Revision, value: Bytes) -> Self {
        Self {
            method: Method::PUT,
            path: format!("/kv/{key}?expected={expected}"),
            body: value,
            timeout: CALL_TIMEOUT,
        }
    }

    /// Sends the call on a new connection.
    pub(crate) async fn send(self, service: SocketAddr) -> Result<Answer, Error> {
        let put = self.method == Method::PUT;
        let exchange = async {
            let sent = daisyyard_http::send(service, self.method, &self.path, &[], self.body);
            let response = sent.await.map_err(|error| {
                let refused = error.downcast_ref::<std::io::Error>().is_some();
                if refused {
                    Error::Unsent
                } else {
                    Error::Unanswered
                }
            })?;
            let revision = response.headers().get("x-revision");
            let revision = revision.and_then(|value| value.to_str().ok()?.parse().ok());
            let status = response.status();
            let body = response.into_body().collect().await;
            let body = body.map_err(|_broken| Error::Unanswered)?.to_bytes();
            Ok((status, revision, body))
        };
        let exchange = tokio::time::timeout(self.timeout, exchange).await;
        let (status, revision, value) = exchange.map_err(|_elapsed| Error::Unanswered)??;
        match status {
            StatusCode::OK if put => Ok(Answer::Written(decode_revision(&value)?)),
            StatusCode::OK => {
                let revision = revision.ok_or(Error::Unanswered)?;
                Ok(Answer::Value(Some(Entry { revision, value })))
            }
            StatusCode::NOT_FOUND if !put => Ok(Answer::Value(None)),
            StatusCode::NOT_MODIFIED => Ok(Answer::Unchanged),
            StatusCode::CONFLICT => Err(Error::Conflict(decode_revision(&value)?)),
            status => Err(Error::Declined(status.as_u16())),
        }
    }
}

/// Decodes the answer to a write: the new revision or, on a conflict, the current one.
fn decode_revision(body: &[u8]) -> Result<Revision, Error> {
    let stored: Result<Stored, _> = serde_json::from_slice(body);
    stored
        .map(|stored| stored.revision)
        .map_err(|_not_published_form| Error::Unanswered)
}

/// Reads a key once; returns its value, if it exists.
pub(crate) async fn get(service: SocketAddr, key: &str) -> Result<Option<Entry>, Error> {
    Call::get(key).send(service).await?.value()
}

/// Writes a key once if it has the expected revision.
pub(crate) async fn put(
    service: SocketAddr,
    key: &str,
    expected: Revision,
    value: Bytes,
) -> Outcome {
    let answer = Call::put(key, expected, value).send(service).await;
    match answer.and_then(Answer::written) {
        Ok(revision) => Outcome::Done(revision),
        Err(Error::Conflict(_)) => Outcome::Conflict,
        Err(Error::Unsent) => Outcome::Unsent,
        // Neither another status nor a broken connection proves that the value is unchanged.
        Err(Error::Unanswered | Error::Declined(_)) => Outcome::Unknown,
    }
}
