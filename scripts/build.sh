#!/usr/bin/env bash
# Installs the Debian packages that are missing and builds everything into build/ (or $BUILD_DIR).
# Usage: scripts/build.sh [target ...]
set -euo pipefail
cd "$(dirname "$0")/.."
missing=()
while read -r package; do
    dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done <scripts/packages.txt
if ((${#missing[@]})); then
    echo "installing: ${missing[*]}"
    apt-get update -q
    DEBIAN_FRONTEND=noninteractive apt-get install -y -q "${missing[@]}"
fi
build="${BUILD_DIR:-build}"
cmake -S . -B "$build" -G Ninja >"/dev/null"
cmake --build "$build" --parallel "${BUILD_JOBS:-$(nproc)}" ${1:+--target "$@"}
