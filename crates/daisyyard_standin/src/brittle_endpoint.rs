//! Stand-in for a plain endpoint that falls over if it has to turn too many requests away in a second.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;

use daisyyard_http::{self as http, Body};

/// Period in which the requests that are turned away count.
const PERIOD: Duration = Duration::from_secs(1);
/// Time for which an endpoint that has fallen over refuses connections.
const DOWN_TIME: Duration = Duration::from_millis(1_500);
/// Time between two attempts to listen on the address again.
const BIND_INTERVAL: Duration = Duration::from_millis(20);

/// How an endpoint treats requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Conduct {
    /// Requests that run at the same time.
    pub slots: usize,
    /// Requests that may wait for a slot.
    pub queue: usize,
    /// Time that a request runs.
    pub work: Duration,
    /// Requests that the endpoint survives turning away in a second, which it states; none if it does not
    /// fall over.
    pub brittle: Option<u32>,
}

/// What an endpoint has counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// Requests that it has run.
    pub served: u32,
    /// Requests that it has turned away.
    pub turned_away: u32,
    /// Times that it has fallen over.
    pub falls: u32,
}

/// A running endpoint; dropping it stops the endpoint.
#[derive(Debug)]
pub struct BrittleEndpoint {
    /// Name of the endpoint.
    pub name: String,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Treatment of requests.
    conduct: watch::Sender<Conduct>,
    /// What the endpoint has counted.
    counts: watch::Receiver<Counts>,
    /// Task that owns the slots.
    owner: JoinHandle<()>,
}

/// Message to the task that owns the slots.
#[derive(Debug)]
enum Command {
    /// A request asks for a slot; the reply is whether it gets one.
    Arrive(oneshot::Sender<bool>),
    /// A request leaves its slot.
    Leave,
}

/// A slot in which a request runs.
#[derive(Debug)]
struct Slot(mpsc::UnboundedSender<Command>);

impl Drop for Slot {
    fn drop(&mut self) {
        // An endpoint that has fallen over has no slots.
        let _ = self.0.send(Command::Leave);
    }
}

/// The slots of an endpoint between two falls.
#[derive(Debug)]
struct Slots {
    /// Treatment of requests.
    conduct: watch::Receiver<Conduct>,
    /// What the endpoint has counted.
    counts: watch::Sender<Counts>,
    /// Number of requests that run.
    running: usize,
    /// Requests that wait.
    waiting: VecDeque<oneshot::Sender<bool>>,
    /// Times at which requests were turned away in the last period.
    turned_away: VecDeque<Instant>,
}

impl BrittleEndpoint {
    /// Starts an endpoint on a free loopback port.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn start(name: &str, conduct: Conduct) -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (conduct, current) = watch::channel(conduct);
        let (counts, seen) = watch::channel(Counts::default());
        Ok(Self {
            name: name.to_owned(),
            address,
            conduct,
            counts: seen,
            owner: tokio::spawn(own(listener, address, current, counts)),
        })
    }

    /// Sets the treatment of requests.
    pub fn set_conduct(&self, conduct: Conduct) {
        self.conduct.send_replace(conduct);
    }

    /// Returns what the endpoint has counted.
    pub fn counts(&self) -> Counts {
        *self.counts.borrow()
    }
}

impl Drop for BrittleEndpoint {
    fn drop(&mut self) {
        self.owner.abort();
    }
}

/// Serves requests, and comes back some time after each fall.
async fn own(
    mut listener: TcpListener,
    address: SocketAddr,
    conduct: watch::Receiver<Conduct>,
    counts: watch::Sender<Counts>,
) {
    loop {
        let (commands, received) = mpsc::unbounded_channel();
        let current = conduct.clone();
        let server = Server(http::serve(listener, move |request| {
            handle(request, commands.clone(), *current.borrow())
        }));
        let slots = Slots {
            conduct: conduct.clone(),
            counts: counts.clone(),
            running: 0,
            waiting: VecDeque::new(),
            turned_away: VecDeque::new(),
        };
        slots.run(received).await;
        drop(server);
        counts.send_modify(|counts| counts.falls += 1);
        tokio::time::sleep(DOWN_TIME).await;
        listener = loop {
            match TcpListener::bind(address).await {
                Ok(listener) => break listener,
                Err(_) => tokio::time::sleep(BIND_INTERVAL).await,
            }
        };
    }
}

/// Task that accepts connections; dropping it closes them.
#[derive(Debug)]
struct Server(JoinHandle<()>);

impl Drop for Server {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Slots {
    /// Gives slots to requests until the endpoint falls over.
    async fn run(mut self, mut received: mpsc::UnboundedReceiver<Command>) {
        while let Some(command) = received.recv().await {
            match command {
                Command::Leave => self.running -= 1,
                Command::Arrive(reply) => self.waiting.push_back(reply),
            }
            let conduct = *self.conduct.borrow();
            while self.running < conduct.slots
                && let Some(first) = self.waiting.pop_front()
            {
                // The task of a request whose connection is closed has ended.
                if first.send(true).is_ok() {
                    self.running += 1;
                    self.counts.send_modify(|counts| counts.served += 1);
                }
            }
            while self.waiting.len() > conduct.queue
                && let Some(last) = self.waiting.pop_back()
            {
                let _ = last.send(false);
                if self.turn_away(conduct.brittle) {
                    return;
                }
            }
        }
    }

    /// Counts a request that is turned away; returns whether the endpoint falls over.
    fn turn_away(&mut self, brittle: Option<u32>) -> bool {
        let now = Instant::now();
        self.counts.send_modify(|counts| counts.turned_away += 1);
        self.turned_away.push_back(now);
        self.turned_away.retain(|at| *at + PERIOD > now);
        brittle.is_some_and(|survived| self.turned_away.len() > survived as usize)
    }
}

/// Handles one request.
async fn handle(
    request: Request<Incoming>,
    commands: mpsc::UnboundedSender<Command>,
    conduct: Conduct,
) -> Response<Body> {
    let (parts, body) = request.into_parts();
    // The body is not used.
    let _ = http::read_body(body).await;
    let (reply, admitted) = oneshot::channel();
    let _ = commands.send(Command::Arrive(reply));
    let is_admitted = admitted.await.unwrap_or(false);
    let mut response = Response::new(http::full("whole"));
    if is_admitted {
        let _slot = Slot(commands);
        tokio::time::sleep(conduct.work).await;
    } else {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        let not_executed = HeaderName::from_static("x-daisyyard-not-executed");
        let yes = HeaderValue::from_static("1");
        response.headers_mut().insert(not_executed, yes);
    }
    let headers = response.headers_mut();
    let attempt = HeaderName::from_static("x-daisyyard-attempt-id");
    if let Some(id) = parts.headers.get(&attempt) {
        headers.insert(attempt, id.clone());
    }
    let signature = HeaderName::from_static("x-daisyyard-server-signature");
    headers.insert(signature, HeaderValue::from_static("stand-in"));
    if let Some(survived) = conduct.brittle {
        let name = HeaderName::from_static("server-brittle");
        headers.insert(name, HeaderValue::from(survived));
    }
    response
}
