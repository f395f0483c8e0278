#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. It needs the Rust compiler alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin-2 review/standin-2/main.rs
