//! Event queue of the simulation, ordered by virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// Virtual time since the start of the simulation.
pub type Time = Duration;

/// Scheduled event; events of equal time run in the order in which they were scheduled.
#[derive(Debug)]
struct Entry<E> {
    /// Virtual time at which the event occurs.
    at: Time,
    /// Position in the order of scheduling, which breaks ties in time.
    sequence: u64,
    /// Event to handle.
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Priority queue of scheduled events with the virtual clock.
#[derive(Debug)]
pub struct Queue<E> {
    /// Scheduled events, earliest first.
    heap: BinaryHeap<Reverse<Entry<E>>>,
    /// Sequence number of the next scheduled event.
    next_sequence: u64,
    /// Current virtual time.
    now: Time,
    /// Instant that represents virtual time zero. The decisions only use differences between
    /// instants, so its value has no effect on results.
    epoch: Instant,
}

impl<E> Queue<E> {
    /// Creates an empty queue at virtual time zero.
    pub fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            next_sequence: 0,
            now: Time::ZERO,
            epoch: Instant::now(),
        }
    }

    /// Returns the current virtual time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Converts a virtual time to the instant that represents it.
    pub fn instant(&self, at: Time) -> Instant {
        self.epoch + at
    }

    /// Schedules an event after a delay.
    pub fn schedule_after(&mut self, delay: Duration, event: E) {
        self.schedule_at(self.now + delay, event);
    }

    /// Schedules an event at a virtual time, or immediately if that time has passed.
    pub fn schedule_at(&mut self, at: Time, event: E) {
        let entry = Entry {
            at: at.max(self.now),
            sequence: self.next_sequence,
            event,
        };
        self.next_sequence += 1;
        self.heap.push(Reverse(entry));
    }

    /// Removes the next event and advances the clock to its time.
    pub fn pop(&mut self) -> Option<E> {
        let Reverse(entry) = self.heap.pop()?;
        self.now = entry.at;
        Some(entry.event)
    }
}

impl<E> Default for Queue<E> {
    fn default() -> Self {
        Self::new()
    }
}
