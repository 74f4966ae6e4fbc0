#!/usr/bin/env bash
# Measures the data path of one daemon: tokens relayed per second of CPU, memory per open stream, and added latency
# against a direct connection to a stand-in engine in the same run.
# Usage: scripts/bench-relay.sh [STREAMS [SECONDS]]
set -euo pipefail
cd "$(dirname "$0")/.."
streams=${1:-1000} seconds=${2:-15}
./scripts/build.sh primrosed primrosectl primrose-standins primrose-load >/dev/null
build=${BUILD:-build}
work=$(mktemp -d)
pids=()
trap 'for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done; rm -rf "$work"' EXIT
base=$((10000 + RANDOM % 22000))
mkdir "$work/config"
cat >"$work/config/10.yaml" <<CONFIG
deployment: relay
regions: [north]
models: {relay: {weight_gib: 1, min_replicas: 1}}
ranks:
  urgent: {guaranteed_share: 0.3, max_queue_ms: 60000, token_gap_ms: 1000}
  standard: {guaranteed_share: 0.3, max_queue_ms: 60000, token_gap_ms: 1000}
  batch: {guaranteed_share: 0.3, max_queue_ms: 60000, token_gap_ms: 1000}
CONFIG
{
  echo "engine_defaults: {max_batch: 300, token_gap_ms: 40, token_gap_per_sequence_ms: 0, prefill_tokens_per_second: 10000000,"
  echo "  resident: [{name: relay, version: \"1\", bytes: 1073741824}]}"
  echo "engines:"
  for i in 1 2 3 4; do echo "  - {name: engine-$i, region: north, failure_domain: north-$i}"; done
} >"$work/standins.yaml"
"$build/primrose-standins" --settings "$work/standins.yaml" >"$work/topology.json" &
pids+=($!)
for ((i = 0; i < 100; i++)); do [ -s "$work/topology.json" ] && break; sleep 0.05; done
cat >"$work/daemon.yaml" <<SETTINGS
name: relay
region: north
failure_domain: north-1
caller_listen: 127.0.0.1:$base
operator_listen: 127.0.0.1:$((base + 1))
peer_listen: 127.0.0.1:$((base + 2))
kv_url: $(jq -r .kv "$work/topology.json")
vm_list_url: $(jq -r .vms "$work/topology.json")
cluster_key: bench-relay-cluster-key
operator_token: bench-relay-operator-token
max_connections: 4000
max_queued: 4000
SETTINGS
"$build/primrosed" --settings "$work/daemon.yaml" 2>/dev/null &
daemon=$!
pids+=("$daemon")
export PRIMROSE_OPERATOR_TOKEN=bench-relay-operator-token
sleep 0.5
"$build/primrosectl" --daemon "http://127.0.0.1:$((base + 1))" config apply "$work/config" >/dev/null
sleep 2

ticks() { awk '{print $14 + $15}' "/proc/$daemon/stat"; }
rss() { awk '/VmRSS/{print $2}' "/proc/$daemon/status"; }
tokens() {
  curl -s -H "Authorization: Bearer $PRIMROSE_OPERATOR_TOKEN" "http://127.0.0.1:$((base + 1))/metrics" |
    awk '/^primrose_tokens_total/{n += $2} END{print n + 0}'
}
median() { sort -n | awk '{v[NR] = $1} END{print v[int((NR + 1) / 2)]}'; }

engine=http://127.0.0.1:$(jq -r '.endpoints[0].port' "$work/topology.json")
whole() { # URL BODY: time to the whole answer of one token in ms, median of 100
  for ((i = 0; i < 100; i++)); do
    curl -sN -o /dev/null -w '%{time_total}\n' -H 'Content-Type: application/json' "$1" \
      -d "${2//ID/r$RANDOM$i}"
  done | awk '{print $1 * 1000}' | median
}
direct=$(whole "$engine/v1/completions" '{"request_id":"ID","model":"relay","version":"1","prompt":"hello ID","max_tokens":1}')
relayed=$(whole "http://127.0.0.1:$base/v1/completions" '{"model":"relay","prompt":"hello ID","max_tokens":1,"stream":true}')

idle_rss=$(rss) idle_ticks=$(ticks)
sleep 5
idle=$(($(ticks) - idle_ticks))
cat >"$work/mix.yaml" <<MIX
seed: 1
rate: $streams
mix: [{model: relay, rank: standard, prompt_bytes: 40, max_tokens: $((seconds * 25)), prefixes: 4}]
MIX
"$build/primrose-load" --url "http://127.0.0.1:$base" --mix "$work/mix.yaml" --count "$streams" --in-flight 4000 \
  --call-timeout 120 --quiet --output json >"$work/load.json" &
load=$!
pids+=("$load")
# Half of the streams' time is left after they have all started.
sleep $((seconds / 2))
t0=$(tokens) c0=$(ticks) s0=$(date +%s%N)
sleep 4
t1=$(tokens) c1=$(ticks) s1=$(date +%s%N) full_rss=$(rss) threads=$(awk '/Threads/{print $2}' "/proc/$daemon/status")
connections=$("$build/primrosectl" --daemon "http://127.0.0.1:$((base + 1))" --output json status | jq .connections)
wait "$load" || true
total=$(tokens)
c2=$(ticks)
hz=$(getconf CLK_TCK)
awk -v open="$connections" -v d="$direct" -v r="$relayed" -v t="$total" -v c=$((c2 - c0)) -v w=$((c1 - c0)) \
  -v ns=$((s1 - s0)) -v hz="$hz" -v irss="$idle_rss" -v frss="$full_rss" -v th="$threads" -v idle="$idle" 'BEGIN {
  printf "open streams                      %d\n", open
  printf "one token, direct to the engine   %.2f ms (median of 100)\n", d
  printf "one token, through the daemon     %.2f ms (median of 100)\n", r
  printf "CPU while idle                    %.2f %% of a core\n", idle * 100 / hz / 5
  printf "CPU with all streams open         %.1f %% of a core\n", w * 100 / hz / (ns / 1e9)
  printf "tokens expected at 25 a second    %.0f a second\n", open * 25
  printf "tokens per second of CPU          %.0f\n", open * 25 / (w / hz / (ns / 1e9))
  printf "resident memory idle              %.1f MB\n", irss / 1024
  printf "resident memory with the streams  %.1f MB, %.1f KB a stream\n", frss / 1024, (frss - irss) / (open > 0 ? open : 1)
  printf "threads                           %d\n", th
}'
jq -c '{whole: (.outcomes.whole // .whole), outcomes}' "$work/load.json" 2>/dev/null || head -c 600 "$work/load.json"
