//! Parser of an engine's server-sent events, with bounded memory and one pass over the bytes.

use bytes::{Buf, BytesMut};
use daisyyard_core::id::Offset;
use daisyyard_derive::value;
use serde_json::Value;

/// Maximum size of an event; the event of a token has a few hundred bytes.
pub const MAX_EVENT_BYTES: usize = 64 << 10;

/// Content of an event.
#[value]
pub enum Chunk {
    /// A token with its offset.
    Token {
        /// Offset of the token within the generation.
        offset: Offset,
        /// Text of the token.
        text: String,
    },
    /// The generation is complete.
    Finish,
    /// Total number of tokens of the generation, which engines may send before its end.
    Total(Offset),
}

/// Reason why a stream cannot be parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// An event is larger than the limit.
    #[error("an event exceeds {MAX_EVENT_BYTES} bytes; resume the stream on another connection")]
    Oversized,
    /// An event is neither a token nor the end of a generation.
    #[error("an event is malformed; resume the stream on another connection")]
    Malformed,
}

/// Incremental parser, which must not be used after a fault.
#[derive(Debug, Default)]
pub struct Parser {
    /// Bytes that were not parsed yet.
    buffer: BytesMut,
    /// Number of bytes at the start of the buffer that are known to contain no line end.
    scanned: usize,
    /// Bytes of the current event that were already parsed.
    event_bytes: usize,
    /// Value of the current event's `id` field.
    id: Option<String>,
    /// Values of the current event's `data` fields, joined by newlines.
    data: Option<String>,
}

impl Parser {
    /// Creates a parser at the start of a stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next chunk, or `None` if more bytes are needed.
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

    /// Returns the offset of the first line end in the buffer; no byte is examined twice.
    fn line_end(&mut self) -> Option<usize> {
        let found = self.buffer[self.scanned..]
            .iter()
            .position(|byte| *byte == b'\n');
        let end = found.map(|offset| self.scanned + offset);
        self.scanned = self.buffer.len();
        end
    }

    /// Parses one line of an event; fields other than `id` and `data` are ignored.
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

    /// Ends the current event and returns its chunk, or `None` for events without text or total.
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
