GO ?= go
BIN := bin

.PHONY: build test run lint generate capacity bench tools

build:
	CGO_ENABLED=1 $(GO) build -o $(BIN)/ ./cmd/...

test:
	GO=$(GO) ./scripts/test.sh

run: build
	./scripts/run.sh

tools:
	./scripts/tools.sh

generate: tools
	PATH=$(CURDIR)/$(BIN):$$PATH protoc --go_out=. --go_opt=module=github.com/vanillaward/vanillaward internal/wire/wire.proto
	$(GO) run ./internal/settings/gen > docs/SETTINGS.md

lint: tools
	test -z "$$($(BIN)/gofumpt -l cmd internal pkg platform *.go)"
	$(BIN)/golangci-lint run ./...

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...

capacity: build
	./scripts/capacity.sh
