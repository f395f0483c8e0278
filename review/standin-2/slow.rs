//! Clients on kept connections read large answers slowly.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::{
    Bounds, Endpoint, Gateway, LARGE_BYTES, Record, Store, await_ready, configuration,
    keep_entries, read_message,
};

const ZONES: [&str; 3] = ["lub-a", "lub-b", "lub-c"];
const BOUNDS: Bounds = Bounds {
    contact_ms: 4_000,
    config_ms: 3_000,
    evacuation_ms: Some(5_000),
};
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time limit of the clients, and of the route.
const DEADLINE_MS: u64 = 4_000;
/// Time for which a client reads nothing before it reads the rest of an answer at once.
const PAUSE: Duration = Duration::from_millis(3_500);
/// Calls with large answers of each client.
const CALLS: usize = 2;
/// Number of requests that may be lost.
const EXCUSED: usize = 3;

/// A client with a kept connection.
struct Client {
    socket: TcpStream,
    attempt: String,
}

impl Client {
    fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
        let socket = TcpStream::connect(address)?;
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(Duration::from_secs(8)))?;
        Ok(socket)
    }

    fn send(&mut self, path: &str) -> std::io::Result<()> {
        let request = format!(
            "POST {path} HTTP/1.1\r\nHost: review.example\r\nX-Daisyyard-Attempt-Id: {}\r\n\
             X-Daisyyard-Deadline-Ms: {DEADLINE_MS}\r\nAuthorization: Bearer key-of-t1\r\n\
             Content-Length: 4\r\n\r\nbook",
            self.attempt
        );
        self.socket.write_all(request.as_bytes())
    }

    /// Reads an answer after a pause; returns its status and the number of bytes of its body.
    fn read_after(&mut self, pause: Duration) -> std::io::Result<(u16, usize)> {
        // The first bytes show that the answer has begun.
        let mut first = [0; 1];
        self.socket.peek(&mut first)?;
        thread::sleep(pause);
        let answer = read_message(&mut self.socket)?;
        Ok((answer.status(), answer.body.len()))
    }
}

pub fn run(scratch: &Path, record: &Arc<Record>, trouble: bool) -> Option<bool> {
    let store = Store::start();
    store.put("op/config", &configuration(7, DEADLINE_MS));
    let endpoints: Vec<Arc<Endpoint>> = (0..3)
        .map(|index| {
            let (zone, id) = (ZONES[index], format!("i-{index:04x}"));
            Endpoint::start(&id, "ledger", zone, Duration::from_millis(30), record)
        })
        .collect();
    keep_entries(&store, &endpoints, HEARTBEAT);
    let mut gateways: Vec<Gateway> = (0..6)
        .map(|index| {
            let zone = ZONES[index % 3];
            let name = format!("frontend-{zone}-{index}");
            Gateway::new(scratch, &name, zone, &ZONES, &store, &BOUNDS)
        })
        .collect();
    for gateway in &mut gateways {
        gateway.start();
    }
    if !await_ready(&gateways) {
        return None;
    }
    record.show("gateways are ready");
    thread::sleep(Duration::from_secs(5));

    let pause = if trouble { PAUSE } else { Duration::ZERO };
    // Calls with large answers, by their attempts and whether the answer came whole.
    let results: Arc<Mutex<Vec<(String, bool)>>> = Arc::default();
    let clients: Vec<_> = gateways
        .iter()
        .enumerate()
        .map(|(number, gateway)| {
            let address = gateway.requests;
            let (results, record) = (Arc::clone(&results), Arc::clone(record));
            thread::spawn(move || {
                for call in 0..CALLS {
                    let Ok(socket) = Client::connect(address) else {
                        continue;
                    };
                    let attempt = format!("s{number:02}{call:02}");
                    let mut client = Client { socket, attempt };
                    // The connection has served a request before and is kept.
                    record.line(&format!("send attempt={} small", client.attempt));
                    let small = client
                        .send("/post/small")
                        .and_then(|()| client.read_after(Duration::ZERO));
                    record.line(&format!("answer attempt={} {small:?}", client.attempt));
                    client.attempt = format!("l{number:02}{call:02}");
                    record.line(&format!("send attempt={} large", client.attempt));
                    let large = client
                        .send("/post/large")
                        .and_then(|()| client.read_after(pause));
                    record.show(&format!("answer attempt={} {large:?}", client.attempt));
                    let whole =
                        large.is_ok_and(|(status, bytes)| status == 200 && bytes >= LARGE_BYTES);
                    results
                        .lock()
                        .unwrap()
                        .push((client.attempt.clone(), whole));
                    // What is left of a connection that was closed.
                    let mut rest = Vec::new();
                    let _ = client
                        .socket
                        .set_read_timeout(Some(Duration::from_millis(100)));
                    let _ = client.socket.read_to_end(&mut rest);
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let ran: Vec<String> = endpoints
        .iter()
        .flat_map(|endpoint| endpoint.runs.lock().unwrap().clone())
        .map(|(_, attempt)| attempt)
        .collect();
    let results = results.lock().unwrap();
    let lost = results
        .iter()
        .filter(|(attempt, whole)| !whole && ran.contains(attempt))
        .count();
    record.show(&format!(
        "{} calls with large answers on kept connections; {lost} ran at a sound endpoint and were closed without a whole answer",
        results.len()
    ));
    if results.is_empty() {
        return None;
    }
    Some(lost <= EXCUSED)
}
