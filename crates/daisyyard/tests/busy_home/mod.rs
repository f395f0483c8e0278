//! A stand-in node that queues every request for admission and grants none, linked to a cluster of
//! one real node.

use std::time::Duration;

use daisyyard::link::{self, Role};
use daisyyard::wire::{Answer, Heartbeat, Message, Verdict};
use daisyyard_core::instance::Instance;
use daisyyard_core::member::View;
use daisyyard_core::{home, id};
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use crate::cluster::Cluster;

/// Starts a node with two engines, the first of which has the busy node as its home; returns the
/// messages that the busy node receives.
pub async fn start() -> (Cluster, mpsc::UnboundedReceiver<Message>) {
    let cluster = Cluster::start(1, 2).await;
    let (busy_engine, free_engine) = (id::of("engine-0"), id::of("engine-1"));
    let is_home = |name: &str, engine| {
        home::weight(engine, id::of(name)) > home::weight(engine, id::of("node-0"))
    };
    let mut names = (0..).map(|number| format!("busy-{number}"));
    let name = names.find(|name| is_home(name, busy_engine) && !is_home(name, free_engine));
    let name = name.expect("a home of one engine only");
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let mut entries = cluster.list.entries();
    entries.push(crate::cluster::entry(&name, "node", 0, address, address));
    cluster.list.set_entries(entries);
    let (sender, received) = mpsc::unbounded_channel();
    tokio::spawn(accept_links(listener, name, sender));
    let linked = |status: &daisyyard::status::Status| status.links.len() == 1;
    cluster.wait_until(Duration::from_secs(10), linked).await;
    (cluster, received)
}

/// Accepts links as a node that queues every request and grants none; forwards the requests for
/// admission and their releases to `received`.
pub async fn accept_links(
    listener: TcpListener,
    name: String,
    received: mpsc::UnboundedSender<Message>,
) {
    while let Ok((socket, _)) = listener.accept().await {
        let peer = listener.local_addr().expect("an address");
        tokio::spawn(serve_link(socket, name.clone(), peer, received.clone()));
    }
}

/// Sends heartbeats on one link and answers its requests for admission.
async fn serve_link(
    socket: TcpStream,
    name: String,
    peer: std::net::SocketAddr,
    received: mpsc::UnboundedSender<Message>,
) {
    let zone = daisyyard_core::zone::Zone::new(crate::cluster::ZONES[0], "costa");
    let mut instance = Instance::new(&name, zone, peer, peer);
    instance.incarnation = 1;
    let heartbeat = Message::Heartbeat(Heartbeat {
        sender: View::new(instance).hello_record(),
        revision: 0,
        records: Vec::new(),
    });
    let mut socket = link::framed(socket);
    let key = crate::cluster::KEY.as_bytes();
    let handshake = link::handshake(&mut socket, key, id::of(&name), Role::Acceptor).await;
    handshake.expect("the key is right");
    let mut interval = tokio::time::interval(Duration::from_secs(1));
    loop {
        let answer = tokio::select! {
            _ = interval.tick() => heartbeat.clone(),
            frame = link::receive(&mut socket) => match frame {
                Ok(Message::Ask(ask)) => {
                    let answer = Answer {
                        request: ask.request,
                        verdict: Verdict::Wait,
                        digest: None,
                    };
                    let _ = received.send(Message::Ask(ask));
                    Message::Answer(answer)
                }
                Ok(release @ Message::Release(_)) => {
                    let _ = received.send(release);
                    continue;
                }
                Ok(_) => continue,
                Err(_) => return,
            },
        };
        if link::send(&mut socket, answer).await.is_err() {
            return;
        }
    }
}

/// Sends an urgent request and returns the status and the JSON body of the answer.
pub async fn request_urgent(address: std::net::SocketAddr, prompt: &str) -> (StatusCode, Value) {
    let body =
        json!({"model": crate::cluster::MODEL, "messages": [{"role": "user", "content": prompt}]});
    let headers = [
        ("authorization", "Bearer token-member-0001"),
        ("x-rank", "urgent"),
    ];
    let path = "/v1/chat/completions";
    let call = daisyyard_http::call(address, Method::POST, path, &headers, body.to_string());
    let answer = tokio::time::timeout(Duration::from_secs(20), call).await;
    let (status, bytes) = answer.expect("an answer in time").expect("an answer");
    (status, serde_json::from_slice(&bytes).expect("JSON"))
}
