LINTER_VERSION := v2.15.0
GOPLS_VERSION := v0.23.0
MODULES := fleet router platform dragonflyctl standin
PROGRAMS := router platform dragonflyctl standin
export PATH := $(PATH):$(shell go env GOPATH)/bin

.PHONY: build test lint format tools bench demo docs capacity soak fuzz

BIN := bin
# VERSION is what the programs call themselves; empty for what Go records of the module.
VERSION :=
REVISION := $(shell scripts/revision.sh)

build: ## compiles the programs into BIN, with VERSION as their version
	@mkdir -p $(BIN)
	@for p in $(PROGRAMS); do go build -ldflags '-X github.com/dragonflyworks/dragonflyworks/fleet/version.release=$(VERSION) -X github.com/dragonflyworks/dragonflyworks/fleet/version.source=$(REVISION)' -o $(BIN)/$$p ./$$p || exit 1; done

test: ## runs every test with the race detector
	.ci/test

lint: ## runs the formatter's check and the linter on every module
	@for m in $(MODULES); do (cd $$m && golangci-lint run ./...) || exit 1; done

format: ## formats every module
	@for m in $(MODULES); do (cd $$m && golangci-lint fmt ./...) || exit 1; done

tools: ## installs the linter and the language server, which renames, unless their versions are there
	@golangci-lint version 2>/dev/null | grep -qF "$(LINTER_VERSION:v%=%)" || \
		go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINTER_VERSION)
	@gopls version 2>/dev/null | grep -qF "$(GOPLS_VERSION)" || go install golang.org/x/tools/gopls@$(GOPLS_VERSION)

bench: ## prints the benchmarks of every module
	go test -run '^$$' -bench . -benchmem ./fleet/... ./router/...

demo: ## runs a whole site on 127.0.0.1 for little more than a minute and checks the fleet's promises
	scripts/demo.sh

DOCS_TESTS := ^(TestDocumentation|TestExamples)$$

docs: ## rewrites the generated tables and outputs of the pages, then checks them
	-UPDATE=1 go test -count 1 -run "$(DOCS_TESTS)" ./router ./dragonflyctl ./standin >/dev/null
	go test -count 1 -run "$(DOCS_TESTS)" ./router ./dragonflyctl ./standin

capacity: ## measures the slopes of docs/CAPACITY.md in some minutes and rewrites the page's tables
	CAPACITY_PAGE=$(CURDIR)/docs/CAPACITY.md go test -count 1 -timeout 10m -v -run '^TestMeasure$$' ./router/capacity

SEEDS := 50
FIRST := 1

soak: ## plays SEEDS seeds from FIRST on of random faults on real processes; one takes about 21 s
	SOAK_SEEDS=$(SEEDS) SOAK_FIRST=$(FIRST) go test -count 1 -timeout 60m -run '^TestSoak$$' ./platform

FUZZ_TIME := 30s
FUZZ_TARGETS := \
	fleet/ledger:FuzzDecode fleet/ledger:FuzzAssembler fleet/ledger:FuzzLoad fleet/order:FuzzDecode \
	fleet/operator:FuzzDecodeTicket fleet/operator:FuzzDecodeSnapshot fleet/peer:FuzzRequest \
	router/endpoint:FuzzEventReader router/caller:FuzzModelBody platform:FuzzDecodeEndpoint platform:FuzzDecodeConfiguration \
	fleet/allowance:FuzzDecodeAccount

fuzz: ## runs every fuzz target for FUZZ_TIME
	@for t in $(FUZZ_TARGETS); do \
		go test -run '^$$' -fuzz "^$${t#*:}$$" -fuzztime $(FUZZ_TIME) "./$${t%:*}" || exit 1; \
	done
