//! Engines whose answers have no length are killed while they write streams.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::{
    Bounds, ENDPOINTS, Gateway, Record, Store, await_ready, bind_to_this, events_of, listen,
    read_message,
};

const ZONES: [&str; 3] = ["costa-a", "costa-b", "costa-c"];
const BOUNDS: Bounds = Bounds {
    contact_ms: 3_000,
    config_ms: 2_000,
    evacuation_ms: None,
};
const ENGINES: usize = 11;
/// Number of engines that are killed at a time.
const KILLED: usize = 2;
/// Time for which they are down, number of times, and the pause between two of them.
const DOWN: Duration = Duration::from_millis(4_500);
const TIMES: usize = 3;
const PAUSE: Duration = Duration::from_millis(3_500);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Events of each stream, and the time between two of them.
const EVENTS: usize = 60;
const PACE: Duration = Duration::from_millis(40);

/// An engine in a process of its own.
struct Engine {
    id: String,
    zone: &'static str,
    address: SocketAddr,
    born: AtomicU64,
    sequence: AtomicU64,
    child: Mutex<Option<Child>>,
}

impl Engine {
    fn start(&self, record: &Arc<Record>) {
        let program = std::env::current_exe().expect("the path of this program");
        let mut command = Command::new(program);
        command.args(["engine", &self.id, &self.address.to_string()]);
        command.stdin(Stdio::null()).stdout(Stdio::piped());
        let child = bind_to_this(&mut command).spawn();
        let mut child = child.expect("an engine can be started");
        if let Some(output) = child.stdout.take() {
            let record = Arc::clone(record);
            thread::spawn(move || {
                for line in BufReader::new(output).lines().map_while(Result::ok) {
                    record.line(&line);
                }
            });
        }
        *self.child.lock().unwrap() = Some(child);
        self.born.fetch_add(1_000, Ordering::SeqCst);
    }

    fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn write(&self, store: &Store) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let entry = format!(
            r#"{{"service":"model","address":"{}","zone":"{}","version":"v1","slots":24,"state":"ready","cold_remaining_ms":0,"stage":"prefill_decode","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":{sequence},"born":{}}}"#,
            self.address,
            self.zone,
            self.born.load(Ordering::SeqCst)
        );
        store.put(&format!("servers/{}", self.id), &entry);
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Runs an engine: the process that is killed. Its answers end with their connections.
pub fn serve(id: &str, address: &str) -> ! {
    let address: SocketAddr = address.parse().expect("an address");
    let listener = TcpListener::bind(address).expect("the address of the engine is free");
    for socket in listener.incoming().flatten() {
        let id = id.to_owned();
        thread::spawn(move || {
            let _ = answer(socket, &id);
        });
    }
    std::process::exit(0);
}

fn answer(mut socket: TcpStream, id: &str) -> std::io::Result<()> {
    socket.set_nodelay(true)?;
    socket.set_read_timeout(Some(Duration::from_secs(10)))?;
    let request = read_message(&mut socket)?;
    let attempt = request
        .header("x-daisyyard-attempt-id")
        .unwrap_or("-")
        .to_owned();
    let expected = request.header("x-daisyyard-expected-instance");
    let rejected = if request.target().starts_with("/-/") {
        // No run of this engine is ever copied.
        Some("404 Not Found\r\n".to_owned())
    } else if expected.is_some_and(|expected| expected != id) {
        Some(format!(
            "421 Misdirected Request\r\nX-Daisyyard-Instance-Id: {id}\r\n"
        ))
    } else if request.header("kv-from").is_some() {
        Some("503 Service Unavailable\r\nX-Daisyyard-Not-Executed: 1\r\n".to_owned())
    } else {
        None
    };
    if let Some(head) = rejected {
        let head = format!(
            "HTTP/1.1 {head}X-Daisyyard-Attempt-Id: {attempt}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        );
        return socket.write_all(head.as_bytes());
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Daisyyard-Attempt-Id: {attempt}\r\n\
         X-Daisyyard-Server-Signature: {id}.{attempt}\r\nX-Daisyyard-Weight-Versions: 1\r\n\
         Connection: close\r\n\r\n"
    );
    socket.write_all(head.as_bytes())?;
    println!("run attempt={attempt} engine={id}");
    for number in 1..=EVENTS {
        thread::sleep(PACE);
        let event = format!("id: {number}\ndata: {attempt} {number} of {EVENTS}\n\n");
        socket.write_all(event.as_bytes())?;
    }
    Ok(())
}

pub fn run(scratch: &Path, record: &Arc<Record>, trouble: bool) -> Option<bool> {
    let store = Store::start();
    store.put("op/config", crate::poison::CONFIGURATION);
    let engines: Vec<Arc<Engine>> = (0..ENGINES)
        .map(|index| {
            let address = listen(ENDPOINTS).local_addr().expect("an address");
            let engine = Engine {
                id: format!("e-{index:04x}"),
                zone: ZONES[index % 3],
                address,
                born: AtomicU64::new(1_700_000_000_000),
                sequence: AtomicU64::new(0),
                child: Mutex::new(None),
            };
            engine.start(record);
            engine.write(&store);
            Arc::new(engine)
        })
        .collect();
    for engine in &engines {
        let (engine, store) = (Arc::downgrade(engine), Arc::clone(&store));
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                let Some(engine) = engine.upgrade() else {
                    return;
                };
                // An engine that crashes sends nothing.
                if engine.child.lock().unwrap().is_some() {
                    engine.write(&store);
                }
            }
        });
    }
    let mut gateways: Vec<Gateway> = (0..6)
        .map(|index| {
            let zone = ZONES[index % 3];
            Gateway::new(
                scratch,
                &format!("frontend-{zone}-{index}"),
                zone,
                &ZONES,
                &store,
                &BOUNDS,
            )
        })
        .collect();
    for gateway in &mut gateways {
        gateway.start();
    }
    if !await_ready(&gateways) {
        return None;
    }
    record.show("gateways are ready");
    thread::sleep(Duration::from_secs(3));

    let stop = Arc::new(AtomicBool::new(false));
    // Streams: whole, complete to all appearances with fewer events, and broken off.
    let ends: Arc<Mutex<[usize; 3]>> = Arc::default();
    let clients: Vec<_> = (0..gateways.len() * 2)
        .map(|client| {
            let address = gateways[client % gateways.len()].requests;
            let (stop, ends, record) = (Arc::clone(&stop), Arc::clone(&ends), Arc::clone(record));
            thread::spawn(move || {
                let mut number = 0;
                while !stop.load(Ordering::SeqCst) {
                    number += 1;
                    let attempt = format!("a{client:02}{number:06}");
                    record.line(&format!("send attempt={attempt} gateway={address}"));
                    let (events, complete) =
                        events_of(address, &attempt, &format!("consignment {attempt}"));
                    let end = match (events, complete) {
                        (EVENTS, true) => 0,
                        (_, true) => 1,
                        (_, false) => 2,
                    };
                    let name = ["whole", "SHORT, BUT COMPLETE", "broken off"][end];
                    record.line(&format!(
                        "answer attempt={attempt} events={events} of {EVENTS}: {name}"
                    ));
                    ends.lock().unwrap()[end] += 1;
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    for round in 0..TIMES {
        let chosen = (0..KILLED).map(|index| &engines[(round * KILLED + index) % ENGINES]);
        let chosen: Vec<_> = chosen.collect();
        if trouble {
            for engine in &chosen {
                engine.kill();
                record.show(&format!("engine {} is killed", engine.id));
            }
        }
        thread::sleep(DOWN);
        if trouble {
            chosen.iter().for_each(|engine| engine.start(record));
        }
        thread::sleep(PAUSE);
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let [whole, short, broken] = *ends.lock().unwrap();
    record.show(&format!(
        "{whole} streams whole, {short} short of events but complete to all appearances, {broken} broken off"
    ));
    engines.iter().for_each(|engine| engine.kill());
    if whole == 0 {
        return None;
    }
    Some(short == 0)
}
