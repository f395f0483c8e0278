//! Stand-ins for the cases of the second review: the platform's store, plain endpoints and clients,
//! and the cases that start gateways as separate processes. It uses the standard library only.

use std::collections::{BTreeMap, HashMap};
use std::fs;
use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Numbers of machines.
const STORE: u8 = 1;
const ENDPOINTS: u8 = 2;
const FIRST_GATEWAY: u64 = 10;

mod cut;
mod directory;
mod engine;
mod evacuation;
mod poison;
mod slow;

unsafe extern "C" {
    fn prctl(option: i32, value: u64) -> i32;
}

/// Lets the kernel kill a process that is to be started when this one ends, however it ends.
pub fn bind_to_this(command: &mut Command) -> &mut Command {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    // SAFETY: the call changes nothing but an attribute of the new process.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        })
    }
}

// ---- JSON ----

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, key: &str) -> &Json {
        if let Json::Table(fields) = self {
            if let Some((_, value)) = fields.iter().find(|(name, _)| name == key) {
                return value;
            }
        }
        &Json::Null
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(items) = self {
            items
        } else {
            &[]
        }
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self {
            text
        } else {
            ""
        }
    }

    pub fn number(&self) -> u64 {
        if let Json::Number(number) = self {
            *number as u64
        } else {
            0
        }
    }

    pub fn parse(text: &[u8]) -> Json {
        let mut parser = Parser { text, at: 0 };
        parser.value()
    }
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> u8 {
        while self.at < self.text.len() && self.text[self.at].is_ascii_whitespace() {
            self.at += 1;
        }
        self.text.get(self.at).copied().unwrap_or(0)
    }

    fn value(&mut self) -> Json {
        match self.peek() {
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                while self.peek() == b'"' {
                    let key = self.string();
                    if self.peek() == b':' {
                        self.at += 1;
                    }
                    fields.push((key, self.value()));
                    if self.peek() == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Json::Table(fields)
            }
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                while !matches!(self.peek(), b']' | 0) {
                    items.push(self.value());
                    if self.peek() == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Json::List(items)
            }
            b'"' => Json::Text(self.string()),
            _ => {
                let start = self.at;
                while self.at < self.text.len() && !matches!(self.text[self.at], b',' | b'}' | b']')
                {
                    self.at += 1;
                }
                if self.at == start {
                    self.at += 1;
                    return Json::Null;
                }
                let word = std::str::from_utf8(&self.text[start..self.at]).unwrap_or("");
                match word.trim() {
                    "true" => Json::Bool(true),
                    "false" => Json::Bool(false),
                    word => word.parse().map_or(Json::Null, Json::Number),
                }
            }
        }
    }

    fn string(&mut self) -> String {
        self.at += 1;
        let mut bytes = Vec::new();
        while let Some(byte) = self.text.get(self.at).copied() {
            self.at += 1;
            match byte {
                b'"' => break,
                b'\\' => {
                    let escaped = self.text.get(self.at).copied().unwrap_or(0);
                    self.at += 1;
                    bytes.push(match escaped {
                        b'n' => b'\n',
                        b't' => b'\t',
                        other => other,
                    });
                }
                byte => bytes.push(byte),
            }
        }
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

// ---- base64 ----

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = (u32::from(part[0]) << 16)
            | (u32::from(*part.get(1).unwrap_or(&0)) << 8)
            | u32::from(*part.get(2).unwrap_or(&0));
        for index in 0..4 {
            if index <= part.len() {
                text.push(char::from(
                    ALPHABET[(word >> (18 - 6 * index)) as usize & 63],
                ));
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---- HTTP ----

pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let word = self.start.split(' ').nth(1).unwrap_or("");
        word.parse().unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads one request or response whose body has a length or chunks.
pub fn read_message(socket: &mut TcpStream) -> std::io::Result<Message> {
    let broken = || std::io::Error::other("the connection ended early");
    let mut bytes = Vec::new();
    let mut part = [0; 4096];
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            break end;
        }
        let count = socket.read(&mut part)?;
        if count == 0 {
            return Err(broken());
        }
        bytes.extend_from_slice(&part[..count]);
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let start = lines.next().unwrap_or("").to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let mut message = Message {
        start,
        headers,
        body: Vec::new(),
    };
    let mut rest = bytes.split_off(end + 4);
    if message
        .header("transfer-encoding")
        .is_some_and(|it| it.contains("chunked"))
    {
        while !rest.ends_with(b"0\r\n\r\n") {
            let count = socket.read(&mut part)?;
            if count == 0 {
                return Err(broken());
            }
            rest.extend_from_slice(&part[..count]);
        }
        let mut at = 0;
        loop {
            let line = rest[at..]
                .windows(2)
                .position(|two| two == b"\r\n")
                .ok_or_else(broken)?;
            let size = String::from_utf8_lossy(&rest[at..at + line]).into_owned();
            let size = usize::from_str_radix(size.trim(), 16).map_err(|_| broken())?;
            if size == 0 {
                break;
            }
            at += line + 2;
            message
                .body
                .extend_from_slice(rest.get(at..at + size).ok_or_else(broken)?);
            at += size + 2;
        }
        return Ok(message);
    }
    let length = message
        .header("content-length")
        .and_then(|it| it.parse().ok())
        .unwrap_or(0);
    while rest.len() < length {
        let count = socket.read(&mut part)?;
        if count == 0 {
            return Err(broken());
        }
        rest.extend_from_slice(&part[..count]);
    }
    message.body = rest;
    Ok(message)
}

/// Sends a request on a new connection and reads the response.
pub fn call(address: SocketAddr, request: &str, timeout: Duration) -> std::io::Result<Message> {
    let mut socket = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    socket.set_nodelay(true)?;
    socket.set_read_timeout(Some(timeout))?;
    socket.write_all(request.as_bytes())?;
    read_message(&mut socket)
}

/// Returns the loopback address of a machine. Each run has its own, so that runs do not meet.
pub fn machine(number: u8) -> IpAddr {
    let run = std::process::id();
    let parts = [1 + run % 250, run / 250 % 250].map(|part| part as u8);
    IpAddr::from([127, parts[0], parts[1], number])
}

/// Listens at a free port of a machine.
fn listen(number: u8) -> TcpListener {
    TcpListener::bind((machine(number), 0)).expect("a free port")
}

// ---- record ----

/// What was sent, answered and run, in `record.txt`.
pub struct Record {
    started: Instant,
    file: Mutex<std::io::BufWriter<fs::File>>,
}

impl Record {
    pub fn new(path: &Path) -> Arc<Self> {
        let file = fs::File::create(path).expect("record.txt can be written");
        let file = Mutex::new(std::io::BufWriter::new(file));
        Arc::new(Self {
            started: Instant::now(),
            file,
        })
    }

    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let _ = writeln!(self.file.lock().unwrap(), "{:9.3} {text}", self.seconds());
    }

    /// Writes a line that is also shown.
    pub fn show(&self, text: &str) {
        println!("{:9.3} {text}", self.seconds());
        self.line(text);
        let _ = self.file.lock().unwrap().flush();
    }
}

// ---- store ----

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Default)]
struct State {
    revision: u64,
    next_lease: u64,
    items: BTreeMap<String, Item>,
    /// Changes in order: revision, key, and the item unless it was deleted.
    history: Vec<(u64, String, Option<Item>)>,
    /// Leases: when they end, and for how long they last.
    leases: BTreeMap<u64, (Instant, Duration)>,
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: u64) {
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value: value.to_owned(),
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history
            .push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (until, _))| *until <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

/// The platform's store.
pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    away: AtomicBool,
    /// Rises when all connections are cut.
    cuts: AtomicU64,
    era: AtomicU64,
    /// Number of reads of all keys.
    pub complete_reads: AtomicU64,
    /// Copies of the state, with the times at which they were made.
    copies: Mutex<Vec<(Instant, State)>>,
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        r#"{{"key":"{key}","value":"{}","revision":{},"created":{},"lease":{}}}"#,
        item.value, item.revision, item.created, item.lease
    )
}

fn parameter(target: &str, name: &str) -> Option<String> {
    let (_, query) = target.split_once('?')?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.into_iter().find(|(key, _)| *key == name)?.1;
    let mut bytes = Vec::new();
    let raw = value.as_bytes();
    let mut at = 0;
    while at < raw.len() {
        if raw[at] == b'%' && at + 2 < raw.len() {
            let hex = std::str::from_utf8(&raw[at + 1..at + 3]).ok()?;
            bytes.push(u8::from_str_radix(hex, 16).ok()?);
            at += 3;
        } else {
            bytes.push(raw[at]);
            at += 1;
        }
    }
    String::from_utf8(bytes).ok()
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = listen(STORE);
        let store = Arc::new(Self {
            address: listener.local_addr().expect("an address"),
            state: Mutex::new(State {
                revision: 100,
                next_lease: 1_000,
                ..State::default()
            }),
            changed: Condvar::new(),
            away: AtomicBool::new(false),
            cuts: AtomicU64::new(0),
            era: AtomicU64::new(1),
            complete_reads: AtomicU64::new(0),
            copies: Mutex::new(Vec::new()),
        });
        let server = Arc::clone(&store);
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let server = Arc::clone(&server);
                thread::spawn(move || {
                    let _ = server.serve(socket);
                });
            }
        });
        let keeper = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                if keeper.away.load(Ordering::SeqCst) {
                    continue;
                }
                let mut state = keeper.state.lock().unwrap();
                state.expire();
                let mut copies = keeper.copies.lock().unwrap();
                copies.push((Instant::now(), state.clone()));
                let excess = copies.len().saturating_sub(150);
                copies.drain(..excess);
                drop(state);
                keeper.changed.notify_all();
            }
        });
        store
    }

    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.put(key, &encode64(value.as_bytes()), 0);
        let revision = state.revision;
        drop(state);
        self.changed.notify_all();
        revision
    }

    pub fn remove(&self, key: &str) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.remove(key);
        let revision = state.revision;
        drop(state);
        self.changed.notify_all();
        revision
    }

    pub fn revision(&self) -> u64 {
        self.state.lock().unwrap().revision
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.lock().unwrap();
        let keys = state.items.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    pub fn is_away(&self) -> bool {
        self.away.load(Ordering::SeqCst)
    }

    /// Goes away for a moment and comes back from a copy of the given age. What the operator and the
    /// endpoints wrote since is written again by those who call this.
    pub fn drill(&self, away: Duration, age: Duration) -> (u64, u64) {
        self.away.store(true, Ordering::SeqCst);
        self.cuts.fetch_add(1, Ordering::SeqCst);
        self.changed.notify_all();
        let copy_time = Instant::now()
            .checked_sub(age)
            .expect("the copy is not that old");
        thread::sleep(away);
        let copies = self.copies.lock().unwrap();
        let copy = copies.iter().rev().find(|(at, _)| *at <= copy_time);
        let mut copy = copy.expect("a copy of that age").1.clone();
        drop(copies);
        // A lease runs as long as its keys would have.
        for (until, lasts) in copy.leases.values_mut() {
            *until = Instant::now() + *lasts;
        }
        let mut state = self.state.lock().unwrap();
        let before = state.revision;
        *state = copy;
        let after = state.revision;
        drop(state);
        self.era.fetch_add(1, Ordering::SeqCst);
        self.away.store(false, Ordering::SeqCst);
        (before, after)
    }

    fn serve(&self, mut socket: TcpStream) -> std::io::Result<()> {
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(Duration::from_secs(30)))?;
        let cuts = self.cuts.load(Ordering::SeqCst);
        loop {
            let request = read_message(&mut socket)?;
            if self.is_away() || self.cuts.load(Ordering::SeqCst) != cuts {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(2));
            let answer = self.answer(&request, cuts);
            let Some((status, body)) = answer else {
                return Ok(());
            };
            let era = self.era.load(Ordering::SeqCst);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n\
                 Content-Length: {}\r\n\r\n",
                body.len()
            );
            socket.write_all(head.as_bytes())?;
            socket.write_all(body.as_bytes())?;
        }
    }

    /// Answers a call; none if the connection is cut meanwhile.
    fn answer(&self, request: &Message, cuts: u64) -> Option<(u16, String)> {
        let target = request.target();
        let path = target.split('?').next().unwrap_or("");
        let mut state = self.state.lock().unwrap();
        state.expire();
        let none = String::from("{}");
        let answer = match path {
            "/-/kv-key" => {
                let key = parameter(target, "key").unwrap_or_default();
                match state.items.get(&key) {
                    Some(item) => (200, item_json(&key, item)),
                    None => (404, none),
                }
            }
            "/-/kv-range" => {
                let prefix = parameter(target, "path_prefix").unwrap_or_default();
                let after = parameter(target, "after").unwrap_or_default();
                if prefix.is_empty() && after.is_empty() && !target.contains("serializable=1") {
                    self.complete_reads.fetch_add(1, Ordering::SeqCst);
                }
                let found = state.items.iter();
                let found = found.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<String> = found.map(|(key, item)| item_json(key, item)).collect();
                let body = format!(
                    r#"{{"items":[{}],"more_pages":false,"at":{}}}"#,
                    items.join(","),
                    state.revision
                );
                (200, body)
            }
            "/-/kv-watch" => {
                let prefix = parameter(target, "path_prefix").unwrap_or_default();
                let after: u64 = parameter(target, "after")?.parse().ok()?;
                let wait: u64 = parameter(target, "wait_ms")?.parse().ok()?;
                if after > state.revision {
                    return Some((410, none));
                }
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    let found = state.history.iter();
                    let found =
                        found.filter(|(at, key, _)| *at > after && key.starts_with(&prefix));
                    let events: Vec<String> = found
                        .map(|(at, key, item)| match item {
                            Some(item) => item_json(key, item),
                            None => format!(r#"{{"key":"{key}","revision":{at},"deleted":true}}"#),
                        })
                        .collect();
                    let now = Instant::now();
                    if !events.is_empty() || now >= until {
                        let body = format!(
                            r#"{{"events":[{}],"at":{}}}"#,
                            events.join(","),
                            state.revision
                        );
                        break (200, body);
                    }
                    state = self.changed.wait_timeout(state, until - now).unwrap().0;
                    if self.cuts.load(Ordering::SeqCst) != cuts {
                        return None;
                    }
                }
            }
            "/-/kv-txn" => {
                let body = Json::parse(&request.body);
                let failed = body.get("precondition").list().iter().any(|row| {
                    let known = state.items.get(row.get("key").text());
                    known.map_or(0, |item| item.revision) != row.get("revision").number()
                });
                let puts = body.get("puts").list();
                let unknown = puts.iter().any(|put| {
                    let lease = put.get("lease").number();
                    lease != 0 && !state.leases.contains_key(&lease)
                });
                if failed {
                    (412, String::from(r#"{"items":[]}"#))
                } else if unknown {
                    (404, none)
                } else {
                    for put in puts {
                        let lease = put.get("lease").number();
                        state.put(put.get("key").text(), put.get("value").text(), lease);
                    }
                    for key in body.get("remove").list() {
                        state.remove(key.text());
                    }
                    (200, format!(r#"{{"revision":{}}}"#, state.revision))
                }
            }
            "/-/kv-lease" => {
                let lasts = Json::parse(&request.body).get("ttl_ms").number().max(1_000);
                state.next_lease += 1;
                let id = state.next_lease;
                let lasting = Duration::from_millis(lasts);
                state.leases.insert(id, (Instant::now() + lasting, lasting));
                (200, format!(r#"{{"lease":{id},"ttl_ms":{lasts}}}"#))
            }
            path => {
                let (verb, id) = path.rsplit_once('/').unwrap_or(("", ""));
                let id = id.parse().unwrap_or(0);
                match (verb, state.leases.get_mut(&id)) {
                    (_, None) => (404, none),
                    ("/-/kv-keep", Some((until, lasts))) => {
                        *until = Instant::now() + *lasts;
                        (200, format!(r#"{{"ttl_ms":{}}}"#, lasts.as_millis()))
                    }
                    _ => {
                        state.end_lease(id);
                        (200, none)
                    }
                }
            }
        };
        drop(state);
        self.changed.notify_all();
        Some(answer)
    }
}

// ---- endpoints ----

/// Size of large answers.
pub const LARGE_BYTES: usize = 400_000;

/// An endpoint of a plain service.
pub struct Endpoint {
    pub id: String,
    pub zone: String,
    pub address: SocketAddr,
    service: String,
    born: u64,
    sequence: AtomicU64,
    /// Whether the endpoint has lost power: it writes and answers nothing, and its connections end.
    pub dead: AtomicBool,
    /// Attempts that were run, with the times at which they arrived.
    pub runs: Mutex<Vec<(f64, String)>>,
}

impl Endpoint {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        work: Duration,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let listener = listen(ENDPOINTS);
        let now = std::time::SystemTime::now();
        let born = now
            .duration_since(std::time::UNIX_EPOCH)
            .expect("a time after 1970");
        let endpoint = Arc::new(Self {
            id: id.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("an address"),
            service: service.to_owned(),
            born: born.as_millis() as u64,
            sequence: AtomicU64::new(0),
            dead: AtomicBool::new(false),
            runs: Mutex::new(Vec::new()),
        });
        let server = Arc::clone(&endpoint);
        let record = Arc::clone(record);
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                if server.dead.load(Ordering::SeqCst) {
                    continue;
                }
                let (server, record) = (Arc::clone(&server), Arc::clone(&record));
                thread::spawn(move || {
                    let _ = server.serve(socket, work, &record);
                });
            }
        });
        endpoint
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Returns the entry that the endpoint writes into the store.
    pub fn entry(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"sequence":{sequence},"born":{}}}"#,
            self.service, self.address, self.zone, self.born
        )
    }

    fn serve(&self, mut socket: TcpStream, work: Duration, record: &Record) -> std::io::Result<()> {
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(Duration::from_secs(10)))?;
        loop {
            let request = read_message(&mut socket)?;
            if self.dead.load(Ordering::SeqCst) {
                return Ok(());
            }
            let attempt = request
                .header("x-daisyyard-attempt-id")
                .unwrap_or("-")
                .to_owned();
            let expected = request.header("x-daisyyard-expected-instance");
            if expected.is_some_and(|id| id != self.id) {
                let head = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Daisyyard-Instance-Id: {}\r\n\
                     X-Daisyyard-Attempt-Id: {attempt}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                socket.write_all(head.as_bytes())?;
                continue;
            }
            self.runs
                .lock()
                .unwrap()
                .push((record.seconds(), attempt.clone()));
            record.line(&format!(
                "run attempt={attempt} endpoint={} zone={}",
                self.id, self.zone
            ));
            thread::sleep(work);
            if self.dead.load(Ordering::SeqCst) {
                return Ok(());
            }
            let rest = if request.target().ends_with("large") {
                LARGE_BYTES
            } else {
                0
            };
            let body = format!(
                "{{\"ran\":\"{attempt}\",\"at\":\"{}\"}}{}",
                self.id,
                "z".repeat(rest)
            );
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Daisyyard-Attempt-Id: {attempt}\r\n\
                 X-Daisyyard-Server-Signature: {}.{attempt}\r\n\
                 X-Daisyyard-Instance-Load: 1,0,6\r\nContent-Length: {}\r\n\r\n{body}",
                self.id,
                body.len()
            );
            socket.write_all(head.as_bytes())?;
        }
    }
}

/// Writes the entries of endpoints again and again as a sign of life, at the platform's heartbeat.
pub fn keep_entries(store: &Arc<Store>, endpoints: &[Arc<Endpoint>], heartbeat: Duration) {
    for (index, endpoint) in endpoints.iter().enumerate() {
        let (store, endpoint) = (Arc::clone(store), Arc::clone(endpoint));
        let phase = heartbeat.mul_f64(index as f64 / endpoints.len() as f64);
        store.put(&endpoint.key(), &endpoint.entry());
        thread::spawn(move || {
            thread::sleep(phase);
            while !endpoint.dead.load(Ordering::SeqCst) {
                if !store.is_away() {
                    store.put(&endpoint.key(), &endpoint.entry());
                }
                thread::sleep(heartbeat);
            }
            // The entry of one that is silent is removed after three heartbeats.
            thread::sleep(heartbeat * 3);
            store.remove(&endpoint.key());
        });
    }
}

// ---- gateways ----

/// A gateway in a process of its own.
pub struct Gateway {
    pub name: String,
    pub zone: String,
    pub requests: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

/// Bounds that differ between deployments.
pub struct Bounds {
    pub contact_ms: u64,
    pub config_ms: u64,
    pub evacuation_ms: Option<u64>,
}

impl Gateway {
    /// Writes the settings of a gateway, as `deploy/gateway.jsonc` has them.
    pub fn new(
        folder: &Path,
        name: &str,
        zone: &str,
        zones: &[&str],
        store: &Store,
        bounds: &Bounds,
    ) -> Self {
        static NUMBER: AtomicU64 = AtomicU64::new(FIRST_GATEWAY);
        let address = machine(NUMBER.fetch_add(1, Ordering::SeqCst) as u8);
        let ports = [8740, 8749, 8746, 7200, 7215];
        let [requests, ready, directory, digests, metrics] =
            ports.map(|port| SocketAddr::new(address, port));
        let region = "region-1";
        let all: Vec<String> = zones
            .iter()
            .map(|zone| format!(r#"{{ "zone": "{zone}", "region": "{region}" }}"#))
            .collect();
        let evacuation = bounds
            .evacuation_ms
            .map_or(String::new(), |ms| format!(r#", "evacuation_ms": {ms}"#));
        let text = format!(
            r#"{{
  "name": "{name}",
  "zone": "{zone}",
  "region": "{region}",
  "zones": [{}],
  "store": "{}",
  "listen": {{
    "requests": "{requests}",
    "ready": "{ready}",
    "directory": "{directory}",
    "digests": "{digests}",
    "metrics": "{metrics}"
  }},
  "bounds": {{
    "contact_ms": {},
    "config_ms": {},
    "grace_s": 8,
    "directory_s": 5{evacuation}
  }},
  "repeats": {{ "ratio": 0.2, "slack": 52, "window_s": 10 }},
  "limits": {{ "memory_mb": 110, "file_descriptors": 4100 }}
}}
"#,
            all.join(", "),
            store.address,
            bounds.contact_ms,
            bounds.config_ms
        );
        let settings = folder.join(format!("{name}.jsonc"));
        fs::write(&settings, text).expect("settings can be written");
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            requests,
            ready,
            directory,
            settings,
            child: None,
        }
    }

    /// Starts the process with the command of `deploy/system.toml`.
    pub fn start(&mut self) {
        let log = self.settings.with_extension("log");
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)
            .expect("a log");
        let mut command = Command::new("target/release/daisyyard");
        command.args(["gateway", "--config"]).arg(&self.settings);
        command.stdin(Stdio::null());
        command.stdout(log.try_clone().expect("a log")).stderr(log);
        let child = bind_to_this(&mut command).spawn();
        self.child = Some(child.expect("target/release/daisyyard can be started"));
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /-/readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        let answer = call(self.ready, request, Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Asks for the addresses that a client in a zone should use.
    pub fn resolve(&self, zone: &str) -> Option<Vec<SocketAddr>> {
        let request = format!(
            "GET /-/resolution?name=review.example&region=region-1&zone={zone} HTTP/1.1\r\n\
             Host: a\r\nConnection: close\r\n\r\n"
        );
        let answer = call(self.directory, &request, Duration::from_secs(1)).ok()?;
        if answer.status() != 200 {
            return None;
        }
        let body = Json::parse(&answer.body);
        let addresses = body.get("addresses").list().iter();
        Some(
            addresses
                .filter_map(|address| address.text().parse().ok())
                .collect(),
        )
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all gateways are ready; fails after 20 seconds.
pub fn await_ready(gateways: &[Gateway]) -> bool {
    let until = Instant::now() + Duration::from_secs(20);
    while Instant::now() < until {
        if gateways.iter().all(Gateway::is_ready) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

/// A configuration with a route for calls that may run once.
pub fn configuration(version: u64, timeout_ms: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-post","host":"review.example","path_prefix":"/post/","kind":"non_idempotent","timeout_ms":{timeout_ms},"target_latency_ms":150,"priority":2,"service":"ledger","max_attempts":1,"public":false,"sticky":false,"resumable":false}}],"services":[{{"name":"ledger","health_path":"/healthz","max_connections":96,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"t1","api_keys":["key-of-t1"],"priority":1}}]}}"#
    )
}

/// Sends one call that may run once; returns the status, or 0 without a complete answer.
pub fn post(address: SocketAddr, attempt: &str) -> u16 {
    let body = format!("pay {attempt}");
    let request = format!(
        "POST /post/1 HTTP/1.1\r\nHost: review.example\r\nX-Daisyyard-Attempt-Id: {attempt}\r\n\
         X-Daisyyard-Deadline-Ms: 1500\r\nAuthorization: Bearer key-of-t1\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    call(address, &request, Duration::from_millis(2_000)).map_or(0, |answer| answer.status())
}

/// Returns the request for one stream.
fn stream_request(attempt: &str, body: &str) -> String {
    // The last part of a prompt belongs to the request alone.
    let own = body.bytes().fold(0x811c_9dc5_u32, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
    });
    format!(
        "POST /draft/1 HTTP/1.1\r\nHost: review.example\r\nX-Daisyyard-Attempt-Id: {attempt}\r\n\
         X-Daisyyard-Deadline-Ms: 39000\r\nX-Daisyyard-Model: m\r\n\
         X-Daisyyard-Token-Usage: 3079,900\r\n\
         X-Daisyyard-Prompt-Prefix: 5c1e07a2:79,{own:08x}:3000\r\n\
         Authorization: Bearer key-of-t1\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Asks for one stream; returns the status, or 0 if the stream is broken off.
pub fn stream(address: SocketAddr, attempt: &str, body: &str) -> u16 {
    let request = stream_request(attempt, body);
    call(address, &request, Duration::from_secs(5)).map_or(0, |answer| answer.status())
}

/// Asks for one stream; returns the number of its events, and whether it is complete to all appearances.
pub fn events_of(address: SocketAddr, attempt: &str, body: &str) -> (usize, bool) {
    let request = stream_request(attempt, body);
    match call(address, &request, Duration::from_secs(5)) {
        Ok(answer) if answer.status() == 200 => {
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            (
                text.matches("\n\n").count(),
                answer.header("x-daisyyard-server-signature").is_some(),
            )
        }
        _ => (0, false),
    }
}

/// Counts of statuses.
pub fn tally(statuses: &[u16]) -> String {
    let mut counts: HashMap<u16, usize> = HashMap::new();
    for status in statuses {
        *counts.entry(*status).or_default() += 1;
    }
    let mut counts: Vec<_> = counts.into_iter().collect();
    counts.sort_unstable();
    let words: Vec<String> = counts
        .iter()
        .map(|(status, count)| format!("{status}: {count}"))
        .collect();
    words.join(", ")
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if let [_, word, id, address] = arguments.as_slice()
        && word == "engine"
    {
        cut::serve(id, address);
    }
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-standin-2 CASE FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let scratch = std::env::temp_dir().join(format!("review-{}-{}", case, std::process::id()));
    fs::create_dir_all(&scratch).expect("a scratch folder");
    let record = Record::new(&Path::new(folder).join("record.txt"));
    record.show(&format!("case {case}, trouble: {trouble}"));
    // The result: whether the rule held; none if the case could not run.
    let held = match case.as_str() {
        "evacuation" => evacuation::run(&scratch, &record, trouble),
        "cut" => cut::run(&scratch, &record, trouble),
        "poison" => poison::run(&scratch, &record, trouble),
        "slow" => slow::run(&scratch, &record, trouble),
        "directory" => directory::run(&scratch, &record, trouble),
        _ => None,
    };
    if std::env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&scratch);
    } else {
        println!("{}", scratch.display());
    }
    let (code, word) = match held {
        Some(true) => (0, "held"),
        Some(false) => (1, "broken"),
        None => (2, "not run"),
    };
    record.show(&format!("result: {word}"));
    std::process::exit(code);
}
