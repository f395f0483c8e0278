//! Execution of a call at most once: claims it in the call registry, sends it and records the
//! outcome.

use bytes::Bytes;
use daisyyard_core::attempt::{Outcome, Progress};
use xtra::Address;

use crate::call_registry::{self, Claim, Finish, Registry, Release, Verdict};

/// Result of sending a call to an endpoint.
#[derive(Debug)]
pub struct Exchange {
    /// How far the request got; `Unsent` and `Declined` must be certain, since they allow the call
    /// to be sent again.
    pub progress: Progress,
    /// Status and body of the answer, if there was one.
    pub answer: Option<(u16, Bytes)>,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// The endpoint's answer to this call.
    Answer(u16, Bytes),
    /// The endpoint's answer to an earlier call with the same key and body.
    Replay(u16, Bytes),
    /// An earlier call with the same key ran; its answer was too long to keep.
    NotKept(u16),
    /// The endpoint did not run the call; the same key may be used again.
    NotSent(Progress),
    /// The call may have run or may still be running.
    Unknown,
    /// The key was used before for another call.
    KeyReused,
    /// The call registry is full and holds no record of the key; nothing was sent.
    Full,
    /// The call registry did not confirm the claim. Nothing was sent for this call, but an earlier
    /// call with the same key may have run.
    Unavailable,
}

impl End {
    /// Returns whether the call ran, as far as is known.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Answer(..) | Self::Replay(..) | Self::NotKept(_) => Outcome::Run,
            Self::Unknown | Self::Unavailable => Outcome::Unknown,
            Self::NotSent(_) | Self::KeyReused | Self::Full => Outcome::NotRun,
        }
    }
}

/// Runs a call at most once across all nodes.
///
/// `send` is called at most once, and only after the claim is confirmed. The call runs in its own
/// task, so that the outcome is recorded even if the caller disconnects.
pub async fn run_once<S, F>(calls: Address<Registry>, claim: Claim, send: S) -> End
where
    S: FnOnce() -> F + Send + 'static,
    F: Future<Output = Exchange> + Send + 'static,
{
    let run = tokio::spawn(run(calls, claim, send));
    // After a panic the claim stays in the registry, so the call cannot run again.
    run.await.unwrap_or(End::Unknown)
}

/// Claims the call, sends it and records the outcome.
async fn run<S, F>(calls: Address<Registry>, claim: Claim, send: S) -> End
where
    S: FnOnce() -> F,
    F: Future<Output = Exchange>,
{
    let attempt = match call_registry::claim(&calls, claim).await {
        Verdict::Send(attempt) => attempt,
        Verdict::Replay(answer) => {
            return match answer.body {
                Some(body) => End::Replay(answer.status, Bytes::from(body)),
                None => End::NotKept(answer.status),
            };
        }
        Verdict::Unknown => return End::Unknown,
        Verdict::KeyReused => return End::KeyReused,
        Verdict::Full => return End::Full,
        Verdict::Unavailable => return End::Unavailable,
    };
    let Exchange { progress, answer } = send().await;
    match (progress, answer) {
        (Progress::Unsent | Progress::Declined, _) => {
            let _ = calls.send(Release(attempt)).await;
            End::NotSent(progress)
        }
        (Progress::Answered, Some((status, body))) => {
            let finish = Finish {
                attempt,
                status,
                body: body.to_vec(),
            };
            let _ = calls.send(finish).await;
            End::Answer(status, body)
        }
        (Progress::Written | Progress::Answered, _) => End::Unknown,
    }
}
