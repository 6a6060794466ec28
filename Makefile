# Commands of the project. The README lists them.
MODULES := gen router entry sidecar gooseberryctl standin scenario platform
CHECKED := router entry sidecar gooseberryctl standin scenario platform
GOLANGCI_VERSION := v2.15.0
GOPLS_VERSION := v0.23.0
# With a fixed seed, property tests draw the same cases in each run.
export RAPID_SEED := 1
export RAPID_NOFAILFILE := true
# KNOWN_RED is the pattern of the tests, and of the cases of tests, in the "test:" lines of KNOWN-RED.txt. The target race skips
# them.
KNOWN_RED := $(shell sed -n 's/^test: //p' KNOWN-RED.txt | sed 's|/|$$/^|g; s|.*|^&$$|' | paste -sd'|' -)
GOBIN := $(shell go env GOPATH)/bin
# UNRACED are the packages that run without the race detector on arm64, where it crashes in the runtime's timers within
# synctest bubbles (Go 1.26). Elsewhere the list is empty.
UNRACED := $(if $(filter arm64,$(shell go env GOARCH)),gooseberrypin.example/router/subscription)
# CROWD starts processes whose memory it measures. It runs without the race detector, which takes memory itself, and alone.
CROWD := gooseberrypin.example/platform/crowd
PACKAGES = $(shell go list $(addprefix ./,$(addsuffix /...,$(CHECKED))))
SKIP_KNOWN_RED := $(if $(KNOWN_RED),-skip '$(KNOWN_RED)')

# POLICIES lists the policies that bench-policy compares, separated by commas, or is "all". CORES is its GOMAXPROCS and
# the number of tests that it runs in parallel.
POLICIES ?= all
CORES ?= 4

.PHONY: build demo test format lint vet race crowd scenarios bench-policy bench-capacity generate tools rename-tool known-red

build:
	go build -o bin/ ./entry/cmd/... ./sidecar/cmd/... ./gooseberryctl/cmd/... ./standin/cmd/...

demo: build
	go run ./scenario/cmd/demo --bin bin

# The tests of crowd run after the others, also with make -j.
test: known-red format lint vet race
	$(MAKE) crowd

known-red:
	@if [ -f KNOWN-RED.txt ]; then cat KNOWN-RED.txt; fi

tools:
	@test -x $(GOBIN)/golangci-lint || go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

# rename-tool installs gopls. Run "gopls rename -w FILE:LINE:COLUMN NAME" to rename an identifier and all its uses.
rename-tool:
	@test -x $(GOBIN)/gopls || go install golang.org/x/tools/gopls@$(GOPLS_VERSION)

format: tools
	@for m in $(CHECKED); do (cd $$m && $(GOBIN)/golangci-lint fmt --diff ./...) || exit 1; done

lint: tools
	@for m in $(CHECKED); do (cd $$m && $(GOBIN)/golangci-lint run --allow-parallel-runners ./...) || exit 1; done

vet:
	go vet $(addprefix ./,$(addsuffix /...,$(MODULES)))

race: build
	go test -race -timeout 15m $(SKIP_KNOWN_RED) $(filter-out $(UNRACED) $(CROWD),$(PACKAGES))
	$(if $(UNRACED),go test -timeout 15m $(SKIP_KNOWN_RED) $(UNRACED))

crowd:
	go test -count=1 -p 1 -parallel 1 -timeout 15m $(SKIP_KNOWN_RED) $(CROWD)

scenarios: build
	go test -race -count=1 -timeout 15m ./scenario/...

bench-policy:
	cd router/bench && go test -count=1 -cpu $(CORES) -parallel $(CORES) -run '^TestPolicies$$' -policies $(POLICIES) .

bench-capacity: build
	go run ./scenario/cmd/bench-capacity --bin bin

generate:
	./generate.sh
