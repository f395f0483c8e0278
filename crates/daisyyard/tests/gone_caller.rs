//! Guards against new attempts for callers that have disconnected, which a node that was stopped
//! would send to leaving engines.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, MODEL, body, entry};
use tokio::net::TcpListener;

/// Prompt of the requests.
const PROMPT: &str = "a customs declaration length=3";

/// Sends a request to an engine that closes the connection, and returns the number of generations
/// that another engine then starts.
async fn generations(caller_gone: bool) -> usize {
    let fleet = Fleet::start(1, 0, fleet::timing()).await;
    let real = fleet.list.entries();
    let broken = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = broken.local_addr().expect("an address");
    fleet
        .list
        .set_entries(vec![entry("broken", "engine", MODEL, address)]);
    let settings = fleet::settings(
        "node-0",
        fleet.list.address,
        fleet.store.address,
        fleet::timing(),
    );
    let node = daisyyard::node::Node::start(settings).await;
    let node = node.expect("the node starts");
    let caller = node.address;
    let request =
        tokio::spawn(async move { fleet::Caller::post(caller, &body(PROMPT, true)).await });
    // The first connections may be polls of the engine's load; the node sends the request last.
    let mut sockets = Vec::new();
    loop {
        let (socket, _) = broken.accept().await.expect("a connection");
        socket.readable().await.expect("a request");
        let mut head = [0; 4];
        let size = socket.peek(&mut head).await.expect("a request");
        let request = head[..size].starts_with(b"POST");
        sockets.push(socket);
        if request {
            break;
        }
    }
    let mut entries = fleet.list.entries();
    entries.extend(real);
    fleet.list.set_entries(entries);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    if caller_gone {
        request.abort();
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    drop((sockets, broken));
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.engines[0].prompts().await.len()
}

/// A request is retried on another engine while its caller waits, but not after it disconnected.
#[tokio::test]
async fn no_new_attempt() {
    assert_eq!(generations(false).await, 1, "a waiting caller");
    assert_eq!(generations(true).await, 0, "a caller that is gone");
}
