//! Splits a server-sent event stream into complete events and drops events that were already
//! forwarded, by their increasing numbers.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event, in bytes. It bounds the memory of each stream.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// An event exceeds `MAX_EVENT_BYTES`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLong;

/// Splits a stream into events and remembers the number of the last one.
#[derive(Debug, Default)]
pub struct Splitter {
    /// Bytes of an event whose end has not arrived yet.
    partial: BytesMut,
    /// Number of these bytes that were searched for the end of the event.
    searched: usize,
    /// Number of the last forwarded event.
    last_number: Option<u64>,
    /// Number of forwarded events.
    event_count: u64,
}

impl Splitter {
    /// Creates the splitter of a stream whose caller already has the event `last_number` and all
    /// before it.
    pub fn starting_after(last_number: Option<u64>) -> Self {
        Self {
            last_number,
            ..Self::default()
        }
    }

    /// Adds bytes of the stream and returns the new events that are now complete.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, TooLong> {
        self.partial.extend_from_slice(bytes);
        let mut fresh = BytesMut::new();
        while let Some(end) = self.find_event_end() {
            self.searched = 0;
            let event = self.partial.split_to(end);
            if self.accept(&event) {
                fresh.unsplit(event);
            }
        }
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err(TooLong);
        }
        Ok(fresh.freeze())
    }

    /// Discards the bytes of an incomplete event before the stream resumes at another engine.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
        self.searched = 0;
    }

    /// Returns the number of the last forwarded event.
    pub fn last_number(&self) -> Option<u64> {
        self.last_number
    }

    /// Returns how many events were forwarded.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Returns whether the stream ends at an event boundary.
    pub fn is_complete(&self) -> bool {
        self.partial.is_empty()
    }

    /// Returns the end of the first event, including its empty line.
    fn find_event_end(&mut self) -> Option<usize> {
        let unsearched = &self.partial[self.searched..];
        let found = unsearched.windows(2).position(|pair| pair == b"\n\n");
        let end = found.map(|offset| self.searched + offset + 2);
        // The last byte may be the first of the two that end the event.
        self.searched = self.partial.len().saturating_sub(1);
        end
    }

    /// Records an event unless it was already forwarded, and returns whether it is new. An event
    /// without a number is always new.
    fn accept(&mut self, event: &[u8]) -> bool {
        let number = event_number(event);
        let repeated = number.is_some() && number <= self.last_number;
        if !repeated {
            self.event_count += 1;
            self.last_number = number.or(self.last_number);
        }
        !repeated
    }
}

/// Returns the number in the `id` field of an event.
fn event_number(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
