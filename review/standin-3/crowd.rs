//! A crowd of callers with long heads and chunked bodies that stop short of their end. The platform's part
//! is played too: a process whose memory exceeds the machine's is killed.

use std::fs;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Run;
use crate::endpoint::{self, DESK, Endpoint, HOST, KEY, MODEL};
use crate::gateway::{Gateway, ZONES};
use crate::store::Store;

/// Memory and descriptors of a machine of the small deployment `hamaca-red`.
const MEMORY_MB: u32 = 110;
const DESCRIPTORS: u32 = 4_100;
/// Number of connections of the crowd.
const CROWD: usize = 1_450;
/// Size of a head of the crowd in bytes; `max_header_bytes` is 16,384.
const HEAD_BYTES: usize = 16_300;
/// Number of its filling headers.
const HEAD_LINES: usize = 94;
/// Size in bytes of a part of a chunked body; `max_body_bytes` is 4,194,304.
const BODY_BYTES: usize = 16_300;
/// Time for which the crowd stays.
const STAY: Duration = Duration::from_secs(5);
/// Number of ordinary streams in progress at the gateway.
const STREAMS: usize = 6;

/// Returns the memory of a process that no file backs, in bytes.
fn memory_of(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}

pub fn play(run: &Run) -> i32 {
    let record = &run.record;
    let store = Store::start();
    store.put("op/config", &endpoint::config(3));
    let _engines: Vec<Arc<Endpoint>> = (0..3)
        .map(|number| {
            let name = format!("i-engine-{number}");
            Endpoint::start(&name, MODEL, ZONES[number], 24, &store, endpoint::sound_engine(record))
        })
        .collect();
    let _desks: Vec<Arc<Endpoint>> = (0..3)
        .map(|number| {
            let name = format!("i-desk-{number}");
            Endpoint::start(&name, DESK, ZONES[number], 6, &store, endpoint::sound_desk(record))
        })
        .collect();
    let mut gateways: Vec<Gateway> = (0..2)
        .map(|number| {
            Gateway::start_with(&run.folder, number, store.address, MEMORY_MB, DESCRIPTORS, record)
        })
        .collect();
    thread::sleep(Duration::from_secs(4));

    let (process, address) = (gateways[0].id(), gateways[0].requests);
    let (over, peak) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let done = Arc::new(AtomicBool::new(false));
    let platform = {
        let (over, peak, done) = (Arc::clone(&over), Arc::clone(&peak), Arc::clone(&done));
        let record = record.clone();
        thread::spawn(move || {
            // Megabytes of the larger kind, so that the limit is not read too strictly.
            let limit = u64::from(MEMORY_MB) << 20;
            while !done.load(Ordering::SeqCst) {
                let used = memory_of(process);
                peak.fetch_max(used, Ordering::SeqCst);
                if used > limit {
                    over.store(true, Ordering::SeqCst);
                    record.say(&format!(
                        "frontend-0 uses {used} bytes, more than its machine has ({limit}); the platform kills it"
                    ));
                    let _ = std::process::Command::new("kill").args(["-9", &process.to_string()]).status();
                    return;
                }
                thread::sleep(Duration::from_millis(10));
            }
        })
    };
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            let run = run.clone();
            thread::spawn(move || {
                let attempt = format!("stream-{number}");
                let answer = endpoint::draft(&run, address, &attempt, "300,1200");
                answer.status == 200 && answer.complete
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let crowd: Vec<TcpStream> =
        if run.trouble { (0..CROWD).filter_map(|number| join(number, address)).collect() } else { Vec::new() };
    record.say(&format!("the crowd has {} connections to frontend-0", crowd.len()));
    if run.trouble && crowd.len() < CROWD && !over.load(Ordering::SeqCst) {
        // The descriptors of this process may not suffice.
        return 2;
    }
    let until = Instant::now() + STAY;
    let (mut asked, mut served) = (0, 0);
    while Instant::now() < until {
        asked += 1;
        served += usize::from(endpoint::look_up(run, address, &format!("lookup-{asked}")).status == 200);
        thread::sleep(Duration::from_millis(200));
    }
    drop(crowd);
    let whole = streams.into_iter().filter_map(|one| one.join().ok()).filter(|whole| *whole).count();
    done.store(true, Ordering::SeqCst);
    let _ = platform.join();
    let runs = gateways[0].runs();
    record.say(&format!(
        "peak memory of frontend-0: {} bytes; it runs: {runs}; ordinary streams that were whole: {whole} of \
         {STREAMS}; ordinary lookups served meanwhile: {served} of {asked}",
        peak.load(Ordering::SeqCst)
    ));
    i32::from(over.load(Ordering::SeqCst) || !runs)
}

/// Opens a connection of the crowd: a proper head, and a chunk of a body that stops short of its end.
fn join(number: usize, address: SocketAddr) -> Option<TcpStream> {
    let mut socket = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    socket.set_write_timeout(Some(Duration::from_millis(200))).ok()?;
    let mut text = format!(
        "POST /book/{number} HTTP/1.1\r\nhost: {HOST}\r\nx-daisyyard-attempt-id: crowd-{number}\r\n\
         x-daisyyard-deadline-ms: 39000\r\nauthorization: Bearer {KEY}\r\ntransfer-encoding: chunked\r\n"
    );
    let filler = (HEAD_BYTES - text.len()) / HEAD_LINES - "x-f000: \r\n".len();
    for line in 0..HEAD_LINES {
        text.push_str(&format!("x-f{line:03}: {}\r\n", "y".repeat(filler)));
    }
    text.push_str(&format!("\r\n{:x}\r\n{}", BODY_BYTES + 1, "b".repeat(BODY_BYTES)));
    socket.write_all(text.as_bytes()).ok()?;
    Some(socket)
}
