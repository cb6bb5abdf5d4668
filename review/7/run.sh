#!/usr/bin/env bash
exec "$(dirname "$0")/../standins-2/run.sh" departure_case "review/7/record.txt"
