//! One connection to an endpoint, and how much of a request may have reached it.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

/// Time to connect; endpoints of the region are about a millisecond away.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without traffic after which a connection is probed, and between probes. A connection that
/// something on its way has forgotten shows in no other way.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection is broken.
const KEEPALIVE_PROBES: u32 = 3;
/// Time for which sent bytes may stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// The head of an answer, its unread body and the task that owns the socket.
#[derive(Debug)]
pub struct Answer {
    /// Answer with its body unread.
    pub response: Response<Incoming>,
    /// Task that owns the socket; the connection closes when this is dropped.
    pub driver: AbortOnDropHandle<()>,
}

/// Why no answer arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No process listens at the address.
    Refused,
    /// No connection was made in time.
    Unreachable,
    /// The connection broke before any byte was written.
    Unwritten,
    /// The connection broke before the whole request was written.
    Partial,
    /// The whole request may have been written.
    Broken,
    /// The whole request may have been written, and no answer arrived in time.
    TimedOut,
}

/// Sends a request on a connection of its own and returns the head of the answer.
pub async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    timeout: Duration,
) -> Result<Answer, Failure> {
    let body_bytes = hyper::body::Body::size_hint(request.body()).lower() as usize;
    let socket = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let socket = match socket {
        Ok(Ok(socket)) => socket,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            return Err(Failure::Refused);
        }
        _ => return Err(Failure::Unreachable),
    };
    if set_options(&socket).is_err() {
        return Err(Failure::Unwritten);
    }
    let written = Arc::new(AtomicUsize::new(0));
    let socket = Socket {
        inner: socket,
        written: Arc::clone(&written),
    };
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(socket)).await;
    let Ok((mut sender, connection)) = handshake else {
        return Err(Failure::Unwritten);
    };
    let driver = AbortOnDropHandle::new(tokio::spawn(async move {
        // The reader of the answer learns of a broken connection from the body.
        let _ = connection.await;
    }));
    match tokio::time::timeout(timeout, sender.send_request(request)).await {
        Ok(Ok(response)) => Ok(Answer { response, driver }),
        result => {
            // The count is final only when nothing can write any more.
            driver.abort();
            let _ = driver.await;
            Err(classify(
                written.load(Ordering::Acquire),
                body_bytes,
                result.is_err(),
            ))
        }
    }
}

/// Sets the options of a connection: small writes leave at once, and a connection whose other end
/// is silent breaks within seconds.
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

/// Returns the failure after `written` bytes of a request with a body of `size` bytes.
///
/// A request head has at least one byte, so the request is incomplete when no more bytes were
/// written than its body has.
fn classify(written: usize, body_bytes: usize, timed_out: bool) -> Failure {
    match written {
        0 => Failure::Unwritten,
        _ if written <= body_bytes => Failure::Partial,
        _ if timed_out => Failure::TimedOut,
        _ => Failure::Broken,
    }
}

/// A socket that counts the bytes that the operating system took over for sending.
#[derive(Debug)]
struct Socket {
    /// The socket.
    inner: TcpStream,
    /// Bytes written.
    written: Arc<AtomicUsize>,
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
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

/// Returns whether no process listens at an address.
pub async fn is_refused(address: SocketAddr) -> bool {
    let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connect, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
}
