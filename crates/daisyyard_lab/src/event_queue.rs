//! The agenda of events in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// Virtual time since the start of an experiment.
pub type Time = Duration;

/// An event with its time; events of equal time run in the order in which they were added.
#[derive(Debug)]
struct Entry<E> {
    /// When the event happens.
    at: Time,
    /// Position in the order of adding.
    sequence: u64,
    /// The event.
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

/// Events that are due, in order of time.
#[derive(Debug)]
pub struct Queue<E> {
    /// Due events, earliest first.
    heap: BinaryHeap<Reverse<Entry<E>>>,
    /// Number of the next event.
    next_sequence: u64,
    /// Present virtual time.
    now: Time,
    /// Instant that stands for virtual time zero; decisions only use differences from it.
    epoch: Instant,
}

impl<E> Queue<E> {
    /// Creates an empty agenda at virtual time zero.
    pub fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            next_sequence: 0,
            now: Time::ZERO,
            epoch: Instant::now(),
        }
    }

    /// Returns the present virtual time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Returns the instant that stands for a virtual time.
    pub fn instant(&self, at: Time) -> Instant {
        self.epoch + at
    }

    /// Adds an event after a delay.
    pub fn schedule_after(&mut self, delay: Duration, event: E) {
        self.schedule_at(self.now + delay, event);
    }

    /// Adds an event at a time, or now if the time has passed.
    pub fn schedule_at(&mut self, at: Time, event: E) {
        let entry = Entry {
            at: at.max(self.now),
            sequence: self.next_sequence,
            event,
        };
        self.next_sequence += 1;
        self.heap.push(Reverse(entry));
    }

    /// Takes the next event and moves the time to it.
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
