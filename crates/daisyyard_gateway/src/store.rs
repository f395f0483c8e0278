//! HTTP client for calls to the platform's store and to the control interface of engines.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use daisyyard_core::catch_up::End;
use daisyyard_core::revision::Era;
use daisyyard_http::connection::{self, Failure};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_TYPE, HOST, HeaderMap};
use hyper::http::response;
use hyper::{Request, StatusCode};
use tokio::time::Instant;

use crate::codec::Call;

/// Maximum size of a response of the store, in bytes; it must fit a page of encoded values.
pub(crate) const MAX_PAGE_BYTES: usize = 8 << 20;
/// Maximum time for the body of such a page; the largest one takes 7 s at 10 Mbit/s.
const PAGE_TIMEOUT: Duration = Duration::from_secs(10);
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
    /// The response began to arrive but was not complete in time.
    #[error("the response was not complete in time ({0}); check the bandwidth of the path")]
    Incomplete(Progress),
    /// The response is larger than the call allows.
    #[error("the response is too large ({0}); read less at once")]
    TooLarge(Progress),
    /// The server rejected the call.
    #[error("the server rejected the call with status {0}; retry later")]
    Declined(StatusCode),
    /// The response belongs to an era of the store that has ended.
    #[error(
        "the response is of an era before {0}; if the store was set up anew on purpose, restart the gateways"
    )]
    Outdated(Era),
    /// The response cannot be decoded.
    #[error("cannot decode the response ({0}); check that the address is right")]
    Unusable(anyhow::Error),
}

impl Error {
    /// Returns the name of the reason for metrics.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Unanswered(_) => "unanswered",
            Self::Broken => "broken",
            Self::Incomplete(_) => "incomplete",
            Self::TooLarge(_) => "too_large",
            Self::Declined(_) => "declined",
            Self::Outdated(_) => "outdated",
            Self::Unusable(_) => "unusable",
        }
    }

    /// Returns whether the server answers, but not with the changes that were asked for.
    pub(crate) fn proves_reach(&self) -> bool {
        matches!(self, Self::TooLarge(_) | Self::Declined(StatusCode::GONE))
    }
}

impl From<&Error> for End {
    fn from(error: &Error) -> Self {
        match error {
            Error::Declined(StatusCode::GONE) => Self::Discarded,
            Error::Incomplete(_) | Error::TooLarge(_) | Error::Broken => Self::Abandoned,
            Error::Unanswered(_) | Error::Declined(_) | Error::Outdated(_) | Error::Unusable(_) => {
                Self::Unanswered
            }
        }
    }
}

/// How much of the body of a response has arrived.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Progress {
    /// Bytes that have arrived.
    pub(crate) received: usize,
    /// Size of the body in bytes; none if the response does not state it.
    pub(crate) expected: Option<u64>,
}

impl fmt::Display for Progress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} of ", self.received)?;
        match self.expected {
            Some(bytes) => write!(f, "{bytes} bytes"),
            None => f.write_str("an unknown number of bytes"),
        }
    }
}

/// Limits on the time of a call.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Timeouts {
    /// Time until the head of the response.
    head: Duration,
    /// Time until the next bytes of the body.
    stall: Duration,
    /// Time until the end of the body.
    total: Duration,
}

impl Timeouts {
    /// Returns the limits of a call whose response is small.
    pub(crate) const fn of_result(total: Duration) -> Self {
        Self {
            head: total,
            stall: total,
            total,
        }
    }

    /// Returns the limits of a call whose response is a page of values. It may take long to arrive, as
    /// long as its parts do.
    pub(crate) fn of_page(head: Duration, stall: Duration) -> Self {
        Self {
            head,
            stall,
            total: head + PAGE_TIMEOUT,
        }
    }
}

/// Sends a call on a new connection and returns the complete body, of at most `max_bytes`, of the
/// response if its status is 200.
pub(crate) async fn call(
    address: SocketAddr,
    call: Call,
    timeouts: Timeouts,
    max_bytes: usize,
) -> Result<Bytes, Error> {
    let (_, body) = read(address, call, timeouts, max_bytes).await?;
    Ok(body)
}

/// Sends a call on a new connection and returns the headers and the complete body, of at most
/// `max_bytes`, of the response if its status is 200.
pub(crate) async fn read(
    address: SocketAddr,
    call: Call,
    timeouts: Timeouts,
    max_bytes: usize,
) -> Result<(HeaderMap, Bytes), Error> {
    match exchange(address, call, timeouts, max_bytes).await? {
        (head, body) if head.status == StatusCode::OK => Ok((head.headers, body)),
        (head, _) => Err(Error::Declined(head.status)),
    }
}

/// Sends a call on a new connection and returns the head and the complete body, of at most `max_bytes`,
/// of the response.
pub(crate) async fn exchange(
    address: SocketAddr,
    call: Call,
    timeouts: Timeouts,
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
    let deadline = Instant::now() + timeouts.total;
    let answer = connection::send(address, request, timeouts.head);
    let answer = tokio::time::timeout(timeouts.head, answer).await;
    let answer = answer.map_err(|_elapsed| Error::Unanswered(Failure::Silent))?;
    let answer = answer.map_err(Error::Unanswered)?;
    let (head, body) = answer.response.into_parts();
    let body = read_body(body, deadline, timeouts.stall, max_bytes).await?;
    Ok((head, body))
}

/// Reads a body of at most `max_bytes` until a deadline, as long as it does not stall.
async fn read_body(
    mut body: Incoming,
    deadline: Instant,
    stall: Duration,
    max_bytes: usize,
) -> Result<Bytes, Error> {
    let expected = body.size_hint().exact();
    let progress = |received| Progress { received, expected };
    if expected.is_some_and(|expected| expected > max_bytes as u64) {
        return Err(Error::TooLarge(progress(0)));
    }
    let mut bytes = BytesMut::new();
    loop {
        let stalled_at = Instant::now() + stall;
        let frame = tokio::time::timeout_at(deadline.min(stalled_at), body.frame()).await;
        let frame = frame.map_err(|_elapsed| Error::Incomplete(progress(bytes.len())))?;
        let Some(frame) = frame else {
            return Ok(bytes.freeze());
        };
        let frame = frame.map_err(|_broken| Error::Broken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > max_bytes {
            return Err(Error::TooLarge(progress(bytes.len())));
        }
        bytes.extend_from_slice(&data);
    }
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
