#!/usr/bin/env bash
exec "$(dirname "$0")/../standins-2/run.sh" quota_case "review/8/record.txt"
