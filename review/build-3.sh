#!/usr/bin/env bash
# Builds the drivers and stand-ins of the cases from 11 on into target/review-3. They use the standard
# library only, so no registry is needed. The program itself is built by the line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/stand_ins_3/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = common ] || rustc --edition 2024 -O "$source" -o "target/review-3/$name"
done
