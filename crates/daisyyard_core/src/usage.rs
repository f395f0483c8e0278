//! Work of client accounts over the last hour, from which their size classes follow.

use std::collections::HashMap;
use std::time::SystemTime;

use daisyyard_derive::value;

use crate::burn::{self, Class};
use crate::id::{AccountId, Tokens};

/// Accounts that are kept at most; the account that was idle longest is dropped first.
pub const MAX_ACCOUNTS: usize = 8_192;
/// Slots of five minutes that make an hour.
const SLOTS: u64 = 12;

/// Work of one account.
#[value]
#[derive(Default)]
struct Window {
    /// Tokens by slot number modulo [`SLOTS`].
    tokens: [Tokens; SLOTS as usize],
    /// Number of the newest slot.
    newest: u64,
}

/// Work of all accounts of one node.
#[value]
#[derive(Default)]
pub struct Usage {
    /// Work by account.
    accounts: HashMap<AccountId, Window>,
    /// Number of the newest slot.
    newest: u64,
}

impl Window {
    /// Adds tokens in a slot.
    fn add(&mut self, tokens: Tokens, slot: u64) {
        let fresh = slot.saturating_sub(self.newest).min(SLOTS);
        for passed in 0..fresh {
            self.tokens[((slot - passed) % SLOTS) as usize] = 0;
        }
        self.newest = self.newest.max(slot);
        self.tokens[(self.newest % SLOTS) as usize] += tokens;
    }

    /// Returns the tokens of the hour that ends with a slot.
    fn sum(&self, slot: u64) -> Tokens {
        let recent = (0..SLOTS).filter(|back| self.newest.saturating_sub(*back) + SLOTS > slot);
        recent
            .map(|back| self.tokens[(self.newest.saturating_sub(back) % SLOTS) as usize])
            .sum()
    }
}

impl Usage {
    /// Creates an empty record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the tokens of one request to its account and returns the account's size class.
    pub fn add(&mut self, account: AccountId, tokens: Tokens, now: SystemTime) -> Class {
        let slot = burn::slot(now);
        if slot > self.newest {
            self.newest = slot;
            self.accounts.retain(|_, one| one.newest + SLOTS > slot);
        }
        if self.accounts.len() >= MAX_ACCOUNTS && !self.accounts.contains_key(&account) {
            let idle = self.accounts.iter().min_by_key(|(_, one)| one.newest);
            let idle = idle.map(|(id, _)| *id);
            idle.and_then(|id| self.accounts.remove(&id));
        }
        self.accounts.entry(account).or_default().add(tokens, slot);
        self.class(account, now)
    }

    /// Returns the size class of an account against the mean of all accounts.
    fn class(&self, account: AccountId, now: SystemTime) -> Class {
        let slot = burn::slot(now);
        let sum = |one: &Window| one.sum(slot) as f64;
        let total: f64 = self.accounts.values().map(sum).sum();
        let mean = total / self.accounts.len().max(1) as f64;
        Class::of(self.accounts.get(&account).map_or(0.0, sum), mean)
    }

    /// Returns how many accounts are kept.
    pub fn accounts(&self) -> usize {
        self.accounts.len()
    }
}
