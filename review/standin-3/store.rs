//! The platform's store: keys, leases, watches, and a restore from an older copy.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request};
use crate::json::{Json, base64};

/// Most items of one page.
const PAGE: usize = 500;
/// Time for which changes are kept.
const HISTORY: Duration = Duration::from_secs(20);

#[derive(Clone)]
struct Item {
    value: String,
    /// The value before it was encoded, if it was written here.
    text: Option<String>,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Change {
    at: Instant,
    revision: u64,
    key: String,
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    revision: u64,
    era: u64,
    items: BTreeMap<String, Item>,
    history: VecDeque<Change>,
    /// Revision up to which changes are forgotten.
    forgotten: u64,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
    away: bool,
    /// Copies of the last seconds, for reads that may be old.
    recent: VecDeque<(Instant, u64, BTreeMap<String, Item>)>,
    /// Age of the data that such reads get.
    old: Duration,
    /// Copy from which the store may come back: revision, keys and leases.
    copy: Option<(u64, BTreeMap<String, Item>, Vec<u64>)>,
}

/// How one machine reaches the store, and which addresses it is told.
pub struct View {
    pub address: SocketAddr,
    /// Whether the machine is partitioned from the store: calls get no answer.
    cut: AtomicBool,
    /// Addresses of endpoints, and of the links to them that stand in their place.
    links: Vec<(SocketAddr, SocketAddr)>,
}

impl View {
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }

    fn is_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst)
    }
}

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let address = listener.local_addr().expect("an address");
        let state = State {
            revision: 100,
            era: 1,
            next_lease: 77_000,
            forgotten: 100,
            ..State::default()
        };
        let store = Self {
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            address,
        };
        let server = store.clone();
        http::serve(listener, move |socket| server.handle(socket, None));
        let expiry = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                expiry.expire();
            }
        });
        store
    }

    /// Opens a way to the store for one machine.
    pub fn view(&self, links: Vec<(SocketAddr, SocketAddr)>) -> Arc<View> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let view = Arc::new(View {
            address: listener.local_addr().expect("an address"),
            cut: AtomicBool::new(false),
            links,
        });
        let (server, served) = (self.clone(), Arc::clone(&view));
        http::serve(listener, move |socket| server.handle(socket, Some(&served)));
        view
    }

    /// Writes a key as the operator or an engine does; returns when the store has acknowledged it, or
    /// nothing while it is away.
    pub fn put(&self, key: &str, value: &str) -> Option<Instant> {
        let mut state = self.shared.0.lock().unwrap();
        if state.away {
            return None;
        }
        state.write(key, Some((base64(value.as_bytes()), 0)));
        state.keep_text(key, value);
        self.shared.1.notify_all();
        Some(Instant::now())
    }

    /// Removes a key; returns when the store has acknowledged it.
    pub fn remove(&self, key: &str) -> Option<Instant> {
        let mut state = self.shared.0.lock().unwrap();
        if state.away {
            return None;
        }
        state.write(key, None);
        self.shared.1.notify_all();
        Some(Instant::now())
    }

    /// Makes reads that may be old get data of this age.
    pub fn set_old(&self, age: Duration) {
        self.shared.0.lock().unwrap().old = age;
    }

    /// Returns the number of keys with a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        let state = self.shared.0.lock().unwrap();
        state.items.keys().filter(|key| key.starts_with(prefix)).count()
    }

    /// Takes a copy.
    pub fn take_copy(&self) {
        let mut state = self.shared.0.lock().unwrap();
        let leases = state.leases.keys().copied().collect();
        state.copy = Some((state.revision, state.items.clone(), leases));
    }

    /// Goes away: all calls are answered 503, and watches are cut.
    pub fn go_away(&self) {
        self.shared.0.lock().unwrap().away = true;
        self.shared.1.notify_all();
    }

    /// Comes back with all that it had.
    pub fn return_unchanged(&self) {
        self.shared.0.lock().unwrap().away = false;
        self.shared.1.notify_all();
    }

    /// Comes back from the copy, in the next era. What was written since is gone, leases too.
    pub fn come_back(&self) {
        let mut state = self.shared.0.lock().unwrap();
        let (revision, items, leases) = state.copy.clone().expect("a copy");
        state.revision = revision;
        state.forgotten = revision;
        state.items = items;
        state.history.clear();
        let now = Instant::now();
        state.leases.retain(|lease, _| leases.contains(lease));
        for (_, renewed) in state.leases.values_mut() {
            *renewed = now;
        }
        state.era += 1;
        state.away = false;
        self.shared.1.notify_all();
    }

    fn expire(&self) {
        let mut state = self.shared.0.lock().unwrap();
        if state.away {
            return;
        }
        let now = Instant::now();
        let ended = state.leases.iter().filter(|(_, (ttl, renewed))| now > *renewed + *ttl);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            state.end_lease(lease);
        }
        if !state.old.is_zero() {
            let copy = (now, state.revision, state.items.clone());
            state.recent.push_back(copy);
            if state.recent.len() > 60 {
                state.recent.pop_front();
            }
        }
        while state.history.front().is_some_and(|change| now > change.at + HISTORY) {
            state.forgotten = state.history.pop_front().map_or(0, |change| change.revision);
        }
        self.shared.1.notify_all();
    }

    fn handle(&self, mut socket: TcpStream, view: Option<&Arc<View>>) {
        let Ok(clone) = socket.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            let links = view.map_or(&[][..], |view| &view.links);
            let (status, body) = self.answer(&request, links);
            if view.is_some_and(|view| view.is_cut()) {
                while view.is_some_and(|view| view.is_cut()) {
                    thread::sleep(Duration::from_millis(10));
                }
                return;
            }
            let era = self.shared.0.lock().unwrap().era.to_string();
            let headers = [("content-type", "application/json"), ("store-era", era.as_str())];
            if http::respond(&mut socket, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request, links: &[(SocketAddr, SocketAddr)]) -> (u16, String) {
        let path = request.path.split('?').next().unwrap_or("");
        if path == "/-/kv-watch" {
            return self.watch(request, links);
        }
        let mut state = self.shared.0.lock().unwrap();
        if state.away {
            return (503, "{}".to_owned());
        }
        let body = Json::parse(&String::from_utf8_lossy(&request.body));
        let number = |prefix: &str| path.strip_prefix(prefix).and_then(|id| id.parse::<u64>().ok());
        match (request.method.as_str(), path) {
            ("GET", "/-/kv-range") => {
                let (prefix, after) = (request.parameter("path_prefix"), request.parameter("after"));
                let may_be_old = request.parameter("serializable") == "1" && !state.old.is_zero();
                let until = Instant::now() - state.old;
                let old = state.recent.iter().rev().find(|(at, ..)| *at <= until);
                let (at, source) = match old.filter(|_| may_be_old) {
                    Some((_, at, items)) => (*at, items),
                    None => (state.revision, &state.items),
                };
                let mut keys = source.iter().filter(|(key, _)| {
                    key.starts_with(&prefix) && (after.is_empty() || **key > after)
                });
                let items: Vec<String> =
                    keys.by_ref().take(PAGE).map(|(key, item)| item.show(key, links)).collect();
                let more = keys.next().is_some();
                let text = format!(
                    "{{\"items\":[{}],\"more_pages\":{more},\"at\":{}}}",
                    items.join(","),
                    at
                );
                (200, text)
            }
            ("POST", "/-/kv-lease") => {
                let ttl = body.get("ttl_ms").number();
                state.next_lease += 1;
                let lease = state.next_lease;
                state.leases.insert(lease, (Duration::from_millis(ttl), Instant::now()));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", "/-/kv-txn") => {
                for put in body.get("puts").list() {
                    let lease = put.get("lease").number();
                    if lease != 0 && !state.leases.contains_key(&lease) {
                        return (404, "{}".to_owned());
                    }
                }
                for put in body.get("puts").list() {
                    let value = put.get("value").text().to_owned();
                    state.write(put.get("key").text(), Some((value, put.get("lease").number())));
                }
                for key in body.get("remove").list() {
                    state.write(key.text(), None);
                }
                self.shared.1.notify_all();
                (200, format!("{{\"revision\":{}}}", state.revision))
            }
            ("POST", _) => match number("/-/kv-keep/") {
                Some(lease) if state.leases.contains_key(&lease) => {
                    let (ttl, renewed) = state.leases.get_mut(&lease).expect("checked");
                    *renewed = Instant::now();
                    (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
                }
                _ => (404, "{}".to_owned()),
            },
            ("DELETE", _) => match number("/-/kv-lease-end/") {
                Some(lease) if state.leases.contains_key(&lease) => {
                    state.end_lease(lease);
                    self.shared.1.notify_all();
                    (200, "{}".to_owned())
                }
                _ => (404, "{}".to_owned()),
            },
            _ => (404, "{}".to_owned()),
        }
    }

    /// Answers a watch once there are changes, or at the end of its wait.
    fn watch(&self, request: &Request, links: &[(SocketAddr, SocketAddr)]) -> (u16, String) {
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait: u64 = request.parameter("wait_ms").parse().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait);
        let mut state = self.shared.0.lock().unwrap();
        loop {
            if state.away {
                return (503, "{}".to_owned());
            }
            if after > state.revision || after < state.forgotten {
                return (410, "{}".to_owned());
            }
            let events = state.history.iter().filter(|change| change.revision > after);
            let events: Vec<String> = events.map(|change| change.show(links)).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = state.revision;
                return (200, format!("{{\"events\":[{}],\"at\":{at}}}", events.join(",")));
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    fn write(&mut self, key: &str, value: Option<(String, u64)>) {
        if value.is_none() && !self.items.contains_key(key) {
            return;
        }
        self.revision += 1;
        let revision = self.revision;
        let item = value.map(|(value, lease)| Item {
            value,
            text: None,
            revision,
            created: self.items.get(key).map_or(revision, |known| known.created),
            lease,
        });
        match &item {
            Some(item) => self.items.insert(key.to_owned(), item.clone()),
            None => self.items.remove(key),
        };
        self.history.push_back(Change {
            at: Instant::now(),
            revision,
            key: key.to_owned(),
            item,
        });
    }

    /// Keeps the text of a value that was just written.
    fn keep_text(&mut self, key: &str, text: &str) {
        if let Some(item) = self.items.get_mut(key) {
            item.text = Some(text.to_owned());
        }
        if let Some(item) = self.history.back_mut().and_then(|change| change.item.as_mut()) {
            item.text = Some(text.to_owned());
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.write(&key, None);
        }
    }
}

impl Item {
    fn show(&self, key: &str, links: &[(SocketAddr, SocketAddr)]) -> String {
        let mut value = self.value.clone();
        if let Some(text) = &self.text {
            for (address, link) in links {
                let (address, link) = (format!("\"{address}\""), format!("\"{link}\""));
                if text.contains(&address) {
                    value = base64(text.replace(&address, &link).as_bytes());
                }
            }
        }
        format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
            value, self.revision, self.created, self.lease
        )
    }
}

impl Change {
    fn show(&self, links: &[(SocketAddr, SocketAddr)]) -> String {
        match &self.item {
            Some(item) => item.show(&self.key, links),
            None => {
                format!("{{\"key\":\"{}\",\"revision\":{},\"deleted\":true}}", self.key, self.revision)
            }
        }
    }
}
