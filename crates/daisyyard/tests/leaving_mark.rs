//! Guards against a gateway that is leaving and is offered to callers again, because a datagram that
//! adds to its digest does not repeat that it is leaving.

mod platform;

use std::sync::Mutex;
use std::time::Duration;

use daisyyard_core::id;
use platform::{Platform, spawn_gateway_with, status, text, wait_until};
use prost::Message;
use serde_json::json;
use tokio::net::UdpSocket;

/// Name of the gateway that the test plays.
const NAME: &str = "gateway-played";
/// Address for requests of that gateway.
const REQUESTS: &str = "127.0.0.1:9";
/// Number of datagrams that add to the digest.
const CONTINUATIONS: usize = 5;
/// Interval between two of them.
const INTERVAL: Duration = Duration::from_millis(20);

/// Purpose of a frame that reports the state of its sender.
const DIGEST: i32 = 0;
/// Purpose of a frame that adds to another one.
const CONTINUATION: i32 = 1;

/// The fields of a datagram that the test sends.
#[derive(Clone, PartialEq, Message)]
struct Frame {
    /// Identifier of the sender.
    #[prost(fixed64, tag = "1")]
    instance: u64,
    /// Whether the sender is leaving.
    #[prost(bool, tag = "2")]
    leaving: bool,
    /// What the frame is for.
    #[prost(int32, tag = "9")]
    purpose: i32,
}

/// Returns a datagram of the played gateway.
fn datagram(leaving: bool, purpose: i32) -> Vec<u8> {
    let instance = id::of(NAME);
    Frame {
        instance,
        leaving,
        purpose,
    }
    .encode_to_vec()
}

/// A gateway that has reported that it is leaving is not offered after datagrams that add to its digest,
/// and is offered after a digest that says that it stays.
#[tokio::test]
async fn kept_mark() {
    let platform = Platform::start(0, 1).await;
    let digests = Mutex::new(String::new());
    let gateway = spawn_gateway_with(platform.store.address, 0, |settings| {
        let address = settings["listen"]["digests"].as_str().unwrap_or_default();
        address.clone_into(&mut digests.lock().expect("no panic"));
    })
    .await;
    wait_until("the gateway is ready", async || {
        status(gateway.ready, "/-/readiness").await == Some(hyper::StatusCode::OK)
    })
    .await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    let own = socket.local_addr().expect("an address").to_string();
    let entry = json!({ "requests": REQUESTS, "digests": own, "zone": "zone-a" });
    let key = format!("gateways/{NAME}");
    platform.store.put(&key, &entry).await;
    let to = digests.lock().expect("no panic").clone();
    let offered = async || {
        let path = "/-/resolution?zone=zone-a";
        text(gateway.directory, path).await.contains(REQUESTS)
    };
    let send = async |leaving, purpose| {
        let bytes = datagram(leaving, purpose);
        socket.send_to(&bytes, &to).await.expect("a datagram");
    };
    wait_until("the other gateway is offered", async || {
        send(false, DIGEST).await;
        offered().await
    })
    .await;
    wait_until("the leaving gateway is not offered", async || {
        send(true, DIGEST).await;
        !offered().await
    })
    .await;
    for _ in 0..CONTINUATIONS {
        send(false, CONTINUATION).await;
        tokio::time::sleep(INTERVAL).await;
        assert!(!offered().await, "a continuation ended the mark");
    }
    wait_until("the gateway that stays is offered", async || {
        send(false, DIGEST).await;
        offered().await
    })
    .await;
}
