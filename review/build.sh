#!/bin/bash
# Builds what the scripts of the review start, besides the programs of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/main.rs; do
    number=$(basename "$(dirname "$source")")
    rustc --edition 2024 -O -o "target/review/case-$number" "$source"
done
