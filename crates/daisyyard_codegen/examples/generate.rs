//! Generates the code for the frames between nodes.
//!
//! This is an example and not a binary, so that `cargo run` at the root finds only `daisyyard`.

fn main() -> anyhow::Result<()> {
    daisyyard_codegen::generate()
}
