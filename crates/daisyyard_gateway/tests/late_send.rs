//! Guards against requests that are sent to an endpoint or with a backup engine of an evacuated zone, or
//! that has stated that it is closed, because this became known after the endpoint was granted.

use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use daisyyard_core::endpoint::{Endpoint, Kind};
use daisyyard_core::id;
use daisyyard_core::statement::Barrier;
use daisyyard_core::zone::Zone;
use daisyyard_gateway::evacuation::{Unsent, Zones};
use futures_util::poll;
use http_body_util::Full;
use hyper::Request;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Timeout of a request.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Evacuates a zone while the connection to an endpoint in zone `a` is opened, and returns the number
/// of bytes that the endpoint receives.
async fn count_bytes(evacuated: &str) -> usize {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let engine =
        |name, zone| Endpoint::new(name, "model", Kind::Engine, Zone::new(zone, ""), address);
    let (endpoint, backup) = (engine("endpoint", "a"), engine("backup", "b"));
    let (sender, zones) = Zones::channel();
    let request = Request::new(Full::new("body".into()));
    let sent = zones.send(&endpoint, Some(&backup), request, TIMEOUT, None);
    let mut sent = std::pin::pin!(sent);
    assert!(poll!(sent.as_mut()).is_pending(), "the connection opens");
    sender.send_replace(vec![id::of(evacuated)]);
    assert_matches!(sent.await, Err(Unsent::Evacuated));
    let (mut socket, _) = listener.accept().await.expect("a connection");
    let mut bytes = Vec::new();
    socket.read_to_end(&mut bytes).await.expect("the end")
}

/// Nothing is written if the zone of the endpoint or of its backup engine is evacuated meanwhile.
#[tokio::test]
async fn withheld() {
    assert_eq!(count_bytes("a").await, 0);
    assert_eq!(count_bytes("b").await, 0);
}

/// An order that was known before opens no connection.
#[tokio::test]
async fn unopened() {
    let (sender, zones) = Zones::channel();
    sender.send_replace(vec![id::of("a")]);
    let address = "127.0.0.1:1".parse().expect("an address");
    let endpoint = Endpoint::new("e", "model", Kind::Plain, Zone::new("a", ""), address);
    let request = Request::new(Full::default());
    let sent = zones.send(&endpoint, None, request, TIMEOUT, None).await;
    assert_matches!(sent, Err(Unsent::Evacuated));
}

/// Publishes what an endpoint has stated while the connection to an endpoint is opened for a request that was
/// placed at a time, and returns whether the request was sent.
async fn is_sent(stating: &str, closed: Option<(Instant, Instant)>, placed_at: Instant) -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let engine = |name| Endpoint::new(name, "model", Kind::Engine, Zone::new("a", ""), address);
    let (endpoint, backup) = (engine("endpoint"), engine("backup"));
    let (_evacuated, mut zones) = Zones::channel();
    let (sender, barriers) = watch::channel(Vec::new());
    zones.follow(barriers);
    let zones = zones.as_of(placed_at);
    let request = Request::new(Full::new("body".into()));
    let timeout = Duration::from_millis(200);
    let sent = zones.send(&endpoint, Some(&backup), request, timeout, None);
    let mut sent = std::pin::pin!(sent);
    assert!(poll!(sent.as_mut()).is_pending(), "the connection opens");
    sender.send_replace(vec![Barrier {
        endpoint: id::of(stating),
        incarnation: 0,
        closed,
    }]);
    !matches!(sent.await, Err(Unsent::Closed))
}

/// Nothing is sent to an endpoint or with a backup engine that leaves, or to an endpoint that turns requests
/// away; a trial that was placed after that is sent.
#[tokio::test]
async fn stated() {
    let now = Instant::now();
    let soon = now + Duration::from_secs(5);
    let closed = Some((now + Duration::from_millis(1), soon));
    assert!(!is_sent("endpoint", None, now).await);
    assert!(!is_sent("backup", None, now).await);
    assert!(!is_sent("endpoint", closed, now).await);
    assert!(is_sent("endpoint", closed, soon).await, "a trial");
    assert!(is_sent("backup", closed, now).await);
    assert!(is_sent("other", None, now).await);
}
