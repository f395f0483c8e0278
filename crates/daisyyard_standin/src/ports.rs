//! Free loopback addresses for processes that need fixed ports in their settings.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

/// Ports to choose from. They are below the ephemeral range, whose ports the kernel may assign to a
/// connection before the process starts to listen.
const PORT_RANGE: std::ops::Range<u16> = 10_000..30_000;

/// Returns distinct loopback addresses whose TCP and UDP ports are free.
pub fn free_addresses<const COUNT: usize>() -> [SocketAddr; COUNT] {
    // Keep the sockets bound until all addresses are found, so that the addresses differ.
    let mut bound = Vec::new();
    [(); COUNT].map(|()| {
        loop {
            let address = SocketAddr::from((process_address(), rand::random_range(PORT_RANGE)));
            if let (Ok(tcp), Ok(udp)) = (TcpListener::bind(address), UdpSocket::bind(address)) {
                bound.push((tcp, udp));
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
