//! Stand-in for an endpoint that breaks the protocol: it sends bytes that are no answer, without
//! end, or breaks off in the middle of an event.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Size of one part of the endless bytes.
const PART_BYTES: usize = 4 << 10;
/// Number of interim answers that are sent at once.
const PART_INTERIMS: usize = 2_000;
/// Time between two parts of the endless bytes.
const PART_INTERVAL: Duration = Duration::from_millis(1);

/// Prefix of the paths of calls to the control interface.
const CONTROL_PREFIX: &str = "/-/";

/// How the endpoint breaks the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The head of the answer never ends.
    EndlessHead,
    /// Interim answers (1xx) come without end.
    EndlessInterim,
    /// The body of an answer without a length never ends.
    EndlessBody,
    /// An event of a stream never ends.
    EndlessEvent,
    /// A complete answer is followed by bytes without end.
    EndlessTail,
    /// A stream breaks off in the middle of the event after this number of events.
    CutEvent(u64),
    /// A stream of this number of events has neither a length nor chunks and ends with the connection.
    Unframed(u64),
    /// As before, but the stream ends inside the event after them.
    UnframedCut(u64),
    /// The connection closes in the middle of the head of the answer.
    CutHead,
    /// The request is run, and a refusal of another one comes in place of its answer.
    OtherRefusal,
}

/// What a faulty endpoint has seen.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    /// Requests of callers whose head was read.
    pub requests: u64,
    /// Connections that the caller closed while the endpoint sent bytes.
    pub closed: u64,
    /// Bytes that were sent in all.
    pub bytes: u64,
}

/// A running endpoint; dropping it stops the endpoint and closes its connections.
#[derive(Debug)]
pub struct FaultyEndpoint {
    /// Name of the endpoint.
    pub name: String,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Allows the fault to occur; a stream waits for this after its complete events.
    released: watch::Sender<bool>,
    /// What the endpoint has seen.
    counts: watch::Receiver<Counts>,
    /// Task that accepts connections.
    server: JoinHandle<()>,
}

/// Handler of one connection.
#[derive(Debug, Clone)]
struct Handler {
    /// How the endpoint breaks the protocol.
    fault: Fault,
    /// Whether the fault may occur.
    released: watch::Receiver<bool>,
    /// What the endpoint has seen.
    counts: watch::Sender<Counts>,
}

impl FaultyEndpoint {
    /// Starts an endpoint on a free loopback port.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn start(name: &str, fault: Fault) -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (released, release) = watch::channel(!matches!(fault, Fault::CutEvent(_)));
        let (counts, seen) = watch::channel(Counts::default());
        let handler = Handler {
            fault,
            released: release,
            counts,
        };
        Ok(Self {
            name: name.to_owned(),
            address,
            released,
            counts: seen,
            server: tokio::spawn(accept(listener, handler)),
        })
    }

    /// Lets streams that wait after their complete events break off.
    pub fn release(&self) {
        self.released.send_replace(true);
    }

    /// Returns what the endpoint has seen.
    pub fn counts(&self) -> Counts {
        *self.counts.borrow()
    }
}

impl Drop for FaultyEndpoint {
    fn drop(&mut self) {
        self.server.abort();
    }
}

/// Serves each connection in a task of its own; the tasks end with this one.
async fn accept(listener: TcpListener, handler: Handler) {
    let mut connections = tokio::task::JoinSet::new();
    while let Ok((socket, _)) = listener.accept().await {
        connections.spawn(handler.clone().serve(socket));
        while connections.try_join_next().is_some() {}
    }
}

impl Handler {
    /// Reads a request and answers it with the fault; errors mean that the caller has closed the
    /// connection.
    async fn serve(mut self, mut socket: TcpStream) {
        let Ok(head) = read_head(&mut socket).await else {
            return;
        };
        if head
            .split(' ')
            .nth(1)
            .is_some_and(|path| path.starts_with(CONTROL_PREFIX))
        {
            // The endpoint has broken its runs off, so that there is nothing to stop or move.
            let missing = b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";
            // Fails only if the caller has closed the connection.
            let _ = socket.write_all(missing).await;
            return;
        }
        let attempt = attempt(&head);
        self.counts.send_modify(|counts| counts.requests += 1);
        if self.answer(&mut socket, &attempt).await.is_err() {
            self.counts.send_modify(|counts| counts.closed += 1);
        }
    }

    /// Sends the answer up to the fault, and the fault.
    async fn answer(&mut self, socket: &mut TcpStream, attempt: &str) -> std::io::Result<()> {
        let start = format!(
            "HTTP/1.1 200 OK\r\nx-daisyyard-attempt-id: {attempt}\r\n\
             x-daisyyard-server-signature: stand-in\r\n"
        );
        match self.fault {
            Fault::EndlessHead => {
                self.send(socket, format!("{start}x-filler: ").as_bytes())
                    .await?;
                self.send_forever(socket).await
            }
            Fault::EndlessInterim => {
                let interim = "HTTP/1.1 100 Continue\r\n\r\n".repeat(PART_INTERIMS);
                loop {
                    self.send(socket, interim.as_bytes()).await?;
                }
            }
            Fault::EndlessBody => {
                self.send(socket, format!("{start}\r\n").as_bytes()).await?;
                self.send_forever(socket).await
            }
            Fault::EndlessEvent => {
                let head = format!("{start}content-type: text/event-stream\r\n\r\n");
                self.send(socket, head.as_bytes()).await?;
                self.send(socket, b"id: 1\ndata: ").await?;
                self.send_forever(socket).await
            }
            Fault::EndlessTail => {
                let answer = format!("{start}content-length: 5\r\n\r\nwhole");
                self.send(socket, answer.as_bytes()).await?;
                self.send_forever(socket).await
            }
            Fault::Unframed(events) | Fault::UnframedCut(events) => {
                self.send(socket, format!("{start}\r\n").as_bytes()).await?;
                for number in 1..=events {
                    let event = format!("id: {number}\ndata: piece {number}\n\n");
                    self.send(socket, event.as_bytes()).await?;
                }
                if matches!(self.fault, Fault::UnframedCut(_)) {
                    self.send(socket, b"id: 9\nda").await?;
                }
                // A socket that is closed with unread bytes is reset.
                socket.shutdown().await?;
                while socket.read_buf(&mut Vec::new()).await? > 0 {}
                Ok(())
            }
            Fault::CutHead => self.send(socket, start.as_bytes()).await,
            Fault::OtherRefusal => {
                let refusal = "HTTP/1.1 503 Service Unavailable\r\n\
                               x-daisyyard-attempt-id: another\r\n\
                               x-daisyyard-not-executed: 1\r\ncontent-length: 0\r\n\r\n";
                self.send(socket, refusal.as_bytes()).await
            }
            Fault::CutEvent(events) => {
                let head = format!("{start}transfer-encoding: chunked\r\n\r\n");
                self.send(socket, head.as_bytes()).await?;
                for number in 1..=events {
                    let event = format!("id: {number}\ndata: piece {number}\n\n");
                    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                    self.send(socket, chunk.as_bytes()).await?;
                }
                // Fails only if the endpoint was dropped.
                let _ = self.released.wait_for(|released| *released).await;
                let event = format!("id: {}\nda", events + 1);
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                self.send(socket, chunk.as_bytes()).await
            }
        }
    }

    /// Sends bytes and counts them.
    async fn send(&self, socket: &mut TcpStream, bytes: &[u8]) -> std::io::Result<()> {
        socket.write_all(bytes).await?;
        self.counts
            .send_modify(|counts| counts.bytes += bytes.len() as u64);
        Ok(())
    }

    /// Sends bytes until the caller closes the connection.
    async fn send_forever(&self, socket: &mut TcpStream) -> std::io::Result<()> {
        let part = [b'x'; PART_BYTES];
        loop {
            self.send(socket, &part).await?;
            tokio::time::sleep(PART_INTERVAL).await;
        }
    }
}

/// Reads the head of a request and returns it in lowercase.
async fn read_head(socket: &mut TcpStream) -> std::io::Result<String> {
    let mut head = Vec::new();
    while !head.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
        if socket.read_buf(&mut head).await? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(String::from_utf8_lossy(&head).to_ascii_lowercase())
}

/// Returns the identifier of a request's attempt.
fn attempt(head: &str) -> String {
    let mut lines = head.lines();
    let attempt = lines.find_map(|line| line.strip_prefix("x-daisyyard-attempt-id:"));
    attempt.unwrap_or_default().trim().to_owned()
}
