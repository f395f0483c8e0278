//! Links from one machine to an endpoint, which can be cut: new connections are refused and open ones closed.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A link; clones share it.
#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
    sockets: Arc<Mutex<Vec<TcpStream>>>,
}

impl Link {
    /// Opens a link to an address.
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a link");
        listener.set_nonblocking(true).expect("a listener that can be polled");
        let link = Self {
            address: listener.local_addr().expect("an address"),
            cut: Arc::default(),
            sockets: Arc::default(),
        };
        let open = link.clone();
        thread::spawn(move || {
            while !open.cut.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((near, _)) => open.carry(near, target),
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        link
    }

    /// Cuts the link for good.
    pub fn cut(&self) {
        self.cut.store(true, Ordering::SeqCst);
        for socket in self.sockets.lock().unwrap().drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    fn carry(&self, near: TcpStream, target: SocketAddr) {
        let Ok(far) = TcpStream::connect(target) else { return };
        for socket in [&near, &far] {
            let _ = socket.set_nonblocking(false);
            let _ = socket.set_nodelay(true);
            self.sockets.lock().unwrap().extend(socket.try_clone());
        }
        if let (Ok(near_reader), Ok(far_reader)) = (near.try_clone(), far.try_clone()) {
            thread::spawn(move || copy(near_reader, far));
            thread::spawn(move || copy(far_reader, near));
        }
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut part = [0; 16 << 10];
    while let Ok(size) = from.read(&mut part) {
        if size == 0 || to.write_all(&part[..size]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
