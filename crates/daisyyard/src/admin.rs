//! Admin interface of a node: HTTP requests of operators under `/admin/`.

use std::collections::HashMap;

use daisyyard_core::id::Revision;
use daisyyard_core::instance::State;
use daisyyard_core::preset::{Document, Edit};
use daisyyard_http::{self as http, Body};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use tokio::sync::mpsc;
use xtra::Address;

use crate::document;
use crate::editor::{Editor, Outcome};
use crate::peer::Peer;
use crate::settings::Credential;
use crate::status::{Query, Status};

/// Handler of admin requests.
#[derive(Debug, Clone)]
pub(crate) struct Admin {
    /// Names of operators by the hash of their token, so that the time of a lookup reveals nothing
    /// about the token.
    operators: HashMap<[u8; 32], String>,
    /// Name of the node.
    name: String,
    /// Actor that owns the membership view and the preset document.
    peers: Address<Peer>,
    /// Edits the preset document.
    editor: Editor,
    /// Starts a planned stop of the node.
    stop: mpsc::Sender<()>,
}

impl Admin {
    /// Creates the handler of a node for the given operators.
    pub(crate) fn new(
        name: &str,
        operators: &[Credential],
        peers: Address<Peer>,
        editor: Editor,
        stop: mpsc::Sender<()>,
    ) -> Self {
        let hashed = |c: &Credential| (hash_token(&c.token), c.name.clone());
        Self {
            operators: operators.iter().map(hashed).collect(),
            name: name.to_owned(),
            peers,
            editor,
            stop,
        }
    }

    /// Authenticates and answers one request.
    pub(crate) async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let Some(operator) = self.operator(&request).cloned() else {
            let error = "present a known operator credential: Authorization: Bearer <token>";
            return error_response(StatusCode::UNAUTHORIZED, error);
        };
        let Ok(status) = self.peers.send(Query).await else {
            return error_response(StatusCode::SERVICE_UNAVAILABLE, "the node is stopping");
        };
        let path = request.uri().path().to_owned();
        let name = path.strip_prefix("/admin/presets/");
        match (request.method(), path.as_str(), name) {
            (&Method::GET, "/admin/presets", _) => ok_response(&list(&status.document)),
            (&Method::GET, _, Some(name)) => show(&status.document, name),
            (&Method::GET, "/admin/history", _) => ok_response(&history(&status.document)),
            (&Method::GET, "/admin/status", _) => ok_response(&self.status(&status)),
            (&Method::PUT, "/admin/presets", _) => {
                self.edit(request, &operator, |value| {
                    document::parse(value).map(Edit::Put)
                })
                .await
            }
            (&Method::PUT, "/admin/current", _) => {
                self.edit(request, &operator, |value| {
                    let name = value["name"].as_str().unwrap_or_default();
                    Ok(Edit::Use(name.to_owned()))
                })
                .await
            }
            (&Method::POST, "/admin/drain", _) => {
                // If the channel is full, a planned stop has already been ordered.
                let _ = self.stop.try_send(());
                ok_response(&json!({"outcome": "accepted", "state": "leaving"}))
            }
            _ => error_response(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    /// Returns the operator whose bearer token the request carries.
    fn operator(&self, request: &Request<Incoming>) -> Option<&String> {
        let value = request.headers().get("authorization")?.to_str().ok()?;
        self.operators
            .get(&hash_token(value.strip_prefix("Bearer ")?))
    }

    /// Parses the request body into an edit and applies it to the preset document.
    async fn edit(
        &self,
        request: Request<Incoming>,
        by: &str,
        edit: impl FnOnce(&Value) -> Result<Edit, Vec<daisyyard_core::preset::Fault>>,
    ) -> Response<Body> {
        let seen = request.uri().query().and_then(|q| q.strip_prefix("seen="));
        let Some(seen) = seen.and_then(|seen| seen.parse().ok()) else {
            let error = "add ?seen=<revision that the operator saw>";
            return error_response(StatusCode::BAD_REQUEST, error);
        };
        let body = match http::read_body(request.into_body()).await {
            Ok(body) => body,
            Err(error) => return error_response(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let value: Value = match serde_json::from_slice(&body) {
            Ok(value) => value,
            Err(error) => return error_response(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        match edit(&value) {
            Ok(edit) => edit_response(self.editor.edit(edit, by, seen).await, seen),
            Err(faults) => edit_response(Outcome::Invalid(faults), seen),
        }
    }

    /// Returns the JSON form of the node's state.
    fn status(&self, status: &Status) -> Value {
        let member = |instance: &daisyyard_core::instance::Instance| {
            json!({
                "name": instance.name,
                "zone": instance.zone.name,
                "address": instance.address.to_string(),
                "incarnation": instance.incarnation,
                "state": match instance.state {
                    State::Live => "live",
                    State::Leaving => "leaving",
                    State::Suspected => "suspected",
                    State::Gone => "gone",
                },
            })
        };
        let members: Vec<Value> = status.members.iter().map(member).collect();
        json!({
            "node": self.name,
            "revision": status.document.revision,
            "current": status.document.current,
            "source": status.source.name(),
            "watching": status.watching,
            "links": status.links.len(),
            "sent_bytes": status.traffic.sent,
            "received_bytes": status.traffic.received,
            "members": members,
        })
    }
}

/// Returns the names of all presets and of the one in force.
fn list(document: &Document) -> Value {
    let names: Vec<&String> = document.presets.keys().collect();
    json!({"revision": document.revision, "current": document.current, "presets": names})
}

/// Returns the response with one preset, or 404 if no preset has the name.
fn show(document: &Document, name: &str) -> Response<Body> {
    match document.presets.get(name) {
        Some(preset) => ok_response(&document::preset(preset)),
        None => error_response(StatusCode::NOT_FOUND, "no preset has this name"),
    }
}

/// Returns the newest changes of the preset document.
fn history(document: &Document) -> Value {
    let changes: Vec<Value> = document.history.iter().map(document::change).collect();
    json!({"revision": document.revision, "changes": changes})
}

/// Returns the response that reports the outcome of an edit to an operator.
fn edit_response(outcome: Outcome, seen: Revision) -> Response<Body> {
    match outcome {
        Outcome::Accepted(document) => ok_response(&json!({
            "outcome": "accepted",
            "revision": document.revision,
            "current": document.current,
        })),
        Outcome::Invalid(faults) => {
            let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
            let message = "the change has faults; repair them and send it again";
            let value = json!({"outcome": "not_accepted", "message": message, "faults": faults});
            http::json(StatusCode::UNPROCESSABLE_ENTITY, &value)
        }
        Outcome::Conflict(document) => {
            let since = document.history.iter().filter(|c| c.revision > seen);
            let since: Vec<Value> = since.map(document::change).collect();
            let message = format!(
                "revision {seen} is not the newest one; look at the changes, then send the \
                 change again with revision {}",
                document.revision
            );
            let value = json!({
                "outcome": "not_accepted",
                "message": message,
                "revision": document.revision,
                "won": document.history.last().map(document::change),
                "changes": since,
            });
            http::json(StatusCode::CONFLICT, &value)
        }
        Outcome::Refused(reason) => {
            let value = json!({"outcome": "not_accepted", "message": reason});
            http::json(StatusCode::SERVICE_UNAVAILABLE, &value)
        }
        Outcome::Unknown { write } => {
            let message = format!(
                "the configuration service did not answer; `daisyyard preset history` shows \
                 write {write} if the change was made"
            );
            let value = json!({"outcome": "unknown", "message": message, "write": write});
            http::json(StatusCode::GATEWAY_TIMEOUT, &value)
        }
    }
}

/// Returns the SHA-256 hash of a bearer token.
fn hash_token(token: &str) -> [u8; 32] {
    Sha256::digest(token.as_bytes()).into()
}

/// Returns a response with status 200.
fn ok_response(value: &Value) -> Response<Body> {
    http::json(StatusCode::OK, value)
}

/// Returns the response to a request that failed before anything was changed.
fn error_response(status: StatusCode, message: &str) -> Response<Body> {
    let value = json!({"outcome": "not_accepted", "message": message});
    http::json(status, &value)
}
