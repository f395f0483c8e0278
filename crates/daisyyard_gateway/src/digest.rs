//! Digests: UDP datagrams in which each gateway reports to the others its load at each endpoint and
//! what it has recently read from the store.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use daisyyard_core::revision::Era;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinHandle;
use xtra::{Address, WeakAddress};

use crate::frame::{Frame, MAX_DATAGRAM_BYTES, News};
use crate::message::{Demand, Digest, ShareDemand, ShareEvidence, ShareNews};
use crate::pool::Pool;

/// Least time between two digests if no change is reported earlier.
const DIGEST_INTERVAL: Duration = Duration::from_millis(100);
/// The same for each recipient, so that the datagrams that a gateway receives are bounded.
const DIGEST_INTERVAL_PER_TARGET: Duration = Duration::from_millis(4);
/// Least time between a digest and one that reports a change early. It bounds how stale the known
/// loads of other gateways are.
const EARLY_INTERVAL: Duration = Duration::from_millis(5);
/// The same for each recipient.
const EARLY_INTERVAL_PER_TARGET: Duration = Duration::from_micros(500);
/// Time after which an unchanged digest is sent again as a sign of life.
const RESEND_INTERVAL: Duration = Duration::from_millis(400);
/// Time between two digests to gateways that do not serve callers.
const RESERVE_INTERVAL: Duration = Duration::from_millis(600);
/// Time between two groups of datagrams of news.
const NEWS_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum size of such a group in bytes. A link drops what exceeds its rate, and it also carries
/// digests and requests.
const NEWS_GROUP_BYTES: usize = 12_000;
/// Maximum number of datagrams of news that wait. Gateways read larger changes themselves.
const MAX_WAITING_NEWS: usize = 8;

/// Least time between two reports of the work of accounts, or of the requests by kind.
const DEMAND_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum rate at which the work of accounts is sent, to all recipients together.
const MAX_ACCOUNT_BYTES_PER_S: f64 = 1_000.0;
/// The same for the requests by kind, from which bursts are seen.
const MAX_STREAM_BYTES_PER_S: f64 = 4_000.0;

/// Task that sends and receives datagrams.
#[derive(Debug)]
struct Exchange {
    /// Socket for all datagrams.
    socket: UdpSocket,
    /// Actor whose state is exchanged.
    pool: WeakAddress<Pool>,
    /// Frames of the last digest.
    last_frames: Vec<Frame>,
    /// When the last digest was sent to the gateways that serve callers.
    last_to_serving: Instant,
    /// When a digest was last sent to the gateways that do not serve callers.
    last_to_reserve: Instant,
    /// Era of the store that this gateway has read; zero if it knows none.
    era: Era,
    /// Number of recipients of the last digest that serve callers.
    targets: u32,
    /// Frames of news that have not been sent yet.
    news: VecDeque<Frame>,
    /// Gateways that still get the first of them.
    recipients: Vec<SocketAddr>,
    /// When the next group may be sent.
    next_news: Instant,
    /// When crashes and proofs of contents were last sent.
    last_evidence: Instant,
    /// Revision of these.
    evidence_revision: u64,
    /// When the work of accounts may be sent next.
    next_accounts: Instant,
    /// When the requests by kind may be sent next.
    next_streams: Instant,
}

/// Returns the least time between a digest to a number of recipients and one that reports a change
/// early.
pub(crate) fn early_interval(targets: u32) -> Duration {
    EARLY_INTERVAL.max(EARLY_INTERVAL_PER_TARGET * targets)
}

/// Returns the time until a frame that was sent to some gateways may be sent again at a rate.
fn demand_interval(frame: &Frame, targets: &[SocketAddr], bytes_per_s: f64) -> Duration {
    let bytes = frame.encoded_len() * targets.len();
    DEMAND_INTERVAL.max(Duration::from_secs_f64(bytes as f64 / bytes_per_s))
}

/// Binds the socket and starts the task that sends and receives digests.
pub(crate) async fn spawn(
    address: SocketAddr,
    pool: &Address<Pool>,
    changed: Arc<Notify>,
    news: mpsc::UnboundedReceiver<News>,
) -> std::io::Result<JoinHandle<()>> {
    let exchange = Exchange {
        socket: UdpSocket::bind(address).await?,
        pool: pool.downgrade(),
        last_frames: Vec::new(),
        last_to_serving: Instant::now(),
        last_to_reserve: Instant::now(),
        era: 0,
        targets: 0,
        news: VecDeque::new(),
        recipients: Vec::new(),
        next_news: Instant::now(),
        last_evidence: Instant::now(),
        evidence_revision: 0,
        next_accounts: Instant::now(),
        next_streams: Instant::now(),
    };
    Ok(tokio::spawn(exchange.run(changed, news)))
}

impl Exchange {
    /// Sends and receives digests until the pool actor ends.
    async fn run(mut self, changed: Arc<Notify>, mut news: mpsc::UnboundedReceiver<News>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let mut last_sent = Instant::now();
        let mut next_send = last_sent + DIGEST_INTERVAL;
        loop {
            let continues = tokio::select! {
                () = changed.notified() => {
                    next_send = next_send.min(last_sent + early_interval(self.targets));
                    true
                }
                () = tokio::time::sleep_until(next_send.into()) => {
                    let sent = self.send_digest().await;
                    last_sent = Instant::now();
                    let interval = DIGEST_INTERVAL_PER_TARGET * self.targets;
                    next_send = last_sent + DIGEST_INTERVAL.max(interval);
                    sent
                }
                () = tokio::time::sleep_until(self.next_news.into()), if !self.news.is_empty() => {
                    self.send_news().await
                }
                Some(news) = news.recv() => {
                    self.news.extend(Frame::from_news(news));
                    self.news.truncate(MAX_WAITING_NEWS);
                    true
                }
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((size, sender)) => self.receive(&buffer[..size], sender).await,
                    // The next datagram replaces one that cannot be received.
                    Err(_) => true,
                },
            };
            if !continues {
                return;
            }
        }
    }

    /// Sends a digest if it has changed or the last one is old; returns whether the pool runs.
    async fn send_digest(&mut self) -> bool {
        let Ok((report, targets)) = self.pool.send(Digest).await else {
            return false;
        };
        self.era = report.era;
        let frames = Frame::from_report(&report);
        let old = self.last_to_serving.elapsed() >= RESEND_INTERVAL;
        let mut pairs = frames.iter().zip(&self.last_frames);
        let tells_more = frames.len() != self.last_frames.len()
            || pairs.any(|(frame, last)| frame.tells_more_than(last));
        if old || tells_more {
            self.last_to_serving = Instant::now();
            self.send(&frames, &targets.serving).await;
            self.last_frames = frames;
        }
        let Ok(evidence) = self.pool.send(ShareEvidence).await else {
            return false;
        };
        if evidence.revision != self.evidence_revision
            || self.last_evidence.elapsed() >= RESEND_INTERVAL
        {
            self.last_evidence = Instant::now();
            self.evidence_revision = evidence.revision;
            let frames = Frame::from_evidence(evidence.from, &evidence.recent);
            self.send(&frames, &targets.serving).await;
        }
        if self.last_to_reserve.elapsed() >= RESERVE_INTERVAL {
            self.last_to_reserve = Instant::now();
            let refused = Frame::from_evidence(evidence.from, &evidence.refused);
            self.send(&refused, &targets.reserve).await;
            let frame = Frame::without_loads(&report);
            self.send(&[frame.clone().into_probe()], &targets.probed)
                .await;
            self.send(&[frame], &targets.reserve).await;
            let statements = Frame::from_statements(&report);
            self.send(&statements, &targets.reserve).await;
        }
        self.targets = targets.serving.len() as u32;
        self.send_demand(&targets.serving).await
    }

    /// Sends the work of accounts and the requests by kind when they are due, each at a bounded
    /// rate; returns whether the pool runs.
    async fn send_demand(&mut self, targets: &[SocketAddr]) -> bool {
        let now = Instant::now();
        if now < self.next_accounts.min(self.next_streams) {
            return true;
        }
        let Ok(shared) = self.pool.send(ShareDemand).await else {
            return false;
        };
        let Some((from, leaving, demand)) = shared else {
            // Only a restart changes whether the gateway has any.
            self.next_accounts = now + DEMAND_INTERVAL;
            self.next_streams = now + DEMAND_INTERVAL;
            return true;
        };
        let Demand {
            accounts, streams, ..
        } = demand;
        if now >= self.next_accounts {
            let accounts = Demand {
                accounts,
                ..Demand::default()
            };
            let frame = Frame::from_demand(from, leaving, &accounts);
            self.next_accounts = now + demand_interval(&frame, targets, MAX_ACCOUNT_BYTES_PER_S);
            self.send(&[frame], targets).await;
        }
        if now >= self.next_streams {
            let streams = Demand {
                streams,
                ..Demand::default()
            };
            let frame = Frame::from_demand(from, leaving, &streams);
            self.next_streams = now + demand_interval(&frame, targets, MAX_STREAM_BYTES_PER_S);
            self.send(&[frame], targets).await;
        }
        true
    }

    /// Passes the first frame of changes on to some of the gateways that rely on this one; returns
    /// whether the pool runs.
    async fn send_news(&mut self) -> bool {
        self.next_news = Instant::now() + NEWS_INTERVAL;
        if self.recipients.is_empty() {
            let Ok((sender, targets)) = self.pool.send(ShareNews).await else {
                return false;
            };
            self.recipients = targets;
            if let Some(frame) = self.news.front_mut() {
                frame.set_sender(sender);
            }
        }
        let Some(frame) = self.news.front().cloned() else {
            return true;
        };
        let group = (NEWS_GROUP_BYTES / frame.encoded_len().max(1)).max(1);
        let rest = self.recipients.len().saturating_sub(group);
        let targets = self.recipients.split_off(rest);
        self.send(&[frame], &targets).await;
        if self.recipients.is_empty() {
            self.news.pop_front();
        }
        true
    }

    /// Passes a datagram on to the pool, and answers a probe; returns whether the pool runs.
    async fn receive(&self, bytes: &[u8], sender: SocketAddr) -> bool {
        // The datagram is foreign or damaged; the next digest replaces it.
        let Ok(frame) = Frame::decode(bytes) else {
            return true;
        };
        if frame.is_probe() {
            let Ok((report, _)) = self.pool.send(Digest).await else {
                return false;
            };
            self.send(&[Frame::without_loads(&report)], &[sender]).await;
            let statements = Frame::from_statements(&report);
            self.send(&statements, &[sender]).await;
        }
        self.pool.send(frame.into_report(self.era)).await.is_ok()
    }

    /// Sends frames to gateways.
    async fn send(&self, frames: &[Frame], targets: &[SocketAddr]) {
        for frame in frames {
            let bytes = frame.encode_to_vec();
            for target in targets {
                // A lost datagram is replaced by the next one.
                let _ = self.socket.send_to(&bytes, target).await;
            }
        }
    }
}
