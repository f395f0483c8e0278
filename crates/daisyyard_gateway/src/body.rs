//! Bodies of answers: whole, or passed on as they arrive.

use bytes::Bytes;
use futures_util::StreamExt;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use tokio::sync::mpsc;

/// Pieces of a streamed answer that wait for a slow caller before its engine is held back.
const CHANNEL_CAPACITY: usize = 16;

/// Body of an answer.
pub type Body = UnsyncBoxBody<Bytes, Incomplete>;

/// The answer ended before it was complete; the connection is closed without its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the answer is incomplete; ask again if the request may run twice")]
pub struct Incomplete;

/// A part of a streamed answer.
#[derive(Debug)]
pub enum Chunk {
    /// Bytes.
    Data(Bytes),
    /// The answer is complete.
    End,
}

/// Returns a whole body.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    let body = Full::new(bytes.into());
    body.map_err(|never| match never {}).boxed_unsync()
}

/// Returns an answer with a body in JSON.
pub(crate) fn json(text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full(text));
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

/// Returns a body that passes on pieces. It fails when the sender is dropped without an end, so
/// that an answer that breaks off never looks complete.
pub fn channel() -> (mpsc::Sender<Chunk>, Body) {
    let (sender, receiver) = mpsc::channel(CHANNEL_CAPACITY);
    let stream = futures_util::stream::unfold(Some(receiver), |receiver| async {
        let mut receiver: mpsc::Receiver<Chunk> = receiver?;
        match receiver.recv().await {
            Some(Chunk::Data(bytes)) => Some((Ok(Frame::data(bytes)), Some(receiver))),
            Some(Chunk::End) => None,
            None => Some((Err(Incomplete), None)),
        }
    });
    (
        sender,
        BodyExt::boxed_unsync(StreamBody::new(stream.boxed())),
    )
}
