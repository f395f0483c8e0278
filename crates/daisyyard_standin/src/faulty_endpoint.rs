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

/// Interval between two events of a stream that goes on while calls come.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// Number of events of a sound answer.
pub const SOUND_EVENTS: u64 = 5;
/// Number of events of a stream that goes on while calls come.
pub const LONG_EVENTS: u64 = 100;
/// Result of a copy that succeeded.
const COPIED: &str = r#"{"handle":"copy-1","created":0}"#;

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
    /// The answer has this status line, and is sound otherwise.
    Status(&'static [u8]),
    /// The answer consists of these bytes alone.
    Bytes(&'static [u8]),
    /// The answer has no signature, and is sound otherwise.
    Unsigned,
    /// Calls to the control interface get this status line and the result of a copy that succeeded;
    /// streams are sound.
    Control(&'static [u8]),
    /// A stream of HTTP/1.0, which ends with the connection, ends inside the event after this number of
    /// events.
    OldCut(u64),
}

/// What a faulty endpoint has seen.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    /// Requests of callers whose head was read.
    pub requests: u64,
    /// Calls to the control interface.
    pub calls: u64,
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
            self.counts.send_modify(|counts| counts.calls += 1);
            if let Fault::Control(line) = self.fault {
                // Fails only if the caller has closed the connection.
                let _ = socket.write_all(&whole(line, "", COPIED)).await;
                return;
            }
            // The endpoint has broken its runs off, so that there is nothing to stop or move.
            let missing = b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";
            // Fails only if the caller has closed the connection.
            let _ = socket.write_all(missing).await;
            return;
        }
        self.counts.send_modify(|counts| counts.requests += 1);
        if self.answer(&mut socket, &head).await.is_err() {
            self.counts.send_modify(|counts| counts.closed += 1);
        }
    }

    /// Sends the answer up to the fault, and the fault.
    async fn answer(&mut self, socket: &mut TcpStream, head: &str) -> std::io::Result<()> {
        let attempt = header(head, "x-daisyyard-attempt-id:");
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
                    self.send(socket, event(number).as_bytes()).await?;
                }
                if matches!(self.fault, Fault::UnframedCut(_)) {
                    self.send(socket, b"id: 9\nda").await?;
                }
                close(socket).await
            }
            Fault::CutHead => self.send(socket, start.as_bytes()).await,
            Fault::OtherRefusal => {
                let refusal = "HTTP/1.1 503 Service Unavailable\r\n\
                               x-daisyyard-attempt-id: another\r\n\
                               x-daisyyard-not-executed: 1\r\ncontent-length: 0\r\n\r\n";
                self.send(socket, refusal.as_bytes()).await
            }
            Fault::Status(line) => {
                let signed = format!(
                    "x-daisyyard-attempt-id: {attempt}\r\nx-daisyyard-server-signature: stand-in\r\n"
                );
                let body = events_after(head, SOUND_EVENTS);
                self.send(socket, &whole(line, &signed, &body)).await
            }
            Fault::Unsigned => {
                let unsigned = format!("x-daisyyard-attempt-id: {attempt}\r\n");
                let body = events_after(head, SOUND_EVENTS);
                let answer = whole(b"HTTP/1.1 200 OK", &unsigned, &body);
                self.send(socket, &answer).await
            }
            Fault::Bytes(bytes) => self.send(socket, bytes).await,
            Fault::Control(_) => {
                let head = format!("{start}transfer-encoding: chunked\r\n\r\n");
                self.send(socket, head.as_bytes()).await?;
                for number in 1..=LONG_EVENTS {
                    self.send(socket, &event_chunk(number)).await?;
                    tokio::time::sleep(EVENT_INTERVAL).await;
                }
                self.send(socket, b"0\r\n\r\n").await
            }
            Fault::OldCut(events) => {
                let start = start.replace("HTTP/1.1", "HTTP/1.0");
                self.send(socket, format!("{start}\r\n").as_bytes()).await?;
                for number in 1..=events {
                    self.send(socket, event(number).as_bytes()).await?;
                }
                self.send(socket, b"id: 9\nda").await?;
                close(socket).await
            }
            Fault::CutEvent(events) => {
                let head = format!("{start}transfer-encoding: chunked\r\n\r\n");
                self.send(socket, head.as_bytes()).await?;
                for number in 1..=events {
                    self.send(socket, &event_chunk(number)).await?;
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

/// Closes a connection; a socket that is closed with unread bytes would be reset.
async fn close(socket: &mut TcpStream) -> std::io::Result<()> {
    socket.shutdown().await?;
    while socket.read_buf(&mut Vec::new()).await? > 0 {}
    Ok(())
}

/// Returns the value of a header of a request, or an empty text; `name` ends with a colon.
fn header<'a>(head: &'a str, name: &str) -> &'a str {
    let value = head.lines().find_map(|line| line.strip_prefix(name));
    value.unwrap_or_default().trim()
}

/// Returns an event of a stream.
fn event(number: u64) -> String {
    format!("id: {number}\ndata: piece {number}\n\n")
}

/// Returns the chunk of an event of a stream.
fn event_chunk(number: u64) -> Vec<u8> {
    let event = event(number);
    format!("{:x}\r\n{event}\r\n", event.len()).into_bytes()
}

/// Returns a number of events after the last one that a request names.
fn events_after(head: &str, count: u64) -> String {
    let last: u64 = header(head, "last-event-id:").parse().unwrap_or(0);
    (last + 1..=last + count).map(event).collect()
}

/// Returns an answer with a length.
fn whole(line: &[u8], headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    let rest = format!("\r\n{headers}content-length: {length}\r\n\r\n{body}");
    [line, rest.as_bytes()].concat()
}
