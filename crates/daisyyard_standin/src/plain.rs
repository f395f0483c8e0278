//! Stand-in for a plain service whose calls may not be repeated.

use std::net::SocketAddr;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

use daisyyard_http::{self as http, Body};

/// A running plain service; dropping it ends the service.
#[derive(Debug)]
pub struct Service {
    /// Address on which the service accepts calls.
    pub address: SocketAddr,
    /// Commands to the task that owns the runs.
    commands: mpsc::UnboundedSender<Command>,
    /// Tasks of the service.
    tasks: Vec<JoinHandle<()>>,
}

/// One run of a call, as the service saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Method and path.
    pub line: String,
    /// Body.
    pub body: String,
}

/// Message to the task that owns the runs.
#[derive(Debug)]
enum Command {
    /// Record a run and return its number.
    Record {
        /// The run.
        run: Run,
        /// Receives the number of runs so far.
        reply: oneshot::Sender<usize>,
    },
    /// Return all runs.
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

    /// Returns all runs so far.
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

/// Owns the runs until the service is dropped.
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

/// Runs one call.
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
