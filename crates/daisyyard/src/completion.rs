//! JSON of chat-completion requests, and the events and bodies of their responses.

use bytes::Bytes;
use serde::Deserialize;
use serde_json::{Map, Value, json};

use crate::refusal::{Kind, Refusal};

/// Bytes of prompt text per token, for the estimate of prompt tokens.
const BYTES_PER_TOKEN: u64 = 4;

/// Body of a completion request; keys that the node does not use are passed on to the engine.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Completion {
    /// Name of the requested service.
    pub(crate) model: String,
    /// Messages of the conversation.
    pub(crate) messages: Vec<Message>,
    /// Whether to answer with a stream of events.
    #[serde(default)]
    pub(crate) stream: bool,
    /// All other keys, passed on unchanged.
    #[serde(flatten)]
    rest: Map<String, Value>,
}

/// One message of a conversation.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Message {
    /// Role of the speaker.
    role: String,
    /// Text of the message.
    content: String,
}

impl Completion {
    /// Parses the body of a request.
    pub(crate) fn parse(body: &[u8]) -> Result<Self, Refusal> {
        serde_json::from_slice(body).map_err(|error| {
            let message = format!("the body is not a completion request: {error}");
            Refusal::not_run(Kind::Malformed, message)
        })
    }

    /// Estimates the tokens of the prompt from its bytes.
    pub(crate) fn prompt_tokens(&self) -> u64 {
        let bytes: usize = self
            .messages
            .iter()
            .map(|message| message.content.len())
            .sum();
        bytes as u64 / BYTES_PER_TOKEN + 1
    }

    /// Returns the request body for an engine, which always streams its answer.
    pub(crate) fn engine_body(&self, priority: i64) -> Bytes {
        let message = |m: &Message| json!({"role": m.role, "content": m.content});
        let messages: Vec<Value> = self.messages.iter().map(message).collect();
        let mut body = self.rest.clone();
        body.insert("model".to_owned(), json!(self.model));
        body.insert("messages".to_owned(), json!(messages));
        body.insert("stream".to_owned(), json!(true));
        body.insert("priority".to_owned(), json!(priority));
        Bytes::from(Value::Object(body).to_string())
    }
}

/// Returns the event with one token; its id lets the caller resume after the token.
pub(crate) fn token_event(generation: &str, offset: u64, text: &str) -> Bytes {
    let choice = json!({"index": 0, "delta": {"content": text}, "finish_reason": null});
    let chunk = json!({"id": generation, "object": "chat.completion.chunk", "choices": [choice]});
    Bytes::from(format!("id: {generation}:{offset}\ndata: {chunk}\n\n"))
}

/// Returns the events that end a complete stream.
pub(crate) fn finish_events(generation: &str) -> Bytes {
    let choice = json!({"index": 0, "delta": {}, "finish_reason": "stop"});
    let chunk = json!({"id": generation, "object": "chat.completion.chunk", "choices": [choice]});
    Bytes::from(format!("data: {chunk}\n\ndata: [DONE]\n\n"))
}

/// Returns the event that ends an incomplete stream, with the offset of the next token.
pub(crate) fn error_event(refusal: &Refusal, offset: u64) -> Bytes {
    let mut error = refusal.json();
    error["next_offset"] = json!(offset);
    Bytes::from(format!(
        "event: error\ndata: {}\n\n",
        json!({"error": error})
    ))
}

/// Returns the body of a response that is not streamed.
pub(crate) fn complete_response(generation: &str, text: &str, tokens: u64) -> Value {
    json!({
        "id": generation,
        "object": "chat.completion",
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": "stop",
        }],
        "usage": {"completion_tokens": tokens},
    })
}
