#!/bin/sh
# Builds the stand-ins of the third review; needs nothing but the compiler.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -A dead_code -o target/review-3/standin review/standin-3/main.rs
