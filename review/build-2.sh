#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into build-review-2/. They need a C++ compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for source in review/standins-2/*_case.cpp; do
    "${CXX:-g++}" -std=c++17 -O2 -Wall -Wextra -pthread review/standins-2/standins.cpp "$source" -o "build-review-2/$(basename "$source" .cpp)"
done
