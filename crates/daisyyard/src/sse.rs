//! Parser of the server-sent events of an engine, with bounded memory and one pass over the bytes.

use bytes::{Buf, BytesMut};
use daisyyard_core::id::Offset;
use daisyyard_derive::value;
use serde_json::Value;

/// Largest event that is accepted, in bytes; a token of text needs a few hundred.
pub const MAX_EVENT_BYTES: usize = 64 << 10;

/// What an event carries.
#[value]
pub enum Chunk {
    /// A token with its offset.
    Token {
        /// Offset within the generation.
        offset: Offset,
        /// Text of the token.
        text: String,
    },
    /// The generation is whole.
    Finish,
    /// The generation has this many tokens in all, which engines may state before its end.
    Total(Offset),
}

/// Why the bytes of a stream cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// An event is larger than the limit.
    #[error("an event exceeds {MAX_EVENT_BYTES} bytes; resume the stream on another connection")]
    Oversized,
    /// An event is neither a token nor an end.
    #[error("an event is malformed; resume the stream on another connection")]
    Malformed,
}

/// Incremental parser; after a fault it must not be used again.
#[derive(Debug, Default)]
pub struct Parser {
    /// Bytes that are not parsed yet.
    buffer: BytesMut,
    /// Bytes at the start of the buffer that contain no line end.
    scanned: usize,
    /// Bytes of the present event that were parsed before the buffer.
    event_bytes: usize,
    /// Text of the present event's `id` field.
    id: Option<String>,
    /// Text of the present event's `data` fields.
    data: Option<String>,
}

impl Parser {
    /// Creates a parser at the start of a stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds bytes that arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next piece, or nothing until more bytes arrive.
    pub fn parse(&mut self) -> Result<Option<Chunk>, Fault> {
        while let Some(end) = self.line_end() {
            let line = self.buffer.split_to(end);
            self.buffer.advance(1);
            self.scanned = 0;
            self.event_bytes += end + 1;
            if self.event_bytes > MAX_EVENT_BYTES {
                return Err(Fault::Oversized);
            }
            let line = line.strip_suffix(b"\r").unwrap_or(&line);
            if line.is_empty() {
                self.event_bytes = 0;
                if let Some(chunk) = self.dispatch()? {
                    return Ok(Some(chunk));
                }
            } else {
                self.field(line)?;
            }
        }
        if self.event_bytes + self.buffer.len() > MAX_EVENT_BYTES {
            return Err(Fault::Oversized);
        }
        Ok(None)
    }

    /// Returns where the first line in the buffer ends; bytes are examined once.
    fn line_end(&mut self) -> Option<usize> {
        let found = self.buffer[self.scanned..]
            .iter()
            .position(|byte| *byte == b'\n');
        let end = found.map(|offset| self.scanned + offset);
        self.scanned = self.buffer.len();
        end
    }

    /// Takes one line of an event; fields other than `id` and `data` are ignored.
    fn field(&mut self, line: &[u8]) -> Result<(), Fault> {
        let line = std::str::from_utf8(line).map_err(|_invalid| Fault::Malformed)?;
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            "id" => self.id = Some(value.to_owned()),
            "data" => match &mut self.data {
                Some(data) => {
                    data.push('\n');
                    data.push_str(value);
                }
                None => self.data = Some(value.to_owned()),
            },
            _ => {}
        }
        Ok(())
    }

    /// Ends the present event and returns its piece; events without data carry none.
    fn dispatch(&mut self) -> Result<Option<Chunk>, Fault> {
        let id = self.id.take();
        let Some(data) = self.data.take() else {
            return Ok(None);
        };
        if data == "[DONE]" {
            return Ok(Some(Chunk::Finish));
        }
        let value: Value = serde_json::from_str(&data).map_err(|_error| Fault::Malformed)?;
        let choice = value.get("choices").and_then(|choices| choices.get(0));
        let choice = choice.ok_or(Fault::Malformed)?;
        let text = choice.get("delta").and_then(|delta| delta.get("content"));
        let Some(text) = text.and_then(Value::as_str) else {
            let total = value["usage"]["completion_tokens"].as_u64();
            return Ok(total.map(Chunk::Total));
        };
        let offset = id.and_then(|id| id.parse().ok()).ok_or(Fault::Malformed)?;
        let text = text.to_owned();
        Ok(Some(Chunk::Token { offset, text }))
    }
}
