//! Work of client accounts over the last hour, which determines their size classes.

use std::collections::HashMap;
use std::time::SystemTime;

use daisyyard_derive::value;

use crate::burn::{self, Class};
use crate::id::{AccountId, Tokens};

/// Maximum number of accounts kept; the one idle for the longest time is dropped first.
pub const MAX_ACCOUNTS: usize = 8_192;
/// Number of five-minute slots in an hour.
const SLOTS_PER_HOUR: u64 = 12;

/// Sliding window over the work of one account.
#[value]
#[derive(Default)]
struct Window {
    /// Tokens by slot number modulo [`SLOTS_PER_HOUR`].
    tokens: [Tokens; SLOTS_PER_HOUR as usize],
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
    /// Tokens of all accounts in the hour that ends with the newest slot.
    total: Tokens,
}

impl Window {
    /// Adds tokens to a slot and clears the slots skipped since the newest one.
    fn add(&mut self, tokens: Tokens, slot: u64) {
        let new_slots = slot.saturating_sub(self.newest).min(SLOTS_PER_HOUR);
        for passed in 0..new_slots {
            self.tokens[((slot - passed) % SLOTS_PER_HOUR) as usize] = 0;
        }
        self.newest = self.newest.max(slot);
        self.tokens[(self.newest % SLOTS_PER_HOUR) as usize] += tokens;
    }

    /// Returns the tokens in the hour that ends with the given slot.
    fn sum(&self, slot: u64) -> Tokens {
        let recent = (0..SLOTS_PER_HOUR)
            .filter(|back| self.newest.saturating_sub(*back) + SLOTS_PER_HOUR > slot);
        recent
            .map(|back| self.tokens[(self.newest.saturating_sub(back) % SLOTS_PER_HOUR) as usize])
            .sum()
    }
}

impl Usage {
    /// Creates a record without accounts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the tokens of one request to its account and returns the account's size class.
    pub fn add(&mut self, account: AccountId, tokens: Tokens, now: SystemTime) -> Class {
        // Slots never go back, so a system clock that steps back does not refill expired slots.
        let slot = burn::slot(now).max(self.newest);
        if slot > self.newest {
            self.newest = slot;
            self.accounts
                .retain(|_, window| window.newest + SLOTS_PER_HOUR > slot);
            self.total = self.accounts.values().map(|window| window.sum(slot)).sum();
        }
        if self.accounts.len() >= MAX_ACCOUNTS && !self.accounts.contains_key(&account) {
            let idle = self.accounts.iter().min_by_key(|(_, window)| window.newest);
            let idle = idle.map(|(id, _)| *id);
            let dropped = idle.and_then(|id| self.accounts.remove(&id));
            self.total -= dropped.map_or(0, |window| window.sum(slot));
        }
        let window = self.accounts.entry(account).or_default();
        window.add(tokens, slot);
        let work = window.sum(slot);
        self.total += tokens;
        let mean = self.total as f64 / self.accounts.len() as f64;
        Class::of(work as f64, mean)
    }

    /// Returns the number of accounts kept.
    pub fn accounts(&self) -> usize {
        self.accounts.len()
    }
}
