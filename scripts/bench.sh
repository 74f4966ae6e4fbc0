#!/usr/bin/env bash
# Measurements. Usage:
#   scripts/bench.sh policy [--deployment D] [--scenario S] [--seed N] [--json] [--all]   decisions, against baselines
#   scripts/bench.sh control [--daemons N]          cost of the control plane by size; without N the sizes of CAPACITY.md
#   scripts/bench.sh daemons [SIZES [SECONDS]]      real daemons: CPU, memory, messages, time to take over
#   scripts/bench.sh relay [STREAMS [SECONDS]]      cost of the data path of one daemon
#   scripts/bench.sh decision                       time of one routing decision by fleet size
set -euo pipefail
cd "$(dirname "$0")/.."
what=${1:-}
case "$what" in
  control)
    shift
    if [ "${1:-}" = --daemons ]; then
      ./scripts/bench-control.sh fleet "$2" 60
      exec ./scripts/bench-control.sh links "$2" 5
    fi
    exec ./scripts/bench-control.sh "$@" ;;
  daemons) shift; exec ./scripts/bench-daemons.sh "$@" ;;
  relay) shift; exec ./scripts/bench-relay.sh "$@" ;;
  decision)
    ./scripts/build.sh primrose-microbench >/dev/null
    exec "${BUILD:-build}/primrose-microbench" ;;
  policy)
    ./scripts/build.sh primrose-bench >/dev/null
    exec "${BUILD:-build}/primrose-bench" "$@" ;;
  *) sed -n '2,7s/^# \{0,1\}//p' "$0" >&2; exit 2 ;;
esac
