//! A loopback proxy whose connections can be delayed, reset, silenced or cut one way.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// Bytes that are passed on at once.
const CHUNK_BYTES: usize = 4_096;

/// How connections are treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// Bytes pass both ways.
    Open,
    /// Bytes pass after a delay.
    Slow(Duration),
    /// Bytes are held both ways; connections stay open.
    Silent,
    /// Bytes of answers are held.
    OneWay,
    /// Open connections are closed, and new ones at once.
    Broken,
}

/// A running proxy; dropping it closes its connections.
#[derive(Debug)]
pub struct Proxy {
    /// Address on which connections are accepted.
    pub address: SocketAddr,
    /// How connections are treated.
    link: watch::Sender<Link>,
    /// Where connections lead.
    target: watch::Sender<Option<SocketAddr>>,
    /// Task that accepts connections.
    server: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy on a free loopback port; it leads nowhere until `forward` is called.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn start() -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (link, current_link) = watch::channel(Link::Open);
        let (target, current_target) = watch::channel(None);
        let server = tokio::spawn(accept(listener, current_target, current_link));
        Ok(Self {
            address,
            link,
            target,
            server,
        })
    }

    /// Leads new connections to an address.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }

    /// Changes how connections are treated.
    pub fn set_link(&self, link: Link) {
        self.link.send_replace(link);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.server.abort();
    }
}

/// Accepts connections until the task is aborted, which ends them all.
async fn accept(
    listener: TcpListener,
    target: watch::Receiver<Option<SocketAddr>>,
    link: watch::Receiver<Link>,
) {
    let mut connections = JoinSet::new();
    while let Ok((client, _)) = listener.accept().await {
        let current = *target.borrow();
        if let Some(target) = current {
            connections.spawn(relay(client, target, link.clone()));
        }
        while connections.try_join_next().is_some() {}
    }
}

/// Passes bytes on until either end closes or the link breaks.
async fn relay(client: TcpStream, target: SocketAddr, mut link: watch::Receiver<Link>) {
    if *link.borrow() == Link::Broken {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    // Small writes must leave at once, as on the connection that is imitated.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let ((client_read, client_write), (target_read, target_write)) =
        (client.into_split(), server.into_split());
    let requests = copy(client_read, target_write, link.clone(), false);
    let responses = copy(target_read, client_write, link.clone(), true);
    let both = async { tokio::join!(requests, responses) };
    tokio::select! {
        _ = both => {}
        // The sender lives as long as the proxy.
        _ = link.wait_for(|link| *link == Link::Broken) => {}
    }
}

/// Copies bytes one way as the link allows.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut link: watch::Receiver<Link>,
    is_response: bool,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    // A connection that either end breaks ends the copy.
    while let Ok(count @ 1..) = from.read(&mut chunk).await {
        let stalled = |link: &Link| *link == Link::Silent || (is_response && *link == Link::OneWay);
        let link = link.wait_for(|link| !stalled(link)).await.map(|link| *link);
        match link {
            Ok(Link::Slow(delay)) => tokio::time::sleep(delay).await,
            Ok(_) => {}
            Err(_) => return,
        }
        if to.write_all(&chunk[..count]).await.is_err() {
            return;
        }
    }
}
