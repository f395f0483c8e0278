//! Guards against requests to endpoints whose answers state that they leave or turn requests away, and
//! against statements that are taken for those of another start of the endpoint.

mod platform;

use std::time::{Duration, Instant};

use daisyyard_standin::platform_engine::{Mode, Stated};
use daisyyard_standin::platform_fixture;
use hyper::{Method, StatusCode};
use platform::{
    Platform, plain_request, spawn_gateway, stream_request, text, wait_until, wait_until_listed,
};

/// Requests that are sent to show that an endpoint gets none of them.
const REQUESTS: usize = 12;
/// Statement of an engine that leaves.
const LEAVING: Stated = Stated {
    leaving: true,
    retry_after: None,
    limit: None,
    brittle: None,
    delay: Duration::ZERO,
};

/// Returns the statement of an engine that turns requests away.
fn closed(retry_after: &'static str) -> Stated {
    Stated {
        retry_after: Some(retry_after),
        ..Stated::default()
    }
}

/// Starts engines and plain endpoints with one gateway.
async fn start(engines: usize, plain: usize) -> Platform {
    let mut platform = Platform::start(engines, plain).await;
    platform.start_gateway().await;
    platform
}

/// Returns the number of requests that an engine has received, without calls about runs.
async fn received(platform: &Platform, engine: &str) -> usize {
    let arrivals = platform.runs.arrivals().await;
    let requests = arrivals
        .iter()
        .filter(|it| it.engine == engine && !it.path.starts_with("/-/"));
    requests.count()
}

/// Returns the value of a counter of statements at a gateway.
async fn counted(platform: &Platform, gateway: usize, reason: &str) -> u64 {
    let metrics = text(platform.gateways[gateway].metrics, "/metrics").await;
    let name = format!("daisyyard_gateway_endpoint_statements_total{{reason=\"{reason}\"}} ");
    let line = metrics.lines().find_map(|line| line.strip_prefix(&name));
    line.map_or(0, |value| value.parse().expect("a number"))
}

/// Sends plain requests until an endpoint has received one.
async fn reach(platform: &mut Platform, engine: &str) {
    for _ in 0..100 {
        platform
            .request(plain_request(Method::GET, "/stock/reach"))
            .await;
        if received(platform, engine).await > 0 {
            return;
        }
    }
    panic!("no request reached {engine}");
}

/// Sends plain requests, all of which must be served elsewhere than at an endpoint.
async fn serve_elsewhere(platform: &mut Platform, engine: &str) {
    let before = received(platform, engine).await;
    for _ in 0..REQUESTS {
        let (status, _) = platform
            .request(plain_request(Method::GET, "/stock/after"))
            .await;
        assert_eq!(status, StatusCode::OK);
    }
    assert_eq!(received(platform, engine).await, before);
}

/// After a plain answer, a failure and a refusal with the header, the endpoint gets nothing more, although
/// its entry still says that it is ready and is written again.
#[tokio::test]
async fn leaving_plain() {
    for mode in [Mode::Serving, Mode::Failing, Mode::Declining] {
        let mut platform = start(0, 2).await;
        platform.engines[0].set_stated(LEAVING);
        platform.engines[0].set_mode(mode);
        reach(&mut platform, "plain-0").await;
        assert_eq!(counted(&platform, 0, "leaving").await, 1, "{mode:?}");
        platform.put_entry(0, "desk", "ready").await;
        serve_elsewhere(&mut platform, "plain-0").await;
    }
}

/// After a 421 with the header, the endpoint gets nothing more.
#[tokio::test]
async fn leaving_misdirected() {
    let mut platform = Platform::start(0, 2).await;
    platform.engines[0].set_stated(LEAVING);
    let entry = platform_fixture::entry("desk", platform.engines[0].address, "ready");
    platform.store.put("servers/other", &entry).await;
    platform.store.remove("servers/plain-0").await;
    platform.start_gateway().await;
    reach(&mut platform, "plain-0").await;
    assert_eq!(counted(&platform, 0, "leaving").await, 1);
    serve_elsewhere(&mut platform, "plain-0").await;
}

/// After the head of a stream with the header, the run moves to the other engine without a lost event, and
/// the engine gets no new run.
#[tokio::test]
async fn leaving_stream() {
    let mut platform = Platform::start(2, 0).await;
    let mut without_backups = platform::config(2);
    without_backups["services"][0]["engine"]["backups"] = false.into();
    platform.store.put("op/config", &without_backups).await;
    platform.start_gateway().await;
    platform.engines[0].set_stated(LEAVING);
    let mut seen = false;
    for _ in 0..20 {
        let request = stream_request("/draft/1", "100,800");
        let (status, body) = platform.request(request).await;
        assert_eq!(status, StatusCode::OK);
        assert_eq!(body, platform::events(200));
        let at_leaving = received(&platform, "engine-0").await;
        assert!(at_leaving <= 1, "{at_leaving} runs");
        if seen {
            break;
        }
        seen = at_leaving == 1;
    }
    assert!(seen, "no run reached the leaving engine");
    let runs = platform.ran("/draft/1").await;
    let moved = runs.iter().filter(|it| it.headers.contains_key("kv-from"));
    assert_eq!(moved.count(), 1);
}

/// The answer to a move tells that the engine leaves, also if its entry takes that back.
#[tokio::test]
async fn leaving_move() {
    let mut platform = start(1, 0).await;
    let address = platform.gateways[0].requests;
    let credential = format!("Bearer {}", platform::CREDENTIAL);
    let caller = tokio::spawn(async move {
        let request = stream_request("/draft/1", "100,800");
        let mut headers = request.headers.clone();
        headers.extend([
            ("x-daisyyard-attempt-id", "moved"),
            ("x-daisyyard-deadline-ms", "8000"),
            ("authorization", credential.as_str()),
        ]);
        platform::send(address, &request, &headers).await
    });
    wait_until("the run starts", async || {
        platform.ran("/draft/1").await.len() == 1
    })
    .await;
    platform.engines[0].set_stated(LEAVING);
    platform.add_engine("engine-1", "model").await;
    platform.put_entry(0, "model", "draining").await;
    wait_until("the answer to the move", async || {
        counted(&platform, 0, "leaving").await == 1
    })
    .await;
    platform.put_entry(0, "model", "ready").await;
    let (status, body) = caller.await.expect("it ends").expect("an answer");
    assert_eq!(
        (status, body),
        (StatusCode::OK, Some(platform::events(200)))
    );
    for _ in 0..REQUESTS {
        let request = stream_request("/draft/2", "100,8");
        assert_eq!(platform.request(request).await.0, StatusCode::OK);
    }
    assert_eq!(received(&platform, "engine-0").await, 1);
}

/// Other gateways learn from one of them that an endpoint leaves.
#[tokio::test]
async fn told_others() {
    let mut platform = start(0, 2).await;
    let second = spawn_gateway(platform.store.address, 1).await;
    platform.gateways.push(second);
    wait_until_listed(&platform.gateways).await;
    platform.engines[0].set_stated(LEAVING);
    reach(&mut platform, "plain-0").await;
    wait_until("the other gateway is told", async || {
        counted(&platform, 1, "leaving_told").await == 1
    })
    .await;
    let before = received(&platform, "plain-0").await;
    for number in 0..REQUESTS {
        let request = plain_request(Method::GET, "/stock/after");
        let (status, _) = platform
            .send_through(1, &format!("told-{number}"), &request)
            .await;
        assert_eq!(status, StatusCode::OK);
    }
    assert_eq!(received(&platform, "plain-0").await, before);
}

/// Writes the entry of the only endpoint with an incarnation.
async fn put_start(platform: &Platform, born: u64) {
    let mut entry = platform_fixture::entry("desk", platform.engines[0].address, "ready");
    entry["born"] = born.into();
    platform.store.put("servers/plain-0", &entry).await;
}

/// A new incarnation at the same address and under the same name gets requests again.
#[tokio::test]
async fn new_incarnation() {
    let mut platform = Platform::start(0, 1).await;
    put_start(&platform, 1).await;
    platform.start_gateway().await;
    platform.engines[0].set_stated(LEAVING);
    reach(&mut platform, "plain-0").await;
    let request = || plain_request(Method::GET, "/stock/2");
    assert_ne!(platform.request(request()).await.0, StatusCode::OK);
    platform.engines[0].set_stated(Stated::default());
    put_start(&platform, 2).await;
    assert_eq!(platform.request(request()).await.0, StatusCode::OK);
}

/// An answer that the old incarnation began before the new one was listed does not mark the new one.
#[tokio::test]
async fn late_answer() {
    let mut platform = Platform::start(0, 1).await;
    put_start(&platform, 1).await;
    platform.start_gateway().await;
    let late = Stated {
        delay: Duration::from_secs(2),
        ..LEAVING
    };
    platform.engines[0].set_stated(late);
    let address = platform.gateways[0].requests;
    let credential = format!("Bearer {}", platform::CREDENTIAL);
    let caller = tokio::spawn(async move {
        let request = plain_request(Method::GET, "/book/late");
        let headers = [
            ("x-daisyyard-attempt-id", "late"),
            ("x-daisyyard-deadline-ms", "8000"),
            ("authorization", credential.as_str()),
        ];
        platform::send(address, &request, &headers).await
    });
    wait_until("the request arrives", async || {
        received(&platform, "plain-0").await == 1
    })
    .await;
    platform.engines[0].set_stated(Stated::default());
    put_start(&platform, 2).await;
    let (status, _) = caller.await.expect("it ends").expect("an answer");
    assert_eq!(status, StatusCode::OK);
    assert_eq!(counted(&platform, 0, "leaving").await, 0);
    for _ in 0..REQUESTS {
        let request = plain_request(Method::GET, "/stock/2");
        assert_eq!(platform.request(request).await.0, StatusCode::OK);
    }
}

/// Returns the status, the `Retry-After` in seconds and the duration of a request through the gateway.
async fn refused(platform: &Platform, attempt: &str) -> (StatusCode, f64, Duration) {
    let credential = format!("Bearer {}", platform::CREDENTIAL);
    let request = hyper::Request::get("/stock/refused")
        .header("host", platform_fixture::HOST)
        .header("x-daisyyard-attempt-id", attempt)
        .header("x-daisyyard-deadline-ms", "8000")
        .header("authorization", credential)
        .body(http_body_util::Full::default())
        .expect("a request");
    let started = Instant::now();
    let address = platform.gateways[0].requests;
    let answer = daisyyard_http::connection::send(address, request, platform::TIMEOUT).await;
    let answer = answer.expect("an answer").response;
    let time = answer.headers().get("retry-after");
    let time = time.and_then(|time| time.to_str().ok()?.parse().ok());
    (answer.status(), time.unwrap_or(-1.0), started.elapsed())
}

/// An endpoint that turns requests away for a long time gets none while another one serves them.
#[tokio::test]
async fn turned_away() {
    let mut platform = start(0, 2).await;
    platform.engines[0].set_stated(closed("30"));
    platform.engines[0].set_mode(Mode::Declining);
    reach(&mut platform, "plain-0").await;
    serve_elsewhere(&mut platform, "plain-0").await;
    assert_eq!(counted(&platform, 0, "turned_away").await, 1);
}

/// When all endpoints are closed, requests are refused at once, with the time at which the first opens, and
/// reach none of them.
#[tokio::test]
async fn all_closed() {
    let platform = start(0, 2).await;
    platform.engines[0].set_stated(closed("30"));
    platform.engines[1].set_stated(closed("20"));
    for engine in &platform.engines {
        engine.set_mode(Mode::Declining);
    }
    let (status, time, _) = refused(&platform, "first").await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert!((15.0..=26.0).contains(&time), "{time}");
    let arrived = platform.runs.arrivals().await.len();
    assert_eq!(arrived, 2, "the first request tries both");
    let mut times = Vec::new();
    for number in 0..REQUESTS {
        let (status, time, took) = refused(&platform, &format!("next-{number}")).await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(took < Duration::from_millis(1_400), "it waited: {took:?}");
        assert!((10.0..=26.0).contains(&time), "{time}");
        times.push(time);
    }
    times.sort_by(f64::total_cmp);
    assert!(
        times[REQUESTS - 1] - times[0] > 0.5,
        "not spread: {times:?}"
    );
    assert_eq!(platform.runs.arrivals().await.len(), arrived);
}

/// Under steady requests, no endpoint gets more than two between half a second after a 503 and the end of the
/// time that it states.
#[tokio::test]
async fn steady_requests() {
    const TIME: Duration = Duration::from_secs(2);
    const REACTION_TIME: Duration = Duration::from_millis(500);
    let platform = start(0, 2).await;
    for engine in &platform.engines {
        engine.set_stated(closed("2"));
        engine.set_mode(Mode::Declining);
    }
    let send = async |number: u32| {
        tokio::time::sleep(Duration::from_millis(10) * number).await;
        refused(&platform, &format!("steady-{number}")).await.0
    };
    let answers = futures_util::future::join_all((0..400).map(send)).await;
    let unavailable = |status: &StatusCode| *status == StatusCode::SERVICE_UNAVAILABLE;
    assert!(answers.iter().all(unavailable));
    let arrivals = platform.runs.arrivals().await;
    for first in &arrivals {
        let inside = arrivals.iter().filter(|it| {
            let after = it.at.saturating_duration_since(first.at);
            it.engine == first.engine && after >= REACTION_TIME && after < TIME
        });
        assert!(inside.count() <= 2);
    }
}

/// An endpoint that states a short time gets requests again after it, and none before but a trial.
#[tokio::test]
async fn short_time() {
    let platform = start(0, 1).await;
    platform.engines[0].set_stated(closed("0.3"));
    platform.engines[0].set_mode(Mode::Declining);
    assert_eq!(
        refused(&platform, "first").await.0,
        StatusCode::SERVICE_UNAVAILABLE
    );
    platform.engines[0].set_mode(Mode::Serving);
    let platform = &platform;
    wait_until("the endpoint opens", async || {
        let attempt = format!("again-{:?}", Instant::now());
        refused(platform, &attempt).await.0 == StatusCode::OK
            && text(platform.gateways[0].metrics, "/metrics")
                .await
                .contains("reason=\"turned_away\"")
    })
    .await;
}

/// A time of zero, and one that is not a number of seconds, close nothing; the latter is counted.
#[tokio::test]
async fn unusable_time() {
    for (value, unusable) in [
        ("0", 0),
        ("-5", 1),
        ("soon", 1),
        ("inf", 1),
        ("Wed, 21 Oct 2026 07:28:00 GMT", 1),
    ] {
        let mut platform = start(0, 1).await;
        platform.engines[0].set_stated(closed(value));
        platform.engines[0].set_mode(Mode::Declining);
        refused(&platform, "first").await;
        platform.engines[0].set_mode(Mode::Serving);
        let request = plain_request(Method::GET, "/stock/2");
        assert_eq!(platform.request(request).await.0, StatusCode::OK, "{value}");
        assert_eq!(counted(&platform, 0, "unusable").await, unusable, "{value}");
        assert_eq!(counted(&platform, 0, "turned_away").await, 0, "{value}");
    }
}

/// A time that is too long is bounded.
#[tokio::test]
async fn excessive_time() {
    let platform = start(0, 1).await;
    platform.engines[0].set_stated(closed("99999999999999999999"));
    platform.engines[0].set_mode(Mode::Declining);
    refused(&platform, "first").await;
    let (status, time, _) = refused(&platform, "second").await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert!((30.0..=78.0).contains(&time), "{time}");
    assert_eq!(counted(&platform, 0, "unusable").await, 1);
}
