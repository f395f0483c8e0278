//! Digests: UDP datagrams in which each gateway reports to the others its load at each endpoint and
//! what it has recently read from the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use daisyyard_core::id::{EndpointId, InstanceId, Revision, ServiceId};
use daisyyard_core::load::Load;
use daisyyard_core::shared_retry_budget::Count;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use xtra::{Address, WeakAddress};

use crate::message::{Digest, Report};
use crate::pool::Pool;

/// Time between two digests if no change is reported earlier.
const DIGEST_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between two digests. It bounds how stale the known loads of other gateways are.
const MIN_DIGEST_INTERVAL: Duration = Duration::from_millis(5);
/// Intervals after which an unchanged digest is sent again as a sign of life.
const RESEND_INTERVALS: u32 = 4;
/// Maximum size of a datagram; it fits into one packet on any path.
const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Maximum number of endpoint loads in one datagram.
const MAX_LOADS: usize = 32;
/// Maximum number of leaving endpoints in one datagram.
const MAX_DEPARTURES: usize = 16;
/// Maximum number of ejected endpoints in one datagram.
const MAX_EJECTIONS: usize = 12;
/// Maximum number of paces in one datagram.
const MAX_PACES: usize = 16;
/// Maximum number of services in one datagram.
const MAX_SERVICES: usize = 8;

/// A digest in its wire format.
#[derive(Clone, PartialEq, Eq, Message)]
struct Frame {
    /// Identifier of the sender.
    #[prost(fixed64, tag = "1")]
    instance: InstanceId,
    /// Whether the sender is leaving.
    #[prost(bool, tag = "2")]
    leaving: bool,
    /// Load of the sender at each endpoint.
    #[prost(message, repeated, tag = "3")]
    loads: Vec<EndpointLoad>,
    /// Requests and retries of the sender for each service.
    #[prost(message, repeated, tag = "4")]
    counts: Vec<Counts>,
    /// Version of the sender's current configuration.
    #[prost(uint64, tag = "5")]
    version: Revision,
    /// Endpoints that the sender knows to be leaving.
    #[prost(message, repeated, tag = "6")]
    departures: Vec<Departure>,
    /// Revision of the store at which the newest endpoint was listed.
    #[prost(uint64, tag = "7")]
    newest_listing: Revision,
    /// Endpoints that the sender has ejected after failures.
    #[prost(fixed64, repeated, tag = "8")]
    ejections: Vec<EndpointId>,
    /// Whether the frame only continues the loads of the previous frame.
    #[prost(bool, tag = "9")]
    continuation: bool,
    /// Time between two events at engines that the sender has observed.
    #[prost(message, repeated, tag = "10")]
    paces: Vec<Pace>,
}

/// An endpoint that is leaving.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
struct Departure {
    /// Identifier of the endpoint.
    #[prost(fixed64, tag = "1")]
    endpoint: EndpointId,
    /// Revision of the store at which the endpoint began to leave.
    #[prost(uint64, tag = "2")]
    revision: Revision,
}

/// Time between two events of a stream at one engine.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
struct Pace {
    /// Identifier of the engine.
    #[prost(fixed64, tag = "1")]
    endpoint: EndpointId,
    /// Time in microseconds.
    #[prost(uint32, tag = "2")]
    gap_us: u32,
}

/// Request counts of the sender for one service.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
struct Counts {
    /// Identifier of the service.
    #[prost(fixed64, tag = "1")]
    service: ServiceId,
    /// Requests in the current window.
    #[prost(uint32, tag = "2")]
    requests: u32,
    /// Retries in the current window.
    #[prost(uint32, tag = "3")]
    retries: u32,
}

/// Load of the sender at one endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
struct EndpointLoad {
    /// Identifier of the endpoint.
    #[prost(fixed64, tag = "1")]
    endpoint: EndpointId,
    /// Requests in progress.
    #[prost(uint32, tag = "2")]
    runs: u32,
    /// Reserved KV cache, in tokens of context.
    #[prost(uint64, tag = "3")]
    tokens: u64,
    /// Prompt tokens of requests that have no first token yet.
    #[prost(uint64, tag = "4")]
    prefill: u64,
}

impl From<&(EndpointId, Load)> for EndpointLoad {
    fn from((endpoint, load): &(EndpointId, Load)) -> Self {
        Self {
            endpoint: *endpoint,
            runs: load.runs,
            tokens: load.tokens,
            prefill: load.prefill,
        }
    }
}

impl From<EndpointLoad> for (EndpointId, Load) {
    fn from(endpoint_load: EndpointLoad) -> Self {
        let load = Load {
            runs: endpoint_load.runs,
            tokens: endpoint_load.tokens,
            prefill: endpoint_load.prefill,
        };
        (endpoint_load.endpoint, load)
    }
}

impl From<&(EndpointId, Revision)> for Departure {
    fn from((endpoint, revision): &(EndpointId, Revision)) -> Self {
        Self {
            endpoint: *endpoint,
            revision: *revision,
        }
    }
}

impl From<Departure> for (EndpointId, Revision) {
    fn from(departure: Departure) -> Self {
        (departure.endpoint, departure.revision)
    }
}

impl From<&(EndpointId, Duration)> for Pace {
    fn from((endpoint, gap): &(EndpointId, Duration)) -> Self {
        Self {
            endpoint: *endpoint,
            gap_us: u32::try_from(gap.as_micros()).unwrap_or(u32::MAX),
        }
    }
}

impl From<Pace> for (EndpointId, Duration) {
    fn from(pace: Pace) -> Self {
        let gap = Duration::from_micros(pace.gap_us.into());
        (pace.endpoint, gap)
    }
}

impl From<&(ServiceId, Count)> for Counts {
    fn from((service, count): &(ServiceId, Count)) -> Self {
        Self {
            service: *service,
            requests: count.requests,
            retries: count.retries,
        }
    }
}

impl From<Counts> for (ServiceId, Count) {
    fn from(counts: Counts) -> Self {
        let count = Count {
            requests: counts.requests,
            retries: counts.retries,
        };
        (counts.service, count)
    }
}

impl Frame {
    /// Splits a report into frames; its loads may need more than one datagram.
    fn from_report(report: &Report) -> Vec<Self> {
        let (first, rest) = report.loads.split_at(report.loads.len().min(MAX_LOADS));
        let rest = rest.chunks(MAX_LOADS);
        let rest = rest.map(|loads| Self {
            instance: report.from,
            leaving: report.leaving,
            loads: loads.iter().map(EndpointLoad::from).collect(),
            continuation: true,
            ..Self::default()
        });
        std::iter::once(Self::first(report, first))
            .chain(rest)
            .collect()
    }

    /// Returns the first frame of a report, with the given part of its loads.
    fn first(report: &Report, loads: &[(EndpointId, Load)]) -> Self {
        let loads = loads.iter().map(EndpointLoad::from);
        Self {
            continuation: false,
            instance: report.from,
            leaving: report.leaving,
            loads: loads.collect(),
            version: report.version,
            newest_listing: report.newest_listing,
            ejections: report
                .ejections
                .iter()
                .copied()
                .take(MAX_EJECTIONS)
                .collect(),
            departures: report
                .departures
                .iter()
                .take(MAX_DEPARTURES)
                .map(Departure::from)
                .collect(),
            paces: report
                .paces
                .iter()
                .take(MAX_PACES)
                .map(Pace::from)
                .collect(),
            counts: report
                .counts
                .iter()
                .take(MAX_SERVICES)
                .map(Counts::from)
                .collect(),
        }
    }
}

impl From<Frame> for Report {
    fn from(frame: Frame) -> Self {
        Self {
            from: frame.instance,
            leaving: frame.leaving,
            version: frame.version,
            newest_listing: frame.newest_listing,
            continuation: frame.continuation,
            ejections: frame.ejections,
            departures: frame.departures.into_iter().map(Into::into).collect(),
            loads: frame.loads.into_iter().map(Into::into).collect(),
            paces: frame.paces.into_iter().map(Into::into).collect(),
            counts: frame.counts.into_iter().map(Into::into).collect(),
        }
    }
}

/// Binds the socket and starts the task that sends and receives digests.
pub(crate) async fn spawn(
    address: SocketAddr,
    pool: &Address<Pool>,
    changed: Arc<Notify>,
) -> std::io::Result<JoinHandle<()>> {
    let socket = UdpSocket::bind(address).await?;
    Ok(tokio::spawn(run(socket, pool.downgrade(), changed)))
}

/// Sends and receives digests until the pool actor ends.
async fn run(socket: UdpSocket, pool: WeakAddress<Pool>, changed: Arc<Notify>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut last_frames = Vec::new();
    let mut last_sent = Instant::now();
    let mut next_send = last_sent + DIGEST_INTERVAL;
    let mut unchanged = 0;
    loop {
        tokio::select! {
            () = changed.notified() => next_send = next_send.min(last_sent + MIN_DIGEST_INTERVAL),
            () = tokio::time::sleep_until(next_send.into()) => {
                let Ok((report, targets)) = pool.send(Digest).await else {
                    return;
                };
                let frames = Frame::from_report(&report);
                unchanged += 1;
                if frames != last_frames || unchanged >= RESEND_INTERVALS {
                    unchanged = 0;
                    for frame in &frames {
                        send(&socket, frame, &targets).await;
                    }
                    last_frames = frames;
                }
                last_sent = Instant::now();
                next_send = last_sent + DIGEST_INTERVAL;
            }
            received = socket.recv_from(&mut buffer) => {
                // The datagram is foreign or damaged; the next digest replaces it.
                let Ok((size, _)) = received else {
                    continue;
                };
                let Ok(frame) = Frame::decode(&buffer[..size]) else {
                    continue;
                };
                if pool.send(Report::from(frame)).await.is_err() {
                    return;
                }
            }
        }
    }
}

/// Sends a frame to the other gateways.
async fn send(socket: &UdpSocket, frame: &Frame, targets: &[SocketAddr]) {
    let bytes = frame.encode_to_vec();
    for target in targets {
        // A lost datagram is replaced by the next one.
        let _ = socket.send_to(&bytes, target).await;
    }
}
