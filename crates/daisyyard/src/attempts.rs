//! Attempts of one request at endpoints, limited in number and by the retry budget.

use daisyyard_core::attempt::{Decision, History, Outcome, Progress};
use daisyyard_core::id::{AccountId, EndpointId, ServiceId};
use daisyyard_core::retry_budget;
use xtra::Address;

use crate::dispatch::{Dispatch, Retry};

/// Maximum number of endpoints that one request is sent to.
const MAX_ATTEMPTS: usize = 3;

/// Tracks the attempts of one request.
#[derive(Debug)]
pub(crate) struct Attempts {
    /// Actor that owns the retry budgets.
    dispatch: Address<Dispatch>,
    /// Account of the request.
    account: AccountId,
    /// Service of the request.
    service: ServiceId,
    /// Endpoints that the request was sent to.
    tried: Vec<EndpointId>,
    /// How far the current attempt got, and whether the request may have run.
    history: History,
}

impl Attempts {
    /// Creates the state of a request that was not sent yet; `idempotent` says whether running it
    /// twice is harmless.
    pub(crate) fn new(
        dispatch: Address<Dispatch>,
        account: AccountId,
        service: ServiceId,
        idempotent: bool,
    ) -> Self {
        Self {
            dispatch,
            account,
            service,
            tried: Vec::new(),
            history: History::new(idempotent),
        }
    }

    /// Returns the endpoints that the request was sent to.
    pub(crate) fn tried(&self) -> &[EndpointId] {
        &self.tried
    }

    /// Records that an attempt at an endpoint starts.
    pub(crate) fn start(&mut self, endpoint: EndpointId) {
        self.tried.push(endpoint);
    }

    /// Records how far the attempt got.
    pub(crate) fn reach(&mut self, progress: Progress) {
        self.history.advance(progress);
    }

    /// Returns whether the request ran, as far as is known.
    pub(crate) fn outcome(&self) -> Outcome {
        self.history.outcome()
    }

    /// Ends a failed attempt and decides whether to retry; `retry_useful` says whether the caller
    /// can use the result of another attempt.
    pub(crate) async fn fail(&mut self, retry_useful: bool) -> Decision {
        let mut allowed = retry_useful && self.tried.len() < MAX_ATTEMPTS;
        if allowed {
            let retry = Retry(self.account, self.service);
            let decision = self.dispatch.send(retry).await;
            allowed = matches!(decision, Ok(retry_budget::Decision::Retry));
        }
        self.history.fail(allowed)
    }
}
