#!/usr/bin/env bash
# Runs clang-tidy over the sources (or the files named) with the flags of the build in build/ (or $BUILD_DIR).
set -euo pipefail
cd "$(dirname "$0")/.."
build="${BUILD_DIR:-build}"
if (($#)); then
    files=("$@")
else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard -- '*.cpp')
fi
printf '%s\n' "${files[@]}" | xargs -P "${BUILD_JOBS:-$(nproc)}" -n 2 clang-tidy -p "$build" --quiet 2>/dev/null
echo "lint: ${#files[@]} files are clean"
