//! Guards against tests of one process that choose the same port for their gateways, one of which
//! then fails to start, and against a start that fails because a port is held for a moment.

use std::collections::HashSet;
use std::net::{SocketAddr, TcpListener};

use daisyyard_standin::ports;

/// Number of threads that choose addresses at the same time.
const THREADS: usize = 8;
/// Number of choices of five addresses in each thread.
const CHOICES: usize = 20;

/// Addresses differ, also among those that were chosen before and are not in use yet.
#[test]
fn all_differ() {
    let choose = || (0..CHOICES).flat_map(|_| ports::free_addresses::<5>());
    let threads: Vec<_> = (0..THREADS)
        .map(|_| std::thread::spawn(move || choose().collect::<Vec<_>>()))
        .collect();
    let addresses = threads
        .into_iter()
        .flat_map(|thread| thread.join().expect("no panic"));
    let mut seen = HashSet::new();
    for address in addresses {
        assert!(seen.insert(address), "{address} was chosen twice");
    }
    assert_eq!(seen.len(), THREADS * CHOICES * 5);
}

/// A process that ends because its port is held is started again on another one; a process that ends
/// at each start is reported.
#[tokio::test]
async fn held_port() {
    let mut holders = Vec::new();
    let mut tried = Vec::new();
    let start = |[address]: [SocketAddr; 1]| {
        if tried.is_empty() {
            holders.push(TcpListener::bind(address)?);
        }
        tried.push(address);
        let Ok(listener) = TcpListener::bind(address) else {
            return Ok(None);
        };
        listener.set_nonblocking(true)?;
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let respond = async |_| hyper::Response::new(daisyyard_http::full("ready"));
        Ok(Some(daisyyard_http::serve(listener, respond)))
    };
    let started = ports::start_on(0, start, |server| server.is_none()).await;
    let (server, [address]) = started.expect("the second start succeeds");
    assert_eq!(tried.len(), 2);
    assert_eq!(tried[1], address);
    assert_ne!(tried[0], address);
    server.expect("it runs").abort();
    let start = |_: [SocketAddr; 1]| Ok(());
    let started = ports::start_on(0, start, |()| true).await;
    assert!(started.is_err(), "a process that always ends is reported");
}
