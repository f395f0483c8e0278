//! Gateway processes of the soak test, each run by a supervisor task that restarts it.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::{Duration, Instant};

use anyhow::Context;
use daisyyard_gateway::timer;
use daisyyard_standin::{platform_fixture, ports};
use tokio::process::{Child, Command};
use tokio::sync::{mpsc, oneshot};

/// Index of the address of a gateway's metrics, which it serves once all others are open.
const METRICS_INDEX: usize = 4;
/// Delay between the end of a process and its restart.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Limit on a planned stop: the grace period of 8 s, the longest pause of 2 s, and 1 s for a busy
/// host.
const STOP_TIMEOUT: Duration = Duration::from_secs(11);
/// Limit on the time that a process takes to install its signal handlers, while it is not suspended.
const STARTUP_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between two checks whether a process that is to reload its settings has its signal handlers.
const HANDLER_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Control message to the supervisor.
#[derive(Debug)]
pub(crate) enum Control {
    /// Kills the process.
    Kill,
    /// Starts a planned stop with SIGTERM.
    Stop,
    /// Suspends the process.
    Pause,
    /// Resumes the suspended process.
    Resume,
    /// Makes the process reload its settings with SIGHUP.
    Reload,
    /// Ends the process and the supervisor, and returns the faults recorded so far.
    Finish(oneshot::Sender<Vec<String>>),
}

/// Parameters for starting the process.
#[derive(Debug)]
pub(crate) struct Spec {
    /// Number of the gateway in the soak.
    pub(crate) number: usize,
    /// Path of the `daisyyard` program.
    pub(crate) program: PathBuf,
    /// Address at which the gateway reaches the store.
    pub(crate) store_address: SocketAddr,
    /// Directory for the log of the process; without it the log is discarded.
    pub(crate) log_directory: Option<PathBuf>,
}

/// Handle of a supervisor.
#[derive(Debug, Clone)]
pub(crate) struct Handle {
    /// Address at which the gateway accepts requests.
    pub(crate) request_address: SocketAddr,
    /// Address of the readiness check.
    pub(crate) readiness_address: SocketAddr,
    /// Control messages to the supervisor.
    controls: mpsc::Sender<Control>,
}

/// Task that owns a gateway process.
#[derive(Debug)]
struct Supervisor {
    /// Parameters for starting the process.
    spec: Spec,
    /// Path of the settings file.
    settings_path: PathBuf,
    /// The running process.
    child: Child,
    /// Time of the first stop message since the process was started.
    stop_requested_at: Option<Instant>,
    /// Whether the process is suspended.
    paused: bool,
    /// When a process that is to reload its settings must have its signal handlers; none if it is not.
    /// Before that, the default action of SIGHUP terminates it, which no program can prevent while it is
    /// being loaded.
    reload_due: Option<Instant>,
    /// Whether the supervisor killed the process.
    killed: bool,
    /// Faults of the process.
    faults: Vec<String>,
}

/// Writes the settings of a gateway and starts its process and supervisor, once the process listens.
pub(crate) async fn spawn(spec: Spec) -> anyhow::Result<Handle> {
    let start_on = |addresses: [SocketAddr; 5]| {
        let (id, port) = (std::process::id(), addresses[0].port());
        let name = format!("daisyyard-soak-{id}-{port}");
        let settings_path = std::env::temp_dir().join(name).with_extension("json");
        let mut settings = platform_fixture::settings(spec.store_address, spec.number, addresses);
        settings["bounds"]["cold_overage"] = 1.5.into();
        settings["bounds"]["cold_slack"] = 5.into();
        std::fs::write(&settings_path, settings.to_string())
            .context("cannot write a settings file")?;
        Ok((start(&spec, &settings_path)?, settings_path))
    };
    let has_ended = |(child, _): &mut (Child, PathBuf)| !matches!(child.try_wait(), Ok(None));
    let ((child, settings_path), addresses) =
        ports::start_on(METRICS_INDEX, start_on, has_ended).await?;
    let (controls, received) = mpsc::channel(16);
    let supervisor = Supervisor {
        spec,
        settings_path,
        child,
        stop_requested_at: None,
        paused: false,
        reload_due: None,
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

/// Starts the gateway program, appending its output to the log.
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
    /// Sends a control message.
    pub(crate) async fn send(&self, control: Control) {
        // A send fails only if the supervisor has ended because of a failed restart.
        let _ = self.controls.send(control).await;
    }

    /// Ends the process and the supervisor, and returns the faults of the process.
    pub(crate) async fn finish(&self) -> Vec<String> {
        let (reply, faults) = oneshot::channel();
        self.send(Control::Finish(reply)).await;
        faults.await.unwrap_or_default()
    }
}

impl Supervisor {
    /// Handles control messages, and restarts the process when it ends.
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
                () = tokio::time::sleep(HANDLER_POLL_INTERVAL), if self.reload_due.is_some() => {
                    self.reload_if_ready().await;
                }
                () = timer::sleep_until(stop_deadline) => {
                    self.record_fault("did not stop within the grace period");
                    self.stop_requested_at = None;
                    self.kill();
                }
            }
        }
    }

    /// Handles a control message other than `Finish`.
    async fn apply(&mut self, control: &Control) {
        match control {
            Control::Kill => self.kill(),
            Control::Stop => {
                self.stop_requested_at.get_or_insert(Instant::now());
                self.send_signal("-TERM").await;
            }
            Control::Pause => {
                self.paused = true;
                self.send_signal("-STOP").await;
            }
            Control::Resume => {
                self.paused = false;
                self.send_signal("-CONT").await;
                // Its time to start begins anew.
                let due = self.reload_due.take();
                self.reload_due = due.map(|_| Instant::now() + STARTUP_TIMEOUT);
            }
            Control::Reload => {
                self.reload_due = Some(Instant::now() + STARTUP_TIMEOUT);
                self.reload_if_ready().await;
            }
            Control::Finish(_) => {}
        }
    }

    /// Kills the process.
    fn kill(&mut self) {
        self.killed = true;
        // Fails only if the process has already ended.
        let _ = self.child.start_kill();
    }

    /// Makes the process reload its settings if that is due and it has, or must have, its signal handlers.
    /// It may be suspended before it has them, so that other messages must not wait for this.
    async fn reload_if_ready(&mut self) {
        let Some(due) = self.reload_due else {
            return;
        };
        let is_late = !self.paused && due <= Instant::now();
        if is_late || self.child.id().is_some_and(catches_hangup) {
            self.reload_due = None;
            self.send_signal("-HUP").await;
        }
    }

    /// Sends a signal to the process with the `kill` command.
    async fn send_signal(&mut self, signal: &str) {
        if let Some(id) = self.child.id() {
            let mut kill = Command::new("kill");
            let status = kill.args([signal, &id.to_string()]).status().await;
            if !status.is_ok_and(|status| status.success()) && self.child.id().is_some() {
                self.record_fault("could not be signalled");
            }
        }
    }

    /// Restarts the process after it has ended, and records a fault if it was neither killed nor
    /// stopped.
    async fn restart(&mut self, status: &str) -> anyhow::Result<()> {
        if !self.killed && self.stop_requested_at.is_none() {
            self.record_fault(&format!("exited unexpectedly with {status}"));
        }
        (self.killed, self.stop_requested_at) = (false, None);
        tokio::time::sleep(RESTART_DELAY).await;
        self.child = start(&self.spec, &self.settings_path)?;
        self.paused = false;
        let due = self.reload_due.take();
        self.reload_due = due.map(|_| Instant::now() + STARTUP_TIMEOUT);
        Ok(())
    }

    /// Kills the process without a restart and removes its settings file.
    async fn shut_down(&mut self) {
        // Errors are ignored: the process or the file may already be gone.
        let _ = self.child.kill().await;
        let _ = std::fs::remove_file(&self.settings_path);
    }

    /// Records a fault under the name of the gateway.
    fn record_fault(&mut self, what: &str) {
        self.faults
            .push(format!("gateway-{} {what}", self.spec.number));
    }
}

/// Returns whether a process has a handler for SIGHUP, the lowest bit of `SigCgt` in its status.
fn catches_hangup(id: u32) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let mask = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
    let mask = mask.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
    mask.is_some_and(|mask| mask & 1 == 1)
}
