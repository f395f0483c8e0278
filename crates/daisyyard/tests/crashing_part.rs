//! Guards against requests that are all different but share a part of their prompts that crashes one
//! engine after another, and against the refusal of requests that share only their other parts.

mod platform;

use std::time::Duration;

use daisyyard_standin::platform_engine::CRASH_PART;
use hyper::StatusCode;
use platform::{Platform, stream_request};

/// Number of gateways.
const GATEWAYS: usize = 3;
/// Time after a crash by which all gateways know of it (`contact_ms`).
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Number of engines that a part may crash before all gateways must know of it.
const FREE_CRASHES: usize = 5;
/// Number of requests with the part that may reach engines afterwards.
const LATE_SENDS: usize = 3;
/// Pause between two requests, in which a crashed engine could start again.
const PAUSE: Duration = Duration::from_millis(1_200);
/// Number of requests after the part must be known.
const LATE_REQUESTS: usize = 12;

/// Sends a request with these shared parts and a part of its own; returns the status if the answer is
/// complete.
async fn request(platform: &Platform, number: usize, parts: &str) -> Option<StatusCode> {
    let (attempt, path) = (format!("attempt-{number}"), format!("/draft/{number}"));
    let prefix = format!("{parts},{number:x}00:30");
    let mut request = stream_request(&path, "100,20");
    request.headers.push(("x-daisyyard-prompt-prefix", &prefix));
    let gateway = number % GATEWAYS;
    let (status, text) = platform.send_through(gateway, &attempt, &request).await;
    text.map(|_| status)
}

/// Returns the number of requests that reached engines with the part that crashes them.
async fn reached(platform: &Platform) -> usize {
    let arrivals = platform.runs.arrivals().await;
    let has_part = arrivals.iter().filter(|arrival| {
        let prefix = arrival.headers.get("x-daisyyard-prompt-prefix");
        prefix.is_some_and(|prefix| prefix.to_str().is_ok_and(|text| text.contains(CRASH_PART)))
    });
    has_part.count()
}

/// Requests with the part are refused soon after the crashes; those that share the other parts are
/// served before and after that, also if none was served between the crashes.
#[tokio::test]
async fn spares_sound_requests() {
    let mut platform = Platform::start(6, 0).await;
    for _ in 0..GATEWAYS {
        platform.start_gateway().await;
    }
    tokio::time::sleep(CONTACT_TIME).await;
    let deadly = format!("5e1f:40,acc0:10,{CRASH_PART}:20");
    let sound = "5e1f:40,acc0:10";
    assert_eq!(request(&platform, 0, sound).await, Some(StatusCode::OK));
    let mut number = 0;
    while reached(&platform).await < FREE_CRASHES && number < FREE_CRASHES {
        number += 1;
        request(&platform, number, &deadly).await;
        tokio::time::sleep(PAUSE).await;
    }
    tokio::time::sleep(CONTACT_TIME).await;
    let before = reached(&platform).await;
    for late in 0..LATE_REQUESTS {
        number += 2;
        assert_eq!(
            request(&platform, number, sound).await,
            Some(StatusCode::OK),
            "sound request {late}"
        );
        let status = request(&platform, number + 1, &deadly).await;
        assert_eq!(
            status,
            Some(StatusCode::SERVICE_UNAVAILABLE),
            "request {late}"
        );
    }
    let late = reached(&platform).await - before;
    assert!(late <= LATE_SENDS, "{late} sends");
}
