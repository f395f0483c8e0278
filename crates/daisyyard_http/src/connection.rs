//! Client connections to endpoints, with a report of how much of a failed request was sent.

use std::io;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

/// Timeout of a connection attempt. Endpoints of the same region are about 1 ms away.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle time before the first keepalive probe, and the time between probes. Without probes, a
/// connection whose state a middlebox has dropped would look open forever.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum size of the read buffer of a connection, in bytes, and so of the head of a response.
const MAX_BUFFER_BYTES: usize = 64 << 10;
/// Maximum number of bytes that are read before the head of the response is complete. It bounds interim
/// responses (1xx), each of which has a head of its own, and leaves room for the start of the body.
const MAX_UNANSWERED_BYTES: usize = 2 * MAX_BUFFER_BYTES;
/// Status codes of final responses. Those above are invalid (RFC 9110, section 15); of the interim ones,
/// hyper returns 101, for which no request here asks.
const FINAL_STATUS: RangeInclusive<u16> = 200..=599;
/// Number of unanswered keepalive probes after which the kernel closes the connection.
const KEEPALIVE_PROBES: u32 = 3;
/// Value of `TCP_USER_TIMEOUT`: how long sent bytes may stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// A response whose body has not been read, with the task that drives its connection.
#[derive(Debug)]
pub struct Answer {
    /// Head of the response, and its unread body.
    pub response: Response<Incoming>,
    /// Task that drives the connection; dropping the handle closes the connection.
    pub driver: AbortOnDropHandle<()>,
}

/// Reason why a request got no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The connection was refused, so no process listens on the address.
    Refused,
    /// The connection could not be established within the timeout, or failed for another reason.
    Unreachable,
    /// The connection failed before any byte of the request was written.
    Unwritten,
    /// The request could not leave by the given time, so nothing of it was written.
    Late,
    /// The connection failed after a part of the request was written.
    Partial,
    /// The connection failed after the whole request may have been written.
    Broken,
    /// The response timed out after the whole request may have been written.
    Silent,
    /// The peer answered with something other than a final response of HTTP.
    Malformed,
}

/// A connection on which nothing has been sent.
#[derive(Debug)]
pub struct Connection(TcpStream);

/// Sends a request on a new connection and returns the response once its head has arrived.
pub async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    timeout: Duration,
) -> Result<Answer, Failure> {
    open(address, None).await?.send(request, timeout).await
}

/// Opens a connection. If a time is given, it is open by then.
pub async fn open(address: SocketAddr, leave_by: Option<Instant>) -> Result<Connection, Failure> {
    let is_late = || leave_by.is_some_and(|time| time <= Instant::now());
    let time_left = leave_by.map(|time| time.saturating_duration_since(Instant::now()));
    let connect_timeout = time_left.unwrap_or(CONNECT_TIMEOUT).min(CONNECT_TIMEOUT);
    let socket = tokio::time::timeout(connect_timeout, TcpStream::connect(address)).await;
    let socket = match socket {
        Ok(Ok(_)) if is_late() => return Err(Failure::Late),
        Ok(Ok(socket)) => socket,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            return Err(Failure::Refused);
        }
        _ if time_left == Some(Duration::ZERO) => return Err(Failure::Late),
        _ => return Err(Failure::Unreachable),
    };
    if set_options(&socket).is_err() {
        return Err(Failure::Unwritten);
    }
    Ok(Connection(socket))
}

impl Connection {
    /// Sends a request and returns the response once its head has arrived.
    pub async fn send(
        self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Answer, Failure> {
        let body_bytes = hyper::body::Body::size_hint(request.body()).lower() as usize;
        let written = Arc::new(AtomicUsize::new(0));
        let answered = Arc::new(AtomicBool::new(false));
        let socket = Socket {
            inner: self.0,
            written: Arc::clone(&written),
            unanswered_bytes: 0,
            answered: Arc::clone(&answered),
        };
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(socket))
            .await;
        let Ok((mut sender, connection)) = handshake else {
            return Err(Failure::Unwritten);
        };
        let driver = AbortOnDropHandle::new(tokio::spawn(async move {
            // The reader of the body gets the error of a failed connection.
            let _ = connection.await;
        }));
        match tokio::time::timeout(timeout, sender.send_request(request)).await {
            Ok(Ok(response)) if !FINAL_STATUS.contains(&response.status().as_u16()) => {
                Err(Failure::Malformed)
            }
            Ok(Ok(response)) => {
                answered.store(true, Ordering::Release);
                Ok(Answer { response, driver })
            }
            result => {
                // The byte count is final only once the driver has stopped writing.
                driver.abort();
                let _ = driver.await;
                let written = written.load(Ordering::Acquire);
                match result {
                    Ok(Err(error)) if error.is_parse() && written > 0 => Err(Failure::Malformed),
                    result => Err(classify(written, body_bytes, result.is_err())),
                }
            }
        }
    }
}

/// Sets the options of a TCP socket: Nagle's algorithm is off, and a connection whose peer does not
/// respond fails within seconds.
pub fn set_options(socket: &TcpStream) -> io::Result<()> {
    socket.set_nodelay(true)?;
    let socket = SockRef::from(socket);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// Classifies the failure of a request with a body of `body_bytes` after `written` bytes were sent.
///
/// A request head has at least one byte, so a request of which at most `body_bytes` were written is
/// incomplete.
fn classify(written: usize, body_bytes: usize, timed_out: bool) -> Failure {
    match written {
        0 => Failure::Unwritten,
        _ if written <= body_bytes => Failure::Partial,
        _ if timed_out => Failure::Silent,
        _ => Failure::Broken,
    }
}

/// A socket that counts the bytes that the kernel accepted for sending, and bounds those that are read
/// before the response.
#[derive(Debug)]
struct Socket {
    /// Socket that does the I/O.
    inner: TcpStream,
    /// Number of bytes that the kernel accepted.
    written: Arc<AtomicUsize>,
    /// Number of bytes that were read before the head of the response was complete.
    unanswered_bytes: usize,
    /// Whether the head of the response is complete.
    answered: Arc<AtomicBool>,
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        let poll = Pin::new(&mut self.inner).poll_read(cx, buf);
        if !self.answered.load(Ordering::Acquire) {
            self.unanswered_bytes += buf.filled().len() - filled;
            if self.unanswered_bytes > MAX_UNANSWERED_BYTES {
                let text = "the peer sends bytes without end before its response; check the peer";
                return Poll::Ready(Err(io::Error::other(text)));
            }
        }
        poll
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.inner).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = poll {
            self.written.fetch_add(count, Ordering::AcqRel);
        }
        poll
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        if let Poll::Ready(Ok(count)) = poll {
            self.written.fetch_add(count, Ordering::AcqRel);
        }
        poll
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

/// Returns whether an address refuses connections, so that no process listens on it.
pub async fn is_refused(address: SocketAddr) -> bool {
    let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connect, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
}
