#!/usr/bin/env bash
exec "$(dirname "$0")/../standins-2/run.sh" added_routes_case "review/6/record.txt"
