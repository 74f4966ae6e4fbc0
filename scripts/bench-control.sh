#!/usr/bin/env bash
# Prints what the control plane costs. Usage: scripts/bench-control.sh [fleet | config | links | messages | journal] [SIZES [SECONDS]]
# Without arguments: all five with the sizes of docs/CAPACITY.md (about ten minutes on one core).
set -euo pipefail
cd "$(dirname "$0")/.."
./scripts/build.sh primrose-controlbench
bench=${BUILD:-build}/primrose-controlbench
if [ $# -gt 0 ]; then
  exec "$bench" --mode "$1" ${2:+--sizes "$2"} ${3:+--seconds "$3"}
fi
"$bench" --mode fleet --sizes 3,6,9,25,50,100,200,400 --seconds 60
"$bench" --mode config --sizes 9,50,100 --seconds 60
"$bench" --mode links --sizes 3,6,9,30 --seconds 5
"$bench" --mode messages
"$bench" --mode journal
