//! Type aliases for identifiers, and the stable hash that derives them from names.

use twox_hash::{XxHash3_64, XxHash3_128};

/// Identifies an instance that runs a node.
pub type InstanceId = u64;

/// Identifies an availability zone.
pub type ZoneId = u64;

/// Identifies a region.
pub type RegionId = u64;

/// Identifies an engine or an endpoint of a plain service.
pub type EndpointId = u64;

/// Identifies a service, which is one model or one plain service.
pub type ServiceId = u64;

/// Identifies a client account.
pub type AccountId = u64;

/// Identifies a generation at an engine.
pub type GenerationId = u64;

/// Identifies a request at the node that received it.
pub type RequestId = u64;

/// Identifies the content of a request.
pub type Fingerprint = u128;

/// Identifies an idempotency key of one account at one service.
pub type KeyHash = u128;

/// Identifies an attempt to claim a call, uniquely over all nodes.
pub type AttemptId = u128;

/// Number of an archive within a partition of the call registry; never reused.
pub type ArchiveNumber = u64;

/// Revision of a value in the configuration service, such as the preset document.
pub type Revision = u64;

/// Version of the configuration of the gateways.
pub type Version = u64;

/// Incarnation of an instance; each restart has a higher number.
pub type Incarnation = u64;

/// Number of tokens.
pub type Tokens = u64;

/// Position of a token in its generation, counted from zero.
pub type Offset = u64;

/// Seed of the name hash; it must be the same on all nodes because they exchange identifiers.
const NAME_SEED: u64 = 0x6461_6973_7979_6172;

/// Returns the identifier of a named object, which is the same on all nodes.
///
/// With 46,000 names, the probability of a collision is about 6e-11.
pub fn of(name: &str) -> u64 {
    XxHash3_64::oneshot_with_seed(NAME_SEED, name.as_bytes())
}

/// Returns the fingerprint of content in several parts, as if they were one, without a copy of them.
pub fn fingerprint_parts(seed: u64, parts: &[&[u8]]) -> Fingerprint {
    let mut hasher = XxHash3_128::with_seed(seed);
    for part in parts {
        hasher.write(part);
    }
    hasher.finish_128()
}

/// Returns the fingerprint of the content of a request, hashed with a seed.
pub fn fingerprint(seed: u64, content: &[u8]) -> Fingerprint {
    XxHash3_128::oneshot_with_seed(seed, content)
}
