#!/usr/bin/env bash
# Installs the tools of the build into bin/, with pinned versions.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/bin
mkdir -p "$bin"
if [ ! -x "$bin/gofumpt" ] || [ ! -x "$bin/protoc-gen-go" ]; then
  (cd tools/gen && GOFLAGS=-mod=readonly go build -o "$bin/" tool)
fi
if [ ! -x "$bin/golangci-lint" ]; then
  GOBIN=$bin go install "github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(cat tools/golangci-lint.version)"
fi
command -v protoc >/dev/null || { apt-get update -qq && apt-get install -y -qq protobuf-compiler; }
