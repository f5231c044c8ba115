#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the program of the deploy file: one program with the
# cases, their requesters, operator, runners and links. It needs the standard library only.
set -euo pipefail
cd "$(dirname "$0")/kit-2"
go build -o ../../bin/review-2 .
