//! Engines that answer with streams of events. A request can crash them.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::{ENDPOINTS, Message, Record, Store, listen, read_message};

/// Time between two events of a stream.
pub const PACE: Duration = Duration::from_millis(60);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

/// What an engine does with requests.
#[derive(Clone, Copy)]
pub struct Conduct {
    /// Number of events of a stream.
    pub events: usize,
    /// Body that crashes the engine, and the number of its events before the crash; none if there is none.
    pub crashes: Option<(&'static str, usize)>,
    /// Time until a crashed engine is back.
    pub back_after: Duration,
}

/// A model engine.
pub struct Engine {
    pub id: String,
    zone: String,
    address: SocketAddr,
    /// Rises when the engine starts.
    start: AtomicU64,
    sequence: AtomicU64,
    down: AtomicBool,
    /// Bodies of requests that the engine began to run, with the times.
    pub runs: Mutex<Vec<(f64, String)>>,
    /// Times of crashes.
    pub crashes: Mutex<Vec<f64>>,
}

impl Engine {
    pub fn start(
        id: &str,
        zone: &str,
        conduct: Conduct,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let listener = listen(ENDPOINTS);
        let engine = Arc::new(Self {
            id: id.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("an address"),
            start: AtomicU64::new(1_700_000_000_000),
            sequence: AtomicU64::new(0),
            down: AtomicBool::new(false),
            runs: Mutex::default(),
            crashes: Mutex::default(),
        });
        let (server, writer) = (Arc::clone(&engine), Arc::clone(&engine));
        let (store, record) = (Arc::clone(store), Arc::clone(record));
        store.put(&engine.key(), &engine.entry());
        thread::spawn(move || server.live(listener, conduct, &record));
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if !writer.down.load(Ordering::SeqCst) && !store.is_away() {
                    store.put(&writer.key(), &writer.entry());
                }
            }
        });
        engine
    }

    fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    fn entry(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            r#"{{"service":"model","address":"{}","zone":"{}","version":"v1","slots":24,"state":"ready","cold_remaining_ms":0,"stage":"prefill_decode","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":{sequence},"born":{}}}"#,
            self.address,
            self.zone,
            self.start.load(Ordering::SeqCst)
        )
    }

    /// Serves until it crashes, and starts again.
    fn live(self: Arc<Self>, first: TcpListener, conduct: Conduct, record: &Arc<Record>) {
        let mut listener = Some(first);
        loop {
            let current = listener.take().unwrap_or_else(|| {
                loop {
                    if let Ok(listener) = TcpListener::bind(self.address) {
                        break listener;
                    }
                    thread::sleep(ACCEPT_PAUSE);
                }
            });
            current
                .set_nonblocking(true)
                .expect("a listener that does not block");
            while !self.down.load(Ordering::SeqCst) {
                let Ok((socket, _)) = current.accept() else {
                    thread::sleep(ACCEPT_PAUSE);
                    continue;
                };
                let _ = socket.set_nonblocking(false);
                let (engine, record) = (Arc::clone(&self), Arc::clone(record));
                thread::spawn(move || {
                    let _ = engine.serve(socket, conduct, &record);
                });
            }
            drop(current);
            thread::sleep(conduct.back_after);
            self.start.fetch_add(1_000, Ordering::SeqCst);
            self.down.store(false, Ordering::SeqCst);
            record.line(&format!("engine {} is back", self.id));
        }
    }

    fn serve(
        &self,
        mut socket: TcpStream,
        conduct: Conduct,
        record: &Record,
    ) -> std::io::Result<()> {
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(Duration::from_secs(10)))?;
        let start = self.start.load(Ordering::SeqCst);
        let gone =
            || self.down.load(Ordering::SeqCst) || self.start.load(Ordering::SeqCst) != start;
        let request = read_message(&mut socket)?;
        if gone() {
            return Ok(());
        }
        let attempt = request
            .header("x-daisyyard-attempt-id")
            .unwrap_or("-")
            .to_owned();
        if request.target().starts_with("/-/") {
            // No run of this engine is ever copied.
            return reject(&mut socket, 404, &attempt, "");
        }
        let expected = request.header("x-daisyyard-expected-instance");
        if expected.is_some_and(|id| id != self.id) {
            let instance = format!("X-Daisyyard-Instance-Id: {}\r\n", self.id);
            return reject(&mut socket, 421, &attempt, &instance);
        }
        if request.header("kv-from").is_some() {
            return reject(
                &mut socket,
                503,
                &attempt,
                "X-Daisyyard-Not-Executed: 1\r\n",
            );
        }
        self.run(&mut socket, &request, &attempt, conduct, record, &gone)
    }

    fn run(
        &self,
        socket: &mut TcpStream,
        request: &Message,
        attempt: &str,
        conduct: Conduct,
        record: &Record,
        gone: &dyn Fn() -> bool,
    ) -> std::io::Result<()> {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        record.line(&format!(
            "run attempt={attempt} engine={} body={body:?}",
            self.id
        ));
        self.runs
            .lock()
            .unwrap()
            .push((record.seconds(), body.clone()));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Daisyyard-Attempt-Id: {attempt}\r\n\
             X-Daisyyard-Server-Signature: {}.{attempt}\r\nX-Daisyyard-Weight-Versions: 1\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        socket.write_all(head.as_bytes())?;
        let crash = conduct.crashes.filter(|(fatal, _)| *fatal == body);
        for number in 1..=conduct.events {
            thread::sleep(PACE);
            if gone() {
                return Ok(());
            }
            let event = format!("id: {number}\ndata: {attempt} {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            socket.write_all(chunk.as_bytes())?;
            if crash.is_some_and(|(_, after)| after == number) {
                self.down.store(true, Ordering::SeqCst);
                self.crashes.lock().unwrap().push(record.seconds());
                record.show(&format!(
                    "engine {} crashes, which runs attempt {attempt}",
                    self.id
                ));
                return Ok(());
            }
        }
        socket.write_all(b"0\r\n\r\n")
    }
}

fn reject(socket: &mut TcpStream, status: u16, attempt: &str, header: &str) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} X\r\nX-Daisyyard-Attempt-Id: {attempt}\r\n{header}Content-Length: 0\r\n\
         Connection: close\r\n\r\n"
    );
    socket.write_all(head.as_bytes())
}
