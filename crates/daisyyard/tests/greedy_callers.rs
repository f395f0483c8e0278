//! Guards against callers that nobody controls and that exhaust a gateway's memory or descriptors:
//! many unfinished bodies, heads that trickle, and long answers that are not read.
//!
//! Each test takes a lock, so that the tests of this file do not run beside one another.

mod platform;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use daisyyard_http::{Body, json};
use daisyyard_standin::platform_fixture::{self, CREDENTIAL, HOST};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, StatusCode};
use platform::{Platform, plain_request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;
use tokio::task::{AbortHandle, JoinSet};

/// Memory of the smallest machine in the stated target, in kB (88 MB).
const MAX_MEMORY_KB: u64 = 88_000_000 / 1024;
/// Descriptors of the smallest machine in the stated target, without the 200 that are kept for files.
const MAX_DESCRIPTORS: usize = 3_075 - 200;
/// Number of connections of a crowd.
const CROWD: usize = 40;
/// Maximum size of a body in the stated target.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Size of a body that is sent in one-byte chunks.
const SMALL_CHUNKS_BODY_BYTES: usize = 128 << 10;
/// Size of a large chunk.
const LARGE_CHUNK_BYTES: usize = 64 << 10;
/// Size of a long answer.
const LONG_ANSWER_BYTES: usize = 4_000_000;
/// Interval between two bytes of a head that trickles.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(50);
/// Connections that may be open beside the crowd: to the store, and of the tests' own requests.
const OTHER_DESCRIPTORS: usize = 10;

/// Time that a body may take, in milliseconds: longer than a slow machine needs to read the crowd.
const BODY_TIMEOUT_MS: usize = 60_000;
/// Limit on the wait until the gateway has read what the crowd has sent.
const READ_TIMEOUT: Duration = Duration::from_secs(50);
/// Interval between two looks at what the gateway has not read yet.
const READ_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Limits of the configuration for the tests with bodies.
const BODY_LIMITS: [(&str, usize); 2] = [
    ("max_body_bytes", MAX_BODY_BYTES),
    ("idle_timeout_ms", BODY_TIMEOUT_MS),
];

/// Held by the test that runs.
static ALONE: Mutex<()> = Mutex::const_new(());

/// A crowd of connections that stay open until the handle is dropped.
struct Crowd {
    /// Tasks that own the connections.
    tasks: JoinSet<()>,
}

impl Crowd {
    /// Starts the connections and waits until each of them has done its part or was closed.
    async fn start<F>(connection: impl Fn(usize) -> F) -> Self
    where
        F: Future<Output = Option<TcpStream>> + Send + 'static,
    {
        let mut tasks = JoinSet::new();
        let (done, mut finished) = tokio::sync::mpsc::channel::<()>(CROWD);
        for number in 0..CROWD {
            let connection = connection(number);
            let done = done.clone();
            tasks.spawn(async move {
                let socket = connection.await;
                drop(done);
                std::future::pending::<()>().await;
                drop(socket);
            });
        }
        drop(done);
        let _ = finished.recv().await;
        Self { tasks }
    }

    /// Returns the number of connections that were started.
    fn len(&self) -> usize {
        self.tasks.len()
    }
}

/// Starts a platform with one plain endpoint and one gateway, and the given configuration limits.
async fn start(limits: &[(&str, usize)]) -> Platform {
    let mut platform = Platform::start(0, 1).await;
    let mut config = platform::config(2);
    for (name, value) in limits {
        config["limits"][*name] = (*value).into();
    }
    platform.store.put("op/config", &config).await;
    platform.start_gateway().await;
    platform
}

/// Returns the head of a request with the lines given.
fn head(number: usize, line: &str, lines: &str) -> String {
    format!(
        "{line} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {CREDENTIAL}\r\n\
         x-daisyyard-attempt-id: greedy-{number}\r\nx-daisyyard-deadline-ms: 60000\r\n{lines}\r\n"
    )
}

/// Sends a chunked body without its end and keeps the connection open; `None` if it was closed.
async fn unfinished_body(
    address: SocketAddr,
    number: usize,
    chunk_bytes: usize,
    body_bytes: usize,
) -> Option<TcpStream> {
    let mut socket = TcpStream::connect(address).await.ok()?;
    let head = head(
        number,
        "POST /book/1",
        "content-type: text/plain\r\ntransfer-encoding: chunked\r\n",
    );
    socket.write_all(head.as_bytes()).await.ok()?;
    let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "x".repeat(chunk_bytes));
    let count = (body_bytes / chunk_bytes).min(LARGE_CHUNK_BYTES / chunk_bytes);
    let part = chunk.repeat(count);
    for _ in 0..body_bytes / chunk_bytes / count {
        socket.write_all(part.as_bytes()).await.ok()?;
    }
    Some(socket)
}

/// Returns a value of a process's status, in kB.
fn status_kb(process: u32, key: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).expect("it runs");
    let mut lines = status.lines();
    let line = lines.find_map(|line| line.strip_prefix(key));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).expect(key)
}

/// Returns the number of open descriptors of a process.
fn descriptors(process: u32) -> usize {
    let entries = std::fs::read_dir(format!("/proc/{process}/fd")).expect("it runs");
    entries.count()
}

/// Returns the number of bytes that have arrived at an address and that its process has not read.
fn unread_bytes(address: SocketAddr) -> u64 {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of connections");
    let port = format!(":{:04X}", address.port());
    let unread = table.lines().skip(1).filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (local, state, queues) = (fields.get(1)?, fields.get(3)?, fields.get(4)?);
        let established = *state == "01" && local.ends_with(&port);
        let (_, received) = queues.split_once(':')?;
        established.then(|| u64::from_str_radix(received, 16).ok())?
    });
    unread.sum()
}

/// Waits until the gateway has read what the crowd has sent, or has closed the connections.
async fn wait_until_read(platform: &Platform) {
    let address = platform.gateways[0].requests;
    let deadline = Instant::now() + READ_TIMEOUT;
    while unread_bytes(address) > 0 && Instant::now() < deadline {
        tokio::time::sleep(READ_POLL_INTERVAL).await;
    }
}

/// Checks that the gateway lives, stays under the bounds, and answers an ordinary request.
async fn check(platform: &mut Platform, crowd: Crowd) {
    wait_until_read(platform).await;
    let process = platform.gateways[0].process.id();
    let (peak_kb, resident_kb) = (status_kb(process, "VmHWM:"), status_kb(process, "VmRSS:"));
    let open = descriptors(process);
    println!(
        "crowd={} peak_kb={peak_kb} resident_kb={resident_kb} descriptors={open}",
        crowd.len()
    );
    assert!(open < MAX_DESCRIPTORS, "{open} descriptors");
    assert!(peak_kb < MAX_MEMORY_KB, "{peak_kb} kB at the peak");
    let address = platform.gateways[0].requests;
    platform::wait_until("an ordinary request is answered", async || {
        let credential = format!("Bearer {CREDENTIAL}");
        let headers = [
            ("x-daisyyard-attempt-id", "ordinary"),
            ("x-daisyyard-deadline-ms", "8000"),
            ("authorization", credential.as_str()),
        ];
        let request = platform::Request {
            body: "an ordinary body",
            ..plain_request(Method::POST, "/book/ordinary")
        };
        let answer = platform::send(address, &request, &headers).await;
        answer.is_ok_and(|(status, _)| status == StatusCode::OK)
    })
    .await;
    let peak_kb = status_kb(process, "VmHWM:");
    assert!(peak_kb < MAX_MEMORY_KB, "{peak_kb} kB at the end");
    let process = &mut platform.gateways[0].process;
    assert!(process.try_wait().expect("the state").is_none(), "it ended");
    drop(crowd);
}

/// Guards against chunked bodies in large chunks that together exceed the memory of the machine.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_chunks() {
    let _alone = ALONE.lock().await;
    let mut platform = start(&BODY_LIMITS).await;
    let address = platform.gateways[0].requests;
    let crowd = Crowd::start(|number| {
        let bytes = MAX_BODY_BYTES - LARGE_CHUNK_BYTES;
        unfinished_body(address, number, LARGE_CHUNK_BYTES, bytes)
    });
    let crowd = crowd.await;
    check(&mut platform, crowd).await;
}

/// Guards against one-byte chunks that each hold a buffer of their own or a part of a larger one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn small_chunks() {
    let _alone = ALONE.lock().await;
    let mut platform = start(&BODY_LIMITS).await;
    let address = platform.gateways[0].requests;
    let crowd =
        Crowd::start(|number| unfinished_body(address, number, 1, SMALL_CHUNKS_BODY_BYTES)).await;
    check(&mut platform, crowd).await;
}

/// Guards against heads that trickle and keep their descriptors beyond `header_timeout_ms`: the
/// crowd goes on trickling, and the gateway closes its connections.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn trickling_heads() {
    let _alone = ALONE.lock().await;
    let mut platform = start(&[("header_timeout_ms", 500)]).await;
    let address = platform.gateways[0].requests;
    let process = platform.gateways[0].process.id();
    let before = descriptors(process);
    let mut tasks = JoinSet::new();
    for number in 0..CROWD {
        tasks.spawn(async move {
            let Ok(mut socket) = TcpStream::connect(address).await else {
                return;
            };
            let head = head(number, "POST /book/1", "x-filler: ");
            for byte in head.trim_end().bytes().chain(std::iter::repeat(b'x')) {
                if socket.write_all(&[byte]).await.is_err() {
                    break;
                }
                tokio::time::sleep(TRICKLE_INTERVAL).await;
            }
        });
    }
    platform::wait_until("the crowd is connected", async || {
        descriptors(process) >= before + CROWD / 2
    })
    .await;
    platform::wait_until("the descriptors of the crowd are free", async || {
        descriptors(process) < before + OTHER_DESCRIPTORS
    })
    .await;
    check(&mut platform, Crowd { tasks }).await;
}

/// A plain endpoint with long answers, which ends when the handle is dropped.
struct LongAnswers(AbortHandle);

impl Drop for LongAnswers {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl LongAnswers {
    /// Starts the endpoint and writes its entry to the store.
    async fn start(platform: &Platform) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let server = daisyyard_http::serve(listener, |request| async move { answer(&request) });
        let entry = platform_fixture::entry("long", address, "ready");
        platform.store.put("servers/long", &entry).await;
        Self(server.abort_handle())
    }
}

/// Returns a long answer with the headers that the platform requires.
fn answer(request: &Request<Incoming>) -> Response<Body> {
    let mut response = json(StatusCode::OK, &serde_json::Value::Null);
    *response.body_mut() = daisyyard_http::full(vec![b'x'; LONG_ANSWER_BYTES]);
    let attempt = request.headers().get("x-daisyyard-attempt-id").cloned();
    let headers = response.headers_mut();
    headers.insert(
        "x-daisyyard-server-signature",
        HeaderValue::from_static("signed"),
    );
    if let Some(attempt) = attempt {
        headers.insert("x-daisyyard-attempt-id", attempt);
    }
    response
}

/// Guards against long answers that are held for callers that do not read them, without being counted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unread_answers() {
    let _alone = ALONE.lock().await;
    let mut platform = Platform::start(0, 1).await;
    let mut config = platform::config(2);
    let service = serde_json::json!({
        "name": "long", "health_path": "/healthz", "max_connections": 100,
    });
    config["services"]
        .as_array_mut()
        .expect("a list")
        .push(service);
    let mut route = config["routes"][1].clone();
    route["name"] = "long".into();
    route["path_prefix"] = "/long/".into();
    route["service"] = "long".into();
    config["routes"].as_array_mut().expect("a list").push(route);
    platform.store.put("op/config", &config).await;
    let _endpoint = LongAnswers::start(&platform).await;
    platform.start_gateway().await;
    let address = platform.gateways[0].requests;
    // One request after the other, so that the memory for answers in progress suffices.
    let turn = std::sync::Arc::new(Mutex::new(()));
    let crowd = Crowd::start(|number| {
        let turn = std::sync::Arc::clone(&turn);
        async move {
            let _turn = turn.lock().await;
            let mut socket = TcpStream::connect(address).await.ok()?;
            let head = head(number, "POST /long/1", "content-length: 0\r\n");
            socket.write_all(head.as_bytes()).await.ok()?;
            let mut byte = [0];
            let first = tokio::time::timeout(Duration::from_secs(1), socket.read(&mut byte)).await;
            if number == 0 {
                assert!(matches!(first, Ok(Ok(1))), "the first caller is answered");
            }
            Some(socket)
        }
    });
    let crowd = crowd.await;
    check(&mut platform, crowd).await;
}
