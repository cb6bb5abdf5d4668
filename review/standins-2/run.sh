#!/usr/bin/env bash
# Runs the program of a case: run.sh PROGRAM RECORD. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
program="build-review-2/$1"
if [[ ! -x "$program" || ! -x target/snipestreamd ]]; then
    echo "build the system as deploy/system.toml says, then run review/build-2.sh" >&2
    exit 2
fi
timeout --signal=KILL 115 "$program" "$2"
status=$?
[[ $status -le 1 ]] && exit $status
exit 2
