//! Generation ids that callers receive. An id names an engine and its stream and is signed for one
//! client account, so that any node can resume the stream without shared state.

use daisyyard_core::id::{AccountId, EndpointId};
use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Prefix of the signed bytes, which separates this use of the shared key from others.
const DOMAIN: &[u8] = b"daisyyard generation id 1\0";
/// Size of the truncated signature in an id.
const SIGNATURE_BYTES: usize = 16;
/// Maximum length of an engine's stream name.
const MAX_STREAM_NAME_BYTES: usize = 64;

/// Signs and verifies generation ids.
#[derive(Clone)]
pub struct Signer {
    /// HMAC state with the key and no input.
    mac: Hmac<Sha256>,
}

impl std::fmt::Debug for Signer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Signer")
    }
}

impl Signer {
    /// Creates a signer with the key that all nodes share.
    pub fn new(key: &str) -> Self {
        let mac = Hmac::new_from_slice(key.as_bytes()).expect("HMAC accepts keys of any length");
        Self { mac }
    }

    /// Returns the generation id of an engine's stream for one account.
    pub fn sign(&self, account: AccountId, endpoint: EndpointId, stream: &str) -> String {
        let digest = self
            .mac_of(account, endpoint, stream)
            .finalize()
            .into_bytes();
        let mut bytes = [0; SIGNATURE_BYTES];
        bytes.copy_from_slice(&digest[..SIGNATURE_BYTES]);
        let signature = u128::from_be_bytes(bytes);
        format!("{endpoint:016x}-{stream}-{signature:032x}")
    }

    /// Returns the engine and stream of a generation id, or `None` if the id is malformed or was
    /// not signed for the account.
    pub fn verify(&self, account: AccountId, id: &str) -> Option<(EndpointId, String)> {
        let (endpoint, rest) = id.split_once('-')?;
        let (stream, signature) = rest.rsplit_once('-')?;
        if endpoint.len() != 16
            || signature.len() != 2 * SIGNATURE_BYTES
            || !is_valid_stream_name(stream)
        {
            return None;
        }
        let endpoint = EndpointId::from_str_radix(endpoint, 16).ok()?;
        let signature = u128::from_str_radix(signature, 16).ok()?.to_be_bytes();
        let mac = self.mac_of(account, endpoint, stream);
        mac.verify_truncated_left(&signature).ok()?;
        Some((endpoint, stream.to_owned()))
    }

    /// Computes the HMAC over the account, engine and stream of an id.
    fn mac_of(&self, account: AccountId, endpoint: EndpointId, stream: &str) -> Hmac<Sha256> {
        let mut mac = self.mac.clone();
        mac.update(DOMAIN);
        mac.update(&account.to_be_bytes());
        mac.update(&endpoint.to_be_bytes());
        mac.update(stream.as_bytes());
        mac
    }
}

/// Returns whether an engine's stream name is safe in a path and a header.
pub fn is_valid_stream_name(stream: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    !stream.is_empty() && stream.len() <= MAX_STREAM_NAME_BYTES && stream.bytes().all(allowed)
}
