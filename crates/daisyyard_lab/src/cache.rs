//! The prefix cache of a fake engine.

use std::collections::VecDeque;

use daisyyard_core::id::{Fingerprint, Tokens};
use daisyyard_derive::value;

/// Tokens of one cached block.
pub const BLOCK_TOKENS: Tokens = 128;

/// A change of the cache, as the engine announces it.
#[value]
pub struct Change {
    /// Number of the change; a missing number is a gap.
    pub sequence: u64,
    /// Block that was stored or evicted.
    pub block: Fingerprint,
    /// Whether the block was stored.
    pub stored: bool,
}

/// Prompt blocks that the engine holds, least recently used first.
#[derive(Debug)]
pub struct Cache {
    /// Blocks in order of use.
    blocks: VecDeque<Fingerprint>,
    /// Blocks that fit.
    capacity: usize,
    /// Number of the next change.
    next_sequence: u64,
    /// Changes that were not announced yet.
    changes: Vec<Change>,
}

impl Cache {
    /// Creates an empty cache for a number of blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            blocks: VecDeque::new(),
            capacity,
            next_sequence: 0,
            changes: Vec::new(),
        }
    }

    /// Returns the cached tokens of a prompt and stores its blocks.
    pub fn access(&mut self, prefix: &[Fingerprint]) -> Tokens {
        let cached = |block: &&Fingerprint| self.blocks.contains(block);
        let hits = prefix.iter().take_while(cached).count();
        for block in prefix {
            if let Some(position) = self.blocks.iter().position(|cached| cached == block) {
                self.blocks.remove(position);
            } else {
                self.record_change(*block, true);
            }
            self.blocks.push_back(*block);
        }
        while self.blocks.len() > self.capacity {
            if let Some(evicted) = self.blocks.pop_front() {
                self.record_change(evicted, false);
            }
        }
        hits as Tokens * BLOCK_TOKENS
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Records a change.
    fn record_change(&mut self, block: Fingerprint, stored: bool) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.changes.push(Change {
            sequence,
            block,
            stored,
        });
    }
}
