//! Free loopback addresses for processes that need fixed ports in their settings.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU16, Ordering};

/// Ports to choose from. They are below the ephemeral range, whose ports the kernel may assign to a
/// connection before the process starts to listen.
const PORT_RANGE: std::ops::Range<u16> = 10_000..30_000;
/// Number of ports chosen so far, from a random start. Ports are chosen in turn, because an address
/// is free again until the process that it is for listens on it.
static NEXT_PORT: LazyLock<AtomicU16> = LazyLock::new(|| AtomicU16::new(rand::random()));

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

/// Returns a loopback address derived from the id of this process, so that no other process takes a
/// port while the program that uses it is being restarted.
fn process_address() -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high / 2 + 1, low, 1)
}
