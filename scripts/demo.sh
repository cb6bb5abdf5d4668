#!/usr/bin/env bash
# Builds everything, starts a log stand-in, four nodes in two failure domains and four target stand-ins as separate
# processes on loopback, sends requests through them and prints the results. Stops all of these processes at the end.
# Usage: scripts/demo.sh            runs the demonstration
#        scripts/demo.sh --path-only  measures the latency that two nodes add, one caller (bench/path_bench)
#        scripts/demo.sh --path-busy  the same with 16 callers that do not pause
set -euo pipefail
cd "$(dirname "$0")/.."
./scripts/build.sh snipestreamd snipestreamctl log_standin target_standin path_bench
build="${BUILD_DIR:-build}"
run=$(mktemp -d)
pids=()

stop_all() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$run"
}
trap stop_all EXIT

start() { # name, command ...
    local name=$1
    shift
    "$@" >"$run/$name.log" 2>&1 &
    pids+=($!)
}

step() { printf '\n== %s\n' "$1"; }

ctl() { "$build/snipestreamctl" --log=127.0.0.1:17400 "$@"; }

request() { # label, curl arguments ...
    local label=$1 code reason
    shift
    code=$(curl -s -m 10 -o "$run/answer" -w '%{http_code} in %{time_total} s' "$@") || true
    reason=$(grep -o '"reason":"[^"]*"\|"run":"[^"]*"' "$run/answer" | tr '\n' ' ' || true)
    printf '%-58s %s %s\n' "$label" "$code" "$reason"
}

wait_for() { # what, command ...
    local what=$1
    shift
    for _ in $(seq 150); do
        if "$@" >/dev/null 2>&1; then return; fi
        sleep 0.1
    done
    echo "$what did not get ready in 15 s"
    tail -n 5 "$run"/*.log
    exit 1
}

step "log stand-in and rules"
start log "$build/standins/log_standin" --port=17400
wait_for "the log" curl -sf "http://127.0.0.1:17400/streams/config/records?from=0&limit=1"
ctl key new studio k1 --reason="demonstration" --by=operator >"$run/key"
key=$(grep -oE '\bk1\.[0-9a-zA-Z_-]+' "$run/key" | head -1)
rule=$(grep '^key studio' "$run/key")
cat >"$run/rules" <<RULES
domain east weight=1 # asked by operator: demonstration
domain west weight=1 # asked by operator: demonstration
team studio rate=50000/s burst=10000 # asked by operator: demonstration
team small rate=2/s burst=5 # asked by operator: demonstration
$rule
$(ctl key new small k2 --reason="demonstration" --by=operator | tee "$run/key2" | grep '^key small')
route hours GET /hours service=catalogue priority=low idempotent=yes open=yes # asked by operator: public page
route stock GET /stock service=catalogue priority=normal idempotent=yes open=no # asked by operator: lookups
route diary GET /diary service=diary priority=high idempotent=yes open=no # asked by operator: called by bookings
route photos PUT /photos service=catalogue priority=high idempotent=yes open=no # asked by operator: uploads
route deposits POST /deposits service=bookings priority=critical idempotent=no open=no # asked by operator: runs once
RULES
small=$(grep -oE '\bk2\.[0-9a-zA-Z_-]+' "$run/key2" | head -1)
ctl check "$run/rules"
ctl publish "$run/rules" --by=operator

step "four nodes in two failure domains, four targets"
admin=""
for i in 1 2 3 4; do
    domain=east
    ((i > 2)) && domain=west
    cat >"$run/node$i.json" <<SETTINGS
{"node": "node$i", "domain": "$domain", "fleetSecret": "demonstration-secret",
 "callerListen": "127.0.0.1:1700$i", "peerListen": "127.0.0.1:1710$i", "targetListen": "127.0.0.1:1720$i",
 "log": "127.0.0.1:17400"}
SETTINGS
    start "node$i" "$build/snipestreamd" --settings="$run/node$i.json"
    admin="$admin${admin:+,}127.0.0.1:1720$i"
done
start target1 "$build/standins/target_standin" --name=catalogue-1 --service=catalogue --port=17301 --node_port=17201 --service_ms=0
start target2 "$build/standins/target_standin" --name=bookings-2 --service=bookings --port=17302 --node_port=17202 \
    --service_ms=2 --downstream=/diary/today
start target3 "$build/standins/target_standin" --name=catalogue-3 --service=catalogue --port=17303 --node_port=17203 --service_ms=0
start target4 "$build/standins/target_standin" --name=diary-4 --service=diary --port=17304 --node_port=17204 --service_ms=1
for i in 1 2 3 4; do
    wait_for "node$i" curl -sf -m 2 -H "Authorization: Bearer $key" "http://127.0.0.1:1700$i/stock/1"
done
wait_for "the claims" curl -sf -m 3 -X POST -H "Authorization: Bearer $key" -H "Idempotency-Key: warm-up" \
    "http://127.0.0.1:17001/deposits/0"
ctl status --nodes="$admin"

measure_path() { # path_bench arguments ...
    # node4 has no catalogue target, so it forwards every request to another node.
    "$build/bench/path_bench" --node_port=17004 --target_port=17303 --key="$key" --path=/stock/1 "$@"
}
if [[ "${1:-}" == "--path-only" ]]; then
    measure_path
    exit
fi
if [[ "${1:-}" == "--path-busy" ]]; then
    measure_path --concurrency=16 --pause_us=0 --requests=20000
    exit
fi

step "requests"
request "lookup at node4, target behind another node" -H "Authorization: Bearer $key" http://127.0.0.1:17004/stock/7
request "public page, no key" http://127.0.0.1:17002/hours
request "lookup without a key" http://127.0.0.1:17002/stock/7
request "lookup with a wrong key" -H "Authorization: Bearer k1.wrong" http://127.0.0.1:17002/stock/7
request "deposit without an idempotency key" -X POST -H "Authorization: Bearer $key" http://127.0.0.1:17001/deposits/7
request "deposit at node1 (its target calls the diary)" -X POST -d 'amount=20' -H "Authorization: Bearer $key" \
    -H "Idempotency-Key: deposit-7" http://127.0.0.1:17001/deposits/7
request "the same deposit again at node3 (recorded answer)" -X POST -d 'amount=20' -H "Authorization: Bearer $key" \
    -H "Idempotency-Key: deposit-7" http://127.0.0.1:17003/deposits/7
printf 'runs of the deposit at its target: '
curl -s http://127.0.0.1:17302/standin/runs
echo
head -c 20000000 /dev/urandom >"$run/photo"
request "upload of 20 MB through two nodes" -T "$run/photo" -H "Authorization: Bearer $key" http://127.0.0.1:17002/photos/7
printf 'bytes at the target: %s\n' "$(grep -o '"bytes":[0-9]*' "$run/answer")"

# The holders of the small team's quota start without tokens and need 2.5 s to mint its burst of 5 at 2 tokens/s.
sleep 3
step "a small team (2/s, burst 5) sends 12 lookups at once to all nodes"
for i in $(seq 12); do
    request "lookup $i at node$((i % 4 + 1))" -H "Authorization: Bearer $small" "http://127.0.0.1:1700$((i % 4 + 1))/stock/$i"
done

step "the key of the small team is withdrawn"
ctl withdraw-key k2 --by=operator --wait --nodes="$admin"
request "lookup with the withdrawn key" -H "Authorization: Bearer $small" http://127.0.0.1:17001/stock/1

step "what the shares were spent on"
ctl share studio --nodes="$admin"
ctl share small --nodes="$admin"

step "audit trail"
ctl audit

step "graceful stop"
for ((i = ${#pids[@]} - 1; i >= 0; --i)); do kill "${pids[$i]}" 2>/dev/null || true; done
for pid in "${pids[@]}"; do wait "$pid" || echo "process $pid ended with $?"; done
grep -h node-stopped "$run"/node*.log | sed 's/^.*SNS/SNS/'
