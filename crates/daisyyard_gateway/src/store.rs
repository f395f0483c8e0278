//! The one client of the platform's store.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use daisyyard_http::connection::{self, Failure};
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Request, StatusCode};

use crate::codec::Call;

/// Largest answer that is read, in bytes: a page of values and its encoding.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Why a call has no usable answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// Nothing was executed, or it is not known whether.
    #[error("no answer ({0:?}); check the path to the address, and ask again")]
    Unanswered(Failure),
    /// The answer broke off.
    #[error("the answer broke off; ask again")]
    Broken,
    /// The call was declined.
    #[error("the call was declined with status {0}; ask again later")]
    Declined(StatusCode),
    /// The answer cannot be read.
    #[error("the answer cannot be used ({0}); check that the address is right")]
    Unusable(anyhow::Error),
}

/// Sends a call on a connection of its own and reads the whole answer.
pub(crate) async fn call(
    address: SocketAddr,
    call: Call,
    timeout: Duration,
) -> Result<Bytes, Error> {
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
        let answer = connection::open(address, request, timeout).await;
        let answer = answer.map_err(Error::Unanswered)?;
        let status = answer.response.status();
        let body = Limited::new(answer.response.into_body(), MAX_ANSWER_BYTES);
        let body = body.collect().await.map_err(|_broken| Error::Broken)?;
        Ok((status, body.to_bytes()))
    };
    let exchange = tokio::time::timeout(timeout, exchange).await;
    let (status, body) = exchange.map_err(|_elapsed| Error::Unanswered(Failure::Silent))??;
    if status == StatusCode::OK {
        Ok(body)
    } else {
        Err(Error::Declined(status))
    }
}

/// Delay before the next try after calls that failed.
#[derive(Debug)]
pub(crate) struct Backoff {
    /// Failures in a row.
    failures: u32,
    /// Longest delay.
    max_delay: Duration,
}

impl Backoff {
    /// Shortest delay.
    const INITIAL_DELAY: Duration = Duration::from_millis(100);

    /// Creates a backoff after no failure.
    pub(crate) fn new(max_delay: Duration) -> Self {
        Self {
            failures: 0,
            max_delay,
        }
    }

    /// Forgets the failures.
    pub(crate) fn reset(&mut self) {
        self.failures = 0;
    }

    /// Counts a failure and waits: the delay doubles, and half of it is random, so that the
    /// gateways do not return all at once.
    pub(crate) async fn wait(&mut self) {
        let delay = Self::INITIAL_DELAY.saturating_mul(1 << self.failures.min(8));
        self.failures += 1;
        let factor = rand::random_range(0.5..1.0);
        tokio::time::sleep(delay.min(self.max_delay).mul_f64(factor)).await;
    }
}
