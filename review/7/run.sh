#!/usr/bin/env bash
# Runs the case; with TROUBLE=0 without its disruption. The program reads the variable.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../standins-2/run.sh" departure_case "review/7/record.txt"
