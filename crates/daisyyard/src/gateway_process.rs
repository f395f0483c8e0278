//! A machine of the soak: the task that owns the process of a gateway.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::{Duration, Instant};

use anyhow::Context;
use daisyyard_gateway::timer;
use daisyyard_standin::{platform_site, ports};
use tokio::process::{Child, Command};
use tokio::sync::{mpsc, oneshot};

/// Time between the end of a process and its next start.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Time for a process that was told to stop: its grace period of 8 s, the longest pause, and a
/// second of a busy machine.
const STOP_TIMEOUT: Duration = Duration::from_secs(11);
/// Longest time to load the program and install its handlers.
const STARTUP_TIMEOUT: Duration = Duration::from_millis(500);

/// What to do to the process.
#[derive(Debug)]
pub(crate) enum Control {
    /// End it without warning.
    Kill,
    /// Tell it to stop.
    Stop,
    /// Suspend it.
    Pause,
    /// Let it go on.
    Resume,
    /// Tell it that its settings may have changed.
    Reload,
    /// End it for good, and return what went wrong so far.
    Finish(oneshot::Sender<Vec<String>>),
}

/// What is needed to start the process.
#[derive(Debug)]
pub(crate) struct Spec {
    /// Number of the gateway.
    pub(crate) number: usize,
    /// Program to run.
    pub(crate) program: PathBuf,
    /// Address by which the gateway reaches the store.
    pub(crate) store_address: SocketAddr,
    /// Directory for its log, if it is kept.
    pub(crate) log_directory: Option<PathBuf>,
}

/// Handle of the task.
#[derive(Debug, Clone)]
pub(crate) struct Handle {
    /// Address for requests.
    pub(crate) request_address: SocketAddr,
    /// Address for questions for readiness.
    pub(crate) readiness_address: SocketAddr,
    /// Orders to the task.
    controls: mpsc::Sender<Control>,
}

/// The task's state.
#[derive(Debug)]
struct Supervisor {
    /// How the process is started.
    spec: Spec,
    /// Its settings file.
    settings_path: PathBuf,
    /// The process.
    child: Child,
    /// When it was told to stop.
    stop_requested_at: Option<Instant>,
    /// Whether it was ended on order.
    killed: bool,
    /// What went wrong.
    faults: Vec<String>,
}

/// Starts the process of a gateway and the task that owns it.
pub(crate) fn spawn(spec: Spec) -> anyhow::Result<Handle> {
    let addresses = ports::free();
    let name = format!(
        "daisyyard-soak-{}-{}",
        std::process::id(),
        addresses[0].port()
    );
    let settings_path = std::env::temp_dir().join(name).with_extension("json");
    let text = platform_site::settings(spec.store_address, spec.number, addresses).to_string();
    std::fs::write(&settings_path, text).context("cannot write a settings file")?;
    let child = start(&spec, &settings_path)?;
    let (controls, received) = mpsc::channel(16);
    let supervisor = Supervisor {
        spec,
        settings_path,
        child,
        stop_requested_at: None,
        killed: false,
        faults: Vec::new(),
    };
    tokio::spawn(supervisor.run(received));
    Ok(Handle {
        request_address: addresses[0],
        readiness_address: addresses[1],
        controls,
    })
}

/// Starts the program.
fn start(spec: &Spec, settings_path: &Path) -> anyhow::Result<Child> {
    let output = match &spec.log_directory {
        Some(directory) => {
            let path = directory.join(format!("gateway-{}.log", spec.number));
            let file = File::options().create(true).append(true).open(&path);
            Stdio::from(file.with_context(|| format!("cannot write {}", path.display()))?)
        }
        None => Stdio::null(),
    };
    let mut command = Command::new(&spec.program);
    command.args(["gateway", "--config"]).arg(settings_path);
    command.stdout(output).kill_on_drop(true);
    command.spawn().context("cannot start a gateway")
}

impl Handle {
    /// Sends an order.
    pub(crate) async fn send(&self, control: Control) {
        // The task ends only after the last order.
        let _ = self.controls.send(control).await;
    }

    /// Ends the process for good and returns what went wrong with it.
    pub(crate) async fn finish(&self) -> Vec<String> {
        let (reply, faults) = oneshot::channel();
        self.send(Control::Finish(reply)).await;
        faults.await.unwrap_or_default()
    }
}

impl Supervisor {
    /// Carries out controls and starts the process again when it has ended.
    async fn run(mut self, mut controls: mpsc::Receiver<Control>) {
        loop {
            let stop_deadline = self.stop_requested_at.map(|since| since + STOP_TIMEOUT);
            tokio::select! {
                control = controls.recv() => match control {
                    Some(Control::Finish(reply)) => {
                        self.shut_down().await;
                        let _ = reply.send(self.faults);
                        return;
                    }
                    Some(control) => self.apply(&control).await,
                    None => return self.shut_down().await,
                },
                status = self.child.wait() => {
                    let status = status.map_or_else(|error| error.to_string(), |one| one.to_string());
                    if let Err(error) = self.restart(&status).await {
                        self.faults.push(format!("{error:#}"));
                        return;
                    }
                }
                () = timer::sleep_until(stop_deadline) => {
                    self.record_fault("did not stop within the grace period");
                    self.stop_requested_at = None;
                    self.kill();
                }
            }
        }
    }

    /// Carries out an order.
    async fn apply(&mut self, control: &Control) {
        match control {
            Control::Kill => self.kill(),
            Control::Stop => {
                self.stop_requested_at.get_or_insert(Instant::now());
                self.send_signal("-TERM").await;
            }
            Control::Pause => self.send_signal("-STOP").await,
            Control::Resume => self.send_signal("-CONT").await,
            Control::Reload => {
                self.wait_for_handlers().await;
                self.send_signal("-HUP").await;
            }
            Control::Finish(_) => {}
        }
    }

    /// Ends the process without warning.
    fn kill(&mut self) {
        self.killed = true;
        // A process that has just ended needs no signal.
        let _ = self.child.start_kill();
    }

    /// Waits until the program has installed its handlers: the system ends a process that receives
    /// the signal while its program is being loaded, whatever the program does.
    async fn wait_for_handlers(&self) {
        let deadline = Instant::now() + STARTUP_TIMEOUT;
        while self.child.id().is_some_and(|id| !catches_hangup(id)) && Instant::now() < deadline {
            tokio::time::sleep(STARTUP_TIMEOUT / 100).await;
        }
    }

    /// Sends a signal to the process, by its id.
    async fn send_signal(&mut self, signal: &str) {
        if let Some(id) = self.child.id() {
            let mut kill = Command::new("kill");
            let status = kill.args([signal, &id.to_string()]).status().await;
            if !status.is_ok_and(|status| status.success()) && self.child.id().is_some() {
                self.record_fault("could not be sent a signal");
            }
        }
    }

    /// Starts the process again after it has ended.
    async fn restart(&mut self, status: &str) -> anyhow::Result<()> {
        if !self.killed && self.stop_requested_at.is_none() {
            self.record_fault(&format!("ended by itself with {status}"));
        }
        (self.killed, self.stop_requested_at) = (false, None);
        tokio::time::sleep(RESTART_DELAY).await;
        self.child = start(&self.spec, &self.settings_path)?;
        Ok(())
    }

    /// Ends the process for good.
    async fn shut_down(&mut self) {
        // Nothing is left to do about a process or file that is gone.
        let _ = self.child.kill().await;
        let _ = std::fs::remove_file(&self.settings_path);
    }

    /// Notes what went wrong.
    fn record_fault(&mut self, what: &str) {
        self.faults
            .push(format!("gateway-{} {what}", self.spec.number));
    }
}

/// Returns whether a process has a handler for `SIGHUP`, which is the first bit of the mask.
fn catches_hangup(id: u32) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let mask = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
    let mask = mask.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
    mask.is_some_and(|mask| mask & 1 == 1)
}
