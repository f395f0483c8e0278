//! Callers of a soak: what they ask, and what they see.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use daisyyard_http::connection::{self, Answer};
use daisyyard_standin::platform_fixture::{CREDENTIAL, HOST};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode, header};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Time that a caller says it will wait.
const DEADLINE: Duration = Duration::from_secs(6);
/// Time after which a caller gives up: its deadline, and time for the answer to travel.
const PATIENCE: Duration = Duration::from_secs(7);
/// Longest pause of a caller between two requests, in milliseconds.
const LONGEST_PAUSE: u64 = 60;
/// Tokens of the shortest and the longest stream, four for each event.
const TOKENS: std::ops::Range<u64> = 8..400;
/// Tokens of an event.
const TOKENS_PER_EVENT: u64 = 4;

/// What a caller asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A stream of a number of events.
    Draft(u64),
    /// An answer whose request may run once.
    Book,
    /// An answer whose request may run again.
    Stock,
}

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum End {
    /// No answer arrived.
    Nothing,
    /// An answer arrived.
    Answer {
        /// Its status.
        status: StatusCode,
        /// Attempt that it names.
        attempt: Option<String>,
        /// Text that arrived.
        text: String,
        /// Whether it looks complete.
        whole: bool,
    },
}

impl End {
    /// Returns whether a whole answer arrived from an endpoint that served the request.
    pub(crate) fn is_served(&self) -> bool {
        matches!(self, Self::Answer { status, whole: true, .. } if *status == StatusCode::OK)
    }
}

/// A request and its end.
#[derive(Debug, Clone)]
pub(crate) struct Record {
    /// Identifier of the attempt.
    pub(crate) attempt: String,
    /// What was asked for.
    pub(crate) kind: Kind,
    /// How it ended.
    pub(crate) end: End,
}

/// Asks gateways one after another until a time, and returns what was seen.
pub(crate) async fn act(gateways: Vec<SocketAddr>, name: String, until: Instant) -> Vec<Record> {
    let mut random = Pcg64Mcg::seed_from_u64(daisyyard_core::id::of(&name));
    let mut records = Vec::new();
    while Instant::now() < until {
        let kind = match random.random_range(0..3) {
            0 => Kind::Draft(random.random_range(TOKENS) / TOKENS_PER_EVENT),
            1 => Kind::Book,
            _ => Kind::Stock,
        };
        let gateway = gateways[random.random_range(0..gateways.len())];
        let attempt = format!("{name}-{}", records.len());
        records.push(ask(gateway, attempt, kind).await);
        let pause = random.random_range(0..LONGEST_PAUSE);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
    records
}

/// Sends one request.
pub(crate) async fn ask(gateway: SocketAddr, attempt: String, kind: Kind) -> Record {
    let mut text = Vec::new();
    let read = read(gateway, &attempt, kind, &mut text);
    let read = tokio::time::timeout(PATIENCE, read).await;
    let end = match read {
        Ok(Some((head, whole))) => answer(&head, &text, whole),
        // A stream that goes on beyond the caller's patience has a head, but no end.
        Ok(None) | Err(_) => End::Nothing,
    };
    Record { attempt, kind, end }
}

/// Returns the end of a request that was answered.
fn answer(head: &hyper::http::response::Parts, text: &[u8], whole: bool) -> End {
    let attempt = head.headers.get("x-daisyyard-attempt-id");
    End::Answer {
        status: head.status,
        attempt: attempt.and_then(|value| value.to_str().ok().map(ToOwned::to_owned)),
        text: String::from_utf8_lossy(text).into_owned(),
        whole,
    }
}

/// Sends a request and reads its answer; returns its head and whether its end arrived.
async fn read(
    gateway: SocketAddr,
    attempt: &str,
    kind: Kind,
    text: &mut Vec<u8>,
) -> Option<(hyper::http::response::Parts, bool)> {
    let (method, path) = match kind {
        Kind::Draft(_) => (Method::POST, "/draft/1"),
        Kind::Book => (Method::POST, "/book/1"),
        Kind::Stock => (Method::GET, "/stock/1"),
    };
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, HOST)
        .header(header::AUTHORIZATION, format!("Bearer {CREDENTIAL}"))
        .header("x-daisyyard-attempt-id", attempt)
        .header("x-daisyyard-deadline-ms", DEADLINE.as_millis().to_string());
    if let Kind::Draft(events) = kind {
        let usage = format!("100,{}", events * TOKENS_PER_EVENT);
        request = request
            .header("x-daisyyard-model", "m")
            .header("x-daisyyard-token-usage", usage);
    }
    let request = request.body(Full::new(Bytes::new())).ok()?;
    let opened = connection::send(gateway, request, PATIENCE).await;
    let Answer { response, driver } = opened.ok()?;
    let (head, mut body) = response.into_parts();
    let whole = loop {
        match body.frame().await {
            Some(Ok(frame)) => text.extend(frame.into_data().unwrap_or_default()),
            Some(Err(_)) => break false,
            None => break true,
        }
    };
    drop(driver);
    Some((head, whole))
}
