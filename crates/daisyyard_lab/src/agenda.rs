//! The agenda of events in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// Virtual time since the start of an experiment.
pub type At = Duration;

/// An event with its time; events of equal time run in the order in which they were added.
#[derive(Debug)]
struct Entry<E> {
    /// When the event happens.
    at: At,
    /// Position in the order of adding.
    number: u64,
    /// The event.
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
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
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Events that are due, in order of time.
#[derive(Debug)]
pub struct Agenda<E> {
    /// Due events, earliest first.
    heap: BinaryHeap<Reverse<Entry<E>>>,
    /// Number of the next event.
    next: u64,
    /// Present virtual time.
    now: At,
    /// Instant that stands for virtual time zero; decisions only use differences from it.
    epoch: Instant,
}

impl<E> Agenda<E> {
    /// Creates an empty agenda at virtual time zero.
    pub fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            next: 0,
            now: At::ZERO,
            epoch: Instant::now(),
        }
    }

    /// Returns the present virtual time.
    pub fn now(&self) -> At {
        self.now
    }

    /// Returns the instant that stands for a virtual time.
    pub fn instant(&self, at: At) -> Instant {
        self.epoch + at
    }

    /// Adds an event after a delay.
    pub fn after(&mut self, delay: Duration, event: E) {
        self.add(self.now + delay, event);
    }

    /// Adds an event at a time, or now if the time has passed.
    pub fn add(&mut self, at: At, event: E) {
        let entry = Entry {
            at: at.max(self.now),
            number: self.next,
            event,
        };
        self.next += 1;
        self.heap.push(Reverse(entry));
    }

    /// Takes the next event and moves the time to it.
    pub fn take(&mut self) -> Option<E> {
        let Reverse(entry) = self.heap.pop()?;
        self.now = entry.at;
        Some(entry.event)
    }
}

impl<E> Default for Agenda<E> {
    fn default() -> Self {
        Self::new()
    }
}
