//! The HTTP listener for callers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use daisyyard_core::account::Account;
use daisyyard_core::contract::Rank;
use daisyyard_core::id;
use daisyyard_core::route::Request as Routed;
use daisyyard_http::{self as http, Body};
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::admin::Admin;
use crate::completion::{self, Completion};
use crate::generation::{self, Actors, Delivery, Generation};
use crate::refusal::{Kind, Refusal};
use crate::settings::Settings;

/// Tokens that are buffered for a caller before the engine's link is held back.
const BUFFER: usize = 256;
/// Deadline of a request that does not set one.
const DEFAULT_DEADLINE: Duration = Duration::from_mins(1);

/// What the listener needs for each request.
#[derive(Debug, Clone)]
struct Front {
    /// Accounts by credential.
    accounts: HashMap<String, Account>,
    /// Actors that requests talk to.
    actors: Actors,
    /// Interface for operators.
    admin: Admin,
}

/// Starts the listener.
pub(crate) fn spawn(
    listener: TcpListener,
    settings: &Settings,
    actors: Actors,
    admin: Admin,
) -> JoinHandle<()> {
    let account = |c: &crate::settings::Credential| (c.token.clone(), Account::new(&c.account));
    let accounts = settings.accounts.iter().map(account).collect();
    let front = Front {
        accounts,
        actors,
        admin,
    };
    http::serve(listener, move |request| {
        let front = front.clone();
        async move { front.handle(request).await.unwrap_or_else(Response::from) }
    })
}

impl Front {
    /// Answers one request.
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, Refusal> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/healthz" | "/readyz") => Ok(http::json(StatusCode::OK, &json!({}))),
            (&Method::POST, "/v1/chat/completions") => self.complete(request).await,
            (_, path) if path.starts_with("/admin/") => Ok(self.admin.handle(request).await),
            _ => Err(Refusal::not_run(Kind::Missing, "no such path")),
        }
    }

    /// Runs a generation.
    async fn complete(&self, request: Request<Incoming>) -> Result<Response<Body>, Refusal> {
        let account = self.account(request.headers())?;
        let rank = rank(request.headers())?;
        let deadline = deadline(request.headers())?;
        let body = http::read(request.into_body()).await;
        let body = body.map_err(|e| Refusal::not_run(Kind::Malformed, e.to_string()))?;
        let completion = Completion::parse(&body)?;
        let streamed = completion.stream;
        let request = Routed {
            id: rand::random(),
            service: id::of(&completion.model),
            account: account.id,
            rank,
            prompt: completion.tokens(),
            prefix: Vec::new(),
        };
        let generation = Generation {
            request,
            completion,
            deadline,
        };
        let (sender, receiver) = mpsc::channel(BUFFER);
        tokio::spawn(generation.run(self.actors.clone(), sender));
        if streamed {
            stream(receiver).await
        } else {
            collect(receiver).await
        }
    }

    /// Returns the account whose credential the caller presents.
    fn account(&self, headers: &HeaderMap) -> Result<&Account, Refusal> {
        let value = headers
            .get("authorization")
            .and_then(|value| value.to_str().ok());
        let token = value.and_then(|value| value.strip_prefix("Bearer "));
        token
            .and_then(|token| self.accounts.get(token))
            .ok_or_else(|| {
                let message = "present a known credential: Authorization: Bearer <token>";
                Refusal::not_run(Kind::Unauthorized, message)
            })
    }
}

/// Returns the rank that the caller asks for; the default is deferrable.
fn rank(headers: &HeaderMap) -> Result<Rank, Refusal> {
    let Some(value) = headers.get("x-rank") else {
        return Ok(Rank::Deferrable);
    };
    value
        .to_str()
        .ok()
        .and_then(Rank::parse)
        .ok_or_else(|| Refusal::not_run(Kind::Malformed, "X-Rank must be `urgent` or `deferrable`"))
}

/// Returns the time until which admission is of use to the caller.
fn deadline(headers: &HeaderMap) -> Result<Instant, Refusal> {
    let Some(value) = headers.get("x-deadline-ms") else {
        return Ok(Instant::now() + DEFAULT_DEADLINE);
    };
    let millis = value.to_str().ok().and_then(|text| text.parse().ok());
    let millis: u32 = millis.ok_or_else(|| {
        Refusal::not_run(
            Kind::Malformed,
            "X-Deadline-Ms must be a number of milliseconds",
        )
    })?;
    Ok(Instant::now() + Duration::from_millis(millis.into()))
}

/// Answers with a stream of events once the first delivery is there.
async fn stream(mut deliveries: mpsc::Receiver<Delivery>) -> Result<Response<Body>, Refusal> {
    let first = match deliveries.recv().await {
        Some(Delivery::Refuse(refusal, _)) => return Err(refusal),
        Some(first) => first,
        None => return Err(Refusal::not_run(Kind::Overloaded, "the node is stopping")),
    };
    let (sender, receiver) = mpsc::channel::<Bytes>(1);
    tokio::spawn(async move {
        let mut next = Some(first);
        while let Some(delivery) = next {
            if sender.send(generation::event(&delivery)).await.is_err() {
                return;
            }
            next = deliveries.recv().await;
        }
    });
    let mut response = Response::new(http::channel(receiver));
    let kind = hyper::header::HeaderValue::from_static("text/event-stream");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, kind);
    Ok(response)
}

/// Answers with the whole text.
async fn collect(mut deliveries: mpsc::Receiver<Delivery>) -> Result<Response<Body>, Refusal> {
    let mut text = String::new();
    let mut tokens = 0;
    while let Some(delivery) = deliveries.recv().await {
        match delivery {
            Delivery::Token { text: token, .. } => {
                text.push_str(&token);
                tokens += 1;
            }
            Delivery::Finish(name) => {
                let answer = completion::whole(&name, &text, tokens);
                return Ok(http::json(StatusCode::OK, &answer));
            }
            Delivery::Refuse(refusal, _) => return Err(refusal),
        }
    }
    Err(Refusal::not_run(Kind::Overloaded, "the node is stopping"))
}
