//! Reads answers whole before they are forwarded. They are charged to the memory of the gateway, so that
//! endpoints that send bytes without end, or callers that do not read, cannot exhaust it.

use bytes::Bytes;
use daisyyard_core::footprint::{LARGE_BYTES, Use};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::memory::{Buffer, Memory};

/// Maximum size of one answer, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Reason why an answer could not be read whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Error {
    /// The connection ended before the answer did.
    Broken,
    /// The answer is longer than one may be.
    TooLong,
}

/// Reads an answer to its end. It waits while there is no room, since the endpoint has run the request.
/// The bytes stay charged until the caller has read them or left.
pub(crate) async fn read(memory: &Memory, mut incoming: Incoming) -> Result<Bytes, Error> {
    let expected = incoming.size_hint().exact().map(|size| size as usize);
    let hold = memory.empty(Use::Answer, None);
    let mut buffer = Buffer::new(hold, expected, MAX_ANSWER_BYTES);
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|_broken| Error::Broken)?;
        // Trailers contain nothing that callers need.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > MAX_ANSWER_BYTES {
            return Err(Error::TooLong);
        }
        let mut charge = buffer.capacity_for(data.len());
        if charge > LARGE_BYTES {
            // Large answers that each held a part of the memory would wait for each other.
            charge = charge.max(buffer.final_size());
        }
        let missing = charge.saturating_sub(buffer.charged());
        if missing > 0 {
            buffer.hold().grow_when_free(missing).await;
        }
        buffer.push(&data);
    }
    Ok(buffer.freeze())
}
