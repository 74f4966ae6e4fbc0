#!/usr/bin/env bash
# Configures and builds into build/ (or $BUILD). Usage: scripts/build.sh [TARGET ...]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
[ -f "$build/build.ninja" ] || cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" -j "${JOBS:-8}" ${1:+--target "$@"}
