//! HTTP listeners for requests, readiness probes, gateway addresses and metrics. A task of its own
//! serves each connection.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use daisyyard_http::connection;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_util::task::TaskTracker;

use crate::body::Body;
use crate::watcher::Configuration;

/// Length of the queue of connections that are not accepted yet.
const ACCEPT_BACKLOG: u32 = 1024;
/// Size of the kernel's send buffer for a caller, in bytes.
const SEND_BUFFER_BYTES: u32 = 64 << 10;
/// Maximum size of the request headers until a configuration sets it, in bytes.
const DEFAULT_MAX_HEAD_BYTES: usize = 16 << 10;
/// Idle timeout of connections until a configuration sets it.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
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
                    Ok((socket, _)) => {
                        let connection =
                            self.clone().serve_connection(socket, Arc::clone(&handler));
                        self.tasks.spawn(connection);
                    }
                    Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
                }
            }
        })
    }

    /// Serves one connection until it closes.
    async fn serve_connection<F, R>(self, socket: TcpStream, handler: Arc<F>)
    where
        F: Fn(Request<Incoming>) -> R + Send + Sync + 'static,
        R: Future<Output = Response<Body>> + Send + 'static,
    {
        if connection::set_options(&socket).is_err() {
            return;
        }
        let phase = self.phase.clone();
        let service = service_fn(|request| {
            let response = handler(request);
            let phase = phase.clone();
            async move {
                let mut response = response.await;
                if *phase.borrow() != Phase::Serving {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
                Ok::<_, Infallible>(response)
            }
        });
        let (head, idle_timeout) = self.limits();
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(idle_timeout * IDLE_FACTOR)
            .max_buf_size(head.max(DEFAULT_MAX_HEAD_BYTES) * 2)
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

    /// Returns the maximum size of the request headers and the idle timeout.
    fn limits(&self) -> (usize, Duration) {
        let configuration = self.configuration.borrow();
        let limits = configuration.as_ref().map(|catalog| catalog.limits);
        limits.map_or((DEFAULT_MAX_HEAD_BYTES, DEFAULT_IDLE_TIMEOUT), |limits| {
            (limits.max_header_bytes, limits.idle_timeout)
        })
    }
}
