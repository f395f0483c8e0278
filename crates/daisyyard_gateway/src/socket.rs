//! Sockets of callers: a head that trickles ends the connection, and a connection that is closed after
//! a refusal stays open until the caller has the response.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

use crate::body::{Body, Incomplete};

/// Time for which a connection stays open after a refusal, for the caller to read the response. Closing
/// while bytes of the request are unread would discard it.
const LINGER: Duration = Duration::from_millis(500);
/// Maximum number of bytes that are read and discarded in that time.
const MAX_LINGER_BYTES: usize = 1 << 20;
/// Time for which a head may still arrive once its time has passed. When a suspended process goes on,
/// its timers may fire before it sees what waits in its sockets.
const RECHECK: Duration = Duration::from_millis(100);
/// Size of the part that is discarded at once, in bytes.
const DISCARD_BYTES: usize = 4 << 10;

/// What a connection and its socket know of the current request.
#[derive(Debug, Default)]
pub(crate) struct Exchange {
    /// Number of requests whose heads are complete.
    heads: AtomicU32,
    /// Whether a request is being answered.
    busy: AtomicBool,
    /// Whether the connection is closed because of a refusal.
    refused: AtomicBool,
}

/// Socket of a caller.
#[derive(Debug)]
pub(crate) struct Socket {
    /// Socket that does the I/O.
    inner: TcpStream,
    /// What the connection knows of the current request.
    exchange: Arc<Exchange>,
    /// Time within which a head must be complete.
    head_timeout: Duration,
    /// Number of the request whose head is incomplete, and when its first bytes were read.
    head: Option<(u32, Instant)>,
    /// Whether the time for this head has passed.
    head_overdue: bool,
    /// Ends the current wait: for the rest of a head, or for the caller to read a refusal.
    timer: Option<Pin<Box<Sleep>>>,
    /// Number of bytes that were discarded.
    discarded: usize,
    /// Time for which a caller may read nothing while bytes wait for it.
    read_timeout: Duration,
    /// Ends the current wait for the caller to read.
    read_timer: Option<Pin<Box<Sleep>>>,
}

/// Time limits of a connection.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Timeouts {
    /// Time within which a head must be complete, from its first bytes.
    pub(crate) head: Duration,
    /// Time for which a caller may read nothing while bytes wait for it.
    pub(crate) read: Duration,
}

/// Body of a response, which ends the request when it is dropped.
#[derive(Debug)]
pub(crate) struct Tracked {
    /// The body.
    inner: Body,
    /// What the connection knows of the current request.
    exchange: Arc<Exchange>,
}

impl Exchange {
    /// Records that the head of a request is complete.
    pub(crate) fn begin(&self) {
        self.heads.fetch_add(1, Ordering::Relaxed);
        self.busy.store(true, Ordering::Release);
    }

    /// Records that the connection will be closed because of a refusal.
    pub(crate) fn refuse(&self) {
        self.refused.store(true, Ordering::Release);
    }

    /// Returns the body of the response to the current request.
    pub(crate) fn track(self: &Arc<Self>, inner: Body) -> Tracked {
        Tracked {
            inner,
            exchange: Arc::clone(self),
        }
    }
}

impl Drop for Tracked {
    fn drop(&mut self) {
        self.exchange.busy.store(false, Ordering::Release);
    }
}

impl hyper::body::Body for Tracked {
    type Data = Bytes;
    type Error = Incomplete;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Incomplete>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl Socket {
    /// Wraps a socket.
    pub(crate) fn new(inner: TcpStream, exchange: Arc<Exchange>, timeouts: Timeouts) -> Self {
        Self {
            inner,
            exchange,
            head_timeout: timeouts.head,
            head: None,
            head_overdue: false,
            timer: None,
            discarded: 0,
            read_timeout: timeouts.read,
            read_timer: None,
        }
    }

    /// Ends a write that makes no progress for too long: the caller reads nothing, and what waits for it
    /// takes the room of others.
    fn limit_write(
        &mut self,
        cx: &mut Context<'_>,
        poll: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if poll.is_ready() {
            self.read_timer = None;
            return poll;
        }
        let timeout = self.read_timeout;
        let new_timer = || Box::pin(tokio::time::sleep(timeout));
        let timer = self.read_timer.get_or_insert_with(new_timer);
        ready!(timer.as_mut().poll(cx));
        let text = "the caller does not read the response; read it or close the connection";
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, text)))
    }

    /// Returns whether the time for the current head has passed. It is asked only when nothing can be
    /// read, so that a head that arrived while the process was suspended is still served.
    fn poll_head_timeout(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Some((number, started)) = self.head else {
            return Poll::Pending;
        };
        if number != self.exchange.heads.load(Ordering::Relaxed) {
            (self.head, self.timer) = (None, None);
            return Poll::Pending;
        }
        let deadline = started + self.head_timeout;
        let new_timer = || Box::pin(tokio::time::sleep_until(deadline.into()));
        let timer = self.timer.get_or_insert_with(new_timer);
        ready!(timer.as_mut().poll(cx));
        if !self.head_overdue {
            self.head_overdue = true;
            timer.as_mut().reset((Instant::now() + RECHECK).into());
            ready!(timer.as_mut().poll(cx));
        }
        Poll::Ready(())
    }

    /// Discards what the caller still sends, until it closes the connection or the time is over.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut part = [0; DISCARD_BYTES];
        while self.discarded < MAX_LINGER_BYTES {
            let mut part = ReadBuf::new(&mut part);
            match Pin::new(&mut self.inner).poll_read(cx, &mut part) {
                Poll::Ready(Ok(())) if !part.filled().is_empty() => {
                    self.discarded += part.filled().len();
                }
                Poll::Ready(_) => return Poll::Ready(()),
                Poll::Pending => {
                    let new_timer = || Box::pin(tokio::time::sleep(LINGER));
                    let timer = self.timer.get_or_insert_with(new_timer);
                    return timer.as_mut().poll(cx);
                }
            }
        }
        Poll::Ready(())
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        let poll = Pin::new(&mut self.inner).poll_read(cx, buf);
        if self.exchange.busy.load(Ordering::Acquire) {
            return poll;
        }
        if poll.is_pending() {
            ready!(self.poll_head_timeout(cx));
            let text = "the head of the request came too slowly; send it at once";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, text)));
        }
        if buf.filled().len() > filled {
            let number = self.exchange.heads.load(Ordering::Relaxed);
            if self.head.is_none_or(|(head, _)| head != number) {
                (self.head, self.timer) = (Some((number, Instant::now())), None);
                self.head_overdue = false;
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
        self.limit_write(cx, poll)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.limit_write(cx, poll)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = ready!(Pin::new(&mut self.inner).poll_shutdown(cx));
        if result.is_err() || !self.exchange.refused.load(Ordering::Acquire) {
            return Poll::Ready(result);
        }
        if self.head.take().is_some() {
            // The timer of the head, if any, has no meaning any more.
            self.timer = None;
        }
        ready!(self.poll_discard(cx));
        Poll::Ready(Ok(()))
    }
}
