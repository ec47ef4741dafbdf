#!/bin/sh
# Rolls a small system of real processes on loopback from an earlier build to the present one and
# back, under a light load, and says whether requests were lost, run twice or refused untruthfully.
#
# usage: scripts/mixed_builds.sh [COMMIT]
#
# COMMIT is the earlier build; without it, 0859f13, the first one that mixes with the present one.
# It is built in the worktree that MIXED_WORKTREE names, /tmp/galenawheel-COMMIT if it is not set,
# which is kept for the next run.
set -eu

commit=${1:-0859f13}
root=$(cd "$(dirname "$0")/.." && pwd)
worktree=${MIXED_WORKTREE:-/tmp/galenawheel-$commit}
cd "$root"
if [ ! -e "$worktree" ]; then
    git worktree add --detach "$worktree" "$commit"
fi
CARGO_TARGET_DIR="$worktree/target" \
    cargo build --manifest-path "$worktree/Cargo.toml" -p gw-platform --locked
GALENAWHEEL_EARLIER="$worktree/target/debug/galenawheel-gateway" \
    cargo test -p gw-platform --locked --test mixed_builds -- --ignored --nocapture
