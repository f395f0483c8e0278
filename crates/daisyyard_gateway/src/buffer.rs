//! Memory for answers that are read whole before they are forwarded. All requests of a gateway share
//! it, so that endpoints that send bytes without end cannot exhaust the memory of the process.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Maximum size of one answer, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Maximum size of all answers that are being read, in bytes. The smallest machines have 88 MB for
/// everything.
const MAX_TOTAL_BYTES: usize = 16 << 20;

/// Reason why an answer could not be read whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Error {
    /// The connection ended before the answer did.
    Broken,
    /// The answer is longer than the memory allows.
    TooLong,
}

/// Share of a gateway's memory for answers; clones use the same memory.
#[derive(Debug, Clone)]
pub(crate) struct Buffer {
    /// Permits for the bytes that are free.
    free: Arc<Semaphore>,
}

impl Buffer {
    /// Creates the memory of a gateway.
    pub(crate) fn new() -> Self {
        Self {
            free: Arc::new(Semaphore::new(MAX_TOTAL_BYTES)),
        }
    }

    /// Reads an answer to its end.
    pub(crate) async fn read(&self, mut incoming: Incoming) -> Result<Bytes, Error> {
        let mut bytes = BytesMut::new();
        let mut held: Option<OwnedSemaphorePermit> = None;
        while let Some(frame) = incoming.frame().await {
            let frame = frame.map_err(|_broken| Error::Broken)?;
            // Trailers contain nothing that callers need.
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if bytes.len() + data.len() > MAX_ANSWER_BYTES {
                return Err(Error::TooLong);
            }
            let free = Arc::clone(&self.free);
            let permit = free.try_acquire_many_owned(data.len() as u32);
            let permit = permit.map_err(|_exhausted| Error::TooLong)?;
            match &mut held {
                Some(held) => held.merge(permit),
                None => held = Some(permit),
            }
            bytes.extend_from_slice(&data);
        }
        Ok(bytes.freeze())
    }
}
