//! Free loopback addresses for processes that need fixed ports in their settings.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use hyper::Method;

/// Ports to choose from. They are below the ephemeral range, whose ports the kernel may assign to a
/// connection before the process starts to listen.
const PORT_RANGE: std::ops::Range<u16> = 10_000..30_000;
/// Number of ports chosen so far, from a random start. Ports are chosen in turn, because an address
/// is free again until the process that it is for listens on it.
static NEXT_PORT: LazyLock<AtomicU16> = LazyLock::new(|| AtomicU16::new(rand::random()));
/// Number of times that a process is started until it listens.
const MAX_STARTS: usize = 5;
/// Time within which a process listens or ends, long enough for a busy machine.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between two checks whether a process listens.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Timeout for the answer of a process that listens.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// Returns distinct loopback addresses whose TCP and UDP ports are free.
pub fn free_addresses<const COUNT: usize>() -> [SocketAddr; COUNT] {
    [(); COUNT].map(|()| {
        loop {
            let number = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
            let port = PORT_RANGE.start + number % PORT_RANGE.len() as u16;
            let address = SocketAddr::from((process_address(), port));
            if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
                return address;
            }
        }
    })
}

/// Starts a process on free addresses and waits until it answers HTTP requests on the one with the
/// index `probe`, which must be the last that it opens.
///
/// A process that ends before is started again on other addresses: the trial of a port leaves a socket
/// open for a moment, and a process that another thread starts just then holds a copy until its `exec`.
/// `has_ended` tells whether a process has ended.
///
/// # Errors
///
/// Fails if the process cannot be started, ends at each start, or does not answer in time.
pub async fn start_on<const COUNT: usize, T>(
    probe: usize,
    mut start: impl FnMut([SocketAddr; COUNT]) -> anyhow::Result<T>,
    mut has_ended: impl FnMut(&mut T) -> bool,
) -> anyhow::Result<(T, [SocketAddr; COUNT])> {
    for _ in 0..MAX_STARTS {
        let addresses = free_addresses();
        let mut process = start(addresses)?;
        let deadline = Instant::now() + START_TIMEOUT;
        while !has_ended(&mut process) {
            if answers(addresses[probe]).await {
                return Ok((process, addresses));
            }
            anyhow::ensure!(
                Instant::now() < deadline,
                "the process does not listen on {}; check its settings",
                addresses[probe]
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    anyhow::bail!("the process ended at each of {MAX_STARTS} starts; see its output")
}

/// Returns whether a process answers HTTP requests on an address, with whatever status.
async fn answers(address: SocketAddr) -> bool {
    let call = daisyyard_http::call(address, Method::GET, "/", &[], "");
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, call).await;
    matches!(answer, Ok(Ok(_)))
}

/// Returns a loopback address derived from the id of this process, so that no other process takes a
/// port while the program that uses it is being restarted.
fn process_address() -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high / 2 + 1, low, 1)
}
