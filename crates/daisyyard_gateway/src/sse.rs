//! Events of a streamed answer: whole events with increasing numbers, each passed on once.

use bytes::{Bytes, BytesMut};

/// Longest event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event that cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLong;

/// Splits a stream into events and remembers the last one.
#[derive(Debug, Default)]
pub struct Splitter {
    /// Bytes of an event that is not whole yet.
    partial: BytesMut,
    /// Number of the last event that was passed on.
    last_number: Option<u64>,
    /// Events passed on.
    event_count: u64,
}

impl Splitter {
    /// Takes bytes of the stream and returns the whole events among them that are new.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, TooLong> {
        self.partial.extend_from_slice(bytes);
        let mut fresh = BytesMut::new();
        while let Some(end) = find_event_end(&self.partial) {
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

    /// Drops the bytes of an event that was cut off, before the stream goes on elsewhere.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Returns the number of the last event that was passed on.
    pub fn last_number(&self) -> Option<u64> {
        self.last_number
    }

    /// Returns how many events were passed on.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Returns whether no event is incomplete.
    pub fn is_complete(&self) -> bool {
        self.partial.is_empty()
    }

    /// Returns whether an event is new; one without a number is.
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

/// Returns the end of the first event, after its empty line.
fn find_event_end(bytes: &[u8]) -> Option<usize> {
    let end = bytes.windows(2).position(|pair| pair == b"\n\n")?;
    Some(end + 2)
}

/// Returns the number of an event.
fn event_number(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
