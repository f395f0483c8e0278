//! Retry budgets, which limit retries to a small share of first attempts by account and service.

use std::collections::BTreeMap;

use daisyyard_derive::key;

use crate::id::{AccountId, ServiceId};
use crate::lru::Cache;

/// Maximum number of budgets kept, one for each account and service.
const MAX_ACCOUNT_BUDGETS: usize = 8192;
/// Maximum number of retries that an account accumulates at a service.
const MAX_ACCOUNT_RETRIES: f64 = 10.0;
/// Maximum number of retries that a service accumulates at one node.
const MAX_SERVICE_RETRIES: f64 = 100.0;
/// Retries available before any first attempt, which cover five calls that each hit two dead
/// endpoints.
const INITIAL_RETRIES: f64 = 10.0;

/// Decision on a retry.
#[key]
pub enum Decision {
    /// Retry the request; both budgets have been charged.
    Retry,
    /// Do not retry, because a budget is exhausted.
    Refuse,
}

/// Retry budgets of one node.
#[derive(Debug)]
pub struct Budget {
    /// Retries available to each account at each service.
    accounts: Cache<(AccountId, ServiceId), f64>,
    /// Retries available to each service.
    services: BTreeMap<ServiceId, f64>,
}

impl Budget {
    /// Creates the budgets of a node that has sent no requests.
    pub fn new() -> Self {
        Self {
            accounts: Cache::new(MAX_ACCOUNT_BUDGETS),
            services: BTreeMap::new(),
        }
    }

    /// Records a first attempt, which adds `share` of a retry to both budgets.
    pub fn earn(&mut self, account: AccountId, service: ServiceId, share: f64) {
        let own = self
            .accounts
            .get_or_insert_with((account, service), || INITIAL_RETRIES);
        *own = (*own + share).min(MAX_ACCOUNT_RETRIES);
        let all = self.services.entry(service).or_insert(INITIAL_RETRIES);
        *all = (*all + share).min(MAX_SERVICE_RETRIES);
    }

    /// Deducts one retry from the budgets of the account and of the service if both allow it.
    pub fn spend(&mut self, account: AccountId, service: ServiceId) -> Decision {
        let own = self.accounts.get_mut(&(account, service));
        let all = self.services.get_mut(&service);
        match (own, all) {
            (Some(own), Some(all)) if *own >= 1.0 && *all >= 1.0 => {
                *own -= 1.0;
                *all -= 1.0;
                Decision::Retry
            }
            _ => Decision::Refuse,
        }
    }
}

impl Default for Budget {
    fn default() -> Self {
        Self::new()
    }
}
