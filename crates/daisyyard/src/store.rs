//! The actor that calls the platform's configuration service within a budget.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use daisyyard_core::store_budget::{Budget, Next};
use http_body_util::BodyExt;
use hyper::{Method, StatusCode};
use tokio::sync::oneshot;
use xtra::{Actor, Address, Context, Handler, Mailbox};

/// Time until a call that does not wait for a change is given up.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Time until a read or write for an operator or a request gives up waiting for the budget.
const PATIENCE: Duration = Duration::from_secs(2);
/// Attempts of a write whose result is unknown.
const ATTEMPTS: usize = 3;

/// Owns the budget of calls.
#[derive(Debug, Actor)]
pub(crate) struct Store {
    /// Address of the service.
    service: SocketAddr,
    /// Budget of calls.
    budget: Budget,
}

/// A value and the revision that the service gave it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Entry {
    /// Revision of the key.
    pub(crate) revision: u64,
    /// The value.
    pub(crate) value: Bytes,
}

/// What a watch has found.
#[derive(Debug)]
pub(crate) enum Watched {
    /// The key has not changed.
    Same,
    /// The key does not exist any more.
    Missing,
    /// The key has another value.
    Changed(Entry),
}

/// Answer of the service.
#[derive(Debug)]
enum Answer {
    /// The key's value, if it exists.
    Value(Option<Entry>),
    /// The watched key has not changed.
    Unchanged,
    /// The value was written.
    Written,
}

/// Why a call has no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Error {
    /// The key has another revision than the expected one; nothing was written.
    #[error("the key has revision {0}; read it and decide again")]
    Conflict(u64),
    /// Nothing reached the service.
    #[error("the configuration service is not reachable; nothing was sent, try again later")]
    Unsent,
    /// The call may have taken effect.
    #[error("the configuration service did not answer; read the key to see the result")]
    Unanswered,
    /// The service declined the call.
    #[error("the configuration service declined the call with status {0}; check its address")]
    Declined(u16),
}

/// One call.
#[derive(Debug, Clone)]
struct Call {
    /// Method.
    method: Method,
    /// Path and query.
    path: String,
    /// Body.
    body: Bytes,
    /// Time that the service may take.
    timeout: Duration,
}

/// Asks the actor to send a call.
#[derive(Debug)]
struct Send {
    /// The call.
    call: Call,
    /// When waiting for the budget ends; watches wait without end.
    until: Option<Instant>,
    /// Receives the answer.
    reply: oneshot::Sender<Result<Answer, Error>>,
}

/// Tells the actor whether the service answered.
#[derive(Debug)]
struct Outcome(bool);

/// Handle for calls.
#[derive(Debug, Clone)]
pub(crate) struct Client(Address<Store>);

/// Starts the actor.
pub(crate) fn spawn(service: SocketAddr, seed: u64) -> Client {
    let budget = Budget::new(seed, Instant::now());
    Client(xtra::spawn_tokio(
        Store { service, budget },
        Mailbox::unbounded(),
    ))
}

impl Client {
    /// Reads a key.
    pub(crate) async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        let path = format!("/kv/{key}");
        let until = Some(Instant::now() + PATIENCE);
        match self
            .call(Method::GET, path, Bytes::new(), TIMEOUT, until)
            .await?
        {
            Answer::Value(entry) => Ok(entry),
            Answer::Unchanged | Answer::Written => Err(Error::Unanswered),
        }
    }

    /// Waits until a key's revision differs from the one given, or until a time has passed.
    pub(crate) async fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Watched, Error> {
        let path = format!("/kv/{key}?after={after}&wait_ms={}", wait.as_millis());
        let timeout = wait + TIMEOUT;
        match self
            .call(Method::GET, path, Bytes::new(), timeout, None)
            .await?
        {
            Answer::Value(Some(entry)) => Ok(Watched::Changed(entry)),
            Answer::Value(None) => Ok(Watched::Missing),
            Answer::Unchanged | Answer::Written => Ok(Watched::Same),
        }
    }

    /// Writes a key if it has the expected revision; zero expects no value.
    pub(crate) async fn swap(&self, key: &str, expected: u64, value: Bytes) -> Result<(), Error> {
        let path = format!("/kv/{key}?expected={expected}");
        let until = Some(Instant::now() + PATIENCE);
        match self.call(Method::PUT, path, value, TIMEOUT, until).await? {
            Answer::Written => Ok(()),
            Answer::Value(_) | Answer::Unchanged => Err(Error::Unanswered),
        }
    }

    /// Writes a key and finds out by reading back whether a write without answer took effect.
    ///
    /// `mine` tells whether a value results from this write. A write without answer is repeated
    /// with the same expected revision, which can take effect at most once.
    pub(crate) async fn replace(
        &self,
        key: &str,
        expected: u64,
        value: Bytes,
        mine: impl Fn(&Bytes) -> bool,
    ) -> Result<(), Error> {
        let mut sent = false;
        for _ in 0..ATTEMPTS {
            match self.swap(key, expected, value.clone()).await {
                Ok(()) => return Ok(()),
                Err(Error::Unanswered) => sent = true,
                Err(Error::Conflict(_) | Error::Unsent) if sent => {}
                Err(error) => return Err(error),
            }
            if let Ok(entry) = self.get(key).await {
                let revision = entry.as_ref().map_or(0, |entry| entry.revision);
                if entry.is_some_and(|entry| mine(&entry.value)) {
                    return Ok(());
                }
                if revision != expected {
                    return Err(Error::Conflict(revision));
                }
            }
        }
        Err(Error::Unanswered)
    }

    /// Sends a call through the actor.
    async fn call(
        &self,
        method: Method,
        path: String,
        body: Bytes,
        timeout: Duration,
        until: Option<Instant>,
    ) -> Result<Answer, Error> {
        let call = Call {
            method,
            path,
            body,
            timeout,
        };
        let (reply, answer) = oneshot::channel();
        let _ = self.0.send(Send { call, until, reply }).await;
        answer.await.map_err(|_stopped| Error::Unsent)?
    }
}

impl Handler<Send> for Store {
    type Return = ();

    async fn handle(&mut self, message: Send, ctx: &mut Context<Self>) {
        let actor = ctx.mailbox().address();
        let now = Instant::now();
        match self.budget.take(now) {
            Next::Call => {
                let service = self.service;
                tokio::spawn(async move {
                    let result = message.call.send(service).await;
                    let answered = !matches!(result, Err(Error::Unsent | Error::Unanswered));
                    let _ = actor.send(Outcome(answered)).await;
                    let _ = message.reply.send(result);
                });
            }
            Next::Wait(wait) if message.until.is_some_and(|until| now + wait > until) => {
                let _ = message.reply.send(Err(Error::Unsent));
            }
            Next::Wait(wait) => {
                tokio::spawn(async move {
                    tokio::time::sleep(wait).await;
                    let _ = actor.send(message).await;
                });
            }
        }
    }
}

impl Handler<Outcome> for Store {
    type Return = ();

    async fn handle(&mut self, message: Outcome, _: &mut Context<Self>) {
        if message.0 {
            self.budget.succeed();
        } else {
            self.budget.fail(Instant::now());
        }
    }
}

impl Call {
    /// Sends the call on a connection of its own.
    async fn send(self, service: SocketAddr) -> Result<Answer, Error> {
        let put = self.method == Method::PUT;
        let exchange = async {
            let sent = daisyyard_http::open(service, self.method, &self.path, &[], self.body);
            let response = sent.await.map_err(|error| {
                let refused = error.downcast_ref::<std::io::Error>().is_some();
                if refused {
                    Error::Unsent
                } else {
                    Error::Unanswered
                }
            })?;
            let revision = response.headers().get("x-revision");
            let revision = revision.and_then(|value| value.to_str().ok()?.parse().ok());
            let status = response.status();
            let body = response.into_body().collect().await;
            let body = body.map_err(|_broken| Error::Unanswered)?.to_bytes();
            Ok((status, revision, body))
        };
        let exchange = tokio::time::timeout(self.timeout, exchange).await;
        let (status, revision, value) = exchange.map_err(|_elapsed| Error::Unanswered)??;
        match status {
            StatusCode::OK if put => Ok(Answer::Written),
            StatusCode::OK => {
                let revision = revision.ok_or(Error::Unanswered)?;
                Ok(Answer::Value(Some(Entry { revision, value })))
            }
            StatusCode::NOT_FOUND if !put => Ok(Answer::Value(None)),
            StatusCode::NOT_MODIFIED => Ok(Answer::Unchanged),
            StatusCode::CONFLICT => {
                let held: serde_json::Value = serde_json::from_slice(&value).unwrap_or_default();
                Err(Error::Conflict(held["revision"].as_u64().unwrap_or(0)))
            }
            status => Err(Error::Declined(status.as_u16())),
        }
    }
}
