//! The listeners: requests, readiness, addresses and metrics; one task owns each connection.

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
use crate::follow::Held;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// Bytes that the operating system buffers for a caller.
const SEND_BUFFER: u32 = 64 << 10;
/// Longest head of a request before a configuration says how long it may be, in bytes.
const MAX_HEAD: usize = 16 << 10;
/// Time for which a connection may be idle before a configuration says for how long.
const IDLE: Duration = Duration::from_secs(30);
/// Connections stay open for this multiple of the idle time that callers are promised, so that a
/// caller that reuses one at the end of that time does not cross its close.
const IDLE_FACTOR: u32 = 2;
/// Pause after a connection could not be accepted, for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// The gateway serves.
    Serving,
    /// The gateway accepts connections, but says that it is leaving.
    Leaving,
    /// The gateway accepts no connections and finishes its requests.
    Finishing,
}

/// A listener and what its connections need.
#[derive(Debug, Clone)]
pub(crate) struct Front {
    /// The configuration in force, for the limits on callers.
    pub(crate) held: Held,
    /// How far a planned stop has come.
    pub(crate) phase: watch::Receiver<Phase>,
    /// Tasks of connections.
    pub(crate) tasks: TaskTracker,
}

/// Opens a listening socket.
pub(crate) fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.set_send_buffer_size(SEND_BUFFER)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

impl Front {
    /// Accepts connections until the gateway finishes; `answer` answers each request.
    pub(crate) fn spawn<F, R>(self, listener: TcpListener, answer: F) -> JoinHandle<()>
    where
        F: Fn(Request<Incoming>) -> R + Send + Sync + 'static,
        R: Future<Output = Response<Body>> + Send + 'static,
    {
        let answer = Arc::new(answer);
        let mut phase = self.phase.clone();
        tokio::spawn(async move {
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    _ = phase.wait_for(|phase| *phase == Phase::Finishing) => return,
                };
                match accepted {
                    Ok((socket, _)) => {
                        let connection = self.clone().own(socket, Arc::clone(&answer));
                        self.tasks.spawn(connection);
                    }
                    Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
                }
            }
        })
    }

    /// Owns one connection until it ends.
    async fn own<F, R>(self, socket: TcpStream, answer: Arc<F>)
    where
        F: Fn(Request<Incoming>) -> R + Send + Sync + 'static,
        R: Future<Output = Response<Body>> + Send + 'static,
    {
        if connection::tune(&socket).is_err() {
            return;
        }
        let phase = self.phase.clone();
        let service = service_fn(|request| {
            let answer = answer(request);
            let phase = phase.clone();
            async move {
                let mut response = answer.await;
                if *phase.borrow() != Phase::Serving {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
                Ok::<_, Infallible>(response)
            }
        });
        let (head, idle) = self.limits();
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(idle * IDLE_FACTOR)
            .max_buf_size(head.max(MAX_HEAD) * 2)
            .serve_connection(TokioIo::new(socket), service);
        let mut connection = std::pin::pin!(connection);
        let mut stopping = self.phase.clone();
        let finishing = stopping.wait_for(|phase| *phase == Phase::Finishing);
        // A connection that the other end breaks needs no answer.
        let ended = tokio::select! {
            _ = connection.as_mut() => true,
            _ = finishing => false,
        };
        if !ended {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }

    /// Returns the longest head and the idle time that callers are promised.
    fn limits(&self) -> (usize, Duration) {
        let held = self.held.borrow();
        let limits = held.as_ref().map(|catalog| catalog.limits);
        limits.map_or((MAX_HEAD, IDLE), |limits| {
            (limits.max_header_bytes, limits.idle_timeout)
        })
    }
}
