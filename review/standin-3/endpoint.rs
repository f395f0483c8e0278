//! Engines and plain endpoints: their entries in the store, and their listeners.

use std::io::{self, BufReader};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::Run;
use crate::http::{self, Request};
use crate::record::Record;
use crate::store::Store;

/// Time between two writes of an entry (`heartbeat_ms`).
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A started endpoint; it ends with `end`.
pub struct Endpoint {
    pub name: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub address: SocketAddr,
    pub slots: u32,
    born: u128,
    store: Store,
    sequence: AtomicU64,
    draining: AtomicBool,
    alive: AtomicBool,
    silent: AtomicBool,
    sockets: Mutex<Vec<TcpStream>>,
}

/// Answers a request on its connection.
pub type Handler = dyn Fn(&Arc<Endpoint>, &Request, &mut TcpStream) -> io::Result<()> + Send + Sync;

impl Endpoint {
    /// Starts an endpoint and registers it.
    pub fn start(
        name: &str,
        service: &'static str,
        zone: &'static str,
        slots: u32,
        store: &Store,
        handler: Arc<Handler>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for an endpoint");
        listener.set_nonblocking(true).expect("a listener that can be polled");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_millis();
        let endpoint = Arc::new(Self {
            name: name.to_owned(),
            service,
            zone,
            address: listener.local_addr().expect("an address"),
            slots,
            born,
            store: store.clone(),
            sequence: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            alive: AtomicBool::new(true),
            silent: AtomicBool::new(false),
            sockets: Mutex::new(Vec::new()),
        });
        endpoint.beat();
        let accepting = Arc::clone(&endpoint);
        thread::spawn(move || accepting.accept(&listener, &handler));
        let beating = Arc::clone(&endpoint);
        thread::spawn(move || {
            let mut next = Instant::now() + HEARTBEAT;
            while beating.is_alive() {
                thread::sleep(Duration::from_millis(20));
                beating.wait_while_silent();
                if Instant::now() >= next {
                    next += HEARTBEAT;
                    beating.beat();
                }
            }
        });
        endpoint
    }

    pub fn is_alive(&self) -> bool {
        self.alive.load(Ordering::SeqCst)
    }

    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Makes the endpoint silent, or ends that. It reads, works and writes nothing meanwhile.
    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
    }

    pub fn wait_while_silent(&self) {
        while self.silent.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// Writes the entry; returns when the store has acknowledged it.
    pub fn beat(&self) -> Option<Instant> {
        if !self.is_alive() {
            return None;
        }
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let state = if self.is_draining() { "draining" } else { "ready" };
        let stage = if self.service == MODEL { ",\"stage\":\"prefill_decode\"" } else { "" };
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{}{stage}}}",
            self.service, self.address, self.zone, self.slots, self.born
        );
        self.store.put(&format!("servers/{}", self.name), &entry)
    }

    /// Waits until the endpoint has written its entry once more.
    pub fn wait_for_beat(&self) {
        let sequence = self.sequence.load(Ordering::SeqCst);
        while self.sequence.load(Ordering::SeqCst) == sequence {
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// Reports that the endpoint drains; returns when the store has acknowledged that.
    pub fn drain(&self) -> Option<Instant> {
        self.draining.store(true, Ordering::SeqCst);
        self.beat()
    }

    /// Ends the endpoint: nothing listens any more, and all connections are closed.
    pub fn end(&self) {
        self.alive.store(false, Ordering::SeqCst);
        for socket in self.sockets.lock().unwrap().drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    /// Removes the entry.
    pub fn unlist(&self) {
        self.store.remove(&format!("servers/{}", self.name));
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener, handler: &Arc<Handler>) {
        while self.is_alive() {
            let Ok((socket, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = socket.set_nonblocking(false);
            let _ = socket.set_nodelay(true);
            if let Ok(clone) = socket.try_clone() {
                let mut sockets = self.sockets.lock().unwrap();
                if sockets.len() > 256 {
                    sockets.drain(..128);
                }
                sockets.push(clone);
            }
            let (endpoint, handler) = (Arc::clone(self), Arc::clone(handler));
            thread::spawn(move || {
                // A broken connection needs no answer.
                let _ = endpoint.serve(socket, &handler);
            });
        }
    }

    fn serve(self: &Arc<Self>, mut socket: TcpStream, handler: &Arc<Handler>) -> io::Result<()> {
        let mut reader = BufReader::new(socket.try_clone()?);
        while let Some(request) = http::read_request(&mut reader)? {
            self.wait_while_silent();
            if !self.is_alive() {
                return Ok(());
            }
            handler(self, &request, &mut socket)?;
        }
        Ok(())
    }
}

/// Name of the service of the model engines.
pub const MODEL: &str = "assay-model";
/// Name of the plain service.
pub const DESK: &str = "yard-office";
/// Name of the plain service to which bookings move.
pub const NEW_DESK: &str = "yard-office-2";
/// Host of all routes.
pub const HOST: &str = "yard.example";
/// Key of the client account.
pub const KEY: &str = "xd9dnn2ctnfzs989anu6";

/// Returns a configuration like that of the site: a route for streams, one for bookings and one for
/// lookups.
pub fn config(version: u64) -> String {
    config_of(version, DESK)
}

/// Returns a configuration in which the bookings go to the new service.
pub fn moved_config(version: u64) -> String {
    config_of(version, NEW_DESK)
}

/// Returns a configuration with these routes and keys beside the usual ones.
pub fn changing_config(version: u64, routes: &[u64], keys: &[u64]) -> String {
    let route = |number: &u64| {
        format!(
            "{{\"name\":\"r{number}\",\"host\":\"{HOST}\",\"path_prefix\":\"/r{number}/\",\
             \"kind\":\"idempotent\",\"timeout_ms\":800,\"target_latency_ms\":300,\"priority\":2,\
             \"service\":\"{DESK}\",\"max_attempts\":2,\"public\":false}},"
        )
    };
    let added: String = routes.iter().map(route).collect();
    let added = format!("\"routes\":[{added}");
    let extra: String = keys.iter().map(|key| format!(",\"key{key}\"")).collect();
    let extra = format!("\"{KEY}\"{extra}]");
    config(version).replacen("\"routes\":[", &added, 1).replacen(&format!("\"{KEY}\"]"), &extra, 1)
}

fn config_of(version: u64, booking: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"draft\",\"host\":\"{HOST}\",\"path_prefix\":\"/draft/\",\"kind\":\"streaming\",\
         \"timeout_ms\":39000,\"target_latency_ms\":4000,\"priority\":2,\"service\":\"{MODEL}\",\
         \"max_attempts\":1,\"public\":false,\"sticky\":true,\"resumable\":false,\"target_gap_ms\":180}},\
         {{\"name\":\"book\",\"host\":\"{HOST}\",\"path_prefix\":\"/book/\",\"kind\":\"non_idempotent\",\
         \"timeout_ms\":800,\"target_latency_ms\":300,\"priority\":2,\"service\":\"{booking}\",\
         \"max_attempts\":1,\"public\":false}},\
         {{\"name\":\"stock\",\"host\":\"{HOST}\",\"path_prefix\":\"/stock/\",\"kind\":\"idempotent\",\
         \"timeout_ms\":800,\"target_latency_ms\":300,\"priority\":2,\"service\":\"{DESK}\",\
         \"max_attempts\":2,\"public\":false}}],\
         \"services\":[{{\"name\":\"{MODEL}\",\"health_path\":\"/healthz\",\"max_connections\":252,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":24,\"kv_cache_tokens\":34338,\
         \"kv_bytes\":163840,\"link_mbps\":24000.0,\"moves\":true,\"backups\":true,\"stride\":4,\"most\":12,\
         \"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"{DESK}\",\"health_path\":\"/healthz\",\"max_connections\":110,\"protocol\":\"h1\",\
         \"tls\":false}},\
         {{\"name\":\"{NEW_DESK}\",\"health_path\":\"/healthz\",\"max_connections\":110,\
         \"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"huka270\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

/// Returns the headers of an answer.
fn marks<'a>(attempt: &'a str, endpoint: &'a Endpoint) -> [(&'a str, &'a str); 3] {
    [
        ("x-daisyyard-attempt-id", attempt),
        ("x-daisyyard-instance-id", &endpoint.name),
        ("x-daisyyard-server-signature", "3e1b.07.5a2.600.0.c9f2a4d1"),
    ]
}

/// Returns the handler of an engine that streams and keeps no copies.
pub fn sound_engine(record: &Record) -> Arc<Handler> {
    let record = record.clone();
    Arc::new(move |engine, request, socket| {
        let attempt = request.header("x-daisyyard-attempt-id").to_owned();
        let headers = marks(&attempt, engine);
        if request.path.starts_with("/-/") {
            return http::respond(socket, 404, &headers[1..2], b"{}");
        }
        if request.header("x-daisyyard-expected-instance") != engine.name {
            return http::respond(socket, 421, &headers[..2], b"");
        }
        if !request.header("kv-from").is_empty() {
            let declined = [headers[0], headers[1], ("x-daisyyard-not-executed", "1")];
            return http::respond(socket, 503, &declined, b"");
        }
        record.line(&format!("{} runs {attempt}", engine.name));
        let usage = request.header("x-daisyyard-token-usage");
        let tokens: u64 = usage.split_once(',').and_then(|(_, it)| it.parse().ok()).unwrap_or(0);
        http::begin_chunks(socket, &headers)?;
        for event in 1..=tokens / 4 {
            thread::sleep(Duration::from_millis(30));
            http::write_chunk(socket, format!("id: {event}\ndata: tokens {event}\n\n").as_bytes())?;
        }
        http::write_chunk(socket, b"")
    })
}

/// Returns the handler of a plain endpoint.
pub fn sound_desk(record: &Record) -> Arc<Handler> {
    let record = record.clone();
    Arc::new(move |desk, request, socket| {
        let attempt = request.header("x-daisyyard-attempt-id").to_owned();
        let headers = marks(&attempt, desk);
        if request.header("x-daisyyard-expected-instance") != desk.name {
            return http::respond(socket, 421, &headers[..2], b"");
        }
        record.line(&format!("{} runs {attempt}", desk.name));
        thread::sleep(Duration::from_millis(60));
        http::respond(socket, 200, &headers, b"in stock")
    })
}

/// Sends a request for a stream and reads its answer.
pub fn draft(run: &Run, address: SocketAddr, attempt: &str, usage: &str) -> http::Answer {
    let credential = format!("Bearer {KEY}");
    let hint = usage.split_once(',').map_or("", |(_, output)| output);
    let headers = [
        ("host", HOST),
        ("x-daisyyard-attempt-id", attempt),
        ("x-daisyyard-model", "m"),
        ("x-daisyyard-token-usage", usage),
        ("x-daisyyard-length-hint", hint),
        ("x-daisyyard-deadline-ms", "39000"),
        ("authorization", credential.as_str()),
    ];
    let path = format!("/draft/{attempt}");
    let time = Duration::from_secs(30);
    let answer = http::call(address, "POST", &path, &headers, attempt.as_bytes(), time);
    run.record.line(&format!(
        "{attempt} sent to {address}: status {}, complete {}, {} bytes",
        answer.status,
        answer.complete,
        answer.body.len()
    ));
    answer
}

/// Sends a lookup and reads its answer.
pub fn look_up(run: &Run, address: SocketAddr, attempt: &str) -> http::Answer {
    let credential = format!("Bearer {KEY}");
    let headers = [
        ("host", HOST),
        ("x-daisyyard-attempt-id", attempt),
        ("x-daisyyard-deadline-ms", "1500"),
        ("authorization", credential.as_str()),
    ];
    let time = Duration::from_millis(1_500);
    let answer = http::call(address, "GET", "/stock/1", &headers, b"", time);
    run.record.line(&format!("{attempt} sent to {address}: status {}, complete {}", answer.status, answer.complete));
    answer
}
