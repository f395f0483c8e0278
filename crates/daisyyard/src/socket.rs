//! Connection of a caller with a timeout on blocked writes.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

/// A TCP stream whose writes fail when the peer has read nothing for a while.
///
/// Without the timeout, a caller that never reads would keep its connection open, and so block a
/// planned stop of the node forever.
#[derive(Debug)]
pub(crate) struct Socket {
    /// The TCP stream.
    inner: TcpStream,
    /// Time for which a write may block before it fails.
    write_timeout: Duration,
    /// Timer of the blocked write, if a write is blocked.
    timer: Option<Pin<Box<Sleep>>>,
}

impl Socket {
    /// Wraps a TCP stream with a write timeout.
    pub(crate) fn new(inner: TcpStream, write_timeout: Duration) -> Self {
        Self {
            inner,
            write_timeout,
            timer: None,
        }
    }

    /// Passes on the result of a write, or an error if writes have been blocked for too long.
    fn check_timeout<T>(
        &mut self,
        cx: &mut Context<'_>,
        poll: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if poll.is_ready() {
            self.timer = None;
            return poll;
        }
        let deadline = Instant::now() + self.write_timeout;
        let create = || Box::pin(tokio::time::sleep_until(deadline));
        let timer = self.timer.get_or_insert_with(create);
        match timer.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
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
        self.check_timeout(cx, poll)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.check_timeout(cx, poll)
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
