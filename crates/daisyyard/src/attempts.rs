//! The attempts of one request at endpoints, and the permission for another one.

use daisyyard_core::attempt::{History, Next, Outcome, Progress};
use daisyyard_core::id::{AccountId, EndpointId, ServiceId};
use daisyyard_core::retry_budget;
use xtra::Address;

use crate::dispatch::{Dispatch, Retry};

/// Endpoints that one request is sent to at most.
const MAX_ATTEMPTS: usize = 3;

/// Attempts of one request.
#[derive(Debug)]
pub(crate) struct Attempts {
    /// Owns the budget of retries.
    dispatch: Address<Dispatch>,
    /// Account of the request.
    account: AccountId,
    /// Service of the request.
    service: ServiceId,
    /// Endpoints that the request was sent to.
    tried: Vec<EndpointId>,
    /// What may have reached an endpoint.
    attempt: History,
}

impl Attempts {
    /// Creates a request without attempts; `repeatable` says whether running it twice is harmless.
    pub(crate) fn new(
        dispatch: Address<Dispatch>,
        account: AccountId,
        service: ServiceId,
        repeatable: bool,
    ) -> Self {
        Self {
            dispatch,
            account,
            service,
            tried: Vec::new(),
            attempt: History::new(repeatable),
        }
    }

    /// Returns the endpoints that the request was sent to.
    pub(crate) fn tried(&self) -> &[EndpointId] {
        &self.tried
    }

    /// Starts an attempt at an endpoint.
    pub(crate) fn start(&mut self, endpoint: EndpointId) {
        self.tried.push(endpoint);
    }

    /// Records how far the attempt came.
    pub(crate) fn reach(&mut self, progress: Progress) {
        self.attempt.advance(progress);
    }

    /// Returns what is known about whether the request ran.
    pub(crate) fn outcome(&self) -> Outcome {
        self.attempt.outcome()
    }

    /// Ends an attempt that failed; `useful` says whether the caller could use another one.
    pub(crate) async fn fail(&mut self, useful: bool) -> Next {
        let mut allowed = useful && self.tried.len() < MAX_ATTEMPTS;
        if allowed {
            let retry = Retry(self.account, self.service);
            let next = self.dispatch.send(retry).await;
            allowed = matches!(next, Ok(retry_budget::Next::Retry));
        }
        self.attempt.fail(allowed)
    }
}
