//! The platform's store: keys, leases, range reads and watches.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::Json;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes in order; no value after a deletion.
    changes: Vec<(u64, String, Option<String>)>,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let item = Item {
            value: value.clone(),
            revision: self.revision,
            lease,
        };
        self.items.insert(key.to_owned(), item);
        let change = (self.revision, key.to_owned(), Some(value));
        self.changes.push(change);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.changes.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        let store = Self {
            state: Arc::new((Mutex::new(State::default()), Condvar::new())),
            address,
        };
        store.state.0.lock().unwrap().revision = 100;
        let server = store.clone();
        http::serve(listener, move |request, socket| {
            server.answer(&request, socket);
        });
        let expiry = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(100));
                let mut state = expiry.state.0.lock().unwrap();
                let now = Instant::now();
                let ended = state.leases.iter().filter(|(_, (_, until))| *until < now);
                let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
                for lease in ended {
                    state.end_lease(lease);
                }
                expiry.state.1.notify_all();
            }
        });
        store
    }

    /// Writes a key, as the operator and the servers do.
    pub fn put(&self, key: &str, value: &str) {
        let value = base64(value.as_bytes());
        self.state.0.lock().unwrap().put(key, value, 0);
        self.state.1.notify_all();
    }

    fn answer(&self, request: &Message, mut socket: TcpStream) {
        std::thread::sleep(Duration::from_millis(4));
        let path = request.path().to_owned();
        let prefix = request.query("path_prefix").unwrap_or_default();
        let json = |text: String| {
            let kind = [("Content-Type", "application/json")];
            http::response("200 OK", &kind, text.as_bytes())
        };
        let missing = || http::response("404 Not Found", &[], b"{}");
        let answer = match (request.method(), path.as_str()) {
            ("GET", "/-/kv-range") => {
                let after = request.query("after").unwrap_or_default();
                let state = self.state.0.lock().unwrap();
                let items = state.items.iter();
                let items =
                    items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<String> = items.map(|(key, item)| item_json(key, item)).collect();
                json(format!(
                    "{{\"items\":[{}],\"more_pages\":false,\"at\":{}}}",
                    items.join(","),
                    state.revision
                ))
            }
            ("GET", "/-/kv-watch") => {
                let after = request.query("after").and_then(|after| after.parse().ok());
                let wait = request.query("wait_ms").and_then(|wait| wait.parse().ok());
                json(self.watch(&prefix, after.unwrap_or(0), wait.unwrap_or(0)))
            }
            ("POST", "/-/kv-lease") => {
                let body = Json::parse(&request.body).unwrap_or(Json::Null);
                let ttl = body.get("ttl_ms").map_or(1_000.0, Json::number) as u64;
                let time = Duration::from_millis(ttl);
                let mut state = self.state.0.lock().unwrap();
                state.next_lease += 1;
                let lease = state.next_lease;
                state.leases.insert(lease, (time, Instant::now() + time));
                json(format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/-/kv-keep/") => {
                let lease = path.rsplit('/').next().and_then(|id| id.parse().ok());
                let mut state = self.state.0.lock().unwrap();
                match state.leases.get_mut(&lease.unwrap_or(0)) {
                    Some((time, until)) => {
                        *until = Instant::now() + *time;
                        json(format!("{{\"ttl_ms\":{}}}", time.as_millis()))
                    }
                    None => missing(),
                }
            }
            ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => {
                let lease = path.rsplit('/').next().and_then(|id| id.parse().ok());
                self.state.0.lock().unwrap().end_lease(lease.unwrap_or(0));
                json("{}".to_owned())
            }
            ("POST", "/-/kv-txn") => self.change(&request.body).map_or_else(missing, json),
            _ => missing(),
        };
        self.state.1.notify_all();
        let _ = http::write_message(&mut socket, &answer);
    }

    /// Makes an unconditional change; the gateways of this project make no others.
    fn change(&self, body: &[u8]) -> Option<String> {
        let body = Json::parse(body)?;
        let mut state = self.state.0.lock().unwrap();
        for entry in body.get("puts").map_or(&[][..], Json::list) {
            let lease = entry.get("lease").map_or(0, |lease| lease.number() as u64);
            if lease != 0 && !state.leases.contains_key(&lease) {
                return None;
            }
            let value = entry.get("value")?.text().to_owned();
            state.put(entry.get("key")?.text(), value, lease);
        }
        for key in body.get("remove").map_or(&[][..], Json::list) {
            state.remove(key.text());
        }
        Some(format!("{{\"revision\":{}}}", state.revision))
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> String {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.0.lock().unwrap();
        loop {
            let news = state.changes.iter();
            let news = news.filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
            let events: Vec<String> = news
                .map(|(revision, key, value)| match value {
                    Some(value) => format!(
                        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":1,\"lease\":0}}"
                    ),
                    None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = state.revision;
                return format!("{{\"events\":[{}],\"at\":{at}}}", events.join(","));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":1,\"lease\":{}}}",
        item.value, item.revision, item.lease
    )
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut number = 0u32;
        for index in 0..3 {
            number = number << 8 | u32::from(*group.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            if index <= group.len() {
                text.push(LETTERS[(number >> (18 - 6 * index) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
