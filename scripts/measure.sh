#!/usr/bin/env bash
# Runs the measurement programs and writes their output as docs/MEASUREMENTS.md. Takes several minutes; nothing else
# should run on the machine meanwhile.
# Usage: scripts/measure.sh
set -euo pipefail
cd "$(dirname "$0")/.."
./scripts/build.sh
build="${BUILD_DIR:-build}"
page=$(mktemp)

section() { # title, command ...
    local title=$1
    shift
    {
        printf '\n## %s\n\nCommand: `%s`\n\n' "$title" "$*"
        "$@" 2>/dev/null | sed -n '/^|/p;/^$/p;/^[A-Za-z0-9].*[.:;)]$/p;/calls\/s/p' | cat -s
    } >>"$page"
    echo "done: $title"
}

{
    echo "# Measurements"
    echo
    echo "Written by \`scripts/measure.sh\`. Commit: $(git rev-parse --short HEAD). Processors: $(nproc)."
    echo "Load averages at the start: $(cut -d' ' -f1-3 /proc/loadavg)."
    echo
    echo "Everything runs on one machine over loopback; the network between VMs is not part of any figure. The policy"
    echo "measurement with its reading is in [traffic.md](traffic.md), the slopes at scale in [CAPACITY.md](CAPACITY.md)."
} >"$page"
section "Latency added by two nodes" ./scripts/demo.sh --path-only
section "Latency added by two nodes, 16 callers at once" ./scripts/demo.sh --path-busy
section "Links between nodes" "$build/bench/peer_bench"
section "Quota: wrongful refusals and messages" "$build/bench/quota_bench"
section "Claims" "$build/bench/claims_bench"
section "Configuration" "$build/bench/config_bench"
section "Admission and selection per request" "$build/bench/policy_cost_bench"
section "Policy under load" "$build/bench/policy_bench"
# This script does not measure the section on the users' platform: its figures come from the journal of that bench, so
# the section is copied from the previous page.
sed -n "/^## On the users' platform/,\$p" docs/MEASUREMENTS.md >>"$page"
mv "$page" docs/MEASUREMENTS.md
