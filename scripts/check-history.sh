#!/usr/bin/env bash
# Records seeded runs with faults and checks every promise over them.
# Usage: scripts/check-history.sh [--seed N] [--runs K]
set -euo pipefail
cd "$(dirname "$0")/.."
seed=1 runs=1
while [ $# -gt 0 ]; do
  case "$1" in
    --seed) seed=$2; shift 2 ;;
    --runs) runs=$2; shift 2 ;;
    *) echo "check-history: unknown argument $1" >&2; exit 2 ;;
  esac
done
./scripts/build.sh history_driver primrose-check-history >/dev/null
build=${BUILD:-build}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0
for ((i = 0; i < runs; i++)); do
  file=$work/history-$((seed + i)).jsonl
  "$build/testsuite/faults/history_driver" $((seed + i)) "$file"
  echo "seed $((seed + i))"
  "$build/primrose-check-history" "$file" || failed=1
done
exit $failed
