//! Callers of a soak, which send requests to gateways and record the answers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use daisyyard_http::connection::{self, Answer};
use daisyyard_standin::platform_fixture::{CREDENTIAL, HOST};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode, header};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Deadline that a caller states in its requests.
const DEADLINE: Duration = Duration::from_secs(6);
/// Limit on the whole request at the caller: the stated deadline, and a second for the answer to
/// arrive.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(7);
/// Upper bound of the pause between two requests of a caller, in milliseconds.
const MAX_PAUSE_MS: u64 = 60;
/// Range of the lengths of streams, in tokens.
const STREAM_TOKENS: std::ops::Range<u64> = 8..400;
/// Number of tokens in an event of a stream.
const TOKENS_PER_EVENT: u64 = 4;

/// Number of connections of a crowd with stalled bodies.
const CROWD: usize = 50;
/// Size of the largest chunk of a stalled body: nearly the limit on bodies of the soak's configuration.
const CROWD_CHUNK_BYTES: usize = 60_000;
/// Limit on sending one of these bodies, for a gateway that is suspended.
const MAX_CROWD_WRITE: Duration = Duration::from_millis(100);

/// API key of the account that floods gateways.
pub(crate) const FLOOD_CREDENTIAL: &str = "secret-of-flood";
/// Number of callers of a flood, twice that of all other callers.
const FLOOD_CALLERS: usize = 24;

/// Kind of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A generation, streamed in this number of events.
    Draft(u64),
    /// A request that must not run more than once.
    Book,
    /// An idempotent request.
    Stock,
}

/// Result of a request at its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum End {
    /// No answer arrived, or it did not end within the time limit.
    NoAnswer,
    /// An answer arrived, possibly incomplete.
    Answer {
        /// Status of the answer.
        status: StatusCode,
        /// Attempt identifier in the headers of the answer.
        attempt: Option<String>,
        /// Body as far as it arrived.
        text: String,
        /// Whether the end of the body arrived.
        complete: bool,
    },
}

impl End {
    /// Returns whether a complete answer with status 200 arrived.
    pub(crate) fn is_served(&self) -> bool {
        matches!(self, Self::Answer { status, complete: true, .. } if *status == StatusCode::OK)
    }
}

/// Request and its result.
#[derive(Debug, Clone)]
pub(crate) struct Record {
    /// Identifier of the attempt.
    pub(crate) attempt: String,
    /// Kind of request.
    pub(crate) kind: Kind,
    /// Result of the request.
    pub(crate) end: End,
}

/// Sends one request after another to random gateways until a time, and returns their records.
pub(crate) async fn run_caller(
    credential: &str,
    gateways: Vec<SocketAddr>,
    name: String,
    until: Instant,
) -> Vec<Record> {
    let mut random = Pcg64Mcg::seed_from_u64(daisyyard_core::id::of(&name));
    let mut records = Vec::new();
    while Instant::now() < until {
        let kind = match random.random_range(0..3) {
            0 => Kind::Draft(random.random_range(STREAM_TOKENS) / TOKENS_PER_EVENT),
            1 => Kind::Book,
            _ => Kind::Stock,
        };
        let gateway = gateways[random.random_range(0..gateways.len())];
        let attempt = format!("{name}-{}", records.len());
        records.push(send_as(credential, gateway, attempt, kind).await);
        let pause = random.random_range(0..MAX_PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
    records
}

/// Sends requests of one account to a gateway from many callers for a time, and returns their records.
pub(crate) async fn flood(gateway: SocketAddr, name: &str, duration: Duration) -> Vec<Record> {
    let until = Instant::now() + duration;
    let callers = (0..FLOOD_CALLERS).map(|number| {
        let name = format!("{name}-c{number}");
        run_caller(FLOOD_CREDENTIAL, vec![gateway], name, until)
    });
    futures_util::future::join_all(callers).await.concat()
}

/// Sends bodies without their end to a gateway and keeps the connections open for a time. The gateway
/// may refuse them or close the connections.
pub(crate) async fn stall_bodies(gateway: SocketAddr, duration: Duration) {
    let head = format!(
        "POST /book/1 HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {CREDENTIAL}\r\n\
         x-daisyyard-attempt-id: stalled\r\nx-daisyyard-deadline-ms: 60000\r\n\
         transfer-encoding: chunked\r\n\r\n"
    );
    let chunk = format!("1\r\nx\r\n{CROWD_CHUNK_BYTES:x}\r\n");
    let text = head + &chunk + &"x".repeat(CROWD_CHUNK_BYTES);
    let mut sockets = Vec::new();
    for _ in 0..CROWD {
        // A gateway may be down at this time.
        if let Ok(mut socket) = TcpStream::connect(gateway).await {
            let write = socket.write_all(text.as_bytes());
            let _ = tokio::time::timeout(MAX_CROWD_WRITE, write).await;
            sockets.push(socket);
        }
    }
    tokio::time::sleep(duration).await;
}

/// Sends a request of the usual account to a gateway and records its result.
pub(crate) async fn send_request(gateway: SocketAddr, attempt: String, kind: Kind) -> Record {
    send_as(CREDENTIAL, gateway, attempt, kind).await
}

/// Sends a request of an account to a gateway and records its result.
async fn send_as(credential: &str, gateway: SocketAddr, attempt: String, kind: Kind) -> Record {
    let mut text = Vec::new();
    let exchange = exchange(credential, gateway, &attempt, kind, &mut text);
    let exchange = tokio::time::timeout(REQUEST_TIMEOUT, exchange).await;
    let end = match exchange {
        Ok(Some((head, complete))) => answer(&head, &text, complete),
        // On a timeout the answer is dropped, even if its head and a part of its body arrived.
        Ok(None) | Err(_) => End::NoAnswer,
    };
    Record { attempt, kind, end }
}

/// Returns the result of an answered request.
fn answer(head: &hyper::http::response::Parts, text: &[u8], complete: bool) -> End {
    let attempt = head.headers.get("x-daisyyard-attempt-id");
    End::Answer {
        status: head.status,
        attempt: attempt.and_then(|value| value.to_str().ok().map(ToOwned::to_owned)),
        text: String::from_utf8_lossy(text).into_owned(),
        complete,
    }
}

/// Sends a request and reads the body of its answer into `text`. Returns the head and whether the
/// end of the body arrived, or none if there is no answer.
async fn exchange(
    credential: &str,
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
        .header(header::AUTHORIZATION, format!("Bearer {credential}"))
        .header("x-daisyyard-attempt-id", attempt)
        .header("x-daisyyard-deadline-ms", DEADLINE.as_millis().to_string());
    if let Kind::Draft(events) = kind {
        let usage = format!("100,{}", events * TOKENS_PER_EVENT);
        request = request
            .header("x-daisyyard-model", "m")
            .header("x-daisyyard-token-usage", usage);
    }
    let request = request.body(Full::new(Bytes::new())).ok()?;
    let opened = connection::send(gateway, request, REQUEST_TIMEOUT).await;
    let Answer { response, driver } = opened.ok()?;
    let (head, mut body) = response.into_parts();
    let complete = loop {
        match body.frame().await {
            Some(Ok(frame)) => text.extend(frame.into_data().unwrap_or_default()),
            Some(Err(_)) => break false,
            None => break true,
        }
    };
    drop(driver);
    Some((head, complete))
}
