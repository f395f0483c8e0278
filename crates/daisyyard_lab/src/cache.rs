//! Prefix cache of a simulated engine.

use std::collections::VecDeque;

use daisyyard_core::id::{Fingerprint, Tokens};
use daisyyard_derive::value;

/// Number of tokens in one cached block.
pub const BLOCK_TOKENS: Tokens = 128;

/// Change of the cache, as the engine publishes it.
#[value]
pub struct Change {
    /// Sequence number of the change; a receiver detects lost changes by the gap.
    pub sequence: u64,
    /// Fingerprint of the block that was stored or evicted.
    pub block: Fingerprint,
    /// Whether the block was stored rather than evicted.
    pub stored: bool,
}

/// Cached prompt blocks with least-recently-used eviction.
#[derive(Debug)]
pub struct Cache {
    /// Cached blocks, least recently used first.
    blocks: VecDeque<Fingerprint>,
    /// Maximum number of blocks.
    capacity: usize,
    /// Sequence number of the next change.
    next_sequence: u64,
    /// Changes that have not been published yet.
    changes: Vec<Change>,
}

impl Cache {
    /// Creates an empty cache with the given maximum number of blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            blocks: VecDeque::new(),
            capacity,
            next_sequence: 0,
            changes: Vec::new(),
        }
    }

    /// Returns the number of leading prompt tokens that are cached, then stores all blocks of the
    /// prompt and evicts the least recently used ones beyond the capacity.
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

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Records a change for publication.
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
