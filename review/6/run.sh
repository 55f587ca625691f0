#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -uo pipefail
cd "$(dirname "$0")"
rm -f record.txt
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -k 5 115 ../../target/review-2/restart ../../target/nutmegtide "$folder" record.txt "${TROUBLE:-1}"
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
