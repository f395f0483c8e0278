//! Generates the code of the peer protocol, which nodes use between each other.
//!
//! This is an example rather than a binary, so that `cargo run` at the root runs `daisyyard`.

fn main() -> anyhow::Result<()> {
    daisyyard_codegen::generate()
}
