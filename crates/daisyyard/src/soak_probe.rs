//! Clients of the soak of configuration changes, whose answers show which version a gateway follows.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use daisyyard_standin::platform_fixture::HOST;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::soak_changes::{KEYS, PATHS, SERVICES, Scene, credential, prefix};
use crate::soak_versions::{Follows, Outcome, Probe};

/// Number of connections to each gateway that are kept.
const CONNECTIONS: usize = 30;
/// Time between two requests to each gateway.
const PROBE_INTERVAL: Duration = Duration::from_millis(15);
/// Limit on the time of one request.
const PROBE_TIMEOUT: Duration = Duration::from_secs(3);

/// Client side of a connection.
type Client = SendRequest<Full<Bytes>>;

impl Scene {
    /// Sends requests to a gateway at a steady rate until a time, on connections that are kept as long as the
    /// gateway keeps them.
    pub(crate) async fn probe(self: Arc<Self>, seed: u64, gateway: usize, until: Instant) {
        let mut random = Pcg64Mcg::seed_from_u64(seed.wrapping_add(gateway as u64));
        let clients: Arc<Mutex<VecDeque<Client>>> = Arc::default();
        let mut requests = JoinSet::new();
        for number in 0.. {
            if Instant::now() >= until {
                break;
            }
            let (path, key) = (random.random_range(0..PATHS), random.random_range(0..KEYS));
            let (scene, clients) = (Arc::clone(&self), Arc::clone(&clients));
            let attempt = format!("probe-{seed}-{gateway}-{number}");
            requests.spawn(async move {
                // The first requests open the connections.
                let kept = || clients.lock().expect("no task panics").pop_front();
                let mut client = (number >= CONNECTIONS).then(kept).flatten();
                let sent_at = Instant::now();
                let ask = scene.ask(&mut client, gateway, &attempt, path, key);
                let answer = tokio::time::timeout(PROBE_TIMEOUT, ask)
                    .await
                    .ok()
                    .flatten();
                if let Some(client) = client.filter(|_| answer.is_some()) {
                    clients.lock().expect("no task panics").push_back(client);
                }
                let probe = Probe {
                    gateway,
                    attempt,
                    path,
                    key,
                    sent_at,
                    ended_at: Instant::now(),
                    outcome: answer
                        .map_or(Outcome::Unclear, |(status, body)| outcome(status, &body)),
                };
                scene.probes.lock().expect("no task panics").push(probe);
            });
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
        while requests.join_next().await.is_some() {}
    }

    /// Sends a request to a gateway on a connection, which is opened if there is none, and returns the answer;
    /// none if the connection fails.
    async fn ask(
        &self,
        client: &mut Option<Client>,
        gateway: usize,
        attempt: &str,
        path: usize,
        key: usize,
    ) -> Option<(StatusCode, Bytes)> {
        if client.as_ref().is_none_or(Client::is_closed) {
            let socket = TcpStream::connect(self.gateways[gateway].request_address).await;
            let (sender, driver) = http1::handshake(TokioIo::new(socket.ok()?)).await.ok()?;
            // Its failure ends the requests on it.
            tokio::spawn(driver);
            *client = Some(sender);
        }
        let request = Request::builder()
            .uri(format!("{}x", prefix(path)))
            .header(header::HOST, HOST)
            .header(header::AUTHORIZATION, format!("Bearer {}", credential(key)))
            .header("x-daisyyard-attempt-id", attempt)
            .header(
                "x-daisyyard-deadline-ms",
                PROBE_TIMEOUT.as_millis().to_string(),
            );
        let request = request.body(Full::default()).ok()?;
        let sender = client.as_mut()?;
        sender.ready().await.ok()?;
        let (head, body) = sender.send_request(request).await.ok()?.into_parts();
        Some((head.status, body.collect().await.ok()?.to_bytes()))
    }
}

/// Returns what an answer shows of the configuration.
fn outcome(status: StatusCode, body: &[u8]) -> Outcome {
    let service = SERVICES
        .iter()
        .position(|service| body == format!("whole {service}").as_bytes());
    match (status, service) {
        (StatusCode::NOT_FOUND, _) => Outcome::Clear(Follows::NoRoute),
        (StatusCode::UNAUTHORIZED, _) => Outcome::Clear(Follows::NoKey),
        (StatusCode::OK, Some(service)) => Outcome::Clear(Follows::Service(service)),
        _ => Outcome::Unclear,
    }
}
