#!/usr/bin/env bash
# Starts the log stand-in and N nodes on loopback, measures the processor time, memory and traffic of the nodes,
# then stops every process.
# Usage: scripts/bench-nodes.sh NODES [TARGETS_PER_NODE [SERVICES [EXTRA_RULES [EXTRA_NODES]]]]
# Environment: CALLS (per second and node under load), POLLERS (long polls at the first node), SECONDS_EACH, REPEATS, SETTLE, BASE_PORT, BUILD_DIR, HEADER=no.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${BUILD_DIR:-build}"
nodes="${1:?number of nodes}"
targets="${2:-1}"
services="${3:-4}"
rules="${4:-0}"
elsewhere="${5:-0}"
base="${BASE_PORT:-21000}"
log_port=$((base - 1))
((nodes <= 200)) || { echo "at most 200 nodes on one machine" >&2; exit 2; }
work="$(mktemp -d)"
pids=()
stop_all() {
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap stop_all EXIT
"$build/standins/log_standin" --port="$log_port" >"$work/log.txt" 2>&1 &
pids+=($!)
for _ in {1..50}; do
    grep -qs listening "$work/log.txt" && break
    sleep 0.1
done
driver=("$build/bench/nodes_bench" --log_port="$log_port" --base_port="$base" --services="$services"
        --targets="$targets" --extra_rules="$rules" --extra_nodes="$elsewhere")
"${driver[@]}" --publish_only
node_pids=()
for ((i = 0; i < nodes; ++i)); do
    port=$((base + 3 * i))
    printf '{"node":"node-%d","domain":"d0","fleetSecret":"%s","callerListen":"127.0.0.1:%d",
"peerListen":"127.0.0.1:%d","targetListen":"127.0.0.1:%d","log":"127.0.0.1:%d"}' \
        "$i" "secret of the capacity bench, 32 bytes" "$port" $((port + 1)) $((port + 2)) "$log_port" \
        >"$work/$i.json"
    "$build/snipestreamd" --settings="$work/$i.json" >"$work/$i.txt" 2>&1 &
    pids+=($!)
    node_pids+=($!)
done
if [[ "${HEADER:-yes}" == yes ]]; then
    echo "| nodes | targets each | services | extra rules | extra nodes | load | CPU % mean | CPU % most" \
         "| MB mean | MB most | KB/s mean | KB/s most | peer calls/s | links |"
    echo "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
fi
"${driver[@]}" --pids="$(IFS=,; echo "${node_pids[*]}")" --calls="${CALLS:-20}" --seconds="${SECONDS_EACH:-10}" \
    --pollers="${POLLERS:-0}" --repeats="${REPEATS:-3}" --settle="${SETTLE:-12}" || { tail -n 5 "$work/0.txt" >&2; exit 1; }
