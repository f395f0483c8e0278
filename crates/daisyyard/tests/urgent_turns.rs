//! Guards against urgent requests that wait for one busy engine until they miss their target.

mod busy_home;
mod cluster;

use std::time::{Duration, Instant};

use daisyyard::wire::Message;
use daisyyard_core::contract::{Contract, Rank};
use daisyyard_core::id;
use daisyyard_standin::engine;
use hyper::StatusCode;

/// An urgent request that is queued for a busy engine is withdrawn after a quarter of its
/// first-token target and served by another engine within the target.
#[tokio::test(flavor = "multi_thread")]
async fn tries_another() {
    let (cluster, mut received) = busy_home::start().await;
    let busy_engine = id::of("engine-0");
    let target = Contract::ordinary(Rank::Urgent).first_token;
    let (mut withdrawn, mut slowest) = (0, Duration::ZERO);
    for number in 0..12 {
        let prompt = format!("an urgent shift log {number} length=2");
        let started = Instant::now();
        let (status, value) = busy_home::request_urgent(cluster.nodes[0].address, &prompt).await;
        slowest = slowest.max(started.elapsed());
        assert_eq!(status, StatusCode::OK, "{value}");
        let text = value["choices"][0]["message"]["content"].as_str();
        assert_eq!(text, Some(engine::text(&prompt).as_str()));
        tokio::time::sleep(Duration::from_millis(50)).await;
        let mut asked = None;
        while let Ok(message) = received.try_recv() {
            match message {
                Message::Ask(ask) => {
                    assert_eq!(ask.endpoint, busy_engine);
                    assert!(ask.max_wait <= target / 4, "{:?}", ask.max_wait);
                    asked = Some(ask.request);
                }
                Message::Release(output) if asked == Some(output.request) => {
                    asked = None;
                    withdrawn += 1;
                }
                _ => {}
            }
        }
        assert_eq!(asked, None, "an ask was not withdrawn");
    }
    println!("{withdrawn} of 12 requests moved on; slowest answer {slowest:?}");
    assert!(withdrawn > 0, "no request met the busy engine");
    assert!(slowest < target, "{slowest:?}");
}
