//! Gateway processes, started as the deploy file does.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

/// The zones of the deployment.
pub const ZONES: [&str; 3] = ["pit-north", "pit-east", "mill-yard"];

/// Process ids of all gateways that were started and have not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all gateways and this process if a case takes too long.
pub fn limit_time(time: Duration) {
    thread::spawn(move || {
        thread::sleep(time);
        for process in STARTED.lock().unwrap().iter() {
            let _ = Command::new("kill").args(["-9", &process.to_string()]).status();
        }
        std::process::exit(2);
    });
}

/// A gateway process; dropping it ends the process.
pub struct Gateway {
    pub requests: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    pub name: String,
    settings: PathBuf,
    child: Child,
}

/// A temporary folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!("daisyyard-review-3-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Returns free loopback ports.
fn free_ports() -> Vec<SocketAddr> {
    let listeners: Vec<TcpListener> =
        (0..5).map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
    listeners.iter().map(|listener| listener.local_addr().expect("an address")).collect()
}

impl Gateway {
    /// Starts a gateway and waits until it is ready.
    pub fn start(folder: &Folder, number: usize, store: SocketAddr, record: &Record) -> Self {
        Self::start_with(folder, number, store, 260, 4_100, record)
    }

    /// Starts a gateway of a machine with this memory and number of descriptors.
    pub fn start_with(
        folder: &Folder,
        number: usize,
        store: SocketAddr,
        memory_mb: u32,
        descriptors: u32,
        record: &Record,
    ) -> Self {
        for _ in 0..5 {
            let ports = free_ports();
            let name = format!("frontend-{number}");
            let zone = ZONES[number % ZONES.len()];
            let zones: Vec<String> = ZONES
                .iter()
                .map(|zone| format!("{{\"zone\":\"{zone}\",\"region\":\"gobi-south\"}}"))
                .collect();
            let settings = format!(
                "{{\"name\":\"{name}\",\"zone\":\"{zone}\",\"region\":\"gobi-south\",\"zones\":[{}],\
                 \"store\":\"{store}\",\"listen\":{{\"requests\":\"{}\",\"ready\":\"{}\",\
                 \"directory\":\"{}\",\"digests\":\"{}\",\"metrics\":\"{}\"}},\
                 \"bounds\":{{\"contact_ms\":3000,\"config_ms\":2000,\"grace_s\":8,\"directory_s\":5}},\
                 \"repeats\":{{\"ratio\":0.2,\"slack\":56,\"window_s\":10}},\
                 \"limits\":{{\"memory_mb\":{memory_mb},\"file_descriptors\":{descriptors}}}}}",
                zones.join(","),
                ports[0],
                ports[1],
                ports[2],
                ports[3],
                ports[4]
            );
            let path = folder.0.join(format!("{name}.json"));
            fs::write(&path, settings).expect("the settings can be written");
            let log = File::create(folder.0.join(format!("{name}.log"))).expect("a log");
            let child = Command::new("target/release/daisyyard")
                .args(["gateway", "--config"])
                .arg(&path)
                .stdout(Stdio::from(log))
                .stderr(Stdio::null())
                .spawn()
                .expect("the gateway program can be started");
            STARTED.lock().unwrap().push(child.id());
            let mut gateway = Self {
                requests: ports[0],
                ready: ports[1],
                directory: ports[2],
                name,
                settings: path.clone(),
                child,
            };
            let deadline = Instant::now() + Duration::from_secs(8);
            while Instant::now() < deadline && matches!(gateway.child.try_wait(), Ok(None)) {
                if gateway.is_ready() {
                    record.line(&format!("{} is ready", gateway.name));
                    return gateway;
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        panic!("no gateway became ready");
    }

    /// Ends the process and starts it again with the same settings.
    pub fn restart(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().retain(|process| *process != self.child.id());
        let log = File::options().append(true).open(self.settings.with_extension("log")).expect("a log");
        self.child = Command::new("target/release/daisyyard")
            .args(["gateway", "--config"])
            .arg(&self.settings)
            .stdout(Stdio::from(log))
            .stderr(Stdio::null())
            .spawn()
            .expect("the gateway program can be started");
        STARTED.lock().unwrap().push(self.child.id());
    }

    /// Returns whether the gateway says that it is ready.
    pub fn is_ready(&self) -> bool {
        let time = Duration::from_secs(1);
        let host = [("host", "platform")];
        http::call(self.ready, "GET", "/-/readiness", &host, b"", time).status == 200
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends the process a signal, such as `-TERM`.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([name, &self.child.id().to_string()]).status();
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        STARTED.lock().unwrap().retain(|process| *process != self.child.id());
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
