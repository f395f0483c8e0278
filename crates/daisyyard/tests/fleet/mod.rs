//! A small fleet on loopback, and callers that read streams event by event.

#![allow(dead_code, reason = "each test file uses a part of the fleet")]

use std::net::SocketAddr;
use std::time::Duration;

use daisyyard::node::Node;
use daisyyard::settings::{Credential, Settings, Timing};
use daisyyard_standin::engine::{Engine, Options};
use daisyyard_standin::fault::Fault;
use daisyyard_standin::instance_list::{Entry, List};
use daisyyard_standin::plain::Service;
use daisyyard_standin::store::Store;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Response, StatusCode};
use serde_json::{Value, json};

/// Timeout for any condition that a test waits for.
pub const TIMEOUT: Duration = Duration::from_secs(20);
/// Path of the requests for generations.
pub const COMPLETIONS: &str = "/v1/chat/completions";
/// Model service of the engines.
pub const MODEL: &str = "asistente";
/// Plain service of the fleet.
pub const PLAIN: &str = "libro-socios";

/// Nodes, engines and stand-ins for the platform.
#[derive(Debug)]
pub struct Fleet {
    /// Running nodes.
    pub nodes: Vec<Node>,
    /// Stand-in engines.
    pub engines: Vec<Engine>,
    /// Endpoints of the plain service.
    pub services: Vec<Service>,
    /// Stand-in for the instance list.
    pub list: List,
    /// Stand-in for the configuration service.
    pub store: Store,
}

/// Returns short time limits, which keep the tests fast.
pub fn timing() -> Timing {
    Timing {
        stall_timeout: Duration::from_millis(200),
        reconnect_grace: Duration::from_millis(300),
        slow_caller_timeout: Duration::from_secs(1),
        addresses_ttl: Duration::from_millis(400),
    }
}

/// Returns an entry of the instance list for a live instance.
pub fn entry(name: &str, role: &str, service: &str, address: SocketAddr) -> Entry {
    Entry {
        name: name.to_owned(),
        role: role.to_owned(),
        service: service.to_owned(),
        zone: "costa-a".to_owned(),
        region: "costa".to_owned(),
        address,
        peer: address,
        state: "live".to_owned(),
    }
}

/// Returns the settings of a node that knows two accounts.
pub fn settings(
    name: &str,
    instance_list: SocketAddr,
    store: SocketAddr,
    timing: Timing,
) -> Settings {
    let credential = |number: u32| Credential {
        name: format!("member-{number}"),
        token: format!("token-member-000{number}"),
    };
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    Settings {
        name: name.to_owned(),
        zone: "costa-a".to_owned(),
        region: "costa".to_owned(),
        listen: free,
        peer: free,
        instance_list,
        store,
        key: "shared".to_owned(),
        accounts: vec![credential(1), credential(2)],
        timing,
        services: [MODEL, PLAIN].map(str::to_owned).to_vec(),
        operators: Vec::new(),
        log: Settings::DEFAULT_LOG,
    }
}

impl Fleet {
    /// Starts engines, two plain endpoints and nodes.
    pub async fn start(engines: usize, nodes: usize, timing: Timing) -> Self {
        Self::start_with_options(Options::default(), engines, nodes, timing).await
    }

    /// Starts a fleet whose engines use the given options.
    pub async fn start_with_options(
        options: Options,
        engines: usize,
        nodes: usize,
        timing: Timing,
    ) -> Self {
        let mut fleet = Self {
            nodes: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            list: List::start(Vec::new()).await.expect("a port is free"),
            store: Store::start().await.expect("a port is free"),
        };
        let mut entries = Vec::new();
        for index in 0..engines {
            let engine = Engine::start(options.clone()).await;
            let engine = engine.expect("a port is free");
            let name = format!("engine-{index}");
            entries.push(entry(&name, "engine", MODEL, engine.address));
            fleet.engines.push(engine);
        }
        for index in 0..2 {
            let service = Service::start().await.expect("a port is free");
            let name = format!("plain-{index}");
            entries.push(entry(&name, "plain", PLAIN, service.address));
            fleet.services.push(service);
        }
        fleet.list.set_entries(entries);
        for index in 0..nodes {
            let (list, store) = (fleet.list.address, fleet.store.address);
            let settings = settings(&format!("node-{index}"), list, store, timing);
            let node = Node::start(settings).await.expect("the node starts");
            fleet.nodes.push(node);
        }
        fleet
    }

    /// Injects a fault into every engine.
    pub fn fault(&self, fault: &Fault) {
        for engine in &self.engines {
            engine.inject(fault.clone());
        }
    }

    /// Waits until an engine runs a generation and returns that engine.
    pub async fn busy_engine(&self) -> &Engine {
        for _ in 0..1000 {
            for engine in &self.engines {
                let load = engine.load().await.unwrap_or_default();
                if load["running"].as_u64() > Some(0) {
                    return engine;
                }
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        panic!("no engine runs anything");
    }

    /// Returns the number of streams that the engines hold in total.
    pub async fn open_streams(&self) -> u64 {
        let mut streams = 0;
        for engine in &self.engines {
            let load = engine.load().await.unwrap_or_default();
            streams += load["streams"].as_u64().unwrap_or(0);
        }
        streams
    }

    /// Requests a stream from a node.
    pub async fn stream(&self, node: usize, prompt: &str) -> Caller {
        Caller::post(self.nodes[node].address, &body(prompt, true)).await
    }

    /// Requests an answer that is not streamed from a node.
    pub async fn request(&self, node: usize, prompt: &str) -> (StatusCode, Value) {
        request(self.nodes[node].address, prompt).await
    }
}

/// Returns the JSON body of a request for a generation.
pub fn body(prompt: &str, stream: bool) -> Value {
    json!({
        "model": MODEL,
        "stream": stream,
        "messages": [{"role": "user", "content": prompt}],
    })
}

/// Requests an answer that is not streamed from an address.
pub async fn request(address: SocketAddr, prompt: &str) -> (StatusCode, Value) {
    let body = body(prompt, false).to_string();
    let headers = [("authorization", "Bearer token-member-0001")];
    let call = daisyyard_http::call(address, Method::POST, COMPLETIONS, &headers, body);
    let answer = tokio::time::timeout(TIMEOUT, call).await;
    let (status, bytes) = answer.expect("an answer in time").expect("an answer");
    let value = serde_json::from_slice(&bytes).expect("an answer in JSON");
    (status, value)
}

/// Returns the text of an answer that is not streamed.
pub fn text(answer: &Value) -> &str {
    let text = answer["choices"][0]["message"]["content"].as_str();
    text.unwrap_or_default()
}

/// Sends a GET request as account 1 and returns the status and the JSON body.
pub async fn get(address: SocketAddr, path: &str) -> (StatusCode, Value) {
    let headers = [("authorization", "Bearer token-member-0001")];
    let call = daisyyard_http::call(address, Method::GET, path, &headers, "");
    let answer = tokio::time::timeout(TIMEOUT, call).await;
    let (status, bytes) = answer.expect("an answer in time").expect("an answer");
    (status, serde_json::from_slice(&bytes).unwrap_or_default())
}

/// One event of a stream as its caller receives it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Id of the event and text of its token.
    Token(String, String),
    /// The stream is complete.
    Done,
    /// The stream ended with an error.
    Error(Value),
    /// The connection was closed before the stream ended.
    Disconnected,
}

/// A caller that reads a stream.
#[derive(Debug)]
pub struct Caller {
    /// Status of the answer.
    pub status: StatusCode,
    /// Answer whose body is read event by event.
    response: Response<Incoming>,
    /// Received text that was not parsed yet.
    buffer: String,
}

impl Caller {
    /// Requests a stream as account 1.
    pub async fn post(address: SocketAddr, body: &Value) -> Self {
        let headers = [("authorization", "Bearer token-member-0001")];
        let body = body.to_string();
        let call = daisyyard_http::send(address, Method::POST, COMPLETIONS, &headers, body);
        Self::new(call.await.expect("an answer"))
    }

    /// Resumes the stream with this id, after the event `last` if it is given.
    pub async fn resume(address: SocketAddr, token: &str, id: &str, last: Option<&str>) -> Self {
        let path = format!("/v1/streams/{id}");
        let bearer = format!("Bearer {token}");
        let mut headers = vec![("authorization", bearer.as_str())];
        headers.extend(last.map(|last| ("last-event-id", last)));
        let call = daisyyard_http::send(address, Method::GET, &path, &headers, "");
        Self::new(call.await.expect("an answer"))
    }

    /// Creates a caller that has received the head of an answer.
    fn new(response: Response<Incoming>) -> Self {
        let status = response.status();
        Self {
            status,
            response,
            buffer: String::new(),
        }
    }

    /// Reads the next event.
    pub async fn next_event(&mut self) -> Event {
        loop {
            if let Some((event, rest)) = self.buffer.split_once("\n\n") {
                let (event, rest) = (event.to_owned(), rest.to_owned());
                self.buffer = rest;
                match parse(&event) {
                    Some(event) => return event,
                    None => continue,
                }
            }
            let frame = tokio::time::timeout(TIMEOUT, self.response.frame()).await;
            match frame.expect("an event in time") {
                Some(Ok(frame)) => {
                    let data = frame.into_data().unwrap_or_default();
                    self.buffer.push_str(&String::from_utf8_lossy(&data));
                }
                _ => return Event::Disconnected,
            }
        }
    }

    /// Reads `count` tokens and returns their text and the id of the last event.
    pub async fn read_tokens(&mut self, count: usize) -> (String, String) {
        let mut text = String::new();
        let mut last = String::new();
        for _ in 0..count {
            match self.next_event().await {
                Event::Token(id, token) => {
                    text.push_str(&token);
                    last = id;
                }
                other => panic!("{other:?} instead of a token"),
            }
        }
        (text, last)
    }

    /// Reads to the end of the stream and returns the text, the offsets and the last event.
    pub async fn read_to_end(&mut self) -> (String, Vec<u64>, Event) {
        let mut text = String::new();
        let mut offsets = Vec::new();
        loop {
            match self.next_event().await {
                Event::Token(id, token) => {
                    text.push_str(&token);
                    let offset = id.rsplit_once(':').expect("an offset").1;
                    offsets.push(offset.parse().expect("an offset"));
                }
                last => return (text, offsets, last),
            }
        }
    }

    /// Returns the error object of an answer that is a refusal.
    pub async fn refusal(self) -> Value {
        let body = self.response.into_body().collect().await;
        let body = body.expect("a complete refusal").to_bytes();
        let value: Value = serde_json::from_slice(&body).expect("a refusal in JSON");
        value["error"].clone()
    }
}

/// Returns the id of the generation from the id of an event.
pub fn generation(id: &str) -> &str {
    id.rsplit_once(':').expect("an offset").0
}

/// Parses one event; returns `None` for comments and events without text.
fn parse(event: &str) -> Option<Event> {
    let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
    let data = field("data: ")?;
    if data == "[DONE]" {
        return Some(Event::Done);
    }
    let value: Value = serde_json::from_str(data).expect("data in JSON");
    if field("event: ") == Some("error") {
        return Some(Event::Error(value["error"].clone()));
    }
    let text = value["choices"][0]["delta"]["content"].as_str()?;
    Some(Event::Token(field("id: ")?.to_owned(), text.to_owned()))
}
