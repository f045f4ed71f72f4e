#!/bin/sh
# Builds the stand-ins of the third review: the standard library only, no registry.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O review/stand-ins-3/tests/main.rs -o target/review-3/stand-in
# Case 15 has a program of its own, with the stand-ins of the second review.
rustc --edition 2024 -O review/15/tests/main.rs -o target/review-3/case-15
