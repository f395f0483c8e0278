//! Response bodies, either buffered or streamed.

use bytes::Bytes;
use daisyyard_core::footprint::Use;
use futures_util::StreamExt;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use tokio::sync::mpsc;

use crate::memory::{Hold, Memory};

/// Number of chunks that are queued for a slow caller before backpressure stops reading from its
/// engine.
const CHANNEL_CAPACITY: usize = 16;

/// Body of a response.
pub type Body = UnsyncBoxBody<Bytes, Incomplete>;

/// The response ended early; the connection is closed without the final chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the response is incomplete; retry only if the request may run twice")]
pub struct Incomplete;

/// A part of a streamed response.
#[derive(Debug)]
pub(crate) enum Chunk {
    /// Bytes of the body, and what is charged while they wait.
    Data(Bytes, Option<Hold>),
    /// The end of a complete response.
    End,
}

/// The caller has disconnected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CallerLeft;

/// Returns a body that is already complete.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    let body = Full::new(bytes.into());
    body.map_err(|never| match never {}).boxed_unsync()
}

/// Returns a response with a JSON body.
pub(crate) fn json(text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full(text));
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

/// Returns a body that streams the chunks of a channel. It fails if the sender is dropped without
/// [`Chunk::End`], so that an interrupted response never looks complete.
pub(crate) fn channel() -> (mpsc::Sender<Chunk>, Body) {
    let (sender, receiver) = mpsc::channel(CHANNEL_CAPACITY);
    let stream = futures_util::stream::unfold(Some(receiver), |receiver| async {
        let mut receiver: mpsc::Receiver<Chunk> = receiver?;
        match receiver.recv().await {
            // From here on the connection's write buffer holds the bytes, which is bounded.
            Some(Chunk::Data(bytes, _hold)) => Some((Ok(Frame::data(bytes)), Some(receiver))),
            Some(Chunk::End) => None,
            None => Some((Err(Incomplete), None)),
        }
    });
    (
        sender,
        BodyExt::boxed_unsync(StreamBody::new(stream.boxed())),
    )
}

/// Passes bytes on to the caller.
pub(crate) async fn pass(
    sender: &mpsc::Sender<Chunk>,
    memory: &Memory,
    bytes: Bytes,
) -> Result<(), CallerLeft> {
    let hold = hold(sender, memory, bytes.len()).await?;
    let sent = sender.send(Chunk::Data(bytes, hold)).await;
    sent.map_err(|_closed| CallerLeft)
}

/// Charges bytes that wait behind others for a slow caller; fails if the caller leaves before there is
/// room. A caller that keeps up is not charged and never waits.
async fn hold(
    sender: &mpsc::Sender<Chunk>,
    memory: &Memory,
    size: usize,
) -> Result<Option<Hold>, CallerLeft> {
    if sender.capacity() == sender.max_capacity() {
        return Ok(None);
    }
    let mut hold = memory.empty(Use::Relay, None);
    let granted = tokio::select! {
        () = hold.grow_when_free(size) => true,
        // Once the caller has read all that waits, it keeps up again.
        _ = sender.reserve_many(sender.max_capacity()) => false,
    };
    if sender.is_closed() {
        return Err(CallerLeft);
    }
    Ok(granted.then_some(hold))
}
