//! Guards against callers of a gateway that is cut off from all engines, whose requests it fails
//! although another gateway reaches the engines.

mod platform;

use std::process::Command;
use std::time::{Duration, Instant};

use daisyyard_standin::platform_engine::Mode;
use daisyyard_standin::platform_fixture::{CREDENTIAL, HOST};
use http_body_util::{BodyExt, Full};
use hyper::{Method, StatusCode};
use platform::outlier::Outlier;
use platform::{Platform, TIMEOUT, events, plain_request, stream_request};

/// Number of events of a stream, which takes one second.
const EVENT_COUNT: u64 = 50;
/// Token usage of such a stream: prompt and output tokens.
const USAGE: &str = "100,200";
/// Time after which an engine has noticed that its caller has left.
const NOTICE_TIME: Duration = Duration::from_millis(500);
/// Time within which a request that no gateway can serve is refused.
const REFUSAL_TIME: Duration = Duration::from_secs(4);

/// Starts a platform with an engine and a plain endpoint, gateways that reach them, and one that is cut off.
async fn start(reaching: usize) -> (Platform, Outlier) {
    let mut platform = Platform::start(1, 1).await;
    for _ in 0..reaching {
        platform.start_gateway().await;
    }
    let mut outlier = Outlier::start(&mut platform).await;
    platform::wait_until_listed(&platform.gateways).await;
    outlier.cut(&platform).await;
    // A gateway takes requests once the one that is cut off has heard of it.
    for gateway in &platform.gateways[..reaching] {
        let mut number = 0;
        let deadline = Instant::now() + TIMEOUT;
        while !platform::text(gateway.metrics, "/metrics")
            .await
            .contains("side=\"taken\"")
        {
            assert!(Instant::now() < deadline, "in time: each gateway is asked");
            number += 1;
            let attempt = format!("probe-{}-{number}", gateway.requests);
            let request = plain_request(Method::GET, "/stock/probe");
            platform
                .send_through(outlier.gateway, &attempt, &request)
                .await;
        }
    }
    (platform, outlier)
}

/// Calls are answered, and each runs once.
#[tokio::test]
async fn plain_calls() {
    let (platform, outlier) = start(1).await;
    for number in 0..20 {
        let attempt = format!("call-{number}");
        let request = plain_request(Method::POST, "/book/1");
        let (status, body) = platform
            .send_through(outlier.gateway, &attempt, &request)
            .await;
        assert_eq!(status, StatusCode::OK, "{attempt}: {body:?}");
        assert_eq!(body.as_deref(), Some("whole plain-0"));
    }
    assert_eq!(platform.ran("/book/1").await.len(), 20);
}

/// A stream arrives whole from one run, from the event on that the caller asks for.
#[tokio::test]
async fn whole_stream() {
    let (platform, outlier) = start(1).await;
    let request = stream_request("/draft/1", USAGE);
    let answer = platform
        .send_through(outlier.gateway, "draft", &request)
        .await;
    assert_eq!(answer, (StatusCode::OK, Some(events(EVENT_COUNT))));
    assert_eq!(platform.ran("/draft/1").await.len(), 1);
    let mut request = stream_request("/check/1", USAGE);
    request.headers.push(("last-event-id", "20"));
    let (status, body) = platform
        .send_through(outlier.gateway, "check", &request)
        .await;
    let all = events(EVENT_COUNT);
    let rest = all.strip_prefix(&events(20)).map(ToOwned::to_owned);
    assert_eq!((status, body), (StatusCode::OK, rest));
}

/// A refusal of the gateway that reaches the engines is passed on.
#[tokio::test]
async fn passed_refusal() {
    let (platform, outlier) = start(1).await;
    platform.engines[0].set_mode(Mode::Declining);
    let request = stream_request("/draft/1", USAGE);
    let (status, _) = platform
        .send_through(outlier.gateway, "draft", &request)
        .await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(platform.ran("/draft/1").await.is_empty());
}

/// The run of a stream ends once its caller has left.
#[tokio::test]
async fn caller_leaves() {
    let (platform, outlier) = start(1).await;
    let credential = format!("Bearer {CREDENTIAL}");
    let request = hyper::Request::builder()
        .method(Method::POST)
        .uri("/draft/1")
        .header("host", HOST)
        .header("x-daisyyard-attempt-id", "gone")
        .header("x-daisyyard-deadline-ms", "8000")
        .header("x-daisyyard-model", "m")
        .header("x-daisyyard-token-usage", "100,1200")
        .header("authorization", credential);
    let request = request.body(Full::default()).expect("a request");
    let address = platform.gateways[outlier.gateway].requests;
    let answer = daisyyard_http::connection::send(address, request, TIMEOUT).await;
    let mut answer = answer.expect("an answer");
    assert_eq!(answer.response.status(), StatusCode::OK);
    let frame = answer.response.body_mut().frame().await;
    assert!(matches!(frame, Some(Ok(_))), "an event");
    drop(answer);
    tokio::time::sleep(NOTICE_TIME).await;
    let left = Instant::now();
    tokio::time::sleep(NOTICE_TIME).await;
    let engine = platform.engines[0].address;
    let last_work = platform.runs.last_work("gone", engine).await;
    assert!(last_work.is_some_and(|at| at < left), "the run ends");
}

/// Another gateway takes the place of one that is lost.
#[tokio::test]
async fn lost_peer() {
    let (mut platform, outlier) = start(2).await;
    let lost = &mut platform.gateways[0].process;
    lost.kill().expect("the gateway is killed");
    lost.wait().expect("the gateway has ended");
    for number in 0..10 {
        let attempt = format!("call-{number}");
        let request = plain_request(Method::POST, "/book/1");
        let (status, body) = platform
            .send_through(outlier.gateway, &attempt, &request)
            .await;
        assert_eq!(status, StatusCode::OK, "{attempt}: {body:?}");
    }
    assert_eq!(platform.ran("/book/1").await.len(), 10);
}

/// A gateway that is told to stop finishes what was relayed to it; later requests go to another one.
#[tokio::test]
async fn leaving_peer() {
    let (platform, outlier) = start(2).await;
    let request = stream_request("/draft/1", USAGE);
    let stream = async |number: u32| {
        let attempt = format!("stream-{number}");
        let answer = platform.send_through(outlier.gateway, &attempt, &request);
        assert_eq!(answer.await, (StatusCode::OK, Some(events(EVENT_COUNT))));
    };
    let before = futures_util::future::join_all((0..4).map(&stream));
    let after = async {
        platform::wait_until("the streams run", async || {
            platform.ran("/draft/1").await.len() == 4
        })
        .await;
        let pid = platform.gateways[0].process.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &pid]).status();
        assert!(sent.expect("a signal is sent").success());
        futures_util::future::join_all((4..8).map(&stream)).await;
    };
    tokio::join!(before, after);
    assert_eq!(platform.ran("/draft/1").await.len(), 8);
}

/// Calls that may have run are not repeated when the gateway that sent them is lost.
#[tokio::test]
async fn lost_answer() {
    let (mut platform, outlier) = start(2).await;
    platform.engines[1].set_mode(Mode::Hanging);
    let request = plain_request(Method::POST, "/book/1");
    let mut lost = platform.gateways.remove(0);
    let platform = &platform;
    let calls = (0..8).map(|number| {
        let request = &request;
        async move {
            let attempt = format!("call-{number}");
            let answer = platform.send_through(outlier.gateway - 1, &attempt, request);
            answer.await.0
        }
    });
    let act = async {
        platform::wait_until("the calls run", async || {
            platform.ran("/book/1").await.len() == 8
        })
        .await;
        lost.process.kill().expect("the gateway is killed");
        lost.process.wait().expect("the gateway has ended");
    };
    let (statuses, ()) = tokio::join!(futures_util::future::join_all(calls), act);
    // The other half waits at the gateway that is left.
    assert!(statuses.contains(&StatusCode::BAD_GATEWAY), "{statuses:?}");
    for status in statuses {
        let uncertain = [StatusCode::BAD_GATEWAY, StatusCode::GATEWAY_TIMEOUT];
        assert!(uncertain.contains(&status), "{status}");
    }
    assert_eq!(platform.ran("/book/1").await.len(), 8);
}

/// An idempotent call whose answer is lost with a gateway runs once more through another one.
#[tokio::test]
async fn repeated_call() {
    let (mut platform, outlier) = start(2).await;
    platform.engines[1].set_mode(Mode::Hanging);
    let request = plain_request(Method::GET, "/stock/1");
    let mut first: Vec<_> = platform.gateways.drain(..2).collect();
    let platform = &platform;
    let answer = platform.send_through(outlier.gateway - 2, "call", &request);
    let act = async {
        platform::wait_until("the call runs", async || {
            !platform.ran("/stock/1").await.is_empty()
        })
        .await;
        platform.engines[1].set_mode(Mode::Serving);
        let sender = sender(&first).await;
        let lost = &mut first[sender].process;
        lost.kill().expect("the gateway is killed");
        lost.wait().expect("the gateway has ended");
    };
    let ((status, body), ()) = tokio::join!(answer, act);
    assert_eq!(status, StatusCode::OK, "{body:?}");
    assert_eq!(platform.ran("/stock/1").await.len(), 2);
}

/// Returns the index of the gateway to which a call is relayed: once earlier connections are closed, only
/// that one has a connection.
async fn sender(gateways: &[platform::Gateway]) -> usize {
    let held = "daisyyard_gateway_held{use=\"connections\"} ";
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let mut connected = Vec::new();
        for (index, gateway) in gateways.iter().enumerate() {
            let text = platform::text(gateway.metrics, "/metrics").await;
            let count = text.lines().find_map(|line| line.strip_prefix(held));
            if count.is_some_and(|count| count.trim() != "0") {
                connected.push(index);
            }
        }
        if let [index] = connected[..] {
            return index;
        }
        assert!(Instant::now() < deadline, "in time: {connected:?}");
    }
}

/// A stream breaks off when the gateway that passes it on is lost; it never looks complete.
#[tokio::test]
async fn broken_stream() {
    let (mut platform, outlier) = start(1).await;
    let request = stream_request("/draft/1", USAGE);
    let mut lost = platform.gateways.remove(0);
    let answer = platform.send_through(outlier.gateway - 1, "draft", &request);
    let act = async {
        platform::wait_until("the stream runs", async || {
            !platform.ran("/draft/1").await.is_empty()
        })
        .await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        lost.process.kill().expect("the gateway is killed");
        lost.process.wait().expect("the gateway has ended");
    };
    let ((status, body), ()) = tokio::join!(answer, act);
    assert_eq!((status, body), (StatusCode::OK, None));
    assert_eq!(platform.ran("/draft/1").await.len(), 1);
}

/// Gateways that are all cut off do not send a request in circles.
#[tokio::test]
async fn all_cut() {
    let mut platform = Platform::start(1, 1).await;
    platform.start_gateway().await;
    let mut outliers = Vec::new();
    for _ in 0..2 {
        outliers.push(Outlier::start(&mut platform).await);
    }
    platform::wait_until_listed(&platform.gateways).await;
    for outlier in &mut outliers {
        outlier.cut(&platform).await;
    }
    let lost = &mut platform.gateways[0].process;
    lost.kill().expect("the gateway is killed");
    lost.wait().expect("the gateway has ended");
    for outlier in &outliers {
        let attempt = format!("call-{}", outlier.gateway);
        let request = plain_request(Method::POST, "/book/1");
        let sent = Instant::now();
        let (status, _) = platform
            .send_through(outlier.gateway, &attempt, &request)
            .await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(sent.elapsed() < REFUSAL_TIME, "{:?}", sent.elapsed());
    }
    assert!(platform.ran("/book/1").await.is_empty());
}

/// The header between gateways has no effect when a caller sends it, and does not reach endpoints.
#[tokio::test]
async fn forged_header() {
    let (platform, outlier) = start(1).await;
    for gateway in [0, outlier.gateway] {
        let attempt = format!("call-{gateway}");
        let mut request = plain_request(Method::POST, "/book/1");
        request.headers.push(("daisyyard-relayed", "counted"));
        request.headers.push(("daisyyard-relayed", "0"));
        let (status, _) = platform.send_through(gateway, &attempt, &request).await;
        assert_eq!(status, StatusCode::OK);
    }
    let arrivals = platform.ran("/book/1").await;
    assert_eq!(arrivals.len(), 2);
    let passed = |headers: &hyper::HeaderMap| headers.contains_key("daisyyard-relayed");
    assert!(arrivals.iter().all(|arrival| !passed(&arrival.headers)));
}
