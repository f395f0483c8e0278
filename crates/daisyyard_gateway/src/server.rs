//! HTTP listeners for requests, readiness probes, gateway addresses and metrics. A task of its own
//! serves each connection.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use daisyyard_core::footprint::Use;
use daisyyard_http::connection;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinHandle;
use tokio_util::task::TaskTracker;

use crate::body::Body;
use crate::memory::{Full, Hold, Memory};
use crate::socket::{Exchange, Socket, Timeouts};
use crate::watcher::Configuration;

/// Length of the queue of connections that are not accepted yet.
const ACCEPT_BACKLOG: u32 = 1024;
/// Size of the kernel's send buffer for a caller, in bytes.
const SEND_BUFFER_BYTES: u32 = 64 << 10;
/// Maximum size of the request headers until a configuration sets it, in bytes.
const DEFAULT_MAX_HEAD_BYTES: usize = 16 << 10;
/// Idle timeout of connections until a configuration sets it.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause that a head may make beyond the configured limit, for the way from the caller.
const HEAD_MARGIN: Duration = Duration::from_millis(500);
/// Room in the read buffer of a connection beyond the largest head, in parts of it, for the start of the
/// body.
const SPARE_HEAD_SHARE: usize = 4;
/// Maximum number of connections that are refused at the same time; further ones are closed at once.
const MAX_REFUSED_CONNECTIONS: usize = 32;
/// Maximum time for which a refused connection stays open.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Size of the part of a refused request that is read at once, in bytes.
const REFUSED_PART_BYTES: usize = 1 << 10;
/// Response to a request on a connection beyond the limit.
const CONNECTION_REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 0.250\r\n\
    connection: close\r\ncontent-length: 0\r\n\r\n";

/// Multiple of the configured idle timeout after which a connection is closed. A request that a
/// caller sends just before the configured timeout must not cross the close of its connection.
const IDLE_FACTOR: u32 = 2;
/// Pause after a connection could not be accepted, as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Phase of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// The gateway serves requests.
    Serving,
    /// The gateway still accepts connections, but reports that it is leaving.
    Leaving,
    /// The gateway accepts no connections and finishes the requests in progress.
    Finishing,
}

/// The state that a listener shares with its connections.
#[derive(Debug, Clone)]
pub(crate) struct Server {
    /// Current configuration, for the limits on callers.
    pub(crate) configuration: Configuration,
    /// Phase of the graceful shutdown.
    pub(crate) phase: watch::Receiver<Phase>,
    /// Tracks the tasks of open connections.
    pub(crate) tasks: TaskTracker,
    /// Account of the connections.
    pub(crate) memory: Memory,
    /// What the connections are charged as.
    pub(crate) usage: Use,
    /// Permits for refusing connections.
    pub(crate) refusals: Arc<Semaphore>,
}

/// Limits on the connections of callers.
#[derive(Debug, Clone, Copy)]
struct ConnectionLimits {
    /// Maximum size of the request headers, in bytes.
    head_bytes: usize,
    /// Time within which a head must be complete, if it is set.
    head_timeout: Option<Duration>,
    /// Time for which a connection may be idle.
    idle_timeout: Duration,
}

/// Returns the permits for refusing connections, which all listeners share.
pub(crate) fn refusals() -> Arc<Semaphore> {
    Arc::new(Semaphore::new(MAX_REFUSED_CONNECTIONS))
}

/// Opens a listening socket.
pub(crate) fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

impl Server {
    /// Accepts connections until the gateway finishes; `handler` answers each request.
    pub(crate) fn spawn<F, R>(self, listener: TcpListener, handler: F) -> JoinHandle<()>
    where
        F: Fn(Request<Incoming>) -> R + Send + Sync + 'static,
        R: Future<Output = Response<Body>> + Send + 'static,
    {
        let handler = Arc::new(handler);
        let mut phase = self.phase.clone();
        tokio::spawn(async move {
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    _ = phase.wait_for(|phase| *phase == Phase::Finishing) => return,
                };
                match accepted {
                    Ok((socket, _)) => match self.memory.hold(self.usage, 1) {
                        Ok(hold) => {
                            let handler = Arc::clone(&handler);
                            let connection = self.clone().serve_connection(socket, hold, handler);
                            self.tasks.spawn(connection);
                        }
                        Err(Full) => self.refuse_connection(socket),
                    },
                    Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
                }
            }
        })
    }

    /// Answers the first request of a connection that cannot be served, and closes it.
    fn refuse_connection(&self, socket: TcpStream) {
        let Ok(permit) = Arc::clone(&self.refusals).try_acquire_owned() else {
            return;
        };
        tokio::spawn(async move {
            // The caller may have gone, or may send nothing.
            let _ = tokio::time::timeout(REFUSAL_TIMEOUT, write_refusal(socket)).await;
            drop(permit);
        });
    }

    /// Serves one connection until it closes.
    async fn serve_connection<F, R>(self, socket: TcpStream, _hold: Hold, handler: Arc<F>)
    where
        F: Fn(Request<Incoming>) -> R + Send + Sync + 'static,
        R: Future<Output = Response<Body>> + Send + 'static,
    {
        if connection::set_options(&socket).is_err() {
            return;
        }
        let phase = self.phase.clone();
        let exchange = Arc::new(Exchange::default());
        let service = service_fn(|request| {
            exchange.begin();
            let response = handler(request);
            let phase = phase.clone();
            let exchange = Arc::clone(&exchange);
            async move {
                let mut response = response.await;
                if response.headers().contains_key(CONNECTION) {
                    exchange.refuse();
                }
                if *phase.borrow() != Phase::Serving {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
                Ok::<_, Infallible>(response.map(|body| exchange.track(body)))
            }
        });
        let limits = self.limits();
        let idle_timeout = limits.idle_timeout * IDLE_FACTOR;
        let head_timeout = limits.head_timeout.map(|timeout| timeout + HEAD_MARGIN);
        let timeouts = Timeouts {
            head: head_timeout.unwrap_or(idle_timeout),
            read: limits.idle_timeout,
        };
        let head_bytes = limits.head_bytes.max(DEFAULT_MAX_HEAD_BYTES);
        let socket = Socket::new(socket, Arc::clone(&exchange), timeouts);
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(idle_timeout)
            .max_buf_size(head_bytes + head_bytes / SPARE_HEAD_SHARE)
            .serve_connection(TokioIo::new(socket), service);
        let mut connection = std::pin::pin!(connection);
        let mut stopping = self.phase.clone();
        let finishing = stopping.wait_for(|phase| *phase == Phase::Finishing);
        // A connection that the caller breaks needs no response.
        let ended = tokio::select! {
            _ = connection.as_mut() => true,
            _ = finishing => false,
        };
        if !ended {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }

    /// Returns the limits of the current configuration.
    fn limits(&self) -> ConnectionLimits {
        let configuration = self.configuration.borrow();
        let limits = configuration.as_ref().map(|catalog| catalog.limits);
        let unset = ConnectionLimits {
            head_bytes: DEFAULT_MAX_HEAD_BYTES,
            head_timeout: None,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        };
        limits.map_or(unset, |limits| ConnectionLimits {
            head_bytes: limits.max_header_bytes,
            head_timeout: limits.header_timeout,
            idle_timeout: limits.idle_timeout,
        })
    }
}

/// Reads the first bytes of a connection, refuses the request, and waits until the caller closes.
async fn write_refusal(mut socket: TcpStream) -> std::io::Result<()> {
    let mut part = [0; REFUSED_PART_BYTES];
    // A response before any request would not be taken for its answer.
    if socket.read(&mut part).await? == 0 {
        return Ok(());
    }
    socket.write_all(CONNECTION_REFUSAL).await?;
    socket.shutdown().await?;
    while socket.read(&mut part).await? > 0 {}
    Ok(())
}
