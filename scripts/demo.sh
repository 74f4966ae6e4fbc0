#!/usr/bin/env bash
# Starts the stand-ins and three daemons, applies a configuration, sends requests of all ranks, and stops everything.
# Usage: scripts/demo.sh [--deployment braidwell|dentelle] [--daemons N] [--keep FILE]
#   --keep FILE  leave it running until standard input closes or SIGINT comes; FILE tells the addresses as JSON
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=braidwell daemons=3 keep=
while [ $# -gt 0 ]; do
  case "$1" in
    --deployment) deployment=$2; shift 2 ;;
    --daemons) daemons=$2; shift 2 ;;
    --keep) keep=$2; shift 2 ;;
    *) echo "demo: unknown argument $1; see the head of this script" >&2; exit 2 ;;
  esac
done
[ -d "examples/$deployment" ] || { echo "demo: no examples/$deployment; use braidwell or dentelle" >&2; exit 2; }
./scripts/build.sh primrosed primrosectl primrose-standins primrose-load >/dev/null
build=$PWD/${BUILD:-build}
work=$(mktemp -d)
pids=()
cleanup() {
  trap - EXIT INT TERM
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 0' INT TERM

regions=($(sed -n 's/^regions: \[\(.*\)\]/\1/p' "examples/$deployment/10-base.yaml" | tr -d ','))
token=$(openssl rand -hex 16)
key=$(openssl rand -hex 16)

# Ports are taken from a random range; a daemon that finds its port taken says so and the range changes.
start_all() {
  local base=$((10000 + RANDOM % 22000)) i
  cp "examples/standins/$deployment.yaml" "$work/standins.yaml"
  echo "daemons:" >>"$work/standins.yaml"
  for ((i = 0; i < daemons; i++)); do
    echo "  - {name: daemon-$((i + 1)), region: ${regions[i % 3]}, failure_domain: ${regions[i % 3]}-$((i / 3 + 1)), port: $((base + 3 * i + 2))}" >>"$work/standins.yaml"
  done
  "$build/primrose-standins" --settings "$work/standins.yaml" >"$work/topology.json" 2>"$work/standins.log" &
  pids=($!)
  for ((i = 0; i < 100; i++)); do [ -s "$work/topology.json" ] && break; sleep 0.05; done
  standins=$(jq -r .control "$work/topology.json")
  for ((i = 0; i < daemons; i++)); do
    cat >"$work/daemon-$((i + 1)).yaml" <<SETTINGS
name: daemon-$((i + 1))
region: ${regions[i % 3]}
failure_domain: ${regions[i % 3]}-$((i / 3 + 1))
caller_listen: 127.0.0.1:$((base + 3 * i))
operator_listen: 127.0.0.1:$((base + 3 * i + 1))
peer_listen: 127.0.0.1:$((base + 3 * i + 2))
kv_url: $(jq -r .kv "$work/topology.json")
vm_list_url: $(jq -r .vms "$work/topology.json")
cluster_key: $key
operator_token: $token
SETTINGS
    "$build/primrosed" --settings "$work/daemon-$((i + 1)).yaml" 2>"$work/daemon-$((i + 1)).log" &
    pids+=($!)
    urls[i]=http://127.0.0.1:$((base + 3 * i))
    operators[i]=http://127.0.0.1:$((base + 3 * i + 1))
  done
  sleep 0.5
  for pid in "${pids[@]}"; do kill -0 "$pid" 2>/dev/null || return 1; done
}
urls=() operators=() standins=
for try in 1 2 3 4 5; do
  start_all && break
  [ "$try" = 5 ] && { echo "demo: a process does not start:" >&2; cat "$work"/*.log >&2; exit 1; }
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
done

export PRIMROSE_OPERATOR_TOKEN=$token
"$build/primrosectl" --daemon "${operators[0]}" config apply "examples/$deployment"
for url in "${urls[@]}"; do
  for ((i = 0; i < 200; i++)); do curl -sf "$url/readyz" >/dev/null && break; sleep 0.05; done
done
revision=$("$build/primrosectl" --daemon "${operators[0]}" --output json status | jq .revision)

if [ -n "$keep" ]; then
  for ((i = 0; i < daemons; i++)); do
    jq -n --arg name "daemon-$((i + 1))" --arg region "${regions[i % 3]}" --arg url "${urls[i]}" \
      --arg operator_url "${operators[i]}" --argjson pid "${pids[i + 1]}" '$ARGS.named'
  done | jq -s --arg url "$standins" --argjson pid "${pids[0]}" --argjson revision "$revision" --arg token "$token" \
    '{daemons: ., standins: {url: $url, pid: $pid}, revision: $revision, operator_token: $token}' >"$keep.tmp"
  mv "$keep.tmp" "$keep"
  echo "running; addresses are in $keep; close standard input or press Ctrl-C to stop"
  # A background command gets no standard input unless it is passed on.
  exec 3<&0
  cat <&3 >/dev/null &
  waiter=$!
  wait "$waiter" || true
  exit 0
fi

model=$(sed -n 's/^  \([a-z-]*\): {version.*/\1/p' "examples/$deployment/20-models.yaml" | head -1)
service=$(sed -n 's/^  \([a-z]*\):$/\1/p' "examples/$deployment/40-services.yaml" | head -1)
path=$(sed -n 's/.*path: \(\/[a-z]*\), repeatable: false.*/\1/p' "examples/$deployment/40-services.yaml" | head -1)
echo "== a whole answer from $model, urgent"
curl -sS -D "$work/head" "${urls[0]}/v1/chat/completions" -H 'Content-Type: application/json' -H 'X-Primrose-Rank: urgent' \
  -d "{\"model\":\"$model\",\"messages\":[{\"role\":\"user\",\"content\":\"Draft a note.\"}],\"max_tokens\":8}"
echo; grep -i '^x-primrose' "$work/head"
echo "== a streamed answer through another daemon, standard"
curl -sSN "${urls[$((1 % daemons))]}/v1/completions" -H 'X-Primrose-Rank: standard' \
  -d "{\"model\":\"$model\",\"prompt\":\"A plain question.\",\"max_tokens\":3,\"stream\":true}"
echo "== the same call that must not be repeated, twice with one key, through two daemons"
for i in 0 1; do
  curl -sS "${urls[$((i % daemons))]}/v1/services/$service$path" -H 'Idempotency-Key: demo-1' -d '{"item":1}'
  echo
done
echo "executions: $(curl -s "$standins/executions" | jq -c 'with_entries(select(.key == "demo-1"))')"
echo "== a mixed load of all ranks"
"$build/primrose-load" "${urls[@]/#/--url=}" --seconds 4 --rate 20 --seed 1 --quiet
echo "demo: done"
