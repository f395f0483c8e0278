//! A node that queues requests for admission and grants none, beside a cluster of one real node.

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

/// Starts a node with two engines and a busy home of the first engine; returns what it sees.
pub async fn start() -> (Cluster, mpsc::UnboundedReceiver<Message>) {
    let cluster = Cluster::start(1, 2).await;
    let (busy_engine, free_engine) = (id::of("engine-0"), id::of("engine-1"));
    let homes = |name: &str, engine| {
        home::weight(engine, id::of(name)) > home::weight(engine, id::of("node-0"))
    };
    let mut names = (0..).map(|number| format!("busy-{number}"));
    let name = names.find(|name| homes(name, busy_engine) && !homes(name, free_engine));
    let name = name.expect("a home of one engine only");
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let mut entries = cluster.list.entries();
    entries.push(crate::cluster::entry(&name, "node", 0, address, address));
    cluster.list.set_entries(entries);
    let (sender, seen) = mpsc::unbounded_channel();
    tokio::spawn(busy(listener, name, sender));
    let known = |status: &daisyyard::status::Status| status.links.len() == 1;
    cluster.until(Duration::from_secs(10), known).await;
    (cluster, seen)
}

/// Accepts links as a node that keeps every request in its queue and grants none; passes on the
/// requests for admission and the withdrawals.
pub async fn busy(listener: TcpListener, name: String, seen: mpsc::UnboundedSender<Message>) {
    while let Ok((socket, _)) = listener.accept().await {
        let peer = listener.local_addr().expect("an address");
        tokio::spawn(queue(socket, name.clone(), peer, seen.clone()));
    }
}

/// Answers the frames of one link.
async fn queue(
    socket: TcpStream,
    name: String,
    peer: std::net::SocketAddr,
    seen: mpsc::UnboundedSender<Message>,
) {
    let zone = daisyyard_core::zone::Zone::new(crate::cluster::ZONES[0], "costa");
    let mut me = Instance::new(&name, zone, peer, peer);
    me.incarnation = 1;
    let beat = Message::Heartbeat(Heartbeat {
        sender: View::new(me).hello_record(),
        revision: 0,
        records: Vec::new(),
    });
    let mut socket = link::framed(socket);
    let key = crate::cluster::KEY.as_bytes();
    let shaken = link::handshake(&mut socket, key, id::of(&name), Role::Acceptor).await;
    shaken.expect("the key is right");
    let mut interval = tokio::time::interval(Duration::from_secs(1));
    loop {
        let answer = tokio::select! {
            _ = interval.tick() => beat.clone(),
            frame = link::receive(&mut socket) => match frame {
                Ok(Message::Ask(ask)) => {
                    let answer = Answer {
                        request: ask.request,
                        verdict: Verdict::Wait,
                        digest: None,
                    };
                    let _ = seen.send(Message::Ask(ask));
                    Message::Answer(answer)
                }
                Ok(release @ Message::Release(_)) => {
                    let _ = seen.send(release);
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

/// Sends an urgent request and returns its status and JSON.
pub async fn urgent(address: std::net::SocketAddr, prompt: &str) -> (StatusCode, Value) {
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
