//! Model engines that stream, keep backups of runs, and move them.

use std::collections::HashMap;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Run;
use crate::endpoint::{Endpoint, Handler};
use crate::http::{self, Request};
use crate::json::Json;

/// Time between two events.
const INTERVAL: Duration = Duration::from_millis(50);

/// How the engines of a case behave.
#[derive(Clone, Copy, Default)]
pub struct Manner {
    /// Answers have neither a length nor chunks, and end with their channel.
    pub unframed: bool,
    /// The answer to a run that goes on from a backup is lost.
    pub loses_resumed: bool,
    /// Number of requests that an engine works on at once, if it matters; `QUEUE` more wait.
    pub slots: Option<usize>,
}

/// Number of requests that wait at an engine whose slots are taken.
const QUEUE: usize = 8;

/// Work of one engine on a run.
pub struct Segment {
    pub engine: String,
    pub started: Instant,
    pub worked: Instant,
    pub stopped: bool,
    pub ended: bool,
}

#[derive(Default)]
pub struct Memory {
    pub segments: Vec<Segment>,
    pub events: u64,
    pub backup: Option<SocketAddr>,
    /// Copies by handle: the engine that stopped the run, and the one that got the copy.
    pub handles: HashMap<String, (SocketAddr, SocketAddr)>,
}

#[derive(Default)]
pub struct Runs {
    pub memory: HashMap<String, Memory>,
    /// Number of requests that each engine ran.
    pub ran: HashMap<String, usize>,
    /// Number of requests that wait at each engine.
    waiting: HashMap<String, usize>,
    pub lost: Vec<String>,
    pub next_handle: u64,
}

/// Returns the handler of an engine.
pub fn handler(run: &Run, runs: &Arc<Mutex<Runs>>, manner: Manner) -> Arc<Handler> {
    let (run, runs) = (run.clone(), Arc::clone(runs));
    Arc::new(move |engine, request, socket| answer(&run, &runs, manner, engine, request, socket))
}

/// Answers a request at an engine.
fn answer(
    run: &Run,
    runs: &Arc<Mutex<Runs>>,
    manner: Manner,
    engine: &Arc<Endpoint>,
    request: &Request,
    socket: &mut TcpStream,
) -> io::Result<()> {
    let instance = ("x-daisyyard-instance-id", engine.name.as_str());
    if request.path == "/-/kv-move" {
        let (status, body) = move_run(run, runs, manner, engine, request);
        return http::respond(socket, status, &[instance], body.as_bytes());
    }
    if request.path.starts_with("/-/") {
        return http::respond(socket, 200, &[instance], b"{}");
    }
    let attempt = request.header("x-daisyyard-attempt-id").to_owned();
    let headers = [
        ("x-daisyyard-attempt-id", attempt.as_str()),
        instance,
        ("x-daisyyard-server-signature", "3e1b.07.5a2.600.0.c9f2a4d1"),
        ("content-type", "text/event-stream"),
    ];
    if request.header("x-daisyyard-expected-instance") != engine.name {
        return http::respond(socket, 421, &headers[..2], b"");
    }
    let from = request.header("kv-from");
    if let Some(slots) = manner.slots
        && !wait_for_slot(runs, slots, engine, socket)
    {
        run.record.line(&format!("{} has no slot for {attempt} ({from})", engine.name));
        let declined = [headers[0], headers[1], ("x-daisyyard-not-executed", "1")];
        return http::respond(socket, 503, &declined, b"");
    }
    let last: u64 = request.header("last-event-id").parse().unwrap_or(0);
    let index = {
        let mut runs = runs.lock().unwrap();
        let memory = runs.memory.entry(attempt.clone()).or_default();
        let held = match from.rsplit_once('/') {
            None => true,
            Some((_, name)) if name == attempt => memory.backup == Some(engine.address),
            Some((_, handle)) => {
                let found = memory.handles.remove(handle);
                found.is_some_and(|(one, other)| [one, other].contains(&engine.address))
            }
        };
        if !held {
            run.record.line(&format!("{} has no memory of {attempt} ({from})", engine.name));
            let declined = [headers[0], headers[1], ("x-daisyyard-not-executed", "1")];
            return http::respond(socket, 503, &declined, b"");
        }
        let now = Instant::now();
        memory.segments.push(Segment {
            engine: engine.name.clone(),
            started: now,
            worked: now,
            stopped: false,
            ended: false,
        });
        memory.backup = request.header("x-daisyyard-kv-backup").parse().ok();
        let index = memory.segments.len() - 1;
        *runs.ran.entry(engine.name.clone()).or_default() += 1;
        index
    };
    run.record.line(&format!("{} runs {attempt} from event {}, memory {from:?}", engine.name, last + 1));
    let lost = manner.loses_resumed && !from.is_empty() && from.ends_with(&attempt);
    if lost {
        runs.lock().unwrap().lost.push(engine.name.clone());
        run.record.line(&format!("{} loses its answer to {attempt}", engine.name));
        socket.shutdown(Shutdown::Both)?;
    } else if manner.unframed {
        http::begin_unframed(socket, &headers)?;
    } else {
        http::begin_chunks(socket, &headers)?;
    }
    let usage = request.header("x-daisyyard-token-usage");
    let tokens: u64 = usage.split_once(',').and_then(|(_, it)| it.parse().ok()).unwrap_or(0);
    for event in last + 1..=tokens / 4 {
        thread::sleep(INTERVAL);
        engine.wait_while_silent();
        if !engine.is_alive() {
            return Ok(());
        }
        {
            let mut runs = runs.lock().unwrap();
            let memory = runs.memory.get_mut(&attempt).expect("a run");
            let segment = &mut memory.segments[index];
            if segment.stopped {
                segment.ended = true;
                run.record.line(&format!("{} has stopped {attempt} before event {event}", engine.name));
                return socket.shutdown(Shutdown::Both);
            }
            segment.worked = Instant::now();
            memory.events = memory.events.max(event);
        }
        let text = format!("id: {event}\ndata: tokens {event}\n\n");
        let written = if lost {
            Ok(())
        } else if manner.unframed {
            socket.write_all(text.as_bytes())
        } else {
            http::write_chunk(socket, text.as_bytes())
        };
        if written.is_err() {
            // The connection is closed, so that the request is dropped.
            break;
        }
    }
    runs.lock().unwrap().memory.get_mut(&attempt).expect("a run").segments[index].ended = true;
    match manner {
        _ if lost => Ok(()),
        Manner { unframed: true, .. } => socket.shutdown(Shutdown::Both),
        _ => http::write_chunk(socket, b""),
    }
}

/// Waits until an engine has a free slot; returns whether it has, and not if too many wait already or the
/// caller has left.
fn wait_for_slot(
    runs: &Arc<Mutex<Runs>>,
    slots: usize,
    engine: &Arc<Endpoint>,
    socket: &TcpStream,
) -> bool {
    let mut waits = false;
    loop {
        {
            let mut runs = runs.lock().unwrap();
            let all = runs.memory.values().flat_map(|memory| &memory.segments);
            let busy = all.filter(|it| it.engine == engine.name && !it.ended && !it.stopped).count();
            let waiting = runs.waiting.entry(engine.name.clone()).or_default();
            if busy < slots {
                *waiting -= usize::from(waits);
                return true;
            }
            if !waits {
                if *waiting >= QUEUE {
                    return false;
                }
                *waiting += 1;
                waits = true;
            }
        }
        thread::sleep(Duration::from_millis(5));
        engine.wait_while_silent();
        let _ = socket.set_nonblocking(true);
        let left = matches!(socket.peek(&mut [0]), Ok(0));
        let _ = socket.set_nonblocking(false);
        if left {
            *runs.lock().unwrap().waiting.entry(engine.name.clone()).or_default() -= 1;
            return false;
        }
    }
}

/// Copies the memory of a run to another engine, and stops it if that is the last copy.
fn move_run(
    run: &Run,
    runs: &Arc<Mutex<Runs>>,
    manner: Manner,
    engine: &Arc<Endpoint>,
    request: &Request,
) -> (u16, String) {
    let body = Json::parse(&String::from_utf8_lossy(&request.body));
    let (attempt, last) = (body.get("id").text(), body.get("last") == &Json::Bool(true));
    let Ok(target) = body.get("target").text().parse() else {
        return (404, "{}".to_owned());
    };
    let mut runs = runs.lock().unwrap();
    runs.next_handle += 1;
    let handle = format!("h{}", runs.next_handle);
    let Some(memory) = runs.memory.get_mut(attempt) else {
        return (404, "{}".to_owned());
    };
    let created = memory.events;
    let here = memory.segments.iter_mut().filter(|it| it.engine == engine.name && !it.ended);
    let Some(segment) = here.last() else {
        run.record.line(&format!("{} is asked to move {attempt}: no such run", engine.name));
        return (404, "{}".to_owned());
    };
    segment.stopped |= last;
    if manner.slots.is_some() {
        // All other engines are full in the cases with slots, so that the memory stays here.
        if last {
            memory.handles.insert(handle.clone(), (engine.address, engine.address));
            run.record.line(&format!("{} stops {attempt}, no room at {target}, handle {handle}", engine.name));
            return (503, format!("{{\"handle\":\"{handle}\"}}"));
        }
        return (503, "{}".to_owned());
    }
    memory.handles.insert(handle.clone(), (engine.address, target));
    run.record.line(&format!("{} copies {attempt} to {target}, last {last}, handle {handle}", engine.name));
    (200, format!("{{\"handle\":\"{handle}\",\"created\":{created}}}"))
}
