//! Delivery of a generation to its caller, as an event stream or as one buffered answer.

use std::convert::Infallible;

use bytes::Bytes;
use daisyyard_core::id::Offset;
use daisyyard_http::{self as http, Body};
use futures_util::StreamExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use tokio::sync::mpsc;

use crate::completion;
use crate::refusal::{Kind, Refusal};

/// Tokens buffered for a caller before reading from the engine pauses.
pub(crate) const MAX_BUFFERED_TOKENS: usize = 256;

/// Maximum size of an answer that is not streamed, in bytes.
const MAX_TEXT_BYTES: usize = 16 << 20;

/// Message from the task of a generation to the task of its caller.
#[derive(Debug)]
pub(crate) enum Delivery {
    /// The next token in order.
    Token {
        /// Name of the generation.
        generation: String,
        /// Offset of the token.
        offset: Offset,
        /// Text of the token.
        text: String,
    },
    /// The generation starts over, and earlier tokens are discarded. Only sent for an answer that
    /// is not streamed.
    Restart,
    /// The generation with this name is complete.
    Finish(String),
    /// The generation did not start, or was interrupted at this offset.
    Refuse(Refusal, Offset),
}

/// Encodes deliveries as server-sent events; every stream ends with a finish or an error event.
#[derive(Debug)]
struct Events {
    /// Delivery that was received before the response started.
    first: Option<Delivery>,
    /// Deliveries after the first.
    deliveries: mpsc::Receiver<Delivery>,
    /// Next offset that the caller expects.
    next_offset: Offset,
    /// Whether the stream has ended.
    ended: bool,
}

impl Events {
    /// Returns the bytes of the next event.
    async fn next(&mut self) -> Option<Bytes> {
        if self.ended {
            return None;
        }
        let delivery = match self.first.take() {
            Some(first) => Some(first),
            None => self.deliveries.recv().await,
        };
        Some(match delivery {
            Some(Delivery::Token {
                generation,
                offset,
                text,
            }) => {
                self.next_offset = offset + 1;
                completion::token_event(&generation, offset, &text)
            }
            Some(Delivery::Finish(generation)) => {
                self.ended = true;
                completion::finish_events(&generation)
            }
            Some(Delivery::Refuse(refusal, offset)) => {
                self.ended = true;
                completion::error_event(&refusal, offset)
            }
            Some(Delivery::Restart) | None => {
                self.ended = true;
                completion::error_event(&abandoned(), self.next_offset)
            }
        })
    }
}

/// Answers with an event stream once the first delivery arrives; a refusal that arrives first is
/// returned as an error, so that it can set the response status.
pub(crate) async fn stream(
    mut deliveries: mpsc::Receiver<Delivery>,
    from: Offset,
) -> Result<Response<Body>, Refusal> {
    let first = match deliveries.recv().await {
        Some(Delivery::Refuse(refusal, _)) => return Err(refusal),
        Some(first) => first,
        None => return Err(abandoned()),
    };
    let events = Events {
        first: Some(first),
        deliveries,
        next_offset: from,
        ended: false,
    };
    let stream = futures_util::stream::unfold(events, |mut events| async move {
        let bytes = events.next().await?;
        Some((Ok::<_, Infallible>(Frame::data(bytes)), events))
    });
    let mut response = Response::new(BodyExt::boxed_unsync(StreamBody::new(stream.boxed())));
    let kind = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    Ok(response)
}

/// Answers with the complete text in one response.
pub(crate) async fn collect(
    mut deliveries: mpsc::Receiver<Delivery>,
) -> Result<Response<Body>, Refusal> {
    let mut text = String::new();
    let mut tokens = 0;
    while let Some(delivery) = deliveries.recv().await {
        match delivery {
            Delivery::Token { text: token, .. } => {
                text.push_str(&token);
                tokens += 1;
                if text.len() > MAX_TEXT_BYTES {
                    let message = "the answer exceeds 16 MiB; ask for a stream";
                    return Err(Refusal::unknown(Kind::Rejected, message));
                }
            }
            Delivery::Restart => {
                text.clear();
                tokens = 0;
            }
            Delivery::Finish(name) => {
                let answer = completion::complete_response(&name, &text, tokens);
                return Ok(http::json(StatusCode::OK, &answer));
            }
            Delivery::Refuse(refusal, _) => return Err(refusal),
        }
    }
    Err(abandoned())
}

/// Returns the refusal for a generation whose task ended without a finish or a refusal.
fn abandoned() -> Refusal {
    let message = "the answer was not read in time or the node stopped; resume from next_offset";
    Refusal::unknown(Kind::Interrupted, message)
}
