//! Guards against links to a process that does not know the shared key.

mod cluster;

use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use cluster::{Cluster, KEY};
use daisyyard::link::{self, Error, Role, Socket};
use daisyyard::wire::{Hello, MAX_HANDSHAKE_BYTES, Message, PROTOCOL_VERSION};
use futures_util::SinkExt;
use tokio::net::TcpStream;

/// Connects to the first node of a cluster.
async fn connect(cluster: &Cluster) -> Socket {
    let socket = TcpStream::connect(cluster.nodes[0].peer).await;
    link::framed(socket.expect("the node listens"))
}

/// A process that knows the key completes the handshake and receives a heartbeat.
#[tokio::test]
async fn accepts_key() {
    let cluster = Cluster::start(1, 0).await;
    let mut socket = connect(&cluster).await;
    let node = link::handshake(&mut socket, KEY.as_bytes(), 7, Role::Dialler).await;
    assert_eq!(
        node.expect("the key is right"),
        daisyyard_core::id::of("node-0")
    );
    assert_matches!(link::receive(&mut socket).await, Ok(Message::Heartbeat(_)));
}

/// A process with another key receives neither a proof nor any other frame.
#[tokio::test]
async fn refuses_other_key() {
    let cluster = Cluster::start(1, 0).await;
    let mut socket = connect(&cluster).await;
    let result = link::handshake(&mut socket, b"another key", 7, Role::Dialler).await;
    assert_matches!(result, Err(Error::Closed | Error::Socket(_)));
}

/// A node's own hello, sent back to it with a proof of the acceptor role, opens no link.
#[tokio::test]
async fn refuses_reflection() {
    let cluster = Cluster::start(1, 0).await;
    let mut socket = connect(&cluster).await;
    let theirs = assert_matches!(link::receive(&mut socket).await, Ok(Message::Hello(h)) => h);
    link::send(&mut socket, Message::Hello(theirs.clone()))
        .await
        .expect("sent");
    let proof = link::proof(KEY.as_bytes(), Role::Acceptor, &theirs, &theirs);
    link::send(&mut socket, Message::Proof(proof))
        .await
        .expect("sent");
    assert_matches!(
        link::receive(&mut socket).await,
        Err(Error::Closed | Error::Socket(_))
    );
}

/// A proof over an earlier challenge opens no link.
#[tokio::test]
async fn refuses_replay() {
    let cluster = Cluster::start(1, 0).await;
    let mine = Hello {
        version: PROTOCOL_VERSION,
        node: 7,
        challenge: [7; 16],
    };
    let mut recorded = Bytes::new();
    for attempt in 0..2 {
        let mut socket = connect(&cluster).await;
        let theirs = assert_matches!(link::receive(&mut socket).await, Ok(Message::Hello(h)) => h);
        link::send(&mut socket, Message::Hello(mine.clone()))
            .await
            .expect("sent");
        if attempt == 0 {
            recorded = link::proof(KEY.as_bytes(), Role::Dialler, &mine, &theirs);
        }
        let sent = link::send(&mut socket, Message::Proof(recorded.clone())).await;
        sent.expect("sent");
        let answer = link::receive(&mut socket).await;
        if attempt == 0 {
            assert_matches!(answer, Ok(Message::Proof(_)));
        } else {
            assert_matches!(answer, Err(Error::Closed | Error::Socket(_)));
        }
    }
}

/// The node closes a connection that sends a large frame before the proof, and one that sends
/// nothing for a few seconds.
#[tokio::test]
async fn limits_unauthenticated() {
    let cluster = Cluster::start(1, 0).await;
    let mut large = connect(&cluster).await;
    large.codec_mut().set_max_frame_length(1 << 20);
    link::receive(&mut large).await.expect("a hello");
    // The node may close the connection before all bytes are written.
    let _ = large
        .send(Bytes::from(vec![0; MAX_HANDSHAKE_BYTES + 1]))
        .await;
    assert_matches!(
        link::receive(&mut large).await,
        Err(Error::Closed | Error::Socket(_))
    );
    let mut silent = connect(&cluster).await;
    link::receive(&mut silent).await.expect("a hello");
    let ended = tokio::time::timeout(Duration::from_secs(4), link::receive(&mut silent));
    assert_matches!(ended.await, Ok(Err(Error::Closed | Error::Socket(_))));
}
