#!/usr/bin/env bash
# Runs the case and writes record.txt. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs it without the disruption.
set -uo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
program="target/review/case_$(basename "$folder")"
[[ -x target/snipestreamd && -x "$program" ]] || exit 2
work="$(mktemp -d)"
"$program" "$folder/record.txt" "$work"
result=$?
rm -rf "$work"
exit "$result"
