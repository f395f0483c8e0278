//! Attempts of one generation at engines.

use daisyyard_core::attempt::{self, Outcome, Progress};
use daisyyard_core::contract::Rank;
use daisyyard_core::endpoint::Endpoint;
use daisyyard_core::link::Signal;
use daisyyard_core::stream::Action;

use super::{Run, log_interruption};
use crate::delivery::Delivery;
use crate::dispatch::ObserveSignal;
use crate::refusal::{Kind, Refusal};
use crate::stream_reader::{End, Reader};
use crate::upstream::{self, Error};

impl Run<'_> {
    /// Starts the generation at an engine and delivers its tokens.
    pub(super) async fn relay(&mut self, endpoint: &Endpoint) -> End {
        let priority = match self.generation.request.rank {
            Rank::Urgent => 1,
            Rank::Deferrable => 0,
        };
        let body = self.generation.completion.engine_body(priority);
        let stream = match upstream::start(endpoint.address, body).await {
            Ok(stream) => stream,
            Err(error) => return self.record_failure(endpoint, error).await,
        };
        self.attempts.reach(Progress::Written);
        let account = self.generation.request.account;
        let name = self.actors.signer.sign(account, endpoint.id, &stream.name);
        if !self.cursor.bind(daisyyard_core::id::of(&name)) {
            return End::Lost;
        }
        let request = Some(self.generation.request.id);
        let (actors, caller, recorder) = (self.actors, self.caller, &mut self.recorder);
        let mut reader = Reader::new(endpoint, actors, name, stream, caller, request, recorder);
        let end = reader.read(&mut self.cursor).await;
        if end == End::CallerGone {
            let streamed = self.generation.completion.stream;
            // Only a streaming caller that received a token knows the name and can reconnect.
            let known = streamed && self.cursor.next() > 0;
            reader.abandon(self.cursor.next(), known).await;
        }
        end
    }

    /// Records how far a request got that opened no stream, and reports the engine's health.
    async fn record_failure(&mut self, endpoint: &Endpoint, error: Error) -> End {
        let (progress, signal) = match error {
            Error::Unconnected { .. } => (Progress::Unsent, Some(Signal::Dead)),
            Error::Unsent => (Progress::Unsent, Some(Signal::Broken)),
            Error::Declined(_) => (Progress::Declined, None),
            Error::UnexpectedStatus(_) => (Progress::Written, None),
            Error::Lost => (Progress::Written, Some(Signal::Broken)),
        };
        self.attempts.reach(progress);
        if let Error::UnexpectedStatus(status) = error {
            return End::Answered(status);
        }
        let mut crashed = false;
        if error == Error::Lost {
            crashed = upstream::probe(endpoint.address).await == upstream::Probe::Refused;
        }
        if let Some(signal) = signal {
            let signal = if crashed { Signal::Dead } else { signal };
            let _ = self
                .actors
                .dispatch
                .send(ObserveSignal(endpoint.id, signal))
                .await;
        }
        if crashed { End::Crashed } else { End::Lost }
    }

    /// Prepares another attempt, or returns the final refusal with the known outcome.
    pub(super) async fn retry(&mut self) -> Option<Delivery> {
        let buffered = !self.generation.completion.stream;
        let restartable = buffered || self.cursor.link_lost(false) == Action::Restart;
        match self.attempts.fail(restartable).await {
            attempt::Decision::Retry => {
                if buffered {
                    self.cursor.reset();
                    let _ = self.caller.send(Delivery::Restart).await;
                }
                None
            }
            attempt::Decision::Finish(Outcome::NotRun) => {
                let message = "no engine took the request; ask again later";
                Some(self.refuse(Kind::Unavailable, message.to_owned()))
            }
            attempt::Decision::Finish(_) => {
                log_interruption(self.cursor.next());
                let message = "the engine was lost; what was delivered is valid up to next_offset";
                Some(self.refuse(Kind::Interrupted, message.to_owned()))
            }
        }
    }

    /// Creates a refusal with the known outcome.
    pub(super) fn refuse(&self, kind: Kind, message: String) -> Delivery {
        let refusal = Refusal {
            kind,
            message,
            outcome: self.attempts.outcome(),
            retry_after: None,
        };
        Delivery::Refuse(refusal, self.cursor.next())
    }
}
