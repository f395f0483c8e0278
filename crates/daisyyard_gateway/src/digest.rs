//! Digests: datagrams in which each gateway tells the others its load at each endpoint, and what it
//! has just read from the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use daisyyard_core::allowance::Count;
use daisyyard_core::id::{EndpointId, InstanceId, Revision, ServiceId};
use daisyyard_core::load::Load;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use xtra::{Address, WeakAddress};

use crate::message::{Digest, Report};
use crate::pool::Pool;

/// Time between two digests while no request is sent.
const PERIOD: Duration = Duration::from_millis(100);
/// Shortest time between two digests. It bounds how old the knowledge of other gateways' loads is.
const SHORTEST: Duration = Duration::from_millis(5);
/// Periods after which an unchanged digest is sent again, to show that the gateway lives.
const QUIET_PERIODS: u32 = 4;
/// Largest datagram: what fits one packet on any path.
const MAX_DATAGRAM: usize = 1_400;
/// Endpoints in one datagram.
const ITEMS: usize = 32;
/// Endpoints that leave in one datagram.
const DEPARTURES: usize = 16;
/// Endpoints that are left out in one datagram.
const EJECTIONS: usize = 12;
/// Services in one datagram.
const SERVICES: usize = 8;

/// A digest on the wire.
#[derive(Clone, PartialEq, Eq, Message)]
struct Frame {
    /// Identifier of the sender.
    #[prost(fixed64, tag = "1")]
    instance: InstanceId,
    /// Whether the sender is leaving.
    #[prost(bool, tag = "2")]
    leaving: bool,
    /// Loads of the sender.
    #[prost(message, repeated, tag = "3")]
    items: Vec<Item>,
    /// Requests and repeated sends of the sender.
    #[prost(message, repeated, tag = "4")]
    counts: Vec<Counted>,
    /// Version of the configuration in force at the sender.
    #[prost(uint64, tag = "5")]
    version: Revision,
    /// Endpoints that began to leave.
    #[prost(message, repeated, tag = "6")]
    departures: Vec<Departure>,
    /// Revision of the store at which the newest endpoint was listed.
    #[prost(uint64, tag = "7")]
    arrival: Revision,
    /// Endpoints that the sender leaves out.
    #[prost(fixed64, repeated, tag = "8")]
    ejections: Vec<EndpointId>,
    /// Whether the frame has nothing but further loads of the one before.
    #[prost(bool, tag = "9")]
    rest: bool,
}

/// An endpoint that began to leave.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
struct Departure {
    /// Identifier of the endpoint.
    #[prost(fixed64, tag = "1")]
    endpoint: EndpointId,
    /// Revision of the store that says so.
    #[prost(uint64, tag = "2")]
    revision: Revision,
}

/// Counts of the sender for one service.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
struct Counted {
    /// Identifier of the service.
    #[prost(fixed64, tag = "1")]
    service: ServiceId,
    /// Requests in the present window.
    #[prost(uint32, tag = "2")]
    requests: u32,
    /// Repeated sends in the present window.
    #[prost(uint32, tag = "3")]
    repeats: u32,
}

/// The load of the sender at one endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
struct Item {
    /// Identifier of the endpoint.
    #[prost(fixed64, tag = "1")]
    endpoint: EndpointId,
    /// Requests in progress.
    #[prost(uint32, tag = "2")]
    runs: u32,
    /// Tokens of context that are reserved.
    #[prost(uint64, tag = "3")]
    tokens: u64,
    /// Prompt tokens of requests without a first token.
    #[prost(uint64, tag = "4")]
    prefill: u64,
}

impl From<&(EndpointId, Load)> for Item {
    fn from((endpoint, load): &(EndpointId, Load)) -> Self {
        Self {
            endpoint: *endpoint,
            runs: load.runs,
            tokens: load.tokens,
            prefill: load.prefill,
        }
    }
}

impl From<Item> for (EndpointId, Load) {
    fn from(item: Item) -> Self {
        let load = Load {
            runs: item.runs,
            tokens: item.tokens,
            prefill: item.prefill,
        };
        (item.endpoint, load)
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

impl From<&(ServiceId, Count)> for Counted {
    fn from((service, count): &(ServiceId, Count)) -> Self {
        Self {
            service: *service,
            requests: count.requests,
            repeats: count.repeats,
        }
    }
}

impl From<Counted> for (ServiceId, Count) {
    fn from(counted: Counted) -> Self {
        let count = Count {
            requests: counted.requests,
            repeats: counted.repeats,
        };
        (counted.service, count)
    }
}

impl Frame {
    /// Returns the frames of a report: one, or several if its loads do not fit one datagram.
    fn all(report: &Report) -> Vec<Self> {
        let (first, rest) = report.loads.split_at(report.loads.len().min(ITEMS));
        let rest = rest.chunks(ITEMS);
        let rest = rest.map(|loads| Self {
            instance: report.from,
            leaving: report.leaving,
            items: loads.iter().map(Item::from).collect(),
            rest: true,
            ..Self::default()
        });
        std::iter::once(Self::new(report, first))
            .chain(rest)
            .collect()
    }

    /// Returns the first frame of a report, with some of its loads.
    fn new(report: &Report, loads: &[(EndpointId, Load)]) -> Self {
        let items = loads.iter().map(Item::from);
        Self {
            rest: false,
            instance: report.from,
            leaving: report.leaving,
            items: items.collect(),
            version: report.version,
            arrival: report.arrival,
            ejections: report.ejections.iter().copied().take(EJECTIONS).collect(),
            departures: report
                .departures
                .iter()
                .take(DEPARTURES)
                .map(Departure::from)
                .collect(),
            counts: report
                .counts
                .iter()
                .take(SERVICES)
                .map(Counted::from)
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
            arrival: frame.arrival,
            rest: frame.rest,
            ejections: frame.ejections,
            departures: frame.departures.into_iter().map(Into::into).collect(),
            loads: frame.items.into_iter().map(Into::into).collect(),
            counts: frame.counts.into_iter().map(Into::into).collect(),
        }
    }
}

/// Starts the task that sends and receives digests.
pub(crate) async fn spawn(
    address: SocketAddr,
    pool: &Address<Pool>,
    changed: Arc<Notify>,
) -> std::io::Result<JoinHandle<()>> {
    let socket = UdpSocket::bind(address).await?;
    Ok(tokio::spawn(exchange(socket, pool.downgrade(), changed)))
}

/// Sends and receives digests until the pool ends.
async fn exchange(socket: UdpSocket, pool: WeakAddress<Pool>, changed: Arc<Notify>) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    let mut last = Vec::new();
    let mut sent = Instant::now();
    let mut due = sent + PERIOD;
    let mut quiet = 0;
    loop {
        tokio::select! {
            () = changed.notified() => due = due.min(sent + SHORTEST),
            () = tokio::time::sleep_until(due.into()) => {
                let Ok((report, targets)) = pool.send(Digest).await else {
                    return;
                };
                let frames = Frame::all(&report);
                quiet += 1;
                if frames != last || quiet >= QUIET_PERIODS {
                    quiet = 0;
                    for frame in &frames {
                        send(&socket, frame, &targets).await;
                    }
                    last = frames;
                }
                sent = Instant::now();
                due = sent + PERIOD;
            }
            received = socket.recv_from(&mut buffer) => {
                // An unreadable datagram is from a stranger or was damaged; the next one replaces it.
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

/// Sends a digest to other gateways.
async fn send(socket: &UdpSocket, frame: &Frame, targets: &[SocketAddr]) {
    let bytes = frame.encode_to_vec();
    for target in targets {
        // A lost datagram is replaced by the next one.
        let _ = socket.send_to(&bytes, target).await;
    }
}
