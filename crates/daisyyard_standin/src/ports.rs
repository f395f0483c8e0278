//! Loopback addresses for processes that are started with fixed ports.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

/// Ports to choose from, below those that the system gives to connections: one of these could be
/// taken between the choice and the start of the process.
const PORT_RANGE: std::ops::Range<u16> = 10_000..30_000;

/// Returns loopback addresses that nothing listens on.
pub fn free_addresses<const COUNT: usize>() -> [SocketAddr; COUNT] {
    // The sockets stay bound until all addresses are found, so that they differ.
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

/// Returns a loopback address of this process, so that another one does not take a port whose
/// process is being started again.
fn process_address() -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high / 2 + 1, low, 1)
}
