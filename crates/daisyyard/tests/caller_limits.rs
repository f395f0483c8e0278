//! Guards against limits on callers that refuse what is allowed, lose requests, or do not say that a
//! request has not run.
//!
//! Each test takes a lock: the figures of one process must not depend on the load of another test.

mod platform;

use std::net::SocketAddr;
use std::time::Duration;

use daisyyard_http::Body;
use daisyyard_standin::platform_fixture::{self, CREDENTIAL, HOST};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, StatusCode};
use platform::{Gateway, Platform, Request, plain_request, spawn_gateway_with, stream_request};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;

/// Held by the test that runs.
static ALONE: Mutex<()> = Mutex::const_new(());
/// Maximum size of a body in the stated target.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Smallest memory that the settings accept, in MB.
const SMALL_MEMORY_MB: u64 = 32;
/// Descriptors of a gateway with a low limit.
const FEW_DESCRIPTORS: usize = 512;
/// Number of events of a long stream.
const LONG_EVENTS: usize = 500;
/// Size of an event of a long stream.
const LONG_EVENT_BYTES: usize = 10_000;
/// Descriptors of a machine that are kept for files.
const FILE_DESCRIPTORS: usize = 200;

/// Starts a platform with an engine, a plain endpoint and a gateway, whose configuration and settings
/// have the given limits.
async fn start(limits: &[(&str, usize)], machine: &Value) -> Platform {
    let mut platform = Platform::start(1, 1).await;
    let mut config = platform::config(2);
    for (name, value) in limits {
        config["limits"][*name] = (*value).into();
    }
    platform.store.put("op/config", &config).await;
    let adapt = |settings: &mut Value| settings["limits"] = machine.clone();
    let gateway = spawn_gateway_with(platform.store.address, 0, adapt).await;
    wait_until_ready(&gateway).await;
    platform.gateways.push(gateway);
    platform
}

/// Waits until a gateway is ready.
async fn wait_until_ready(gateway: &Gateway) {
    platform::wait_until("the gateway is ready", async || {
        platform::status(gateway.ready, "/-/readiness").await == Some(StatusCode::OK)
    })
    .await;
}

/// Returns the head of a request.
fn head(attempt: &str, line: &str, lines: &str) -> String {
    format!(
        "{line} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {CREDENTIAL}\r\n\
         x-daisyyard-attempt-id: {attempt}\r\nx-daisyyard-deadline-ms: 8000\r\n{lines}\r\n"
    )
}

/// Sends bytes on a new connection.
async fn open(address: SocketAddr, text: &str) -> TcpStream {
    let mut socket = TcpStream::connect(address).await.expect("a connection");
    let sent = socket.write_all(text.as_bytes()).await;
    sent.expect("the bytes are sent");
    socket
}

/// Reads until the gateway closes the connection.
async fn read_to_end(socket: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let read = tokio::time::timeout(platform::TIMEOUT, socket.read_to_end(&mut text)).await;
    let ended = matches!(read, Ok(Ok(_)));
    let text = String::from_utf8_lossy(&text).into_owned();
    assert!(ended, "the connection is closed in order after {text:?}");
    text
}

/// Reads a response whose body is `whole plain-0`.
async fn read_answer(socket: &mut TcpStream) -> String {
    let mut text = String::new();
    let mut part = [0; 1024];
    while !text.ends_with("whole plain-0") {
        let read = tokio::time::timeout(platform::TIMEOUT, socket.read(&mut part)).await;
        let size = read.expect("in time").expect("an answer");
        assert!(size > 0, "the connection was closed after {text:?}");
        text.push_str(&String::from_utf8_lossy(&part[..size]));
    }
    text
}

/// Returns a value of the metrics.
async fn metric(platform: &Platform, line: &str) -> f64 {
    let text = platform::text(platform.gateways[0].metrics, "/metrics").await;
    let value = text.lines().find_map(|one| one.strip_prefix(line));
    let value = value.and_then(|value| value.trim().parse().ok());
    value.unwrap_or_else(|| panic!("{line} is in {text}"))
}

/// A single body and a single head of the largest sizes are served by the smallest machine.
#[tokio::test]
async fn largest_request() {
    let _alone = ALONE.lock().await;
    let smallest = json!({ "memory_mb": 88, "file_descriptors": 3075 });
    let mut platform = start(&[("max_body_bytes", MAX_BODY_BYTES)], &smallest).await;
    let body = "x".repeat(MAX_BODY_BYTES);
    let filler = "y".repeat(15_500);
    let request = Request {
        headers: vec![("x-filler", &filler)],
        body: &body,
        ..plain_request(Method::POST, "/book/large")
    };
    let answer = platform.request(request).await;
    assert_eq!(answer, (StatusCode::OK, "whole plain-0".to_owned()));
    let held = "daisyyard_gateway_held{use=\"body_bytes\"}";
    assert!(metric(&platform, held).await < 1.0);
}

/// A body that the gateway cannot hold is refused before it is read: 503 with `Retry-After`, the
/// connection is closed, and nothing was run.
#[tokio::test]
async fn full_account() {
    let _alone = ALONE.lock().await;
    let small = json!({ "memory_mb": SMALL_MEMORY_MB, "file_descriptors": 3075 });
    let platform = start(&[("max_body_bytes", MAX_BODY_BYTES * 4)], &small).await;
    let address = platform.gateways[0].requests;
    let lines = format!(
        "content-type: text/plain\r\ncontent-length: {}\r\n",
        MAX_BODY_BYTES * 3
    );
    let mut socket = open(address, &head("full", "POST /book/full", &lines)).await;
    let text = read_to_end(&mut socket).await.to_ascii_lowercase();
    assert!(text.starts_with("http/1.1 503 "), "{text}");
    assert!(text.contains("retry-after: 0.250"), "{text}");
    assert!(text.contains("connection: close"), "{text}");
    assert!(platform.ran("/book/full").await.is_empty());
    let refused = "daisyyard_gateway_held_refused_total{use=\"body_bytes\"}";
    assert!(metric(&platform, refused).await > 0.0);
}

/// A body that makes no progress gives up its place with 408 after `idle_timeout_ms`.
#[tokio::test]
async fn stalled_body() {
    let _alone = ALONE.lock().await;
    let smallest = json!({ "memory_mb": 88, "file_descriptors": 3075 });
    let platform = start(&[("idle_timeout_ms", 500)], &smallest).await;
    let address = platform.gateways[0].requests;
    let head = head("stalled", "POST /book/stalled", "content-length: 100\r\n");
    let mut socket = open(address, &format!("{head}part")).await;
    let text = read_to_end(&mut socket).await;
    assert!(text.starts_with("HTTP/1.1 408 "), "{text}");
    assert!(platform.ran("/book/stalled").await.is_empty());
}

/// A connection that was idle for longer than `header_timeout_ms`, before its first request or between
/// two, is still served.
#[tokio::test]
async fn idle_connection() {
    let _alone = ALONE.lock().await;
    let smallest = json!({ "memory_mb": 88, "file_descriptors": 3075 });
    let platform = start(&[("header_timeout_ms", 100)], &smallest).await;
    let address = platform.gateways[0].requests;
    let mut socket = open(address, "").await;
    for number in 0..3 {
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        let attempt = format!("idle-{number}");
        let text = head(&attempt, "POST /book/idle", "content-length: 4\r\n") + "body";
        let sent = socket.write_all(text.as_bytes()).await;
        sent.expect("the connection is open");
        let answer = read_answer(&mut socket).await;
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    }
}

/// A head whose bytes wait in the socket while the process is suspended is served, although its time
/// has passed when the process goes on.
#[tokio::test]
async fn suspended_process() {
    let _alone = ALONE.lock().await;
    let smallest = json!({ "memory_mb": 88, "file_descriptors": 3075 });
    let platform = start(&[("header_timeout_ms", 100)], &smallest).await;
    let address = platform.gateways[0].requests;
    let text = head("suspended", "POST /book/suspended", "content-length: 4\r\n") + "body";
    let (first, rest) = text.split_at(20);
    let mut socket = open(address, first).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let process = platform.gateways[0].process.id().to_string();
    let signal = |name: &str| {
        let mut kill = std::process::Command::new("kill");
        let status = kill.args([name, &process]).status();
        assert!(status.expect("it is sent").success());
    };
    signal("-STOP");
    let sent = socket.write_all(rest.as_bytes()).await;
    sent.expect("the bytes are sent");
    tokio::time::sleep(Duration::from_secs(1)).await;
    signal("-CONT");
    let answer = read_answer(&mut socket).await;
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
}

/// Connections beyond the descriptors of the machine are refused with 503, the descriptors stay under
/// the limit, readiness is still reported, and callers are served again when the crowd has gone.
#[tokio::test]
async fn many_connections() {
    let _alone = ALONE.lock().await;
    let few = json!({ "memory_mb": 88, "file_descriptors": FEW_DESCRIPTORS });
    let mut platform = start(&[], &few).await;
    let gateway = &platform.gateways[0];
    let (address, ready, process) = (gateway.requests, gateway.ready, gateway.process.id());
    let mut crowd = Vec::new();
    for _ in 0..FEW_DESCRIPTORS {
        crowd.push(open(address, "").await);
    }
    let path = format!("/proc/{process}/fd");
    let descriptors = std::fs::read_dir(&path).expect("it runs").count();
    assert!(
        descriptors < FEW_DESCRIPTORS - FILE_DESCRIPTORS,
        "{descriptors} descriptors"
    );
    let status = platform::status(ready, "/-/readiness").await;
    assert_eq!(status, Some(StatusCode::OK));
    drop(crowd);
    platform::wait_until("connections are accepted", async || {
        let answer = open(address, "").await;
        let mut part = [0];
        let wait = Duration::from_millis(50);
        tokio::time::timeout(wait, { answer }.read(&mut part))
            .await
            .is_err()
    })
    .await;
    let answer = platform.request(stream_request("/draft/1", "100,20")).await;
    assert_eq!(answer, (StatusCode::OK, platform::events(5)));
}

/// A stream that cannot be sent again gives its body back while it runs; one that another engine may
/// continue keeps it.
#[tokio::test]
async fn body_of_stream() {
    let _alone = ALONE.lock().await;
    for (moves, expected) in [(false, 0.0), (true, 10_000.0)] {
        let mut platform = Platform::start(0, 0).await;
        let interval = Duration::from_millis(300);
        platform
            .add_engine_with_interval("engine-0", "model", interval)
            .await;
        let mut config = platform::config(2);
        config["services"][0]["engine"]["moves"] = moves.into();
        config["services"][0]["engine"]["backups"] = moves.into();
        platform.store.put("op/config", &config).await;
        platform.start_gateway().await;
        let body = "x".repeat(10_000);
        let request = Request {
            body: &body,
            ..stream_request("/draft/1", "100,20")
        };
        let held = "daisyyard_gateway_held{use=\"body_bytes\"}";
        let during = async {
            let running = async || !platform.ran("/draft/1").await.is_empty();
            platform::wait_until("the stream runs", running).await;
            // The engine answers as soon as it has read the body.
            tokio::time::sleep(interval).await;
            metric(&platform, held).await
        };
        let stream = platform.send_through(0, "attempt-stream", &request);
        let (answer, held) = tokio::join!(stream, during);
        assert_eq!(answer, (StatusCode::OK, Some(platform::events(5))));
        assert!((held - expected).abs() < 1.0, "{held} with moves={moves}");
    }
}

/// What waits for a caller that does not read is charged while it waits, and the stream is complete
/// once the caller reads.
#[tokio::test]
async fn slow_reader() {
    let _alone = ALONE.lock().await;
    let mut platform = Platform::start(0, 0).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let engine = daisyyard_http::serve(listener, |request| async move { long_stream(&request) });
    let entry = platform_fixture::entry("model", address, "ready");
    platform.store.put("servers/long", &entry).await;
    platform.start_gateway().await;
    let lines = "content-length: 0\r\nx-daisyyard-model: m\r\nx-daisyyard-token-usage: 100,2000\r\n\
                 connection: close\r\n";
    let request = head("slow", "POST /draft/1", lines);
    let mut socket = open(platform.gateways[0].requests, &request).await;
    let held = "daisyyard_gateway_held{use=\"relay_bytes\"}";
    platform::wait_until("parts of the stream wait", async || {
        metric(&platform, held).await > 0.0
    })
    .await;
    let text = read_to_end(&mut socket).await;
    assert_eq!(text.matches("data: x").count(), LONG_EVENTS);
    assert!(text.ends_with("0\r\n\r\n"), "the answer is complete");
    assert!(metric(&platform, held).await < 1.0);
    engine.abort();
}

/// Returns a stream of long events, which exceeds the buffers of the sockets.
fn long_stream(request: &hyper::Request<Incoming>) -> hyper::Response<Body> {
    let (sender, receiver) = tokio::sync::mpsc::channel(1);
    tokio::spawn(async move {
        for number in 1..=LONG_EVENTS {
            let event = format!("id: {number}\ndata: {}\n\n", "x".repeat(LONG_EVENT_BYTES));
            if sender.send(event.into()).await.is_err() {
                return;
            }
        }
    });
    let mut response = hyper::Response::new(daisyyard_http::channel(receiver));
    let attempt = request.headers().get("x-daisyyard-attempt-id").cloned();
    let headers = response.headers_mut();
    let signature = HeaderValue::from_static("signed");
    headers.insert("x-daisyyard-server-signature", signature);
    if let Some(attempt) = attempt {
        headers.insert("x-daisyyard-attempt-id", attempt);
    }
    response
}
