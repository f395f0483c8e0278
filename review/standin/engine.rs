//! Engines and plain servers, as the pages describe them.

use std::collections::{BTreeSet, HashMap};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

unsafe extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
}

/// Interval of the engines' writes to the store.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time from the start of a run until its backup engine has a copy.
const COPY_TIME: Duration = Duration::from_millis(150);
/// Tokens of an event.
const STRIDE: u64 = 4;

/// A request that reached a server.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub engine: String,
    pub attempt: String,
    pub at: Instant,
    pub ran: bool,
    /// When the server last worked on it.
    pub worked_until: Instant,
    /// Status that the server sent; 0 before that.
    pub status: u16,
}

/// What all servers of a test have seen.
#[derive(Default)]
pub struct Seen {
    pub arrivals: Mutex<Vec<Arrival>>,
    /// Engines that have a copy of the memory of a run, by its attempt.
    copies: Mutex<HashMap<String, BTreeSet<SocketAddr>>>,
}

/// How a server treats the requests that it gets.
#[derive(Clone)]
pub struct Habits {
    pub service: String,
    pub zone: String,
    pub slots: u32,
    /// Most events of a stream and the time between two; none at a plain server.
    pub stream: Option<(u64, Duration)>,
    /// Time until the first event of a stream.
    pub queue: Duration,
    /// Whether the head of a stream is sent with its first event, and not before the wait.
    pub late_head: bool,
    /// Time that a plain server works on a request.
    pub work: Duration,
}

pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    habits: Habits,
    store: Store,
    seen: Arc<Seen>,
    record: Record,
    born: AtomicU64,
    listener: TcpListener,
    /// Channels that fill the queue of new ones while the engine is dark.
    fillers: Mutex<Vec<TcpStream>>,
    dark: AtomicBool,
    draining: AtomicBool,
    /// Whether a run ends when its channel closes.
    drops_closed: AtomicBool,
    sequence: AtomicU64,
    /// Of so many answers one is bytes without end; 0 for none.
    endless: AtomicU64,
    /// Number of answers since then.
    spoiled: AtomicU64,
}

impl Engine {
    pub fn start(
        id: &str,
        habits: Habits,
        store: &Store,
        seen: &Arc<Seen>,
        record: &Record,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let born = std::time::UNIX_EPOCH.elapsed().map_or(0, |time| time.as_millis());
        let engine = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("a bound socket"),
            habits,
            store: store.clone(),
            seen: Arc::clone(seen),
            record: record.clone(),
            born: AtomicU64::new(born as u64),
            listener: listener.try_clone().expect("a bound socket"),
            fillers: Mutex::default(),
            dark: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            drops_closed: AtomicBool::new(true),
            sequence: AtomicU64::new(0),
            endless: AtomicU64::new(0),
            spoiled: AtomicU64::new(0),
        });
        engine.beat();
        let server = Arc::clone(&engine);
        let pausing = Arc::clone(&engine);
        let takes = move || !pausing.dark.load(Ordering::Acquire);
        http::serve_while(listener, takes, move |request, socket| {
            server.answer(&request, socket);
        });
        let writer = Arc::clone(&engine);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(HEARTBEAT);
                writer.beat();
            }
        });
        engine
    }

    fn beat(&self) {
        if self.dark.load(Ordering::Acquire) {
            return;
        }
        let draining = self.draining.load(Ordering::Acquire);
        let state = if draining { "draining" } else { "ready" };
        let sequence = self.sequence.fetch_add(1, Ordering::AcqRel);
        let stage = if self.habits.stream.is_some() {
            ",\"stage\":\"prefill_decode\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]"
        } else {
            ""
        };
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{}{stage}}}",
            self.habits.service, self.address, self.habits.zone, self.habits.slots, self.born.load(Ordering::Acquire)
        );
        self.store.put(&format!("servers/{}", self.id), &entry);
    }

    /// Reports that the server leaves; it goes on serving.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Release);
        self.beat();
        self.record.line(&format!("server {} reports draining", self.id));
    }

    /// From now on a run goes on when its channel closes. Most servers drop it.
    pub fn keep_closed(&self) {
        self.drops_closed.store(false, Ordering::Release);
    }

    /// Loses power: it takes no new channel, and what it has goes silent.
    pub fn go_dark(&self) {
        self.dark.store(true, Ordering::Release);
        // SAFETY: changes the backlog of a socket that this engine owns.
        unsafe { listen(self.listener.as_raw_fd(), 0) };
        let mut fillers = self.fillers.lock().unwrap();
        let wait = Duration::from_millis(20);
        while let Ok(filler) = TcpStream::connect_timeout(&self.address, wait) {
            fillers.push(filler);
        }
        self.record.line(&format!("server {} is dark", self.id));
    }

    /// Is back as a new incarnation that knows nothing of before.
    pub fn return_from_dark(&self) {
        self.fillers.lock().unwrap().clear();
        // SAFETY: as above.
        unsafe { listen(self.listener.as_raw_fd(), 128) };
        self.born.fetch_add(1, Ordering::AcqRel);
        self.dark.store(false, Ordering::Release);
        self.beat();
        self.record.line(&format!("server {} is back", self.id));
    }

    fn answer(&self, request: &Message, mut socket: TcpStream) {
        match request.path() {
            "/-/report" => return,
            "/-/kv-move" => {
                let body = Json::parse(&request.body).unwrap_or(Json::Null);
                let id = body.get("id").map_or("", Json::text);
                self.record.line(&format!("server {} is asked to move {id}", self.id));
                // There is no room; without `last` the run continues.
                let answer = http::response("503 Service Unavailable", &[], b"{}");
                let _ = http::write_message(&mut socket, &answer);
                return;
            }
            _ => {}
        }
        let attempt = request.header("x-daisyyard-attempt-id").unwrap_or("");
        let expected = request.header("x-daisyyard-expected-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let own = [("X-Daisyyard-Instance-Id", self.id.as_str())];
            let answer = http::response("421 Misdirected Request", &own, b"");
            let _ = http::write_message(&mut socket, &answer);
            return;
        }
        if let Some(place) = request.header("kv-from") {
            let copies = self.seen.copies.lock().unwrap();
            let held = copies.get(attempt).is_some_and(|at| at.contains(&self.address));
            if !held || !place.starts_with(&self.address.to_string()) {
                drop(copies);
                self.arrive(attempt, false);
                let headers = [
                    ("X-Daisyyard-Attempt-Id", attempt),
                    ("X-Daisyyard-Not-Executed", "1"),
                ];
                let answer = http::response("503 Service Unavailable", &headers, b"");
                let _ = http::write_message(&mut socket, &answer);
                return;
            }
        }
        let number = self.arrive(attempt, true);
        let every = self.endless.load(Ordering::Acquire);
        let count = self.spoiled.fetch_add(u64::from(every > 0), Ordering::AcqRel);
        if every > 0 && count % every == every / 4 {
            self.answer_without_end(attempt, socket);
            return;
        }
        match self.habits.stream {
            Some((events, gap)) => self.stream(request, attempt, socket, (events, gap), number),
            None => self.run(request, attempt, socket, number),
        }
    }

    /// From now on one of so many answers is bytes without end; none if the number is 0.
    pub fn set_endless(&self, every: u64) {
        self.endless.store(every, Ordering::Release);
    }

    /// Sends bytes that are no answer until the caller closes the channel.
    fn answer_without_end(&self, attempt: &str, mut socket: TcpStream) {
        let started = Instant::now();
        let bytes = "HTTP/1.1 100 Continue\r\n\r\n".repeat(2_000);
        let mut sent = 0;
        while socket.write_all(bytes.as_bytes()).is_ok() {
            sent += bytes.len();
        }
        self.record.line(&format!(
            "server {} has sent {sent} bytes that are no answer to {attempt} in {} ms",
            self.id,
            started.elapsed().as_millis()
        ));
    }

    fn arrive(&self, attempt: &str, ran: bool) -> usize {
        let now = Instant::now();
        let word = if ran { "runs" } else { "declines" };
        self.record.line(&format!("server {} {word} {attempt}", self.id));
        let mut arrivals = self.seen.arrivals.lock().unwrap();
        arrivals.push(Arrival {
            engine: self.id.clone(),
            attempt: attempt.to_owned(),
            at: now,
            ran,
            worked_until: now,
            status: 0,
        });
        arrivals.len() - 1
    }

    fn note(&self, number: usize, status: Option<u16>) {
        let mut arrivals = self.seen.arrivals.lock().unwrap();
        arrivals[number].worked_until = Instant::now();
        arrivals[number].status = status.unwrap_or(arrivals[number].status);
    }

    fn run(&self, request: &Message, attempt: &str, mut socket: TcpStream, number: usize) {
        std::thread::sleep(self.habits.work);
        self.note(number, Some(200));
        self.record.line(&format!(
            "server {} has run {attempt} ({} bytes)",
            self.id,
            request.body.len()
        ));
        let signature = format!("{}.{attempt}", self.id);
        let headers = [
            ("X-Daisyyard-Attempt-Id", attempt),
            ("X-Daisyyard-Server-Signature", signature.as_str()),
        ];
        let answer = http::response("200 OK", &headers, &[b'x'; 800]);
        let _ = http::write_message(&mut socket, &answer);
    }

    fn stream(
        &self,
        request: &Message,
        attempt: &str,
        mut socket: TcpStream,
        (events, gap): (u64, Duration),
        number: usize,
    ) {
        let usage = request.header("x-daisyyard-token-usage").unwrap_or("");
        let output = usage.split(',').nth(1).and_then(|tokens| tokens.parse().ok());
        let events = output.map_or(events, |tokens: u64| events.min(tokens.div_ceil(STRIDE)));
        let last = request.header("last-event-id").and_then(|id| id.parse().ok());
        let backup = request.header("x-daisyyard-kv-backup");
        let backup = backup.and_then(|address| address.parse().ok());
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             Connection: close\r\nX-Daisyyard-Attempt-Id: {attempt}\r\n\
             X-Daisyyard-Server-Signature: {}.{attempt}\r\n\r\n",
            self.id
        );
        if self.habits.late_head {
            std::thread::sleep(self.habits.queue);
        }
        let mut open = socket.write_all(head.as_bytes()).is_ok();
        let mut copied = false;
        if !self.habits.late_head {
            std::thread::sleep(self.habits.queue);
        }
        let born = self.born.load(Ordering::Acquire);
        let started = Instant::now();
        for event in last.unwrap_or(0u64) + 1..=events {
            std::thread::sleep(gap);
            if self.dark.load(Ordering::Acquire) || self.born.load(Ordering::Acquire) != born {
                // The run has ended with the incarnation; a silent channel stays open.
                std::thread::sleep(Duration::from_secs(5));
                return;
            }
            if let Some(backup) = backup.filter(|_| !copied && started.elapsed() > COPY_TIME) {
                copied = true;
                let mut copies = self.seen.copies.lock().unwrap();
                copies.entry(attempt.to_owned()).or_default().insert(backup);
            }
            self.note(number, Some(200));
            let text = format!("id: {event}\ndata: {{\"text\":\"piece {event}\"}}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            let was_open = open;
            open = open && socket.write_all(chunk.as_bytes()).is_ok();
            if was_open && !open {
                let what = if self.drops_closed.load(Ordering::Acquire) { "ends" } else { "goes on with" };
                self.record.line(&format!(
                    "server {} sees that the channel of {attempt} is closed and {what} it",
                    self.id
                ));
            }
            if !open && self.drops_closed.load(Ordering::Acquire) {
                return;
            }
        }
        self.record.line(&format!("server {} has made all events of {attempt}", self.id));
        let _ = socket.write_all(b"0\r\n\r\n");
    }
}
