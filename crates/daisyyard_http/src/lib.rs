//! HTTP/1.1 helpers on top of hyper that the servers and the stand-ins share.

pub mod connection;

use std::convert::Infallible;
use std::net::SocketAddr;

use anyhow::Context;
use bytes::Bytes;
use futures_util::StreamExt;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::HeaderMap;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// Body of a response, which cannot fail.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;

/// Maximum size of a request body that is read.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Hop-by-hop headers, which apply to a single connection and are not forwarded.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Removes the hop-by-hop headers and the headers that `connection` lists.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in HOP_BY_HOP
        .iter()
        .copied()
        .chain(named.iter().map(String::as_str))
    {
        headers.remove(name);
    }
}

/// Returns a body with a known length that consists of the given bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).boxed_unsync()
}

/// Returns a response with a JSON body.
pub fn json(status: StatusCode, value: &serde_json::Value) -> Response<Body> {
    let mut response = Response::new(full(value.to_string()));
    *response.status_mut() = status;
    let content_type = hyper::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, content_type);
    response
}

/// Returns a body that streams the chunks of a channel and ends when the sender is dropped.
pub fn channel(receiver: mpsc::Receiver<Bytes>) -> Body {
    let stream = futures_util::stream::unfold(receiver, |mut receiver| async move {
        let chunk = receiver.recv().await?;
        Some((Ok(Frame::data(chunk)), receiver))
    });
    BodyExt::boxed_unsync(StreamBody::new(stream.boxed()))
}

/// Reads a request body; fails if it is larger than `MAX_BODY_BYTES`.
pub async fn read_body(body: Incoming) -> anyhow::Result<Bytes> {
    let limited = http_body_util::Limited::new(body, MAX_BODY_BYTES);
    let collected = limited.collect().await;
    let collected = collected.map_err(|error| anyhow::anyhow!("cannot read the body: {error}"))?;
    Ok(collected.to_bytes())
}

/// Serves each connection in a task of its own until the returned task is aborted.
pub fn serve<F, R>(listener: TcpListener, handler: F) -> JoinHandle<()>
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    tokio::spawn(async move {
        let mut connections = tokio::task::JoinSet::new();
        while let Ok((socket, _)) = listener.accept().await {
            let handler = handler.clone();
            connections.spawn(async move {
                let service = service_fn(move |request| {
                    let response = handler(request);
                    async move { Ok::<_, Infallible>(response.await) }
                });
                // Errors of a connection need no handling: the client sees the closed connection.
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(socket), service)
                    .await;
            });
            while connections.try_join_next().is_some() {}
        }
    })
}

/// Sends one request on a new connection and reads the complete response.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> anyhow::Result<(StatusCode, Bytes)> {
    let response = send(address, method, path, headers, body).await?;
    let status = response.status();
    let collected = response
        .into_body()
        .collect()
        .await
        .context("connection closed before the response was complete")?;
    Ok((status, collected.to_bytes()))
}

/// Sends one request on a new connection and returns the response with its body unread.
pub async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> anyhow::Result<Response<Incoming>> {
    let socket = TcpStream::connect(address).await;
    let socket = socket.with_context(|| format!("cannot connect to {address}; is it running?"))?;
    socket.set_nodelay(true).context("cannot set TCP_NODELAY")?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(socket)).await?;
    tokio::spawn(connection);
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "daisyyard");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Full::new(body.into()))
        .context("the request is malformed")?;
    Ok(sender.send_request(request).await?)
}
