//! The admin interface of a node: HTTP under `/admin/` for operators.

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
use crate::peer::Peer;
use crate::revise::{Editor, Outcome};
use crate::settings::Credential;
use crate::status::{Ask, Status};

/// What the interface needs for each request.
#[derive(Debug, Clone)]
pub(crate) struct Admin {
    /// Operators by the hash of their credential, so that comparing takes no time that depends
    /// on the credential itself.
    operators: HashMap<[u8; 32], String>,
    /// Name of the node.
    name: String,
    /// Actor that knows the state of the node.
    peers: Address<Peer>,
    /// Changes the preset document.
    editor: Editor,
    /// Orders a planned stop of the node.
    stop: mpsc::Sender<()>,
}

impl Admin {
    /// Creates the interface of a node.
    pub(crate) fn new(
        name: &str,
        operators: &[Credential],
        peers: Address<Peer>,
        editor: Editor,
        stop: mpsc::Sender<()>,
    ) -> Self {
        let hashed = |c: &Credential| (hash(&c.token), c.name.clone());
        Self {
            operators: operators.iter().map(hashed).collect(),
            name: name.to_owned(),
            peers,
            editor,
            stop,
        }
    }

    /// Answers one request.
    pub(crate) async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let Some(operator) = self.operator(&request).cloned() else {
            let error = "present a known operator credential: Authorization: Bearer <token>";
            return failed(StatusCode::UNAUTHORIZED, error);
        };
        let Ok(status) = self.peers.send(Ask).await else {
            return failed(StatusCode::SERVICE_UNAVAILABLE, "the node is stopping");
        };
        let path = request.uri().path().to_owned();
        let name = path.strip_prefix("/admin/presets/");
        match (request.method(), path.as_str(), name) {
            (&Method::GET, "/admin/presets", _) => found(&list(&status.document)),
            (&Method::GET, _, Some(name)) => show(&status.document, name),
            (&Method::GET, "/admin/history", _) => found(&history(&status.document)),
            (&Method::GET, "/admin/status", _) => found(&self.status(&status)),
            (&Method::PUT, "/admin/presets", _) => {
                self.change(request, &operator, |value| {
                    document::parse(value).map(Edit::Put)
                })
                .await
            }
            (&Method::PUT, "/admin/current", _) => {
                self.change(request, &operator, |value| {
                    let name = value["name"].as_str().unwrap_or_default();
                    Ok(Edit::Use(name.to_owned()))
                })
                .await
            }
            (&Method::POST, "/admin/drain", _) => {
                // A full channel holds an earlier order of the same stop.
                let _ = self.stop.try_send(());
                found(&json!({"outcome": "accepted", "state": "leaving"}))
            }
            _ => failed(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    /// Returns the operator whose credential the request presents.
    fn operator(&self, request: &Request<Incoming>) -> Option<&String> {
        let value = request.headers().get("authorization")?.to_str().ok()?;
        self.operators.get(&hash(value.strip_prefix("Bearer ")?))
    }

    /// Makes a change that the body describes.
    async fn change(
        &self,
        request: Request<Incoming>,
        by: &str,
        edit: impl FnOnce(&Value) -> Result<Edit, Vec<daisyyard_core::preset::Fault>>,
    ) -> Response<Body> {
        let seen = request.uri().query().and_then(|q| q.strip_prefix("seen="));
        let Some(seen) = seen.and_then(|seen| seen.parse().ok()) else {
            let error = "add ?seen=<revision that the operator saw>";
            return failed(StatusCode::BAD_REQUEST, error);
        };
        let body = match http::read_body(request.into_body()).await {
            Ok(body) => body,
            Err(error) => return failed(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let value: Value = match serde_json::from_slice(&body) {
            Ok(value) => value,
            Err(error) => return failed(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        match edit(&value) {
            Ok(edit) => answer(self.editor.revise(edit, by, seen).await, seen),
            Err(faults) => answer(Outcome::Faulty(faults), seen),
        }
    }

    /// Returns the state of the node.
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

/// Returns the names of all presets and the one in force.
fn list(document: &Document) -> Value {
    let names: Vec<&String> = document.presets.keys().collect();
    json!({"revision": document.revision, "current": document.current, "presets": names})
}

/// Returns one preset.
fn show(document: &Document, name: &str) -> Response<Body> {
    match document.presets.get(name) {
        Some(preset) => found(&document::preset(preset)),
        None => failed(StatusCode::NOT_FOUND, "no preset has this name"),
    }
}

/// Returns the newest changes.
fn history(document: &Document) -> Value {
    let changes: Vec<Value> = document.history.iter().map(document::change).collect();
    json!({"revision": document.revision, "changes": changes})
}

/// Returns the answer that tells an operator what became of a change.
fn answer(outcome: Outcome, seen: Revision) -> Response<Body> {
    match outcome {
        Outcome::Accepted(document) => found(&json!({
            "outcome": "accepted",
            "revision": document.revision,
            "current": document.current,
        })),
        Outcome::Faulty(faults) => {
            let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
            let message = "the change has faults; repair them and send it again";
            let value = json!({"outcome": "not_accepted", "message": message, "faults": faults});
            http::json(StatusCode::UNPROCESSABLE_ENTITY, &value)
        }
        Outcome::Lost(document) => {
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

/// Returns the hash of a credential.
fn hash(token: &str) -> [u8; 32] {
    Sha256::digest(token.as_bytes()).into()
}

/// Returns a value that was asked for.
fn found(value: &Value) -> Response<Body> {
    http::json(StatusCode::OK, value)
}

/// Returns an error before anything was changed.
fn failed(status: StatusCode, message: &str) -> Response<Body> {
    let value = json!({"outcome": "not_accepted", "message": message});
    http::json(status, &value)
}
