//! Retry budgets: retries stay a small share of first attempts, by account and by service.

use std::collections::BTreeMap;

use daisyyard_derive::key;

use crate::id::{AccountId, ServiceId};
use crate::recent::Recent;

/// Accounts whose budget is remembered.
const ACCOUNTS: usize = 8192;
/// Retries that an account may save up.
const ACCOUNT_MOST: f64 = 10.0;
/// Retries that a service may save up at one node.
const SERVICE_MOST: f64 = 100.0;
/// Retries that are available before any first attempt: five calls that each meet two dead
/// endpoints.
const INITIAL: f64 = 10.0;

/// What to do with a request that could be retried.
#[key]
pub enum Next {
    /// Retry it; the retry has been taken from the budgets.
    Retry,
    /// Refuse it, because too much of the work would be retries.
    Refuse,
}

/// Retry budgets of one node.
#[derive(Debug)]
pub struct Budget {
    /// Retries that are available to an account at a service.
    accounts: Recent<(AccountId, ServiceId), f64>,
    /// Retries that are available to a service.
    services: BTreeMap<ServiceId, f64>,
}

impl Budget {
    /// Creates the budgets of a node without history.
    pub fn new() -> Self {
        Self {
            accounts: Recent::new(ACCOUNTS),
            services: BTreeMap::new(),
        }
    }

    /// Records a first attempt, which earns the given share of a retry.
    pub fn earn(&mut self, account: AccountId, service: ServiceId, share: f64) {
        let own = self.accounts.touch((account, service), || INITIAL);
        *own = (*own + share).min(ACCOUNT_MOST);
        let all = self.services.entry(service).or_insert(INITIAL);
        *all = (*all + share).min(SERVICE_MOST);
    }

    /// Takes one retry from the budgets of the account and of the service, if both have one.
    pub fn spend(&mut self, account: AccountId, service: ServiceId) -> Next {
        let own = self.accounts.get_mut(&(account, service));
        let all = self.services.get_mut(&service);
        match (own, all) {
            (Some(own), Some(all)) if *own >= 1.0 && *all >= 1.0 => {
                *own -= 1.0;
                *all -= 1.0;
                Next::Retry
            }
            _ => Next::Refuse,
        }
    }
}

impl Default for Budget {
    fn default() -> Self {
        Self::new()
    }
}
