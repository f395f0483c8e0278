//! Actor that sends calls to the platform's configuration service within a budget.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use daisyyard_core::id::Revision;
use daisyyard_core::store_budget::{Budget, Decision};
use tokio::sync::oneshot;
use xtra::{Actor, Address, Context, Handler, Mailbox};

use crate::kv::{Answer, Call, Entry, Error};

/// Maximum time that a read or write waits for the budget.
const BUDGET_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum attempts of a write whose result is unknown.
const MAX_WRITE_ATTEMPTS: usize = 3;

/// Actor that owns the call budget.
#[derive(Debug, Actor)]
pub(crate) struct Store {
    /// Address of the configuration service.
    service: SocketAddr,
    /// Limits the rate of calls.
    budget: Budget,
}

/// Result of a watch.
#[derive(Debug)]
pub(crate) enum Watched {
    /// The key did not change during the wait.
    Unchanged,
    /// The key does not exist.
    Missing,
    /// The key has a new value.
    Changed(Entry),
}

/// Message: send a call once the budget allows it.
#[derive(Debug)]
struct Submit {
    /// Call to send.
    call: Call,
    /// Deadline for waiting for the budget; watches have none.
    deadline: Option<Instant>,
    /// Receives the answer.
    reply: oneshot::Sender<Result<Answer, Error>>,
}

/// Message: a call ended; holds whether the service answered it.
#[derive(Debug)]
struct Answered(bool);

/// Handle through which other tasks call the service.
#[derive(Debug, Clone)]
pub(crate) struct Client(Address<Store>);

/// Starts the actor; `seed` randomizes the budget.
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
        let deadline = Some(Instant::now() + BUDGET_TIMEOUT);
        self.call(Call::get(key), deadline).await?.value()
    }

    /// Waits until a key's revision differs from `after`, for at most `wait`.
    pub(crate) async fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Watched, Error> {
        match self.call(Call::watch(key, after, wait), None).await? {
            Answer::Value(Some(entry)) => Ok(Watched::Changed(entry)),
            Answer::Value(None) => Ok(Watched::Missing),
            Answer::Unchanged | Answer::Written(_) => Ok(Watched::Unchanged),
        }
    }

    /// Writes a key if it has the expected revision; 0 expects that the key does not exist.
    pub(crate) async fn compare_and_swap(
        &self,
        key: &str,
        expected: Revision,
        value: Bytes,
    ) -> Result<(), Error> {
        let deadline = Some(Instant::now() + BUDGET_TIMEOUT);
        let answer = self.call(Call::put(key, expected, value), deadline).await?;
        answer.written().map(drop)
    }

    /// Writes a key like [`Self::compare_and_swap`], and reads the key back to find out whether an
    /// unanswered write took effect.
    ///
    /// `is_own` returns whether a value results from this write. An unanswered write is repeated
    /// with the same expected revision, so that it takes effect at most once.
    pub(crate) async fn swap_confirmed(
        &self,
        key: &str,
        expected: Revision,
        value: Bytes,
        is_own: impl Fn(&Bytes) -> bool,
    ) -> Result<(), Error> {
        let mut sent = false;
        for _ in 0..MAX_WRITE_ATTEMPTS {
            match self.compare_and_swap(key, expected, value.clone()).await {
                Ok(()) => return Ok(()),
                Err(Error::Unanswered) => sent = true,
                Err(Error::Conflict(_) | Error::Unsent) if sent => {}
                Err(error) => return Err(error),
            }
            if let Ok(entry) = self.get(key).await {
                let revision = entry.as_ref().map_or(0, |entry| entry.revision);
                if entry.is_some_and(|entry| is_own(&entry.value)) {
                    return Ok(());
                }
                if revision != expected {
                    return Err(Error::Conflict(revision));
                }
            }
        }
        Err(Error::Unanswered)
    }

    /// Sends a call through the actor and waits for the answer.
    async fn call(&self, call: Call, deadline: Option<Instant>) -> Result<Answer, Error> {
        let (reply, answer) = oneshot::channel();
        let _ = self
            .0
            .send(Submit {
                call,
                deadline,
                reply,
            })
            .await;
        answer.await.map_err(|_stopped| Error::Unsent)?
    }
}

impl Handler<Submit> for Store {
    type Return = ();

    async fn handle(&mut self, message: Submit, ctx: &mut Context<Self>) {
        let actor = ctx.mailbox().address();
        let now = Instant::now();
        match self.budget.take(now) {
            Decision::Call => {
                let service = self.service;
                tokio::spawn(async move {
                    let result = message.call.send(service).await;
                    // A service that rejects calls counts as failing, just as one that is down;
                    // both recover sooner if they receive fewer calls.
                    let answered = matches!(result, Ok(_) | Err(Error::Conflict(_)));
                    let _ = actor.send(Answered(answered)).await;
                    let _ = message.reply.send(result);
                });
            }
            Decision::Wait(wait)
                if message
                    .deadline
                    .is_some_and(|deadline| now + wait > deadline) =>
            {
                let _ = message.reply.send(Err(Error::Unsent));
            }
            Decision::Wait(wait) => {
                tokio::spawn(async move {
                    tokio::time::sleep(wait).await;
                    let _ = actor.send(message).await;
                });
            }
        }
    }
}

impl Handler<Answered> for Store {
    type Return = ();

    async fn handle(&mut self, message: Answered, _: &mut Context<Self>) {
        if message.0 {
            self.budget.succeed();
        } else {
            self.budget.fail(Instant::now());
        }
    }
}
