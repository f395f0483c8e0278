//! One node: starts its tasks and waits for the signal to stop.

use std::net::SocketAddr;

use anyhow::Context;
use daisyyard_core::id;
use daisyyard_core::preset::Preset;
use daisyyard_core::zone::Zone;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinHandle;

use crate::event::{self, Event};
use crate::generation::Actors;
use crate::settings::Settings;
use crate::{admission, dispatch, front, roster};

/// A running node; dropping it ends its tasks at once.
#[derive(Debug)]
pub struct Node {
    /// Address for callers.
    pub address: SocketAddr,
    /// Tasks of the node.
    tasks: Vec<JoinHandle<()>>,
}

impl Node {
    /// Starts a node.
    pub async fn start(settings: Settings) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(settings.listen).await;
        let listener = listener
            .with_context(|| format!("cannot listen on {}; is it in use?", settings.listen))?;
        let address = listener.local_addr()?;
        let dispatch = dispatch::spawn(Zone::new(&settings.zone, &settings.region));
        let endpoints = roster::poll(settings.list).await.unwrap_or_default();
        let _ = dispatch.send(dispatch::Adopt(endpoints)).await;
        let preset = Preset::ordinary(&settings.services);
        let admission = admission::spawn(preset, dispatch.clone());
        let roster = roster::spawn(settings.list, dispatch.clone());
        let actors = Actors {
            node: id::of(&settings.name),
            dispatch,
            admission,
        };
        let front = front::spawn(listener, &settings, actors);
        event::emit(
            Event::NodeStarted,
            &format!("name={} address={address}", settings.name),
        );
        Ok(Self {
            address,
            tasks: vec![roster, front],
        })
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Runs a node until the process is told to stop.
pub async fn run(settings: Settings) -> anyhow::Result<()> {
    event::configure(settings.log)?;
    for warning in settings.warnings() {
        event::emit(Event::SettingDoubtful, &warning);
    }
    let node = Node::start(settings).await?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    event::emit(Event::NodeStopped, &format!("address={}", node.address));
    Ok(())
}
