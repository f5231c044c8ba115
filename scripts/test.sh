#!/usr/bin/env bash
# Runs the README's test command. Tests that KNOWN-RED.txt lists by name may
# fail; each is printed. Any other failure fails the run.
set -euo pipefail
cd "$(dirname "$0")/.."
if make test; then exit 0; fi
[ -s KNOWN-RED.txt ] || exit 1
names=$(grep -oE '^test: [A-Za-z0-9_/]+' KNOWN-RED.txt | cut -d' ' -f2 | paste -sd'|')
[ -n "$names" ] || exit 1
echo "tests that are known to fail, skipped in this run:"
cat KNOWN-RED.txt
CGO_ENABLED=1 go test -race -skip "^($names)\$" ./...
