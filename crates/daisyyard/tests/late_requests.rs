//! Guards against requests that a gateway accepts during a planned stop and cuts at its end without an
//! answer.

mod platform;

use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

use daisyyard_standin::platform_engine::Mode;
use daisyyard_standin::platform_fixture::{CREDENTIAL, HOST};
use hyper::{Method, StatusCode};
use platform::{Gateway, Platform, plain_request, stream_request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Grace period of the gateway, in seconds.
const GRACE_S: f64 = 3.0;
/// Time after the start of the stop at which late requests arrive.
const LATE: Duration = Duration::from_millis(1_500);

/// Starts a gateway with a short grace period beside plain endpoints with the given mode.
async fn start(mode: Mode) -> Platform {
    let mut platform = Platform::start(1, 1).await;
    platform.engines[1].set_mode(mode);
    let gateway = platform::spawn_gateway_with(platform.store.address, 0, |settings| {
        settings["bounds"]["grace_s"] = GRACE_S.into();
    });
    platform.gateways.push(gateway.await);
    let ready = platform.gateways[0].ready;
    platform::wait_until("the gateway is ready", async || {
        platform::status(ready, "/-/readiness").await == Some(StatusCode::OK)
    })
    .await;
    platform
}

/// Starts the planned stop of a gateway.
fn stop(gateway: &Gateway) {
    let id = gateway.process.id().to_string();
    let sent = Command::new("kill").args(["-TERM", &id]).status();
    assert!(sent.expect("kill runs").success());
}

/// Returns a request as it is sent on a connection.
fn text(method: &str, path: &str, timeout_ms: u64, body_bytes: usize) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {CREDENTIAL}\r\n\
         x-daisyyard-attempt-id: attempt-{timeout_ms}\r\nx-daisyyard-deadline-ms: {timeout_ms}\r\n\
         content-length: {body_bytes}\r\n\r\n"
    )
}

/// Opens a connection on which no request is sent yet.
async fn connect(address: SocketAddr) -> TcpStream {
    let socket = TcpStream::connect(address).await;
    socket.expect("the gateway listens")
}

/// Returns the status of the answer on a connection; `None` if it closes without one.
async fn read_status(socket: &mut TcpStream) -> Option<StatusCode> {
    let mut answer = [0; 12];
    tokio::time::timeout(platform::TIMEOUT, socket.read_exact(&mut answer))
        .await
        .expect("the connection answers or closes")
        .ok()?;
    let status = std::str::from_utf8(&answer[9..]).expect("a status");
    Some(status.parse().expect("a status"))
}

/// A late call that may outlast the process is refused and not passed on, also on a connection that was
/// open before.
#[tokio::test]
async fn late_call() {
    let platform = start(Mode::Hanging).await;
    let mut socket = connect(platform.gateways[0].requests).await;
    stop(&platform.gateways[0]);
    tokio::time::sleep(LATE).await;
    let request = text("POST", "/book/1", 5_000, 0);
    socket.write_all(request.as_bytes()).await.expect("written");
    let status = read_status(&mut socket).await;
    assert_eq!(status, Some(StatusCode::SERVICE_UNAVAILABLE));
    assert!(platform.runs.arrivals().await.is_empty());
}

/// A late call whose deadline is before the end of the process is served.
#[tokio::test]
async fn short_call() {
    let platform = start(Mode::Serving).await;
    let mut socket = connect(platform.gateways[0].requests).await;
    stop(&platform.gateways[0]);
    tokio::time::sleep(LATE).await;
    let request = text("POST", "/book/1", 800, 0);
    socket.write_all(request.as_bytes()).await.expect("written");
    let status = read_status(&mut socket).await;
    assert_eq!(status, Some(StatusCode::OK));
}

/// A call that is in progress when the process ends gets an answer that promises nothing.
#[tokio::test]
async fn unfinished_call() {
    let mut platform = start(Mode::Hanging).await;
    let request = plain_request(Method::POST, "/book/1");
    let mut gateway = platform.gateways.pop().expect("a gateway");
    let credential = format!("Bearer {CREDENTIAL}");
    let headers = [
        ("x-daisyyard-attempt-id", "attempt-1"),
        ("x-daisyyard-deadline-ms", "5000"),
        ("authorization", credential.as_str()),
    ];
    let call = platform::send(gateway.requests, &request, &headers);
    let act = async {
        platform::wait_until("the call is passed on", async || {
            !platform.runs.arrivals().await.is_empty()
        })
        .await;
        stop(&gateway);
    };
    let (answer, ()) = tokio::join!(call, act);
    let (status, _) = answer.expect("the connection is not cut");
    assert_eq!(status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(platform.runs.arrivals().await.len(), 1);
    let ended = gateway.process.wait().expect("the process ends");
    assert!(ended.success());
}

/// A call whose body arrives late in the grace period is refused and not passed on.
#[tokio::test]
async fn late_body() {
    let platform = start(Mode::Hanging).await;
    let mut socket = connect(platform.gateways[0].requests).await;
    let request = text("POST", "/book/1", 5_000, 4);
    socket.write_all(request.as_bytes()).await.expect("written");
    tokio::time::sleep(Duration::from_millis(100)).await;
    stop(&platform.gateways[0]);
    tokio::time::sleep(LATE).await;
    socket.write_all(b"body").await.expect("written");
    let status = read_status(&mut socket).await;
    assert_eq!(status, Some(StatusCode::SERVICE_UNAVAILABLE));
    assert!(platform.runs.arrivals().await.is_empty());
}

/// A call whose body has not arrived by the end of the process is refused.
#[tokio::test]
async fn missing_body() {
    let platform = start(Mode::Serving).await;
    let mut socket = connect(platform.gateways[0].requests).await;
    let request = text("POST", "/book/1", 5_000, 4);
    socket.write_all(request.as_bytes()).await.expect("written");
    tokio::time::sleep(Duration::from_millis(100)).await;
    stop(&platform.gateways[0]);
    let status = read_status(&mut socket).await;
    assert_eq!(status, Some(StatusCode::SERVICE_UNAVAILABLE));
}

/// A stream that waits for a free engine is refused as soon as the stop begins, so that its caller can
/// ask another gateway in time.
#[tokio::test]
async fn waiting_stream() {
    let platform = start(Mode::Serving).await;
    // The memory of the only engine suffices for one of these at a time.
    let usage = "30000,4000";
    let request = stream_request("/draft/1", usage);
    let first = platform.send_through(0, "attempt-1", &request);
    let second = async {
        platform::wait_until("the first stream runs", async || {
            platform.ran("/draft/1").await.len() == 1
        })
        .await;
        let request = stream_request("/draft/2", usage);
        let waiting = platform.send_through(0, "attempt-2", &request);
        let act = async {
            tokio::time::sleep(Duration::from_millis(200)).await;
            stop(&platform.gateways[0]);
            std::time::Instant::now()
        };
        let ((status, _), stopped) = tokio::join!(waiting, act);
        (status, stopped.elapsed())
    };
    let (_, (status, time)) = tokio::join!(first, second);
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(time < Duration::from_millis(500), "refused after {time:?}");
    assert!(platform.ran("/draft/2").await.is_empty());
}
