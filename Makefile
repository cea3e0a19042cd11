# Main targets: `make test` runs all tests, models and the linter; `make run` starts a local setup until Ctrl-C;
# `make demo` runs one for at most 60 s. Each installs the tools that it needs.
MODULES := api raft document controlstate membership balance quota settings telemetry routes control gateway platform cmd/heatherwall testbed model
PACKAGES := $(addsuffix /...,$(addprefix ./,$(MODULES)))
STATICCHECK := honnef.co/go/tools/cmd/staticcheck@v0.8.2
# To rename an identifier across the workspace: gopls rename -w FILE:LINE:COLUMN NAME
GOPLS := golang.org/x/tools/gopls@v0.23.0

.PHONY: build test lint tools run demo bench

build:
	CGO_ENABLED=1 go build -o bin/ ./cmd/heatherwall ./testbed/cmd/...

tools:
	@command -v spin >/dev/null || { apt-get update -qq && apt-get install -y -qq spin; }
	@command -v gcc >/dev/null || { apt-get update -qq && apt-get install -y -qq gcc libc6-dev; }
	@test -x "$$(go env GOPATH)/bin/gopls" || go install $(GOPLS)

lint:
	@unformatted=$$(gofmt -l $(MODULES)); if [ -n "$$unformatted" ]; then echo "not gofmt-clean: $$unformatted"; exit 1; fi
	go vet $(PACKAGES)
	go run $(STATICCHECK) $(PACKAGES)

test: tools lint build
	scripts/test.sh $(PACKAGES)

run: build
	scripts/run.sh

demo: build
	scripts/demo.sh

bench: build
	scripts/bench.sh
