//! Bounded map with eviction of the least recently used entry.

use std::collections::BTreeMap;

/// Map of at most `capacity` entries, ordered by key.
#[derive(Debug)]
pub(crate) struct Cache<K, V> {
    /// Maximum number of entries.
    capacity: usize,
    /// Number of uses so far.
    uses: u64,
    /// Entries with the number of their last use.
    entries: BTreeMap<K, (u64, V)>,
    /// Keys by the number of their last use.
    order: BTreeMap<u64, K>,
}

impl<K: Ord + Clone, V> Cache<K, V> {
    /// Creates an empty map for at least one entry.
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            uses: 0,
            entries: BTreeMap::new(),
            order: BTreeMap::new(),
        }
    }

    /// Returns the value of a key without counting this as a use.
    pub(crate) fn get(&self, key: &K) -> Option<&V> {
        self.entries.get(key).map(|(_, value)| value)
    }

    /// Returns the value of a key for mutation without counting this as a use.
    pub(crate) fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        self.entries.get_mut(key).map(|(_, value)| value)
    }

    /// Returns the value of a key and marks it as most recently used; creates the entry if there is
    /// none, and evicts the least recently used one if the map is full.
    pub(crate) fn get_or_insert_with(&mut self, key: K, create: impl FnOnce() -> V) -> &mut V {
        self.uses += 1;
        let uses = self.uses;
        if let Some((last, _)) = self.entries.get(&key) {
            self.order.remove(last);
        } else if self.entries.len() >= self.capacity
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.entries.remove(&oldest);
        }
        self.order.insert(uses, key.clone());
        let entry = self.entries.entry(key).or_insert_with(|| (uses, create()));
        entry.0 = uses;
        &mut entry.1
    }

    /// Removes the entry of a key, if there is one.
    pub(crate) fn remove(&mut self, key: &K) {
        if let Some((last, _)) = self.entries.remove(key) {
            self.order.remove(&last);
        }
    }

    /// Returns the entries whose keys are in a range, ordered by key.
    pub(crate) fn range(
        &self,
        range: std::ops::RangeInclusive<K>,
    ) -> impl Iterator<Item = (&K, &V)> {
        self.entries
            .range(range)
            .map(|(key, (_, value))| (key, value))
    }

    /// Returns the number of entries.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }
}
