//! Guards against endpoints that send bytes without end: they must not exhaust the gateway's
//! memory, keep connections open, or mislead callers.

mod platform;

use daisyyard_standin::faulty_endpoint::{Fault, FaultyEndpoint};
use hyper::{Method, StatusCode};
use platform::{Platform, plain_request, stream_request};

/// Bytes of an endless answer that a gateway and the sockets on the way may take in.
const MAX_BYTES: u64 = 16 << 20;
/// Memory that a gateway may use at most, in kB: that of a node in the stated target.
const MAX_MEMORY_KB: u64 = 64 << 10;
/// Requests that suffice for a gateway to leave an endpoint out.
const LEARNING_REQUESTS: u64 = 4;

/// Waits until the gateway has closed its connection to the endpoint, and checks how much it read.
async fn assert_closed(endpoint: &FaultyEndpoint) {
    platform::wait_until("the connection is closed", async || {
        endpoint.counts().closed > 0
    })
    .await;
    let bytes = endpoint.counts().bytes;
    assert!(bytes < MAX_BYTES, "{bytes} bytes were read");
}

/// Returns the largest resident memory that a process has used, in kB.
fn peak_memory_kb(process: u32) -> u64 {
    let path = format!("/proc/{process}/status");
    let status = std::fs::read_to_string(path).expect("the process runs");
    let mut lines = status.lines();
    let peak = lines.find_map(|line| line.strip_prefix("VmHWM:"));
    let peak = peak.and_then(|peak| peak.split_whitespace().next());
    peak.and_then(|peak| peak.parse().ok()).expect("a number")
}

/// Sends a request that may run once to an endpoint with the fault, and returns the answer.
async fn call(fault: Fault) -> (StatusCode, String) {
    let mut platform = Platform::start(0, 0).await;
    let endpoint = platform.add_faulty("faulty", "desk", fault).await;
    platform.start_gateway().await;
    let answer = platform
        .request(plain_request(Method::POST, "/book/1"))
        .await;
    assert_closed(&endpoint).await;
    answer
}

/// A head without end: the caller is told that the outcome is unknown.
#[tokio::test]
async fn in_head() {
    let (status, _) = call(Fault::EndlessHead).await;
    assert_eq!(status, StatusCode::BAD_GATEWAY);
}

/// Interim answers without end: the caller is told at once that the outcome is unknown, and the gateway
/// does not spend its time on reading them.
#[tokio::test]
async fn in_interim() {
    let (status, _) = call(Fault::EndlessInterim).await;
    assert_eq!(status, StatusCode::BAD_GATEWAY);
}

/// A body without end: none of it reaches the caller, who is told that the outcome is unknown.
#[tokio::test]
async fn in_body() {
    let (status, text) = call(Fault::EndlessBody).await;
    assert_eq!(status, StatusCode::BAD_GATEWAY);
    assert!(!text.contains("xxxx"), "the caller got bytes of no answer");
}

/// Bytes after a complete answer: the caller gets the answer only.
#[tokio::test]
async fn after_answer() {
    let answer = call(Fault::EndlessTail).await;
    assert_eq!(answer, (StatusCode::OK, "whole".to_owned()));
}

/// An event without end: the stream is interrupted and does not look complete.
#[tokio::test]
async fn in_event() {
    let mut platform = Platform::start(0, 0).await;
    let endpoint = platform
        .add_faulty("faulty", "model", Fault::EndlessEvent)
        .await;
    platform.start_gateway().await;
    let answer = platform.try_request(stream_request("/draft/1", "100,20"));
    assert_eq!(answer.await.expect("an answer"), (StatusCode::OK, None));
    assert_closed(&endpoint).await;
}

/// Many endless bodies at once stay within the memory that all answers share, and the gateway
/// serves other requests meanwhile.
#[tokio::test]
async fn many_at_once() {
    let mut platform = Platform::start(0, 0).await;
    let endpoint = platform
        .add_faulty("faulty", "desk", Fault::EndlessBody)
        .await;
    platform.start_gateway().await;
    let address = platform.gateways[0].requests;
    let credential = format!("Bearer {}", platform::CREDENTIAL);
    let calls = (0..40).map(|number| {
        let credential = credential.clone();
        tokio::spawn(async move {
            let attempt = format!("attempt-{number}");
            let headers = [
                ("x-daisyyard-attempt-id", attempt.as_str()),
                ("x-daisyyard-deadline-ms", "8000"),
                ("authorization", credential.as_str()),
            ];
            platform::send(address, &plain_request(Method::POST, "/book/1"), &headers).await
        })
    });
    let calls: Vec<_> = calls.collect();
    for call in calls {
        let (status, _) = call.await.expect("no panic").expect("an answer");
        assert!(status.is_server_error(), "{status}");
    }
    assert!(endpoint.counts().closed > 0);
    let peak_kb = peak_memory_kb(platform.gateways[0].process.id());
    assert!(peak_kb < MAX_MEMORY_KB, "{peak_kb} kB");
    platform.add_engine("sound", "desk").await;
    platform::wait_until("the gateway serves", async || {
        let headers = [
            ("x-daisyyard-attempt-id", "attempt-sound"),
            ("x-daisyyard-deadline-ms", "8000"),
            ("authorization", credential.as_str()),
        ];
        let request = plain_request(Method::GET, "/stock/1");
        let answer = platform::send(address, &request, &headers).await;
        answer.is_ok_and(|(status, _)| status == StatusCode::OK)
    })
    .await;
}

/// Endless bytes of each kind in many answers at once stay within the memory of a gateway, and the
/// process goes on.
#[tokio::test]
async fn each_kind() {
    let mut platform = Platform::start(0, 0).await;
    let faults = [
        ("desk", "/book/1", Fault::EndlessHead),
        ("desk", "/book/1", Fault::EndlessBody),
        ("desk", "/book/1", Fault::EndlessInterim),
        ("desk", "/book/1", Fault::EndlessTail),
        ("model", "/draft/1", Fault::EndlessHead),
        ("model", "/draft/1", Fault::EndlessInterim),
        ("model", "/draft/1", Fault::EndlessEvent),
    ];
    let mut endpoints = Vec::new();
    for (number, (service, _, fault)) in faults.iter().enumerate() {
        let name = format!("faulty-{number}");
        endpoints.push(platform.add_faulty(&name, service, *fault).await);
    }
    platform.start_gateway().await;
    let address = platform.gateways[0].requests;
    let calls = (0..20).flat_map(|round| faults.map(|(_, path, _)| (round, path)));
    let calls = calls.enumerate().map(|(number, (_, path))| {
        tokio::spawn(async move {
            let attempt = format!("attempt-{number}");
            let credential = format!("Bearer {}", platform::CREDENTIAL);
            let request = stream_request(path, "100,20");
            let mut headers = vec![
                ("x-daisyyard-attempt-id", attempt.as_str()),
                ("x-daisyyard-deadline-ms", "8000"),
                ("authorization", credential.as_str()),
            ];
            headers.extend(request.headers.iter().copied());
            platform::send(address, &request, &headers).await
        })
    });
    let calls: Vec<_> = calls.collect();
    for call in calls {
        call.await.expect("no panic").expect("an answer");
    }
    for endpoint in &endpoints {
        let bytes = endpoint.counts().bytes;
        assert!(bytes > 0, "{} was not asked", endpoint.name);
    }
    let peak_kb = peak_memory_kb(platform.gateways[0].process.id());
    assert!(peak_kb < MAX_MEMORY_KB, "{peak_kb} kB");
    let process = &mut platform.gateways[0].process;
    assert!(process.try_wait().expect("the state").is_none());
}

/// An endpoint whose answers never end is left out after a few requests.
#[tokio::test]
async fn endpoint_left_out() {
    let mut platform = Platform::start(0, 1).await;
    let endpoint = platform
        .add_faulty("faulty", "desk", Fault::EndlessBody)
        .await;
    platform.start_gateway().await;
    for number in 0..20 {
        let path = format!("/stock/{number}");
        let (status, text) = platform.request(plain_request(Method::GET, &path)).await;
        assert_eq!((status, text.as_str()), (StatusCode::OK, "whole plain-0"));
    }
    let requests = endpoint.counts().requests;
    assert!(requests <= LEARNING_REQUESTS, "{requests} requests");
}
