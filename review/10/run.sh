#!/usr/bin/env bash
exec "$(dirname "$0")/../standins-2/run.sh" weights_case "review/10/record.txt"
