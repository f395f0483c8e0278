//! A node that runs in a separate process.

use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use assert_matches::assert_matches;
use serde_json::Value;

/// Returns a loopback address whose port is currently free.
pub(crate) fn free_address() -> SocketAddr {
    let [address] = daisyyard_standin::ports::free_addresses();
    address
}

/// Starts `daisyyard serve` with settings for this address and waits until it accepts connections.
pub(crate) async fn serve(address: SocketAddr, settings: &Value) -> Child {
    let name = format!("daisyyard-node-{}.json", address.port());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, settings.to_string()).expect("a settings file");
    let mut process = Command::new(env!("CARGO_BIN_EXE_daisyyard"))
        .args(["serve", "--config"])
        .arg(&path)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("the node starts");
    while tokio::net::TcpStream::connect(address).await.is_err() {
        let ended = process.try_wait().expect("the state of the process");
        assert_matches!(ended, None, "the node did not start");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    std::fs::remove_file(&path).expect("the settings file is there");
    process
}
