//! A loopback TCP proxy that can delay, stall or close its connections, or stall only responses. The
//! open connections can also be stalled or closed for good while new ones work.

use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf, split};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// Maximum number of bytes that are forwarded at once.
const CHUNK_BYTES: usize = 4_096;

/// Condition of the proxied connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// Bytes are forwarded in both directions.
    Open,
    /// Each chunk of bytes is forwarded after this delay.
    Slow(Duration),
    /// Bytes are held back in both directions; connections stay open.
    Silent,
    /// Bytes of responses are held back; those of requests are forwarded.
    OneWay,
    /// Open connections are reset, and new ones closed as soon as they are accepted.
    Broken,
}

/// What happens to the connections that are open at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// They are reset at both ends.
    Closed,
    /// They forward nothing any more and stay open.
    Stalled,
}

/// A running proxy; dropping it closes its connections.
#[derive(Debug)]
pub struct Proxy {
    /// Address that accepts connections.
    pub address: SocketAddr,
    /// Condition of the proxied connections.
    link: watch::Sender<Link>,
    /// Address that new connections are forwarded to.
    target: watch::Sender<Option<SocketAddr>>,
    /// Cuts the connections that are open when it changes.
    cut: watch::Sender<Option<Cut>>,
    /// Task that accepts connections.
    server: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy on a free loopback port. It closes new connections until
    /// [`Proxy::set_target`] is called.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn start() -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (link, current_link) = watch::channel(Link::Open);
        let (target, current_target) = watch::channel(None);
        let (cut, cuts) = watch::channel(None);
        let server = tokio::spawn(accept(listener, current_target, current_link, cuts));
        Ok(Self {
            address,
            link,
            target,
            cut,
            server,
        })
    }

    /// Sets the address that new connections are forwarded to.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }

    /// Sets the condition of open and new connections.
    pub fn set_link(&self, link: Link) {
        self.link.send_replace(link);
    }

    /// Cuts the connections that are open now; new ones work.
    pub fn cut_open(&self, cut: Cut) {
        self.cut.send_replace(Some(cut));
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.server.abort();
    }
}

/// Accepts connections until the task is aborted, which closes them all.
async fn accept(
    listener: TcpListener,
    target: watch::Receiver<Option<SocketAddr>>,
    link: watch::Receiver<Link>,
    cuts: watch::Receiver<Option<Cut>>,
) {
    let mut connections = JoinSet::new();
    while let Ok((client, _)) = listener.accept().await {
        let current = *target.borrow();
        if let Some(target) = current {
            let mut cuts = cuts.clone();
            cuts.mark_unchanged();
            connections.spawn(relay(client, target, link.clone(), cuts));
        }
        while connections.try_join_next().is_some() {}
    }
}

/// Forwards bytes until both directions have ended, the link is [`Link::Broken`] or the connection is
/// cut.
async fn relay(
    client: TcpStream,
    target: SocketAddr,
    mut link: watch::Receiver<Link>,
    mut cuts: watch::Receiver<Option<Cut>>,
) {
    if *link.borrow() == Link::Broken {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    // Small writes must be sent at once, as on a direct connection between the two ends.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (Ok(client_handle), Ok(server_handle)) = (handle(&client), handle(&server)) else {
        return;
    };
    let ((client_read, client_write), (server_read, server_write)) = (split(client), split(server));
    let requests = copy(client_read, server_write, link.clone(), false);
    let responses = copy(server_read, client_write, link.clone(), true);
    let both = async { tokio::join!(requests, responses) };
    let mut both = std::pin::pin!(both);
    let is_cut = tokio::select! {
        (requests, responses) = both.as_mut() => {
            if (requests, responses) == (End::Closed, End::Closed) {
                return;
            }
            false
        }
        // The sender lives as long as the proxy, so this also ends when the proxy is dropped.
        _ = link.wait_for(|link| *link == Link::Broken) => false,
        cut = cuts.changed() => cut.is_ok(),
    };
    let cut = *cuts.borrow();
    if is_cut && cut == Some(Cut::Stalled) {
        // The directions are not polled any more.
        std::future::pending::<()>().await;
    }
    // Without a reset, the end of a response that nothing else marks would look regular.
    for handle in [client_handle, server_handle] {
        // The connection may be closed already.
        let _ = SockRef::from(&handle).set_linger(Some(Duration::ZERO));
    }
}

/// How one direction of a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// The sender has closed it, or the recipient takes nothing any more.
    Closed,
    /// The sender has reset it.
    Reset,
}

/// Returns another handle of a socket, with which it can be reset.
fn handle(socket: &TcpStream) -> std::io::Result<OwnedFd> {
    socket.as_fd().try_clone_to_owned()
}

/// Copies bytes in one direction as the condition of the link allows.
async fn copy(
    mut from: ReadHalf<TcpStream>,
    mut to: WriteHalf<TcpStream>,
    mut link: watch::Receiver<Link>,
    is_response: bool,
) -> End {
    let mut chunk = vec![0; CHUNK_BYTES];
    // The copy ends when either end closes its connection.
    loop {
        let count = match from.read(&mut chunk).await {
            Ok(0) => {
                // The peer may have gone.
                let _ = to.shutdown().await;
                return End::Closed;
            }
            Ok(count) => count,
            Err(_) => return End::Reset,
        };
        let stalled = |link: &Link| *link == Link::Silent || (is_response && *link == Link::OneWay);
        let link = link.wait_for(|link| !stalled(link)).await.map(|link| *link);
        match link {
            Ok(Link::Slow(delay)) => tokio::time::sleep(delay).await,
            Ok(_) => {}
            Err(_) => return End::Closed,
        }
        if to.write_all(&chunk[..count]).await.is_err() {
            return End::Closed;
        }
    }
}
