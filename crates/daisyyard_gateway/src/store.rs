//! HTTP client for calls to the platform's store and to the control interface of engines.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use daisyyard_http::connection::{self, Failure};
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::http::response;
use hyper::{Request, StatusCode};

use crate::codec::Call;

/// Maximum size of a response of the store, in bytes; it must fit a page of encoded values.
pub(crate) const MAX_PAGE_BYTES: usize = 8 << 20;
/// Maximum size of a response that states the result of a single call, in bytes.
pub(crate) const MAX_RESULT_BYTES: usize = 64 << 10;

/// Reason why a call has no usable response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// No response arrived; the call may or may not have been executed.
    #[error("no response ({0:?}); check that the address is reachable")]
    Unanswered(Failure),
    /// The connection closed before the response was complete.
    #[error("the connection closed before the response was complete; retry the call")]
    Broken,
    /// The server rejected the call.
    #[error("the server rejected the call with status {0}; retry later")]
    Declined(StatusCode),
    /// The response cannot be decoded.
    #[error("cannot decode the response ({0}); check that the address is right")]
    Unusable(anyhow::Error),
}

/// Sends a call on a new connection and returns the complete response of at most `max_bytes` if its
/// status is 200.
pub(crate) async fn call(
    address: SocketAddr,
    call: Call,
    timeout: Duration,
    max_bytes: usize,
) -> Result<Bytes, Error> {
    match exchange(address, call, timeout, max_bytes).await? {
        (head, body) if head.status == StatusCode::OK => Ok(body),
        (head, _) => Err(Error::Declined(head.status)),
    }
}

/// Sends a call on a new connection and returns the head and the complete body, of at most `max_bytes`,
/// of the response.
pub(crate) async fn exchange(
    address: SocketAddr,
    call: Call,
    timeout: Duration,
    max_bytes: usize,
) -> Result<(response::Parts, Bytes), Error> {
    let mut request = Request::builder()
        .method(call.method)
        .uri(call.path)
        .header(HOST, address.to_string());
    if !call.body.is_empty() {
        request = request.header(CONTENT_TYPE, "application/json");
    }
    let request = request.body(Full::new(call.body));
    let request = request.map_err(|error| Error::Unusable(error.into()))?;
    let exchange = async {
        let answer = connection::send(address, request, timeout).await;
        let answer = answer.map_err(Error::Unanswered)?;
        let (head, body) = answer.response.into_parts();
        let body = Limited::new(body, max_bytes);
        let body = body.collect().await.map_err(|_broken| Error::Broken)?;
        Ok((head, body.to_bytes()))
    };
    let exchange = tokio::time::timeout(timeout, exchange).await;
    exchange.map_err(|_elapsed| Error::Unanswered(Failure::Silent))?
}

/// Exponential backoff after failed calls.
#[derive(Debug)]
pub(crate) struct Backoff {
    /// Number of consecutive failures.
    failures: u32,
    /// Maximum delay.
    max_delay: Duration,
}

impl Backoff {
    /// Delay after the first failure.
    const INITIAL_DELAY: Duration = Duration::from_millis(100);

    /// Creates a backoff that has seen no failure.
    pub(crate) fn new(max_delay: Duration) -> Self {
        Self {
            failures: 0,
            max_delay,
        }
    }

    /// Resets the delay after a success.
    pub(crate) fn reset(&mut self) {
        self.failures = 0;
    }

    /// Records a failure and waits. The delay doubles each time, and up to half of it is random, so
    /// that the gateways do not retry at the same moment.
    pub(crate) async fn wait(&mut self) {
        let delay = Self::INITIAL_DELAY.saturating_mul(1 << self.failures.min(8));
        self.failures += 1;
        let factor = rand::random_range(0.5..1.0);
        tokio::time::sleep(delay.min(self.max_delay).mul_f64(factor)).await;
    }
}
