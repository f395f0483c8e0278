//! Stand-in for a plain service whose calls are not idempotent.

use std::net::SocketAddr;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

use daisyyard_http::{self as http, Body};

/// A running plain service; dropping it stops the service.
#[derive(Debug)]
pub struct Service {
    /// Address that accepts calls.
    pub address: SocketAddr,
    /// Channel to the task that records the runs.
    commands: mpsc::UnboundedSender<Command>,
    /// Recording task and server task.
    tasks: Vec<JoinHandle<()>>,
}

/// One execution of a call by the service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Method and path of the request, separated by a space.
    pub line: String,
    /// Body of the request.
    pub body: String,
}

/// Message to the task that records the runs.
#[derive(Debug)]
enum Command {
    /// Record a run.
    Record {
        /// Run to record.
        run: Run,
        /// Receives the number of runs so far, including this one.
        reply: oneshot::Sender<usize>,
    },
    /// Return all runs so far.
    Runs {
        /// Receives the runs.
        reply: oneshot::Sender<Vec<Run>>,
    },
}

impl Service {
    /// Starts a plain service on a free loopback port.
    pub async fn start() -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (commands, receiver) = mpsc::unbounded_channel();
        let owner = tokio::spawn(run(receiver));
        let sender = commands.clone();
        let server = http::serve(listener, move |request| handle(request, sender.clone()));
        Ok(Self {
            address,
            commands,
            tasks: vec![owner, server],
        })
    }

    /// Returns all runs so far, in order.
    pub async fn runs(&self) -> Vec<Run> {
        let (reply, answer) = oneshot::channel();
        let _ = self.commands.send(Command::Runs { reply });
        answer.await.unwrap_or_default()
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Records the runs until the service is dropped.
async fn run(mut commands: mpsc::UnboundedReceiver<Command>) {
    let mut runs = Vec::new();
    while let Some(command) = commands.recv().await {
        match command {
            Command::Record { run, reply } => {
                runs.push(run);
                let _ = reply.send(runs.len());
            }
            Command::Runs { reply } => {
                let _ = reply.send(runs.clone());
            }
        }
    }
}

/// Runs one call and responds with its number.
async fn handle(
    request: Request<Incoming>,
    commands: mpsc::UnboundedSender<Command>,
) -> Response<Body> {
    let line = format!("{} {}", request.method(), request.uri().path());
    let body = http::read_body(request.into_body())
        .await
        .unwrap_or_default();
    let body = String::from_utf8_lossy(&body).into_owned();
    let (reply, answer) = oneshot::channel();
    let _ = commands.send(Command::Record {
        run: Run { line, body },
        reply,
    });
    http::json(StatusCode::OK, &json!({"run": answer.await.unwrap_or(0)}))
}
