//! Events of a streamed answer: whole events with increasing numbers, each passed on once.

use bytes::{Bytes, BytesMut};

/// Longest event, in bytes.
const MAX_EVENT: usize = 1 << 20;

/// An event that cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLong;

/// Splits a stream into events and remembers the last one.
#[derive(Debug, Default)]
pub struct Events {
    /// Bytes of an event that is not whole yet.
    partial: BytesMut,
    /// Number of the last event that was passed on.
    last: Option<u64>,
    /// Events passed on.
    count: u64,
}

impl Events {
    /// Takes bytes of the stream and returns the whole events among them that are new.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, TooLong> {
        self.partial.extend_from_slice(bytes);
        let mut fresh = BytesMut::new();
        while let Some(end) = find_end(&self.partial) {
            let event = self.partial.split_to(end);
            if self.accept(&event) {
                fresh.unsplit(event);
            }
        }
        if self.partial.len() > MAX_EVENT {
            return Err(TooLong);
        }
        Ok(fresh.freeze())
    }

    /// Drops the bytes of an event that was cut off, before the stream goes on elsewhere.
    pub fn restart(&mut self) {
        self.partial.clear();
    }

    /// Returns the number of the last event that was passed on.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns how many events were passed on.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Returns whether no event is incomplete.
    pub fn is_whole(&self) -> bool {
        self.partial.is_empty()
    }

    /// Returns whether an event is new; one without a number is.
    fn accept(&mut self, event: &[u8]) -> bool {
        let number = number(event);
        let known = number.is_some() && number <= self.last;
        if !known {
            self.count += 1;
            self.last = number.or(self.last);
        }
        !known
    }
}

/// Returns the end of the first event, after its empty line.
fn find_end(bytes: &[u8]) -> Option<usize> {
    let end = bytes.windows(2).position(|pair| pair == b"\n\n")?;
    Some(end + 2)
}

/// Returns the number of an event.
fn number(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
