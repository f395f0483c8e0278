//! Generates `crates/daisyyard/src/generated/peer.rs` from `crates/daisyyard/proto/peer.proto`.
//!
//! Run `cargo run -p daisyyard_codegen --example generate` and `cargo fmt` after a change of the proto file and commit
//! the result, so that the build itself needs no generator.

use std::path::Path;

use anyhow::Context;

/// Generates the code.
pub fn generate() -> anyhow::Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../daisyyard");
    let files = protox::compile([root.join("proto/peer.proto")], [root.join("proto")])
        .context("peer.proto is malformed")?;
    let target = root.join("src/generated");
    std::fs::create_dir_all(&target)?;
    prost_build::Config::new()
        .out_dir(&target)
        .bytes(["."])
        .compile_fds(files)?;
    std::fs::rename(target.join("daisyyard.peer.rs"), target.join("peer.rs"))?;
    Ok(())
}
