//! A machine of the soak: the task that owns the process of a gateway.

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

/// Time between the end of a process and its next start.
const RESTART: Duration = Duration::from_millis(300);
/// Time for a process that was told to stop: its grace period of 8 s, the longest pause, and a
/// second of a busy machine.
const STOP_LIMIT: Duration = Duration::from_secs(11);
/// Longest time to load the program and install its handlers.
const LOADING: Duration = Duration::from_millis(500);

/// What to do to the process.
#[derive(Debug)]
pub(crate) enum Order {
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
pub(crate) struct Terms {
    /// Number of the gateway.
    pub(crate) number: usize,
    /// Program to run.
    pub(crate) program: PathBuf,
    /// Address by which the gateway reaches the store.
    pub(crate) store: SocketAddr,
    /// Directory for its log, if it is kept.
    pub(crate) logs: Option<PathBuf>,
}

/// Handle of the task.
#[derive(Debug, Clone)]
pub(crate) struct Machine {
    /// Address for requests.
    pub(crate) requests: SocketAddr,
    /// Address for questions for readiness.
    pub(crate) ready: SocketAddr,
    /// Orders to the task.
    orders: mpsc::Sender<Order>,
}

/// The task's state.
#[derive(Debug)]
struct Owner {
    /// How the process is started.
    terms: Terms,
    /// Its settings file.
    settings: PathBuf,
    /// The process.
    child: Child,
    /// When it was told to stop.
    stopping: Option<Instant>,
    /// Whether it was ended on order.
    killed: bool,
    /// What went wrong.
    faults: Vec<String>,
}

/// Starts the process of a gateway and the task that owns it.
pub(crate) fn spawn(terms: Terms) -> anyhow::Result<Machine> {
    let listen = ports::free_addresses();
    let name = format!("daisyyard-soak-{}-{}", std::process::id(), listen[0].port());
    let settings = std::env::temp_dir().join(name).with_extension("json");
    let text = platform_fixture::settings(terms.store, terms.number, listen).to_string();
    std::fs::write(&settings, text).context("cannot write a settings file")?;
    let child = start(&terms, &settings)?;
    let (orders, received) = mpsc::channel(16);
    let owner = Owner {
        terms,
        settings,
        child,
        stopping: None,
        killed: false,
        faults: Vec::new(),
    };
    tokio::spawn(owner.run(received));
    Ok(Machine {
        requests: listen[0],
        ready: listen[1],
        orders,
    })
}

/// Starts the program.
fn start(terms: &Terms, settings: &Path) -> anyhow::Result<Child> {
    let output = match &terms.logs {
        Some(directory) => {
            let path = directory.join(format!("gateway-{}.log", terms.number));
            let file = File::options().create(true).append(true).open(&path);
            Stdio::from(file.with_context(|| format!("cannot write {}", path.display()))?)
        }
        None => Stdio::null(),
    };
    let mut command = Command::new(&terms.program);
    command.args(["gateway", "--config"]).arg(settings);
    command.stdout(output).kill_on_drop(true);
    command.spawn().context("cannot start a gateway")
}

impl Machine {
    /// Sends an order.
    pub(crate) async fn order(&self, order: Order) {
        // The task ends only after the last order.
        let _ = self.orders.send(order).await;
    }

    /// Ends the process for good and returns what went wrong with it.
    pub(crate) async fn finish(&self) -> Vec<String> {
        let (reply, faults) = oneshot::channel();
        self.order(Order::Finish(reply)).await;
        faults.await.unwrap_or_default()
    }
}

impl Owner {
    /// Carries out orders and starts the process again when it has ended.
    async fn run(mut self, mut orders: mpsc::Receiver<Order>) {
        loop {
            let late = self.stopping.map(|since| since + STOP_LIMIT);
            tokio::select! {
                order = orders.recv() => match order {
                    Some(Order::Finish(reply)) => {
                        self.end().await;
                        let _ = reply.send(self.faults);
                        return;
                    }
                    Some(order) => self.carry_out(&order).await,
                    None => return self.end().await,
                },
                status = self.child.wait() => {
                    let status = status.map_or_else(|error| error.to_string(), |one| one.to_string());
                    if let Err(error) = self.restart(&status).await {
                        self.faults.push(format!("{error:#}"));
                        return;
                    }
                }
                () = timer::sleep_until(late) => {
                    self.fault("did not stop within the grace period");
                    self.stopping = None;
                    self.kill();
                }
            }
        }
    }

    /// Carries out an order.
    async fn carry_out(&mut self, order: &Order) {
        match order {
            Order::Kill => self.kill(),
            Order::Stop => {
                self.stopping.get_or_insert(Instant::now());
                self.signal("-TERM").await;
            }
            Order::Pause => self.signal("-STOP").await,
            Order::Resume => self.signal("-CONT").await,
            Order::Reload => {
                self.listening().await;
                self.signal("-HUP").await;
            }
            Order::Finish(_) => {}
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
    async fn listening(&self) {
        let end = Instant::now() + LOADING;
        while self.child.id().is_some_and(|id| !catches_hangup(id)) && Instant::now() < end {
            tokio::time::sleep(LOADING / 100).await;
        }
    }

    /// Sends a signal to the process, by its id.
    async fn signal(&mut self, signal: &str) {
        if let Some(id) = self.child.id() {
            let mut kill = Command::new("kill");
            let sent = kill.args([signal, &id.to_string()]).status().await;
            if !sent.is_ok_and(|status| status.success()) && self.child.id().is_some() {
                self.fault("could not be sent a signal");
            }
        }
    }

    /// Starts the process again after it has ended.
    async fn restart(&mut self, status: &str) -> anyhow::Result<()> {
        if !self.killed && self.stopping.is_none() {
            self.fault(&format!("ended by itself with {status}"));
        }
        (self.killed, self.stopping) = (false, None);
        tokio::time::sleep(RESTART).await;
        self.child = start(&self.terms, &self.settings)?;
        Ok(())
    }

    /// Ends the process for good.
    async fn end(&mut self) {
        // Nothing is left to do about a process or file that is gone.
        let _ = self.child.kill().await;
        let _ = std::fs::remove_file(&self.settings);
    }

    /// Notes what went wrong.
    fn fault(&mut self, what: &str) {
        self.faults
            .push(format!("gateway-{} {what}", self.terms.number));
    }
}

/// Returns whether a process has a handler for `SIGHUP`, which is the first bit of the mask.
fn catches_hangup(id: u32) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let mask = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
    let mask = mask.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
    mask.is_some_and(|mask| mask & 1 == 1)
}
