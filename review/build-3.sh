#!/bin/bash
# Builds what the scripts of cases 11 to 15 start beside the project's own programs: one program of
# stand-ins, which uses the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O review/lib-3/stage.rs -o target/review-3/stage
