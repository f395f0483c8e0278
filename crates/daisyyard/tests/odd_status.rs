//! Guards against answers whose status is not one of the protocol, or that lack a signature, and that
//! callers get as answers.

mod platform;

use std::net::SocketAddr;
use std::time::Duration;

use daisyyard_standin::faulty_endpoint::{Fault, FaultyEndpoint, LONG_EVENTS, SOUND_EVENTS};
use daisyyard_standin::platform_fixture::{self, CREDENTIAL};
use hyper::{Method, StatusCode};
use platform::{Platform, events, plain_request, stream_request, text};

/// Status lines of answers that are sound otherwise. None of them makes an answer.
const NO_ANSWERS: [&[u8]; 21] = [
    b"HTTP/1.1 000 OK",
    b"HTTP/1.1 001 OK",
    b"HTTP/1.1 099 OK",
    b"HTTP/1.1 100 Continue",
    b"HTTP/1.1 101 Switching Protocols",
    b"HTTP/1.1 199 OK",
    b"HTTP/1.1 600 OK",
    b"HTTP/1.1 700 OK",
    b"HTTP/1.1 999 OK",
    b"HTTP/1.1 2OO OK",
    b"HTTP/1.1 20 OK",
    b"HTTP/1.1 0200 OK",
    b"HTTP/1.1 -01 OK",
    b"HTTP/1.1  OK",
    b"HTTP/1.1 ",
    b"HTTP/1.1",
    b"HTTP/0.9 200 OK",
    b"HTTP/1.2 200 OK",
    b"HTTP/2.0 200 OK",
    b"ICY 200 OK",
    b"HTTP/1.1 200 O\x01K",
];

/// Status lines that are sound, and their status.
const ANSWERS: [(&[u8], u16); 8] = [
    (b"HTTP/1.1 200 OK", 200),
    (b"HTTP/1.1 200", 200),
    (b"HTTP/1.1 200 \xff\xfe", 200),
    (b"HTTP/1.0 200 OK", 200),
    (b"HTTP/1.1 299 Odd", 299),
    (b"HTTP/1.1 399 Odd", 399),
    (b"HTTP/1.1 499 Odd", 499),
    (b"HTTP/1.1 599 Odd", 599),
];

/// Bytes that an endpoint sends in place of an answer, with neither headers nor a body.
const LINES_ALONE: [&[u8]; 6] = [
    b"id: 1\ndata: piece 1\n\n",
    b"HTTP/1.1 000 OK\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 200 OK\r\n\r\n",
    b"HTTP/1.1 429 Too Many Requests\r\n\r\n",
    b"HTTP/1.1 503 Service Unavailable\r\n\r\n",
];

/// Number of status lines that are played at once, each with a gateway process.
const LINES_AT_ONCE: usize = 3;
/// Number of requests of which some reach the faulty endpoint.
const REQUESTS: usize = 20;
/// Time within which a gateway learns of a new or changed endpoint and acts on it.
const LISTING_TIME: Duration = Duration::from_millis(600);

/// Starts a platform with a gateway and an endpoint with the fault.
async fn start(service: &str, fault: Fault) -> (Platform, FaultyEndpoint) {
    let mut platform = Platform::start(0, 0).await;
    let faulty = platform.add_faulty("faulty", service, fault).await;
    platform.start_gateway().await;
    (platform, faulty)
}

/// Sends a call that may run once to an endpoint with the fault, while a second endpoint could answer;
/// returns the answer and the number of runs at the second one.
async fn call(fault: Fault) -> (StatusCode, Option<String>, usize) {
    let (mut platform, faulty) = start("desk", fault).await;
    platform.add_engine("plain-0", "desk").await;
    for number in 0..REQUESTS {
        let path = format!("/book/{number}");
        let answer = platform
            .try_request(plain_request(Method::POST, &path))
            .await;
        let (status, body) = answer.expect("the gateway answers");
        if faulty.counts().requests > 0 {
            return (status, body, platform.ran(&path).await.len());
        }
    }
    panic!("no call reached the faulty endpoint");
}

/// Sends calls that may be repeated while one of two endpoints has the fault; returns the first answer
/// that is not that of the sound endpoint.
async fn repeatable_calls(fault: Fault) -> Option<StatusCode> {
    let mut platform = Platform::start(0, 1).await;
    let faulty = platform.add_faulty("faulty", "desk", fault).await;
    platform.start_gateway().await;
    for number in 0..REQUESTS {
        let path = format!("/stock/{number}");
        let answer = platform
            .try_request(plain_request(Method::GET, &path))
            .await;
        let (status, _) = answer.expect("the gateway answers");
        let ran = platform.ran(&path).await.len();
        if (status, ran) != (StatusCode::OK, 1) {
            return Some(status);
        }
    }
    assert!(faulty.counts().requests > 0, "some calls reach the fault");
    None
}

/// Sends a request for a stream to an engine with the fault; returns the answer.
async fn stream(fault: Fault) -> (StatusCode, Option<String>) {
    let (mut platform, _faulty) = start("model", fault).await;
    let request = stream_request("/draft/1", "100,20");
    let answer = platform.try_request(request).await;
    answer.expect("the gateway answers")
}

/// Sends a request for a long stream and returns the answer.
async fn send_stream(gateway: SocketAddr) -> (StatusCode, Option<String>) {
    let request = stream_request("/draft/1", "100,400");
    let credential = format!("Bearer {CREDENTIAL}");
    let mut headers = vec![
        ("x-daisyyard-attempt-id", "attempt-1"),
        ("x-daisyyard-deadline-ms", "8000"),
        ("authorization", credential.as_str()),
    ];
    headers.extend(request.headers.iter().copied());
    let answer = platform::send(gateway, &request, &headers).await;
    answer.expect("the gateway answers")
}

/// Moves a stream to an engine with the fault; returns its body if it looks complete.
async fn continued_stream(fault: Fault) -> Option<String> {
    let mut platform = Platform::start(1, 0).await;
    platform.start_gateway().await;
    let answer = tokio::spawn(send_stream(platform.gateways[0].requests));
    platform::wait_until("the stream runs", async || {
        !platform.ran("/draft/1").await.is_empty()
    })
    .await;
    let faulty = platform.add_faulty("faulty", "model", fault).await;
    tokio::time::sleep(LISTING_TIME).await;
    platform.put_entry(0, "model", "draining").await;
    let (_, body) = answer.await.expect("no panic");
    assert!(faulty.counts().requests > 0, "the engine is asked");
    body
}

/// Returns the status lines for which the result is another than expected, with these results.
async fn exceptions<T: PartialEq + std::fmt::Debug>(
    lines: &[&'static [u8]],
    expected: T,
    result: impl AsyncFn(&'static [u8]) -> T,
) -> Vec<String> {
    let mut exceptions = Vec::new();
    for lines in lines.chunks(LINES_AT_ONCE) {
        let results = lines.iter().map(|line| result(line));
        let results = futures_util::future::join_all(results).await;
        for (line, result) in lines.iter().zip(results) {
            if result != expected {
                exceptions.push(format!("{}: {result:?}", line.escape_ascii()));
            }
        }
    }
    exceptions
}

/// A call that may run once and gets no answer has status 502 and is not sent to a second endpoint.
#[tokio::test]
async fn no_answer() {
    let result = async |line| {
        let (status, _, runs) = call(Fault::Status(line)).await;
        (status, runs)
    };
    let found = exceptions(&NO_ANSWERS, (StatusCode::BAD_GATEWAY, 0), result).await;
    assert!(found.is_empty(), "{found:#?}");
}

/// Bytes without the headers of an answer are none, whatever their status.
#[tokio::test]
async fn no_headers() {
    let result = async |bytes| {
        let (status, _, runs) = call(Fault::Bytes(bytes)).await;
        (status, runs)
    };
    let found = exceptions(&LINES_ALONE, (StatusCode::BAD_GATEWAY, 0), result).await;
    assert!(found.is_empty(), "{found:#?}");
}

/// A call that may be repeated is answered by the sound endpoint.
#[tokio::test]
async fn no_answer_repeated() {
    let result = async |line| repeatable_calls(Fault::Status(line)).await;
    let found = exceptions(&NO_ANSWERS, None, result).await;
    assert!(found.is_empty(), "{found:#?}");
}

/// A stream that gets no answer has status 502.
#[tokio::test]
async fn no_stream() {
    let result = async |line| stream(Fault::Status(line)).await.0;
    let found = exceptions(&NO_ANSWERS, StatusCode::BAD_GATEWAY, result).await;
    assert!(found.is_empty(), "{found:#?}");
}

/// A stream whose continuation gets no answer is broken off.
#[tokio::test]
async fn no_continuation() {
    let result = async |line| continued_stream(Fault::Status(line)).await;
    let found = exceptions(&NO_ANSWERS, None, result).await;
    assert!(found.is_empty(), "{found:#?}");
}

/// A continuation is not forwarded without the signature of its engine.
#[tokio::test]
async fn unsigned_continuation() {
    assert_eq!(continued_stream(Fault::Unsigned).await, None);
    let sound = continued_stream(Fault::Status(b"HTTP/1.1 200 OK")).await;
    assert!(sound.is_some(), "a signed continuation is forwarded");
}

/// A continuation that ends before its first event has broken off, as a stream that does.
#[tokio::test]
async fn empty_continuation() {
    assert_eq!(continued_stream(Fault::Unframed(0)).await, None);
}

/// A copy without an answer does not count as made: the run stays at its engine.
#[tokio::test]
async fn no_copy() {
    let result = async |line| {
        let (mut platform, faulty) = start("model", Fault::Control(line)).await;
        let answer = tokio::spawn(send_stream(platform.gateways[0].requests));
        platform::wait_until("the stream runs", async || faulty.counts().requests > 0).await;
        platform.add_engine("engine-0", "model").await;
        tokio::time::sleep(LISTING_TIME).await;
        let entry = platform_fixture::entry("model", faulty.address, "draining");
        platform.store.put("servers/faulty", &entry).await;
        let answer = answer.await.expect("no panic");
        assert!(faulty.counts().calls > 0, "a copy is asked for");
        (answer, platform.ran("/draft/1").await.len())
    };
    let expected = ((StatusCode::OK, Some(events(LONG_EVENTS))), 0);
    let found = exceptions(&NO_ANSWERS, expected, result).await;
    assert!(found.is_empty(), "{found:#?}");
}

/// Answers with unusual but valid status lines reach the caller unchanged.
#[tokio::test]
async fn valid_answers() {
    for (line, status) in ANSWERS {
        let answer = call(Fault::Status(line)).await;
        let line = line.escape_ascii();
        let expected = StatusCode::from_u16(status).expect("a valid status");
        let body = Some(events(SOUND_EVENTS));
        assert_eq!(answer, (expected, body, 0), "{line}");
    }
}

/// A stream of HTTP/1.0 that breaks off does not look complete.
#[tokio::test]
async fn old_version_cut() {
    assert_eq!(stream(Fault::OldCut(3)).await, (StatusCode::OK, None));
}

/// An answer that cannot be parsed is counted as such, and not as a crash of its endpoint.
#[tokio::test]
async fn reason_counted() {
    let mut platform = Platform::start(0, 1).await;
    let fault = Fault::Status(b"HTTP/1.1 000 OK");
    let _faulty = platform.add_faulty("faulty", "desk", fault).await;
    platform.start_gateway().await;
    for number in 0..REQUESTS {
        let path = format!("/stock/{number}");
        platform.request(plain_request(Method::GET, &path)).await;
    }
    let metrics = text(platform.gateways[0].metrics, "/metrics").await;
    let repeats = "daisyyard_gateway_repeats_total{reason=\"malformed_answer\"}";
    assert!(metrics.contains(repeats), "{metrics}");
    let broken = "daisyyard_gateway_broken_runs_total{";
    assert!(!metrics.contains(broken), "{metrics}");
}
