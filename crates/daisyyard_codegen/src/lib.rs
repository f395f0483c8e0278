//! Generates `crates/daisyyard/src/generated/peer.rs` from `crates/daisyyard/proto/peer.proto`.
//!
//! After a change of the proto file, run `cargo run -p daisyyard_codegen --example generate` and
//! `cargo fmt`, and commit the result. The build itself then needs no generator.

use std::path::Path;

use anyhow::Context;

/// Compiles the proto file and replaces the generated module.
pub fn generate() -> anyhow::Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../daisyyard");
    let files = protox::compile([root.join("proto/peer.proto")], [root.join("proto")])
        .context("cannot compile peer.proto")?;
    let target = root.join("src/generated");
    std::fs::create_dir_all(&target)?;
    prost_build::Config::new()
        .out_dir(&target)
        .bytes(["."])
        .compile_fds(files)?;
    std::fs::rename(target.join("daisyyard.peer.rs"), target.join("peer.rs"))?;
    Ok(())
}
