//! Plain calls to the platform's configuration service: read a key, and write it if it has the
//! expected revision.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use daisyyard_core::call::Written;
use daisyyard_core::id::Revision;
use hyper::{Method, StatusCode};
use serde::Deserialize;

/// Time after which the result of a call is taken as lost.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Answer to a write.
#[derive(Debug, Deserialize)]
struct Stored {
    /// Revision that the key has now.
    revision: Revision,
}

/// Why a read gave no result.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The service did not answer in time, or not in the published form.
    #[error("the configuration service at {0} gave no valid answer; check that it runs")]
    Unavailable(SocketAddr),
}

/// Reads a key; returns its revision and value, if it exists.
pub(crate) async fn get(
    address: SocketAddr,
    key: &str,
) -> Result<Option<(Revision, Bytes)>, Error> {
    let path = format!("/kv/{key}");
    let open = daisyyard_http::open(address, Method::GET, &path, &[], Bytes::new());
    let read = async {
        let response = open.await.ok()?;
        match response.status() {
            StatusCode::NOT_FOUND => Some(None),
            StatusCode::OK => {
                let revision = response.headers().get("x-revision")?.to_str().ok()?;
                let revision = revision.parse().ok()?;
                let body = daisyyard_http::read(response.into_body()).await.ok()?;
                Some(Some((revision, body)))
            }
            _ => None,
        }
    };
    let read = tokio::time::timeout(TIMEOUT, read).await.ok().flatten();
    read.ok_or(Error::Unavailable(address))
}

/// Writes a key if it has the expected revision; zero expects that it does not exist.
pub(crate) async fn put(
    address: SocketAddr,
    key: &str,
    expected: Revision,
    value: Bytes,
) -> Written {
    let path = format!("/kv/{key}?expected={expected}");
    let call = daisyyard_http::call(address, Method::PUT, &path, &[], value);
    match tokio::time::timeout(TIMEOUT, call).await {
        Ok(Ok((StatusCode::OK, body))) => serde_json::from_slice(&body)
            .map_or(Written::Lost, |stored: Stored| {
                Written::Done(stored.revision)
            }),
        Ok(Ok((StatusCode::CONFLICT, _))) => Written::Conflict,
        Ok(Err(error)) if error.downcast_ref::<std::io::Error>().is_some() => Written::Unsent,
        // Any other status or a broken connection does not prove that the value is unchanged.
        _ => Written::Lost,
    }
}
