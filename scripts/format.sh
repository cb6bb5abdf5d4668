#!/usr/bin/env bash
# Formats all sources in place, or with --check only reports those that are not formatted.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard -- '*.h' '*.cpp')
if [[ "${1:-}" == "--check" ]]; then
    clang-format --dry-run --Werror "${files[@]}"
else
    clang-format -i "${files[@]}"
fi
