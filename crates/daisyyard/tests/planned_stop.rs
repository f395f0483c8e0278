//! Guards against planned stops that interrupt a request or reject callers too early.

mod fleet;
mod process;

use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

use assert_matches::assert_matches;
use daisyyard::settings::Timing;
use daisyyard_standin::engine::{self, Options};
use fleet::{Caller, Event, Fleet, TIMEOUT};
use hyper::StatusCode;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;

/// A leaving node is no longer ready, still accepts callers that were given its address, and
/// finishes a stream that lasts longer than the TTL of its address.
#[tokio::test]
async fn finishes_requests() {
    let mut fleet = Fleet::start(2, 2, fleet::timing()).await;
    let prompt = "a customs declaration length=250";
    let mut caller = fleet.stream(0, prompt).await;
    let (text, _) = caller.read_tokens(3).await;
    let node = fleet.nodes.remove(0);
    let address = node.address;
    let (status, listed) = fleet::get(address, "/addresses").await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(listed["ttl_ms"], 400);
    assert_eq!(listed["addresses"], json!([address.to_string()]));

    let stop = tokio::spawn(node.drain());
    while fleet::get(address, "/readyz").await.0 == StatusCode::OK {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let (_, listed) = fleet::get(address, "/addresses").await;
    assert_eq!(listed["addresses"], json!([]));
    let late = "is this certificate valid? length=3";
    let (_, answer) = fleet::request(address, late).await;
    assert_eq!(fleet::text(&answer), engine::text(late));

    let (rest, _, last) = caller.read_to_end().await;
    assert_eq!(text + &rest, engine::text(prompt));
    assert_matches!(last, Event::Done);
    let stopped = tokio::time::timeout(TIMEOUT, stop).await;
    stopped.expect("the node stops").expect("no panic");
    assert_matches!(tokio::net::TcpStream::connect(address).await, Err(_));
}

/// Callers that send nothing or read nothing do not delay a stop indefinitely.
#[tokio::test]
async fn ends_stuck_callers() {
    let timing = Timing {
        slow_caller_timeout: Duration::from_millis(300),
        ..fleet::timing()
    };
    let options = Options {
        step_time: Duration::ZERO,
        ..Options::default()
    };
    let mut fleet = Fleet::start_with_options(options, 1, 1, timing).await;
    let node = fleet.nodes.remove(0);
    let _idle = tokio::net::TcpStream::connect(node.address).await;
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a small buffer");
    let mut stuck = socket.connect(node.address).await.expect("a node");
    let body = fleet::body("a long declaration length=1000000", true).to_string();
    let request = format!(
        "POST {} HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer token-member-0001\r\n\
         Content-Length: {}\r\n\r\n{body}",
        fleet::COMPLETIONS,
        body.len()
    );
    stuck
        .write_all(request.as_bytes())
        .await
        .expect("a request");
    fleet.busy_engine().await;
    let stopped = tokio::time::timeout(TIMEOUT, node.drain()).await;
    stopped.expect("the node stops");
}

/// A process that receives SIGTERM finishes its streams and exits with code 0.
#[tokio::test]
async fn exits_clean() {
    let fleet = Fleet::start(1, 0, fleet::timing()).await;
    let settings = |address: SocketAddr| {
        json!({
            "name": "node-0", "zone": "costa-a", "region": "costa",
            "listen": address, "peer": "127.0.0.1:0",
            "list": fleet.list.address, "store": fleet.store.address,
            "key": "shared-fleet-key", "accounts": [{"account": "member-1", "token": "token-member-0001"}],
            "timing": {"addresses_ms": 200}, "services": [fleet::MODEL],
        })
    };
    let (mut process, address) = process::serve(settings).await;
    let prompt = "a customs declaration length=150";
    let mut caller = Caller::post(address, &fleet::body(prompt, true)).await;
    let (text, _) = caller.read_tokens(2).await;
    let signalled = Command::new("kill").arg(process.id().to_string()).status();
    assert!(signalled.expect("kill runs").success());
    let (rest, _, last) = caller.read_to_end().await;
    assert_eq!(text + &rest, engine::text(prompt));
    assert_matches!(last, Event::Done);
    let code = tokio::task::spawn_blocking(move || process.wait()).await;
    let code = code.expect("no panic").expect("an exit code");
    assert!(code.success());
}
