//! Guards against planned stops that interrupt a request, keep the gateway listed or never end.

mod platform;

use std::process::Command;
use std::time::{Duration, Instant};

use hyper::StatusCode;
use platform::{Platform, events, stream_request, wait_until};

/// A gateway that receives SIGTERM stops being ready and removes its entry, completes its streams
/// and exits within the grace period.
#[tokio::test]
async fn finishes_streams() {
    let mut platform = Platform::start(1, 0).await;
    platform.start_gateway().await;
    let pid = platform.gateways[0].process.id().to_string();
    let ready = platform.gateways[0].ready;
    let stop = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        let sent = Command::new("kill").args(["-TERM", &pid]).status();
        assert!(sent.expect("kill runs").success());
        let started = Instant::now();
        wait_until("the gateway is not ready", async || {
            platform::status(ready, "/-/readiness").await != Some(StatusCode::OK)
        })
        .await;
        assert!(started.elapsed() < Duration::from_secs(2));
    };
    let (answer, ()) = tokio::join!(
        platform.request(stream_request("/draft/1", "100,400")),
        stop
    );
    assert_eq!(answer, (StatusCode::OK, events(100)));
    wait_until("the entry is removed", async || {
        platform.store.keys("gateways/").await.is_empty()
    })
    .await;
    let deadline = Instant::now() + Duration::from_secs(8);
    let process = &mut platform.gateways[0].process;
    while process
        .try_wait()
        .expect("the state of the process")
        .is_none()
    {
        assert!(
            Instant::now() < deadline,
            "the gateway ends within the grace period"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// A gateway that is killed disappears from the directory of the others.
#[tokio::test]
async fn forgets_killed() {
    let mut platform = Platform::start(0, 1).await;
    platform.start_gateway().await;
    platform.start_gateway().await;
    let directory = platform.gateways[0].directory;
    let killed = platform.gateways[1].requests.to_string();
    let path = "/-/resolution?name=desk.example&region=region-a&zone=zone-a";
    wait_until("the gateway is listed", async || {
        platform::text(directory, path).await.contains(&killed)
    })
    .await;
    platform.gateways.pop();
    wait_until("the gateway is not listed", async || {
        !platform::text(directory, path).await.contains(&killed)
    })
    .await;
}
