#!/bin/sh
# Builds the stand-ins of the scripts in this folder; needs only the Rust compiler.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standin review/standin/main.rs
