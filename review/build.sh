#!/bin/sh
# Builds the stand-ins that the scripts of the review start.
set -eu
cd "$(dirname "$0")/kit"
CGO_ENABLED=0 go build -o ../bin/kit .
