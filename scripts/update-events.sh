#!/usr/bin/env bash
# Rewrites the table of docs/EVENTS.md from the catalogue in the code.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${BUILD_DIR:-build}"
table=$("$build/tests/test_core" --only EventsTest::testPageMatchesCode | grep '^|' || true)
[[ -n "$table" ]] || { echo "docs/EVENTS.md is up to date"; exit 0; }
head=$(sed '/^| event/,$d' docs/EVENTS.md)
printf '%s\n\n%s\n' "$head" "$table" >docs/EVENTS.md
echo "docs/EVENTS.md was rewritten"
