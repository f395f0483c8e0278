//! A node that runs in a separate process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use daisyyard_standin::ports;
use serde_json::Value;

/// Starts `daisyyard serve` with the settings for a free address, and waits until it listens there.
pub(crate) async fn serve(settings: impl Fn(SocketAddr) -> Value) -> (Child, SocketAddr) {
    let start = |[address]: [SocketAddr; 1]| {
        let name = format!("daisyyard-node-{}.json", address.port());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, settings(address).to_string())?;
        let process = Command::new(env!("CARGO_BIN_EXE_daisyyard"))
            .args(["serve", "--config"])
            .arg(&path)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()?;
        Ok((process, path))
    };
    let has_ended = |(process, _): &mut (Child, PathBuf)| !matches!(process.try_wait(), Ok(None));
    let started = ports::start_on(0, start, has_ended).await;
    let ((process, path), [address]) = started.expect("the node starts");
    std::fs::remove_file(&path).expect("the settings file is there");
    (process, address)
}
