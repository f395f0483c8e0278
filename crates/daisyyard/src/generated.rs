//! Code that `cargo run -p daisyyard_codegen --example generate` generates.

/// Frames of `proto/peer.proto`.
#[allow(
    missing_docs,
    clippy::missing_docs_in_private_items,
    clippy::pedantic,
    reason = "generated code"
)]
pub(crate) mod peer;
