#!/usr/bin/env bash
# Cost of real daemons against the stand-ins, and how fast they take over. Usage: scripts/bench-daemons.sh [SIZES [SECONDS]]
# SIZES are separated by commas (default 3,6,9); SECONDS (default 30) is the time between the start and the readings.
set -euo pipefail
cd "$(dirname "$0")/.."
sizes=${1:-3,6,9} seconds=${2:-30}
./scripts/build.sh primrosed primrosectl primrose-standins primrose-load >/dev/null
build=$PWD/${BUILD:-build}
work=$(mktemp -d)
demo=
stop() {
  [ -n "$demo" ] && kill "$demo" 2>/dev/null && wait "$demo" 2>/dev/null
  demo=
  return 0
}
trap 'stop; rm -rf "$work"' EXIT
trap 'exit 1' INT TERM

# operator METHOD INDEX PATH: a call of a daemon's operator port.
operator() {
  curl -sf -m 2 -X "$1" -H "Authorization: Bearer $token" "$(jq -r ".daemons[$2].operator_url" "$work/run.json")$3"
}
# metric INDEX NAME: one gauge of a daemon.
metric() { operator GET "$1" /metrics | awk -v name="primrose_$2" '$1 == name { print $2 }'; }
total() {
  local i
  for ((i = 0; i < daemons; i++)); do metric "$i" "$1"; done | awk '{ sum += $1 } END { print sum + 0 }'
}
# Fields 14 and 15 of stat are user and system time in clock ticks; the name in field 2 holds no spaces here.
cpu() { awk -v hz="$(getconf CLK_TCK)" '{ print ($14 + $15) / hz }' "/proc/$1/stat"; }
resident() { awk '/^VmRSS/ { print $2 / 1024 }' "/proc/$1/status"; }
sum() { awk '{ sum += $1 } END { print sum + 0 }'; }
now() { date +%s.%N; }
since() { awk -v a="$1" -v b="$(now)" 'BEGIN { printf "%.2f", b - a }'; }
# stored PREFIX: entries of the store under a prefix, as {key: value}.
stored() {
  curl -sf -m 2 "$kv/kv/range" -d "{\"prefix\":\"$1\"}" | jq -c --arg p "$1" '[.entries[] | {(.key | ltrimstr($p)): (.value | fromjson)}] | add // {}'
}
# Endpoints whose recorded owner is not a live member of the same incarnation. The record of a killed daemon stays until
# its lease ends, so that the killed one counts as gone.
orphans() {
  jq -n --argjson records "$(stored endpoint/)" --argjson members "$(stored member/)" --argjson engines "$engines" \
    --arg killed "$killed" \
    '[$engines[] | select(($records[.] // {}) as $r | $r.owner == null or $r.owner == $killed or $members[$r.owner].incarnation != $r.incarnation)] | length'
}
# await LIMIT COMMAND..: seconds until the command succeeds, or "over LIMIT".
await() {
  local limit=$1 from
  shift
  from=$(now)
  while ! "$@"; do
    awk -v t="$(since "$from")" -v l="$limit" 'BEGIN { exit t < l }' && { echo "over $limit"; return; }
    sleep 0.02
  done
  since "$from"
}
in_force() {
  local i
  for ((i = 0; i < daemons; i++)); do
    [ "$(operator GET "$i" /status | jq .revision)" -ge "$1" ] || return 1
  done
}
owned() { [ "$(orphans)" = 0 ]; }

printf '%s\n' "daemons | CPU seconds in ${seconds} s a daemon (mean, most) | MiB resident a daemon (mean, most) | bytes/s to peers a daemon | store calls/s of all | configuration in force, s | owners again after a kill, s"
for daemons in ${sizes//,/ }; do
  rm -f "$work/run.json"
  mkfifo "$work/in"
  ./scripts/demo.sh --daemons "$daemons" --keep "$work/run.json" <"$work/in" >"$work/demo.log" 2>&1 &
  demo=$!
  exec 4>"$work/in"
  for ((i = 0; i < 600; i++)); do [ -s "$work/run.json" ] && break; sleep 0.05; done
  [ -s "$work/run.json" ] || { echo "bench-daemons: the demo does not start:" >&2; cat "$work/demo.log" >&2; exit 1; }
  token=$(jq -r .operator_token "$work/run.json")
  pids=($(jq -r '.daemons[].pid' "$work/run.json"))
  topology=$(curl -sf "$(jq -r .standins.url "$work/run.json")/topology")
  kv=$(jq -r .kv <<<"$topology")
  engines=$(jq -c '[.endpoints[] | select(.kind == "engine") | .name]' <<<"$topology")
  killed=
  await 40 owned >/dev/null

  for pid in "${pids[@]}"; do cpu "$pid"; done >"$work/cpu"
  reads=$(total store_reads) writes=$(total store_writes) sent=$(total peer_sent_bytes) from=$(now)
  sleep "$seconds"
  passed=$(since "$from")
  for pid in "${pids[@]}"; do cpu "$pid"; done | paste - "$work/cpu" | awk '{ print $1 - $2 }' >"$work/used"
  for pid in "${pids[@]}"; do resident "$pid"; done >"$work/resident"
  reads=$(awk -v a="$(total store_reads)" -v b="$reads" 'BEGIN { print a - b }')
  writes=$(awk -v a="$(total store_writes)" -v b="$writes" 'BEGIN { print a - b }')
  sent=$(awk -v a="$(total peer_sent_bytes)" -v b="$sent" 'BEGIN { print a - b }')

  shown=$(operator GET 0 /config)
  change=$(jq -c '{expected: .accepted, document: (.document | .callers["bench-daemons"] = {rank: "batch"})}' <<<"$shown")
  from=$(now)
  accepted=$(curl -sf -H "Authorization: Bearer $token" -d "$change" "$(jq -r '.daemons[0].operator_url' "$work/run.json")/config" | jq .revision)
  await 10 in_force "$accepted" >"$work/force"
  force=$(since "$from")

  # With one daemon a region nobody can take over.
  owners=-
  if [ "$daemons" -gt 3 ]; then
    killed=$(stored endpoint/ | jq -r '[.[].owner] | group_by(.) | max_by(length)[0]')
    kill -KILL "${pids[${killed#daemon-} - 1]}"
    owners=$(await 60 owned)
  fi
  awk -v n="$daemons" -v t="$passed" -v r="$reads" -v w="$writes" -v s="$sent" -v force="$force" -v owners="$owners" '
    FNR == 1 { file++ }
    file == 1 { cpu += $1; if ($1 > cpumax) cpumax = $1 }
    file == 2 { mem += $1; if ($1 > memmax) memmax = $1 }
    END {
      printf "%d | %.2f, %.2f | %.1f, %.1f | %.0f | %.1f reads, %.1f writes | %s | %s\n",
        n, cpu / n, cpumax, mem / n, memmax, s / t / n, r / t, w / t, force, owners
    }' "$work/used" "$work/resident"
  exec 4>&-
  stop
  rm -f "$work/in"
done
